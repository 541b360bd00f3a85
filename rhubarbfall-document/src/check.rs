//! The rules that a document as a whole keeps.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::sync::Arc;

use rhubarbfall_core::{TeamId, UpstreamId};

use crate::limits::{
    ANSWER_TIMEOUT_MS, MAX_LABEL_BYTES, MAX_LIST_ITEMS, POOL_VMS, SHARE_WEIGHTS, UPPER_LIMIT_SLOTS,
    UPSTREAM_CONNECTIONS, UPSTREAM_SLOTS, WAITING_REQUESTS,
};
use crate::{Document, KeyOwner, QueueAccess, QueueSpec, TeamSection};

/// A broken rule, by the path of the field that breaks it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) path: String,
    pub(crate) message: String,
}

/// Returns every broken rule; lists need not be sorted.
pub(crate) fn check(document: &Document) -> Vec<Violation> {
    let mut checker = Checker::new(document);
    checker.drained_upstreams();
    checker.pools();
    checker.services();
    checker.queues();
    checker.teams();
    checker.keys();
    checker.team_sections();
    checker.violations
}

struct Checker<'d> {
    document: &'d Document,
    pools: Vec<&'d str>,
    services: Vec<&'d str>,
    queues: Vec<&'d str>,
    teams: Vec<&'d str>,
    violations: Vec<Violation>,
}

impl<'d> Checker<'d> {
    fn new(document: &'d Document) -> Self {
        let fleet = &document.fleet;
        Self {
            document,
            pools: sorted(fleet.pools.iter().map(|pool| pool.id.as_str())),
            services: sorted(fleet.services.iter().map(|service| service.id.as_str())),
            queues: sorted(fleet.queues.iter().map(|queue| queue.id.as_str())),
            teams: sorted(fleet.teams.iter().map(|team| team.id.as_str())),
            violations: Vec::new(),
        }
    }

    fn drained_upstreams(&mut self) {
        let drained = &self.document.fleet.drained_upstreams;
        let path = "fleet.drained_upstreams";
        if drained.len() > MAX_LIST_ITEMS {
            let message = format!("at most {MAX_LIST_ITEMS} items are allowed");
            self.add(path.to_owned(), message);
        }
        let ids = sorted(drained.iter().map(UpstreamId::as_str));
        for pair in ids.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.add(path.to_owned(), format!("{} is used twice", pair[0]));
        }
    }

    fn pools(&mut self) {
        let pools = &self.document.fleet.pools;
        self.unique(
            "fleet.pool",
            "id",
            pools.iter().map(|pool| pool.id.as_str()),
        );
        for (index, pool) in pools.iter().enumerate() {
            let path = |field: &str| format!("fleet.pool[{index}].{field}");
            let budget = u64::from(pool.max_unavailable_vms.get());
            self.range(path("max_unavailable_vms"), budget, &POOL_VMS);
            self.range(path("min_vms"), u64::from(pool.min_vms.get()), &POOL_VMS);
        }
    }

    fn services(&mut self) {
        let services = &self.document.fleet.services;
        let ids = services.iter().map(|service| service.id.as_str());
        self.unique("fleet.service", "id", ids);
        for (index, service) in services.iter().enumerate() {
            let path = |field: &str| format!("fleet.service[{index}].{field}");
            if !contains(&self.pools, service.pool.as_str()) {
                self.add(path("pool"), format!("no pool is named {}", service.pool));
            }
            let slots = u64::from(service.slots_per_upstream.get());
            self.range(path("slots_per_upstream"), slots, &UPSTREAM_SLOTS);
            let connections = u64::from(service.connections_per_upstream.get());
            self.range(
                path("connections_per_upstream"),
                connections,
                &UPSTREAM_CONNECTIONS,
            );
            self.range(
                path("answer_timeout_ms"),
                service.answer_timeout_ms,
                &ANSWER_TIMEOUT_MS,
            );
        }
    }

    fn queues(&mut self) {
        let queues = &self.document.fleet.queues;
        self.unique(
            "fleet.queue",
            "id",
            queues.iter().map(|queue| queue.id.as_str()),
        );
        for (index, queue) in queues.iter().enumerate() {
            let path = |field: &str| format!("fleet.queue[{index}].{field}");
            if !contains(&self.services, queue.service.as_str()) {
                self.add(
                    path("service"),
                    format!("no service is named {}", queue.service),
                );
            }
            let waiting = u64::from(queue.max_waiting_per_team);
            self.range(path("max_waiting_per_team"), waiting, &WAITING_REQUESTS);
            self.access(&path("access"), queue);
        }
    }

    fn access(&mut self, path: &str, queue: &QueueSpec) {
        let teams = match &queue.access {
            QueueAccess::OpenAs(team) => std::slice::from_ref(team),
            QueueAccess::Teams(teams) => teams.as_slice(),
        };
        if teams.is_empty() {
            self.add(path.to_owned(), "the queue is for no team".to_owned());
        }
        for (index, team) in teams.iter().enumerate() {
            self.team_exists(path, team);
            if teams[..index].contains(team) {
                self.add(path.to_owned(), format!("team {team} is named twice"));
            }
        }
    }

    fn teams(&mut self) {
        let teams = &self.document.fleet.teams;
        self.unique(
            "fleet.team",
            "id",
            teams.iter().map(|team| team.id.as_str()),
        );
        for (index, team) in teams.iter().enumerate() {
            let path = |field: &str| format!("fleet.team[{index}].{field}");
            let limit = u64::from(team.upper_limit_slots.get());
            self.range(path("upper_limit_slots"), limit, &UPPER_LIMIT_SLOTS);
            let weight = u64::from(team.share_weight.get());
            self.range(path("share_weight"), weight, &SHARE_WEIGHTS);
        }
    }

    fn keys(&mut self) {
        let keys = &self.document.keys.keys;
        self.unique("keys.key", "digest", keys.iter().map(|key| key.digest));
        self.unique("keys.key", "label", keys.iter().map(|key| &key.label));
        for (index, key) in keys.iter().enumerate() {
            let path = |field: &str| format!("keys.key[{index}].{field}");
            self.label(&path("label"), &key.label);
            match &key.owner {
                KeyOwner::Team(team) => self.team_exists(&path("team"), team),
                KeyOwner::Operator(name) => self.label(&path("operator"), name),
            }
        }
    }

    fn team_sections(&mut self) {
        for (team, section) in &self.document.teams {
            let path = format!("team.{team}");
            self.team_exists(&path, team);
            self.team_section(&path, section);
        }
    }

    fn team_section(&mut self, path: &str, section: &TeamSection) {
        if let Some(contact) = &section.contact {
            self.label(&format!("{path}.contact"), contact);
        }
        for (queue, weight) in &section.queue_weights {
            let path = format!("{path}.queue_weights.{queue}");
            if !contains(&self.queues, queue.as_str()) {
                self.add(path.clone(), format!("no queue is named {queue}"));
            }
            self.range(path, u64::from(weight.get()), &SHARE_WEIGHTS);
        }
    }

    fn team_exists(&mut self, path: &str, team: &TeamId) {
        if !contains(&self.teams, team.as_str()) {
            self.add(path.to_owned(), format!("no team is named {team}"));
        }
    }

    fn label(&mut self, path: &str, label: &Arc<str>) {
        if label.is_empty() || label.len() > MAX_LABEL_BYTES {
            let message = format!("between 1 and {MAX_LABEL_BYTES} bytes are allowed here");
            self.add(path.to_owned(), message);
        }
        if label.chars().any(char::is_control) {
            let message = "control characters are not allowed here".to_owned();
            self.add(path.to_owned(), message);
        }
    }

    fn range(&mut self, path: String, value: u64, allowed: &RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            let (least, most) = (allowed.start(), allowed.end());
            self.add(path, format!("{value} is not between {least} and {most}"));
        }
    }

    fn unique<T: Ord + Display>(
        &mut self,
        list: &str,
        field: &str,
        ids: impl ExactSizeIterator<Item = T>,
    ) {
        if ids.len() > MAX_LIST_ITEMS {
            let message = format!("at most {MAX_LIST_ITEMS} items are allowed");
            self.add(list.to_owned(), message);
        }
        let mut ids: Vec<(T, usize)> = ids.enumerate().map(|(index, id)| (id, index)).collect();
        ids.sort();
        for pair in ids.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            let path = format!("{list}[{}].{field}", pair[1].1);
            self.add(path, format!("{} is used twice", pair[1].0));
        }
    }

    fn add(&mut self, path: String, message: String) {
        self.violations.push(Violation { path, message });
    }
}

fn sorted<'d>(ids: impl Iterator<Item = &'d str>) -> Vec<&'d str> {
    let mut ids: Vec<_> = ids.collect();
    ids.sort_unstable();
    ids
}

fn contains(ids: &[&str], id: &str) -> bool {
    ids.binary_search(&id).is_ok()
}

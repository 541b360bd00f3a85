//! Checks the rules that a document as a whole must follow.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::sync::Arc;

use rhubarbfall_core::{TeamId, UpstreamId};

use crate::limits::{
    ANSWER_TIMEOUT_MS_RANGE, MAX_LABEL_BYTES, MAX_LIST_ITEMS, POOL_VMS_RANGE, SHARE_WEIGHT_RANGE,
    UPPER_LIMIT_SLOTS_RANGE, UPSTREAM_CONNECTIONS_RANGE, UPSTREAM_SLOTS_RANGE,
    WAITING_REQUESTS_RANGE,
};
use crate::{Document, KeyOwner, QueueAccess, QueueSpec, TeamSection};

/// A broken rule, with the path of the field that breaks it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation {
    pub(crate) path: String,
    pub(crate) message: String,
}

/// Returns every broken rule; the document's lists need not be sorted.
pub(crate) fn check(document: &Document) -> Vec<Violation> {
    let mut checker = Checker::new(document);
    checker.check_drained_upstreams();
    checker.check_pools();
    checker.check_services();
    checker.check_queues();
    checker.check_teams();
    checker.check_keys();
    checker.check_team_sections();
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

    fn check_drained_upstreams(&mut self) {
        let drained = &self.document.fleet.drained_upstreams;
        let path = "fleet.drained_upstreams";
        if drained.len() > MAX_LIST_ITEMS {
            let message = format!("at most {MAX_LIST_ITEMS} items are allowed");
            self.add_violation(path.to_owned(), message);
        }
        let ids = sorted(drained.iter().map(UpstreamId::as_str));
        for pair in ids.windows(2).filter(|pair| pair[0] == pair[1]) {
            self.add_violation(path.to_owned(), format!("{} is used twice", pair[0]));
        }
    }

    fn check_pools(&mut self) {
        let pools = &self.document.fleet.pools;
        self.check_unique(
            "fleet.pool",
            "id",
            pools.iter().map(|pool| pool.id.as_str()),
        );
        for (index, pool) in pools.iter().enumerate() {
            let path = |field: &str| format!("fleet.pool[{index}].{field}");
            let budget = u64::from(pool.max_unavailable_vms.get());
            self.check_range(path("max_unavailable_vms"), budget, &POOL_VMS_RANGE);
            self.check_range(
                path("min_vms"),
                u64::from(pool.min_vms.get()),
                &POOL_VMS_RANGE,
            );
        }
    }

    fn check_services(&mut self) {
        let services = &self.document.fleet.services;
        let ids = services.iter().map(|service| service.id.as_str());
        self.check_unique("fleet.service", "id", ids);
        for (index, service) in services.iter().enumerate() {
            let path = |field: &str| format!("fleet.service[{index}].{field}");
            if !contains(&self.pools, service.pool.as_str()) {
                self.add_violation(path("pool"), format!("no pool is named {}", service.pool));
            }
            let slots = u64::from(service.slots_per_upstream.get());
            self.check_range(path("slots_per_upstream"), slots, &UPSTREAM_SLOTS_RANGE);
            let connections = u64::from(service.connections_per_upstream.get());
            self.check_range(
                path("connections_per_upstream"),
                connections,
                &UPSTREAM_CONNECTIONS_RANGE,
            );
            self.check_range(
                path("answer_timeout_ms"),
                service.answer_timeout_ms,
                &ANSWER_TIMEOUT_MS_RANGE,
            );
        }
    }

    fn check_queues(&mut self) {
        let queues = &self.document.fleet.queues;
        self.check_unique(
            "fleet.queue",
            "id",
            queues.iter().map(|queue| queue.id.as_str()),
        );
        for (index, queue) in queues.iter().enumerate() {
            let path = |field: &str| format!("fleet.queue[{index}].{field}");
            if !contains(&self.services, queue.service.as_str()) {
                self.add_violation(
                    path("service"),
                    format!("no service is named {}", queue.service),
                );
            }
            let waiting = u64::from(queue.max_waiting_per_team);
            self.check_range(
                path("max_waiting_per_team"),
                waiting,
                &WAITING_REQUESTS_RANGE,
            );
            self.check_access(&path("access"), queue);
        }
    }

    fn check_access(&mut self, path: &str, queue: &QueueSpec) {
        let teams = match &queue.access {
            QueueAccess::OpenAs(team) => std::slice::from_ref(team),
            QueueAccess::Teams(teams) => teams.as_slice(),
        };
        if teams.is_empty() {
            self.add_violation(path.to_owned(), "at least one team is required".to_owned());
        }
        for (index, team) in teams.iter().enumerate() {
            self.check_team_exists(path, team);
            if teams[..index].contains(team) {
                self.add_violation(path.to_owned(), format!("team {team} is listed twice"));
            }
        }
    }

    fn check_teams(&mut self) {
        let teams = &self.document.fleet.teams;
        self.check_unique(
            "fleet.team",
            "id",
            teams.iter().map(|team| team.id.as_str()),
        );
        for (index, team) in teams.iter().enumerate() {
            let path = |field: &str| format!("fleet.team[{index}].{field}");
            let limit = u64::from(team.upper_limit_slots.get());
            self.check_range(path("upper_limit_slots"), limit, &UPPER_LIMIT_SLOTS_RANGE);
            let weight = u64::from(team.share_weight.get());
            self.check_range(path("share_weight"), weight, &SHARE_WEIGHT_RANGE);
        }
    }

    fn check_keys(&mut self) {
        let keys = &self.document.keys.keys;
        self.check_unique("keys.key", "digest", keys.iter().map(|key| key.digest));
        self.check_unique("keys.key", "label", keys.iter().map(|key| &key.label));
        for (index, key) in keys.iter().enumerate() {
            let path = |field: &str| format!("keys.key[{index}].{field}");
            self.check_label(&path("label"), &key.label);
            match &key.owner {
                KeyOwner::Team(team) => self.check_team_exists(&path("team"), team),
                KeyOwner::Operator(name) => self.check_label(&path("operator"), name),
            }
        }
    }

    fn check_team_sections(&mut self) {
        for (team, section) in &self.document.teams {
            let path = format!("team.{team}");
            self.check_team_exists(&path, team);
            self.check_team_section(&path, section);
        }
    }

    fn check_team_section(&mut self, path: &str, section: &TeamSection) {
        if let Some(contact) = &section.contact {
            self.check_label(&format!("{path}.contact"), contact);
        }
        for (queue, weight) in &section.queue_weights {
            let path = format!("{path}.queue_weights.{queue}");
            if !contains(&self.queues, queue.as_str()) {
                self.add_violation(path.clone(), format!("no queue is named {queue}"));
            }
            self.check_range(path, u64::from(weight.get()), &SHARE_WEIGHT_RANGE);
        }
    }

    fn check_team_exists(&mut self, path: &str, team: &TeamId) {
        if !contains(&self.teams, team.as_str()) {
            self.add_violation(path.to_owned(), format!("no team is named {team}"));
        }
    }

    fn check_label(&mut self, path: &str, label: &Arc<str>) {
        if label.is_empty() || label.len() > MAX_LABEL_BYTES {
            let message = format!("must have between 1 and {MAX_LABEL_BYTES} bytes");
            self.add_violation(path.to_owned(), message);
        }
        if label.chars().any(char::is_control) {
            let message = "control characters are not allowed".to_owned();
            self.add_violation(path.to_owned(), message);
        }
    }

    fn check_range(&mut self, path: String, value: u64, allowed: &RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            let (least, most) = (allowed.start(), allowed.end());
            self.add_violation(path, format!("{value} is not between {least} and {most}"));
        }
    }

    fn check_unique<T: Ord + Display>(
        &mut self,
        list: &str,
        field: &str,
        ids: impl ExactSizeIterator<Item = T>,
    ) {
        if ids.len() > MAX_LIST_ITEMS {
            let message = format!("at most {MAX_LIST_ITEMS} items are allowed");
            self.add_violation(list.to_owned(), message);
        }
        let mut ids: Vec<(T, usize)> = ids.enumerate().map(|(index, id)| (id, index)).collect();
        ids.sort();
        for pair in ids.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            let path = format!("{list}[{}].{field}", pair[1].1);
            self.add_violation(path, format!("{} is used twice", pair[1].0));
        }
    }

    fn add_violation(&mut self, path: String, message: String) {
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

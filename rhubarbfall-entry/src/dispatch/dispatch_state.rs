use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rhubarbfall_core::{LiteMap, ServiceId, Slots, TeamId, UpstreamId};
use rhubarbfall_document::Document;
use rhubarbfall_routing::{UpstreamLoad, least_wait};
use serde::Serialize;
use tokio::sync::oneshot;

use super::{Permit, Work};

/// The most requests that wait at one entry for one service.
const MAX_WAITING: usize = 10_000;

/// A request that starts, and where its waiter is told so.
#[derive(Debug)]
pub(super) struct Start {
    pub(super) work: Work,
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) reply: oneshot::Sender<Permit>,
}

/// Waiting and running requests of one entry.
#[derive(Debug, Default)]
pub(super) struct DispatchState {
    teams: LiteMap<TeamId, TeamState>,
    services: LiteMap<ServiceId, ServiceState>,
}

#[derive(Debug, Default)]
struct TeamState {
    limit: Slots,
    running: Slots,
}

#[derive(Debug, Default)]
struct ServiceState {
    upstreams: LiteMap<UpstreamId, UpstreamState>,
    waiting: VecDeque<Waiting>,
}

#[derive(Debug)]
struct UpstreamState {
    address: SocketAddr,
    load: UpstreamLoad,
    is_leaving: bool,
}

#[derive(Debug)]
struct Waiting {
    work: Work,
    reply: oneshot::Sender<Permit>,
}

/// One upstream as the state dump shows it.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamSnapshot {
    /// The service.
    pub service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// How many requests it takes at once.
    pub slots: Slots,
    /// How many requests run there from this entry.
    pub running_slots: Slots,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// Waiting and running requests as the state dump shows them.
#[derive(Debug, Clone, Serialize)]
pub struct DispatchSnapshot {
    /// Requests running, by team.
    pub running_slots_by_team: LiteMap<TeamId, Slots>,
    /// Requests waiting, by service.
    pub waiting_by_service: LiteMap<ServiceId, usize>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamSnapshot>,
}

impl DispatchState {
    /// Takes the limits and services of a document.
    pub(super) fn configure(&mut self, document: &Document) {
        for team in &document.fleet.teams {
            self.teams.entry(team.id.clone()).or_default().limit = team.upper_limit_slots;
        }
        for (id, team) in &mut self.teams {
            if document.team(id).is_none() {
                team.limit = Slots::ZERO;
            }
        }
        for service in &document.fleet.services {
            self.services.entry(service.id.clone()).or_default();
        }
    }

    /// Takes the upstreams of one service; those that are no longer listed get no new work.
    pub(super) fn set_upstreams(
        &mut self,
        service: &ServiceId,
        slots: Slots,
        listed: &[(UpstreamId, SocketAddr)],
    ) {
        let state = self.services.entry(service.clone()).or_default();
        for (id, upstream) in &mut state.upstreams {
            upstream.is_leaving = !listed.iter().any(|(listed_id, _)| listed_id == id);
        }
        for (id, address) in listed {
            let known = state.upstreams.get(id).map(|up| up.load);
            let mut load = known.unwrap_or_else(|| UpstreamLoad::new(slots));
            load.set_slots(slots);
            let upstream = UpstreamState {
                address: *address,
                load,
                is_leaving: false,
            };
            state.upstreams.insert(id.clone(), upstream);
        }
        state
            .upstreams
            .retain(|_, up| !up.is_leaving || up.load.running_slots() > Slots::ZERO);
    }

    /// Puts a request at the end of its service's queue; gives it back when there is no room.
    pub(super) fn push(&mut self, work: Work, reply: oneshot::Sender<Permit>) -> Result<(), Work> {
        let state = self.services.entry(work.service.clone()).or_default();
        if state.waiting.len() >= MAX_WAITING {
            return Err(work);
        }
        state.waiting.push_back(Waiting { work, reply });
        Ok(())
    }

    /// Returns whether a service has an upstream that takes work.
    pub(super) fn has_upstream(&self, service: &ServiceId) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| state.upstreams.values().any(|up| !up.is_leaving))
    }

    /// Starts every waiting request that can start now.
    ///
    /// The caller delivers the starts after it has let go of its lock, since a waiter that has
    /// given up returns its permit.
    #[must_use]
    pub(super) fn pump(&mut self) -> Vec<Start> {
        let mut starts = Vec::new();
        for (_, state) in &mut self.services {
            state.waiting.retain(|waiting| !waiting.reply.is_closed());
            start_waiting(state, &mut self.teams, &mut starts);
        }
        starts
    }

    /// Ends a request.
    pub(super) fn release(&mut self, team: &TeamId, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(team) = self.teams.get_mut(team) {
            team.running = team.running.saturating_sub(Slots::new(1));
        }
        let state = self.services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.upstreams.get_mut(upstream)) {
            upstream.load.end();
        }
    }

    /// Takes how long an upstream took for an answer, or that there was none.
    pub(super) fn observe(
        &mut self,
        service: &ServiceId,
        upstream: &UpstreamId,
        latency: Duration,
        is_success: bool,
    ) {
        let state = self.services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.upstreams.get_mut(upstream)) {
            upstream.load.observe(latency, is_success);
        }
    }

    /// Copies the state for the dump.
    pub(super) fn snapshot(&self) -> DispatchSnapshot {
        let upstreams = self.services.iter().flat_map(|(service, state)| {
            state.upstreams.iter().map(|(id, up)| UpstreamSnapshot {
                service: service.clone(),
                upstream: id.clone(),
                address: up.address,
                slots: up.load.slots(),
                running_slots: up.load.running_slots(),
                is_leaving: up.is_leaving,
            })
        });
        DispatchSnapshot {
            running_slots_by_team: self
                .teams
                .iter()
                .map(|(id, team)| (id.clone(), team.running))
                .collect(),
            waiting_by_service: self
                .services
                .iter()
                .map(|(id, state)| (id.clone(), state.waiting.len()))
                .collect(),
            upstreams: upstreams.collect(),
        }
    }
}

fn start_waiting(
    state: &mut ServiceState,
    teams: &mut LiteMap<TeamId, TeamState>,
    starts: &mut Vec<Start>,
) {
    let mut index = 0;
    while let Some(waiting) = state.waiting.get(index) {
        let Some(id) = choose(&mut state.upstreams, &waiting.work.avoided) else {
            return;
        };
        let team = teams.get_mut(&waiting.work.team);
        let Some(team) = team.filter(|team| team.running < team.limit) else {
            index += 1;
            continue;
        };
        let Some(upstream) = state.upstreams.get_mut(&id) else {
            return;
        };
        let Some(Waiting { work, reply }) = state.waiting.remove(index) else {
            return;
        };
        upstream.load.start();
        team.running = team.running.saturating_add(Slots::new(1));
        starts.push(Start {
            work,
            address: upstream.address,
            upstream: id,
            reply,
        });
    }
}

fn choose(
    upstreams: &mut LiteMap<UpstreamId, UpstreamState>,
    avoided: &[UpstreamId],
) -> Option<UpstreamId> {
    let mut staying: Vec<(&UpstreamId, &mut UpstreamState)> = upstreams
        .iter_mut()
        .filter(|(_, up)| !up.is_leaving)
        .collect();
    let loads = staying
        .iter_mut()
        .map(|(id, up)| (&mut up.load, avoided.contains(id)));
    let chosen = least_wait(loads)?;
    staying.get(chosen).map(|(id, _)| (*id).clone())
}

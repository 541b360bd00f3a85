use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rhubarbfall_admission::{
    Admission, AdmissionSnapshot, Completion, Rejection, SubmitOutcome, Ticket, WorkRequest,
};
use rhubarbfall_core::{LiteMap, ResultCode, ServiceId, Slots, TeamId, UpstreamId};
use rhubarbfall_document::Document;
use rhubarbfall_routing::{UpstreamLoad, least_wait};
use serde::Serialize;
use tokio::sync::oneshot;

use super::{DispatchRequest, Permit};

/// Delivers to a waiting request its permit, or the result code of its rejection.
pub(super) type PermitSender = oneshot::Sender<Result<Permit, ResultCode>>;

/// A request that starts, with the channel for its permit.
#[derive(Debug)]
pub(super) struct StartedRequest {
    pub(super) ticket: Ticket,
    pub(super) service: ServiceId,
    pub(super) upstream: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) permit_sender: PermitSender,
}

/// The starts and rejections to deliver after a change of state.
#[derive(Debug, Default)]
pub(super) struct Decisions {
    pub(super) starts: Vec<StartedRequest>,
    pub(super) rejections: Vec<(PermitSender, ResultCode)>,
}

/// The waiting and running requests of one entry.
#[derive(Debug)]
pub(super) struct DispatchState {
    pub(super) admission: Admission,
    services: LiteMap<ServiceId, ServiceState>,
    /// Indexed by ticket.
    waiters: Vec<Option<Waiter>>,
    rejections: Vec<(PermitSender, ResultCode)>,
}

#[derive(Debug, Default)]
struct ServiceState {
    upstreams: LiteMap<UpstreamId, UpstreamState>,
}

#[derive(Debug)]
struct Waiter {
    avoided: Vec<UpstreamId>,
    permit_sender: PermitSender,
}

#[derive(Debug)]
struct UpstreamState {
    address: SocketAddr,
    load: UpstreamLoad,
    is_leaving: bool,
}

/// One upstream of the dispatcher, as shown in the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamSnapshot {
    /// The service that the upstream runs.
    pub service: ServiceId,
    /// The upstream's identifier.
    pub upstream: UpstreamId,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// How many requests the upstream runs at once.
    pub slots: Slots,
    /// How many requests of this entry the upstream is running.
    pub running_slots: Slots,
    /// Whether the upstream receives no new requests.
    pub is_leaving: bool,
}

/// Waiting and running requests, as shown in the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct DispatchSnapshot {
    /// Slots in use by running requests, by team.
    pub running_slots_by_team: LiteMap<TeamId, Slots>,
    /// The queues and rights of the admission control.
    pub admission: AdmissionSnapshot,
    /// Number of waiting requests, by service.
    pub waiting_by_service: LiteMap<ServiceId, usize>,
    /// The upstreams of all services; one that receives no new requests stays until its last ends.
    pub upstreams: Vec<UpstreamSnapshot>,
}

impl DispatchState {
    pub(super) const fn new(admission: Admission) -> Self {
        Self {
            admission,
            services: LiteMap::new(),
            waiters: Vec::new(),
            rejections: Vec::new(),
        }
    }

    /// Applies the limits and services of a document.
    pub(super) fn configure(&mut self, document: &Document) {
        self.admission.set_document(document);
        for service in &document.fleet.services {
            self.services.entry(service.id.clone()).or_default();
        }
    }

    /// Sets the upstreams of a service; those no longer listed receive no new requests.
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

    /// Adds a request to its queue, or returns why it is rejected.
    pub(super) fn enqueue(
        &mut self,
        now: Instant,
        request: DispatchRequest,
        permit_sender: PermitSender,
    ) -> Result<Ticket, Rejection> {
        let work_request = WorkRequest {
            team: request.team,
            queue: request.queue,
            service: request.service,
            class: request.class,
            deadline: request.deadline,
        };
        let (ticket, shed) = match self.admission.submit(now, &work_request) {
            SubmitOutcome::Queued { ticket, shed } => (ticket, shed),
            SubmitOutcome::Rejected(rejection) => return Err(rejection),
        };
        if let Some(waiter) = shed.and_then(|shed| self.take_waiter(shed)) {
            self.rejections
                .push((waiter.permit_sender, ResultCode::Overloaded));
        }
        if self.waiters.len() <= ticket.index() {
            self.waiters.resize_with(ticket.index() + 1, || None);
        }
        self.waiters[ticket.index()] = Some(Waiter {
            avoided: request.avoided,
            permit_sender,
        });
        Ok(ticket)
    }

    /// Removes a request that no longer waits; has no effect once it has started.
    pub(super) fn cancel(&mut self, ticket: Ticket) {
        if self.admission.cancel(ticket) {
            self.take_waiter(ticket);
        }
    }

    fn take_waiter(&mut self, ticket: Ticket) -> Option<Waiter> {
        self.waiters.get_mut(ticket.index())?.take()
    }

    /// Returns whether a service has an upstream that accepts new requests.
    pub(super) fn has_upstream(&self, service: &ServiceId) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| state.upstreams.values().any(|up| !up.is_leaving))
    }

    /// Starts every waiting request that can start now.
    ///
    /// The caller must release its lock before it delivers the decisions: a permit that a waiter no
    /// longer accepts is dropped, and its release locks the state again.
    #[must_use]
    pub(super) fn start_waiting(&mut self, now: Instant) -> Decisions {
        let mut starts = Vec::new();
        let services: Vec<ServiceId> = self.services.keys().cloned().collect();
        for service in services {
            let free = self.free_slots(&service);
            for ticket in self.admission.start_next(now, &service, free) {
                if let Some(start) = self.assign_upstream(&service, ticket) {
                    starts.push(start);
                } else {
                    self.admission.finish(now, ticket, Completion::Confirmed);
                }
            }
        }
        for ticket in self.admission.take_expired() {
            if let Some(waiter) = self.take_waiter(ticket) {
                self.rejections
                    .push((waiter.permit_sender, ResultCode::DeadlinePassed));
            }
        }
        Decisions {
            starts,
            rejections: std::mem::take(&mut self.rejections),
        }
    }

    pub(super) fn free_slots(&self, service: &ServiceId) -> u32 {
        let state = self.services.get(service);
        let upstreams = state.into_iter().flat_map(|state| state.upstreams.values());
        upstreams
            .filter(|up| !up.is_leaving)
            .map(|up| {
                up.load
                    .slots()
                    .saturating_sub(up.load.running_slots())
                    .get()
            })
            .sum()
    }

    /// Returns the total slots of the upstreams that accept new requests, by service.
    pub(super) fn capacity_slots(&self) -> LiteMap<ServiceId, u32> {
        let capacity = |state: &ServiceState| {
            let upstreams = state.upstreams.values().filter(|up| !up.is_leaving);
            upstreams.map(|up| up.load.slots().get()).sum()
        };
        let services = self.services.iter();
        services
            .map(|(id, state)| (id.clone(), capacity(state)))
            .collect()
    }

    fn assign_upstream(&mut self, service: &ServiceId, ticket: Ticket) -> Option<StartedRequest> {
        let waiter = self.take_waiter(ticket)?;
        let state = self.services.get_mut(service)?;
        let upstream = choose_upstream(&mut state.upstreams, &waiter.avoided)?;
        let chosen = state.upstreams.get_mut(&upstream)?;
        chosen.load.start();
        Some(StartedRequest {
            ticket,
            service: service.clone(),
            address: chosen.address,
            upstream,
            permit_sender: waiter.permit_sender,
        })
    }

    /// Records the end of a request and frees its slot.
    pub(super) fn release(
        &mut self,
        now: Instant,
        ticket: Ticket,
        service: &ServiceId,
        upstream: &UpstreamId,
        completion: Completion,
    ) {
        self.admission.finish(now, ticket, completion);
        let state = self.services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.upstreams.get_mut(upstream)) {
            upstream.load.end();
        }
    }

    /// Records the latency of an attempt, and whether it succeeded.
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

    /// Returns a copy of the state for the state dump.
    pub(super) fn snapshot(&self, now: Instant) -> DispatchSnapshot {
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
        let admission = self.admission.snapshot(now);
        let rights = admission.rights.teams.iter();
        DispatchSnapshot {
            running_slots_by_team: rights
                .map(|(id, team)| (id.clone(), Slots::new(team.running_slots)))
                .collect(),
            waiting_by_service: self
                .services
                .keys()
                .map(|id| (id.clone(), self.admission.waiting(id) as usize))
                .collect(),
            upstreams: upstreams.collect(),
            admission,
        }
    }
}

fn choose_upstream(
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

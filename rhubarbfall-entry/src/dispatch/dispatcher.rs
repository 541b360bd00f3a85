use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rhubarbfall_admission::{Admission, Completion, Rights, Ticket};
use rhubarbfall_core::{
    Incarnation, LiteMap, ResultCode, ServiceId, SharedClock, Slots, UpstreamId,
};
use rhubarbfall_document::Document;
use tokio::sync::oneshot;

use super::dispatch_state::DispatchState;
use super::{DispatchRequest, DispatchSnapshot, Permit};
use crate::Settings;

/// Starts waiting requests as free slots of upstreams and the teams' limits permit.
#[derive(Debug)]
pub struct Dispatcher {
    state: Mutex<DispatchState>,
    clock: SharedClock,
}

impl Dispatcher {
    /// Creates a dispatcher without services.
    #[must_use]
    pub fn new(clock: SharedClock, settings: &Settings) -> Self {
        let entry = settings.entry.id.clone();
        let rights = Rights::new(
            entry,
            Incarnation::default(),
            settings.limits.rights_settings(),
        );
        let admission = Admission::new(settings.queues.admission_settings(), rights);
        Self {
            state: Mutex::new(DispatchState::new(admission)),
            clock,
        }
    }

    /// Applies the limits and services of a document.
    pub fn configure(self: &Arc<Self>, document: &Document) {
        self.update(|state| state.configure(document));
    }

    /// Sets the upstreams of a service and the slots of each; those no longer listed receive no new
    /// requests.
    pub fn set_upstreams(
        self: &Arc<Self>,
        service: &ServiceId,
        slots: Slots,
        listed: &[(UpstreamId, SocketAddr)],
    ) {
        self.update(|state| state.set_upstreams(service, slots, listed));
    }

    /// Waits until a request may start.
    ///
    /// # Errors
    ///
    /// Returns the reason, with the request not run: it was rejected, no upstream accepts requests, the
    /// deadline has passed or the entry is stopping.
    pub async fn acquire(
        self: &Arc<Self>,
        request: DispatchRequest,
        now: Instant,
    ) -> Result<Permit, ResultCode> {
        let remaining = request.deadline.saturating_duration_since(now);
        let (permit_sender, permit) = oneshot::channel();
        let ticket = self.update(|state| {
            if !state.has_upstream(&request.service) {
                return Err(ResultCode::NoUpstream);
            }
            let enqueued = state.enqueue(now, request, permit_sender);
            enqueued.map_err(|rejection| rejection.code)
        })?;
        let _guard = QueuedRequestGuard {
            dispatcher: self,
            ticket,
        };
        tokio::time::timeout(remaining, permit)
            .await
            .map_err(|_| ResultCode::DeadlinePassed)?
            .map_err(|_| ResultCode::EntryStopping)?
    }

    /// Records the latency of an attempt, and whether it succeeded.
    pub fn observe(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        latency: Duration,
        is_success: bool,
    ) {
        let mut state = self.state.lock();
        state.observe(service, upstream, latency, is_success);
    }

    pub(super) fn release(
        self: &Arc<Self>,
        ticket: Ticket,
        service: &ServiceId,
        upstream: &UpstreamId,
        completion: Completion,
    ) {
        let now = self.clock.now();
        self.update(|state| state.release(now, ticket, service, upstream, completion));
    }

    /// Changes queues and rights, then starts the requests that may start.
    pub(crate) fn with_admission<T>(
        self: &Arc<Self>,
        change: impl FnOnce(&mut Admission) -> T,
    ) -> T {
        self.update(|state| change(&mut state.admission))
    }

    /// Returns the total slots of the upstreams that accept new requests, by service.
    pub(crate) fn capacity_slots(&self) -> LiteMap<ServiceId, u32> {
        self.state.lock().capacity_slots()
    }

    /// Returns a copy of the state for the state dump.
    #[must_use]
    pub fn snapshot(&self) -> DispatchSnapshot {
        self.state.lock().snapshot(self.clock.now())
    }

    /// Changes the state and delivers the resulting permits and rejections.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut DispatchState) -> T) -> T {
        let (result, decisions, now) = {
            let mut state = self.state.lock();
            let result = change(&mut state);
            let now = self.clock.now();
            (result, state.start_waiting(now), now)
        };
        for (permit_sender, code) in decisions.rejections {
            drop(permit_sender.send(Err(code)));
        }
        for start in decisions.starts {
            let permit = Permit {
                dispatcher: Arc::clone(self),
                ticket: start.ticket,
                service: start.service,
                upstream: start.upstream,
                address: start.address,
                granted_at: now,
                is_running: AtomicBool::new(false),
            };
            // If the waiter has given up, the permit is dropped and thereby released.
            drop(start.permit_sender.send(Ok(permit)));
        }
        result
    }
}

/// Removes a request from its queue if its waiter gives up.
struct QueuedRequestGuard<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    ticket: Ticket,
}

impl Drop for QueuedRequestGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.update(|state| state.cancel(self.ticket));
    }
}

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rhubarbfall_core::{ResultCode, ServiceId, Slots, TeamId, UpstreamId};
use rhubarbfall_document::Document;
use tokio::sync::oneshot;

use super::dispatch_state::DispatchState;
use super::{DispatchSnapshot, Permit, Work};

/// Lets waiting requests start as upstreams and teams' limits have room.
#[derive(Debug, Default)]
pub struct Dispatcher {
    state: Mutex<DispatchState>,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no service yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the limits and services of a document.
    pub fn configure(self: &Arc<Self>, document: &Document) {
        self.update(|state| state.configure(document));
    }

    /// Takes the upstreams of one service.
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
    /// A result code whose work did not run: the queue is full, no upstream takes work, or the
    /// deadline passed.
    pub async fn acquire(self: &Arc<Self>, work: Work, now: Instant) -> Result<Permit, ResultCode> {
        let remaining = work.deadline.saturating_duration_since(now);
        let (reply, permit) = oneshot::channel();
        self.update(|state| {
            if !state.has_upstream(&work.service) {
                return Err(ResultCode::NoUpstream);
            }
            state.push(work, reply).map_err(|_| ResultCode::QueueFull)
        })?;
        tokio::time::timeout(remaining, permit)
            .await
            .map_err(|_| ResultCode::DeadlinePassed)?
            .map_err(|_| ResultCode::EntryStopping)
    }

    /// Takes how long an upstream took for an answer, or that there was none.
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
        team: &TeamId,
        service: &ServiceId,
        upstream: &UpstreamId,
    ) {
        self.update(|state| state.release(team, service, upstream));
    }

    /// Copies the state for the dump.
    #[must_use]
    pub fn snapshot(&self) -> DispatchSnapshot {
        self.state.lock().snapshot()
    }

    /// Changes the state and delivers every start that the change allows.
    fn update<T>(self: &Arc<Self>, change: impl FnOnce(&mut DispatchState) -> T) -> T {
        let (result, starts) = {
            let mut state = self.state.lock();
            let result = change(&mut state);
            (result, state.pump())
        };
        for start in starts {
            let permit = Permit {
                dispatcher: Arc::clone(self),
                team: start.work.team,
                service: start.work.service,
                upstream: start.upstream,
                address: start.address,
            };
            // A waiter that has given up drops the permit, which releases it.
            drop(start.reply.send(permit));
        }
        result
    }
}

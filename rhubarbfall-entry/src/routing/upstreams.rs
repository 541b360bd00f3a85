use std::net::SocketAddr;
use std::time::Instant;

use parking_lot::Mutex;
use rhubarbfall_core::{LiteMap, ServiceId, SharedClock, UpstreamId};
use rhubarbfall_routing::{
    FailedAttempt, HealthReport, RetryDecision, RetryPolicy, UpstreamHealthSnapshot, UpstreamWatch,
};

use crate::Shared;

/// The health of upstreams and the retry policies of services, shared by all threads.
#[derive(Debug)]
pub struct Upstreams {
    clock: SharedClock,
    watch: Mutex<UpstreamWatch>,
    retries: Mutex<LiteMap<ServiceId, RetryPolicy>>,
    /// The usable upstreams last sent to the dispatcher.
    sent_to_dispatcher: Mutex<LiteMap<ServiceId, Vec<(UpstreamId, SocketAddr)>>>,
}

impl Upstreams {
    /// Creates an instance without upstreams.
    #[must_use]
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            watch: Mutex::new(UpstreamWatch::new()),
            retries: Mutex::new(LiteMap::new()),
            sent_to_dispatcher: Mutex::new(LiteMap::new()),
        }
    }

    /// Sets the live upstreams of a service, as listed by the platform.
    pub fn set_listed(&self, service: &ServiceId, listed: &[(UpstreamId, SocketAddr)]) {
        self.watch.lock().set_listed(service, listed);
    }

    /// Records a notice of the availability zone that an upstream is leaving.
    pub fn on_leaving_notice(&self, upstream: &UpstreamId) {
        self.watch
            .lock()
            .on_leaving_notice(self.clock.now(), upstream);
    }

    /// Records a response in which an upstream announced that it is leaving.
    pub fn on_leaving_response(&self, upstream: &UpstreamId) {
        self.watch
            .lock()
            .on_leaving_response(self.clock.now(), upstream);
    }

    /// Returns whether an upstream accepts requests now.
    #[must_use]
    pub fn is_usable(&self, upstream: &UpstreamId) -> bool {
        self.watch.lock().is_usable(self.clock.now(), upstream)
    }

    /// Returns whether a service has an upstream that was serving at its last health check,
    /// whatever the age of that check.
    #[must_use]
    pub fn has_candidate(&self, service: &ServiceId) -> bool {
        self.watch.lock().has_candidate(self.clock.now(), service)
    }

    /// Records the outcome of an attempt that was sent at `sent_at`.
    pub fn on_attempt(
        &self,
        service: &ServiceId,
        upstream: &UpstreamId,
        sent_at: Instant,
        is_success: bool,
    ) {
        let now = self.clock.now();
        let mut watch = self.watch.lock();
        watch.on_attempt(now, upstream, sent_at, is_success);
        drop(watch);
        if is_success {
            self.with_policy(service, RetryPolicy::on_success);
        }
    }

    /// Decides whether a failed attempt is retried, and after which delay.
    #[must_use]
    pub fn decide(&self, service: &ServiceId, attempt: FailedAttempt) -> RetryDecision {
        let now = self.clock.now();
        self.with_policy(service, |policy| policy.decide(now, attempt))
    }

    /// Sets the usable upstreams at the dispatcher, for each service whose set has changed.
    pub fn update_dispatcher(&self, shared: &Shared) {
        let now = self.clock.now();
        let Some(document) = shared.document.load_full() else {
            return;
        };
        let mut sent_to_dispatcher = self.sent_to_dispatcher.lock();
        for service in &document.fleet.services {
            let mut usable = self.watch.lock().usable(now, &service.id);
            usable.retain(|(id, _)| !document.is_drained(id));
            if sent_to_dispatcher.get(&service.id) == Some(&usable) {
                continue;
            }
            log::info!(
                "event=upstreams service={} usable={}",
                service.id,
                usable.len()
            );
            let slots = service.slots_per_upstream;
            shared.dispatcher.set_upstreams(&service.id, slots, &usable);
            sent_to_dispatcher.insert(service.id.clone(), usable);
        }
    }

    /// Returns the health of all upstreams for the state dump.
    #[must_use]
    pub fn snapshot(&self) -> Vec<UpstreamHealthSnapshot> {
        self.watch.lock().snapshot(self.clock.now())
    }

    pub(super) fn take_due_checks(&self) -> Vec<(UpstreamId, SocketAddr)> {
        self.watch.lock().take_due_checks(self.clock.now())
    }

    pub(super) fn on_health(&self, upstream: &UpstreamId, sent_at: Instant, report: HealthReport) {
        let now = self.clock.now();
        let mut watch = self.watch.lock();
        watch.on_health(now, upstream, sent_at, report);
    }

    fn with_policy<T>(&self, service: &ServiceId, change: impl FnOnce(&mut RetryPolicy) -> T) -> T {
        let mut retries = self.retries.lock();
        if !retries.contains_key(service) {
            retries.insert(service.clone(), RetryPolicy::new(rand::random()));
        }
        let policy = retries
            .get_mut(service)
            .expect("the policy was inserted above");
        change(policy)
    }
}

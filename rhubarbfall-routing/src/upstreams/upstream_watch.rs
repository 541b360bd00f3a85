use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, ServiceId, UpstreamId};

use super::watched_upstream::WatchedUpstream;
use super::{HealthReport, UpstreamHealthSnapshot};

/// Interval between health checks of an upstream.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks which upstreams may receive new work.
///
/// An upstream receives work only while three sources allow it: the platform's list, the notices of
/// the availability zone, and a recent response of the upstream itself.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_core::{ServiceId, UpstreamId};
/// use rhubarbfall_routing::{HealthReport, UpstreamWatch};
///
/// let now = Instant::now();
/// let service: ServiceId = "labels".parse()?;
/// let upstream: UpstreamId = "labels-1".parse()?;
/// let mut watch = UpstreamWatch::new();
/// watch.set_listed(&service, &[(upstream.clone(), ([127, 0, 0, 1], 80).into())]);
/// assert!(!watch.is_usable(now, &upstream));
/// watch.on_health(now, &upstream, now, HealthReport::Serving);
/// assert!(watch.is_usable(now, &upstream));
/// assert!(!watch.is_usable(now + Duration::from_secs(3), &upstream));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Default)]
pub struct UpstreamWatch {
    upstreams: LiteMap<UpstreamId, WatchedUpstream>,
    services: LiteMap<ServiceId, Vec<UpstreamId>>,
}

impl UpstreamWatch {
    /// Creates a watch without upstreams.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the live upstreams of a service, as listed by the platform; an upstream that no service
    /// lists any more is removed.
    pub fn set_listed(&mut self, service: &ServiceId, listed: &[(UpstreamId, SocketAddr)]) {
        let ids = listed.iter().map(|(id, _)| id.clone()).collect();
        self.services.insert(service.clone(), ids);
        for (id, address) in listed {
            let known = self.upstreams.get(id);
            if known.is_none_or(|known| known.address != *address) {
                self.upstreams
                    .insert(id.clone(), WatchedUpstream::new(*address));
            }
        }
        let services = &self.services;
        for (id, upstream) in &mut self.upstreams {
            upstream.is_listed = services.values().any(|ids| ids.contains(id));
        }
        self.upstreams.retain(|_, upstream| upstream.is_listed);
    }

    /// Records a notice of the availability zone that an upstream is leaving.
    pub fn on_leaving_notice(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.on_leaving_notice(now);
        }
    }

    /// Records the result of a health check that was sent at `sent_at`.
    pub fn on_health(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        sent_at: Instant,
        report: HealthReport,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.on_health(now, sent_at, report);
        }
    }

    /// Records a response in which the upstream announced that it closes its connections.
    pub fn on_leaving_response(&mut self, now: Instant, upstream: &UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.on_leaving_response(now);
        }
    }

    /// Records the outcome of an attempt that was sent at `sent_at`.
    pub fn on_attempt(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        sent_at: Instant,
        is_success: bool,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream) else {
            return;
        };
        if is_success {
            upstream.on_success();
            upstream.confirm_serving(sent_at);
        } else {
            upstream.on_failure(now);
        }
    }

    /// Returns the upstreams whose health check is due, and records the checks as sent.
    pub fn take_due_checks(&mut self, now: Instant) -> Vec<(UpstreamId, SocketAddr)> {
        let mut due = Vec::new();
        for (id, upstream) in &mut self.upstreams {
            let is_due = upstream
                .last_check
                .is_none_or(|at| now.saturating_duration_since(at) >= CHECK_INTERVAL);
            if is_due {
                upstream.last_check = Some(now);
                due.push((id.clone(), upstream.address));
            }
        }
        due
    }

    /// Returns whether an upstream takes work, ejected or not.
    ///
    /// Call this right before sending a request.
    #[must_use]
    pub fn is_usable(&self, now: Instant, upstream: &UpstreamId) -> bool {
        let upstream = self.upstreams.get(upstream);
        upstream.is_some_and(|upstream| upstream.is_serving(now))
    }

    /// Returns the upstreams of a service that may receive new work, in ascending order.
    ///
    /// Ejection excludes at most half of the serving upstreams; those whose ejection ends first
    /// stay included.
    #[must_use]
    pub fn usable(&self, now: Instant, service: &ServiceId) -> Vec<(UpstreamId, SocketAddr)> {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut serving: Vec<(&UpstreamId, &WatchedUpstream)> = ids
            .iter()
            .filter_map(|id| Some((id, self.upstreams.get(id)?)))
            .filter(|(_, upstream)| upstream.is_serving(now))
            .collect();
        serving.sort_by_key(|(_, upstream)| upstream.ejected_until.filter(|until| now < *until));
        let ejected = serving
            .iter()
            .filter(|(_, upstream)| upstream.is_ejected(now))
            .count();
        let excluded = ejected.min(serving.len() / 2);
        serving.truncate(serving.len() - excluded);
        let mut usable: Vec<(UpstreamId, SocketAddr)> = serving
            .into_iter()
            .map(|(id, upstream)| (id.clone(), upstream.address))
            .collect();
        usable.sort();
        usable
    }

    /// Returns whether a service has an upstream that was serving at its last health check, even if
    /// that check is too old for the upstream to be used before the next one.
    #[must_use]
    pub fn has_candidate(&self, now: Instant, service: &ServiceId) -> bool {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let mut upstreams = ids.iter().filter_map(|id| self.upstreams.get(id));
        upstreams.any(|upstream| upstream.is_candidate(now))
    }

    /// Returns the services whose upstreams are tracked.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        self.services.keys().cloned().collect()
    }

    /// Returns the health of all upstreams for the state dump.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Vec<UpstreamHealthSnapshot> {
        self.upstreams
            .iter()
            .map(|(id, upstream)| upstream.snapshot(now, id))
            .collect()
    }
}

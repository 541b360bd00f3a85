use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rhubarbfall_core::UpstreamId;
use serde::Serialize;

/// Age from which a confirmation that an upstream serves is ignored, so that a lost notice or a
/// paused process cannot prolong the use of an upstream that is leaving.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_500);

/// How long a notice overrides the platform's list, which may lag by 30 s.
const NOTICE_VALIDITY: Duration = Duration::from_secs(45);

/// Number of consecutive failures that eject an upstream.
const FAILURES_TO_EJECT: u32 = 5;

/// Duration of the first ejection; each further one lasts twice as long as the one before.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// Maximum number of times that the duration of an ejection doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// The result of a health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// The upstream takes work.
    Serving,
    /// The upstream responded that it takes no new work.
    Leaving,
    /// The upstream did not respond, not even on a new connection.
    Silent,
}

/// The health of one upstream in the state dump.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamHealthSnapshot {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Address to which requests and health checks are sent.
    pub address: SocketAddr,
    /// Whether it takes work, ejected or not.
    pub is_usable: bool,
    /// Whether the list, a notice or the upstream itself says that it is leaving.
    pub is_leaving: bool,
    /// Whether it is ejected because of consecutive failures.
    pub is_ejected: bool,
    /// Result of the last health check; `None` before the first.
    pub last_report: Option<HealthReport>,
}

/// The health of one upstream, from all sources.
#[derive(Debug)]
pub(super) struct WatchedUpstream {
    pub(super) address: SocketAddr,
    pub(super) is_listed: bool,
    pub(super) last_check: Option<Instant>,
    last_report: Option<HealthReport>,
    /// The latest time at which the upstream is known to have taken work.
    confirmed_at: Option<Instant>,
    /// When the upstream itself last reported that it is leaving.
    leaving_reported_at: Option<Instant>,
    notice_expires_at: Option<Instant>,
    failures: u32,
    ejections: u32,
    pub(super) ejected_until: Option<Instant>,
}

impl WatchedUpstream {
    pub(super) const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            is_listed: true,
            last_check: None,
            last_report: None,
            confirmed_at: None,
            leaving_reported_at: None,
            notice_expires_at: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Records the result of a health check that was sent at `sent_at`.
    pub(super) fn on_health(&mut self, now: Instant, sent_at: Instant, report: HealthReport) {
        self.last_report = Some(report);
        match report {
            HealthReport::Serving => self.confirm_serving(sent_at),
            HealthReport::Leaving => self.on_leaving_response(now),
            HealthReport::Silent => self.confirmed_at = None,
        }
    }

    /// Records that the upstream was serving at `at`, unless it has reported since then that it is
    /// leaving.
    pub(super) fn confirm_serving(&mut self, at: Instant) {
        if self
            .leaving_reported_at
            .is_some_and(|reported_at| reported_at >= at)
        {
            return;
        }
        self.leaving_reported_at = None;
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    pub(super) const fn on_leaving_response(&mut self, now: Instant) {
        self.leaving_reported_at = Some(now);
        self.confirmed_at = None;
    }

    pub(super) fn on_leaving_notice(&mut self, now: Instant) {
        self.notice_expires_at = Some(now + NOTICE_VALIDITY);
    }

    pub(super) const fn on_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    pub(super) fn on_failure(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.failures += 1;
        if self.failures >= FAILURES_TO_EJECT {
            let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * (1 << doublings));
            self.ejections += 1;
            // After the ejection, a single further failure ejects the upstream again.
            self.failures = FAILURES_TO_EJECT - 1;
        }
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_leaving(&self, now: Instant) -> bool {
        let has_notice = self.notice_expires_at.is_some_and(|until| now < until);
        !self.is_listed || has_notice || self.leaving_reported_at.is_some()
    }

    /// Returns whether the upstream takes work, ejected or not.
    pub(super) fn is_serving(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < CONFIRMATION_MAX_AGE;
        !self.is_leaving(now) && self.confirmed_at.is_some_and(is_recent)
    }

    pub(super) fn is_candidate(&self, now: Instant) -> bool {
        self.last_report == Some(HealthReport::Serving) && !self.is_leaving(now)
    }

    pub(super) fn snapshot(&self, now: Instant, upstream: &UpstreamId) -> UpstreamHealthSnapshot {
        UpstreamHealthSnapshot {
            upstream: upstream.clone(),
            address: self.address,
            is_usable: self.is_serving(now),
            is_leaving: self.is_leaving(now),
            is_ejected: self.is_ejected(now),
            last_report: self.last_report,
        }
    }
}

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rhubarbfall_core::UpstreamId;
use serde::Serialize;

/// How long ago an upstream must have said that it serves; older word counts for nothing, so that
/// a lost notice or a paused process cannot prolong the use of one that leaves.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(2_500);

/// How long a notice outweighs the platform's list, which may lag by 30 s.
const NOTICE_VALIDITY: Duration = Duration::from_secs(45);

/// How many failures in a row eject an upstream.
const FAILURES_TO_EJECT: u32 = 5;

/// How long the first ejection lasts; each further one lasts twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(2);

/// How often the length of an ejection doubles at most.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// What an upstream's health check gave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HealthReport {
    /// It takes work.
    Serving,
    /// It says that it takes no work.
    Leaving,
    /// It did not answer, on a new connection either.
    Silent,
}

/// One upstream as the state dump shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UpstreamHealthSnapshot {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it may get new work.
    pub is_usable: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Whether it is ejected for its failures.
    pub is_ejected: bool,
    /// The last health check.
    pub last_report: Option<HealthReport>,
}

/// What is known of one upstream.
#[derive(Debug)]
pub(super) struct WatchedUpstream {
    pub(super) address: SocketAddr,
    pub(super) is_listed: bool,
    pub(super) last_check: Option<Instant>,
    last_report: Option<HealthReport>,
    /// The latest instant for which it is known that the upstream took work.
    confirmed_at: Option<Instant>,
    /// When it said itself that it leaves.
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

    /// Takes the result of a check that was sent at `sent_at`.
    pub(super) fn on_health(&mut self, now: Instant, sent_at: Instant, report: HealthReport) {
        self.last_report = Some(report);
        match report {
            HealthReport::Serving => self.confirm_serving(sent_at),
            HealthReport::Leaving => self.on_leaving_response(now),
            HealthReport::Silent => self.confirmed_at = None,
        }
    }

    /// Counts word that it served at `at`, unless it has said since then that it leaves.
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
            // One more failure after the return ejects it again.
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

    /// Returns whether the upstream takes work, whatever its failures.
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

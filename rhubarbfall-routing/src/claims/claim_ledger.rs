use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::LiteMap;
use rhubarbfall_core::RowVersion;

use super::claim_index::ClaimHolder;
use super::claim_log_view::ClaimLogView;
use super::{
    ClaimAction, ClaimKey, ClaimLedgerSnapshot, ClaimLogBase, ClaimSegment, ClaimSettings,
    ClaimVerdict,
};

/// Maximum age of a read at which an append or a trim is still likely to succeed.
const READ_FRESHNESS: Duration = Duration::from_millis(20);

/// Interval between reads while nothing is claimed, so that the first claim has little to read.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of segments that one trim deletes.
const MAX_SEGMENTS_PER_TRIM: usize = 64;

/// The outcome of a write to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write took effect.
    Committed,
    /// A condition failed; the write has not taken effect and never will.
    Conflict,
    /// No response arrived; the write may have taken effect or may still do so.
    Unknown,
}

/// An append whose outcome is not yet known.
#[derive(Debug)]
struct PendingAppend {
    base_version: RowVersion,
    segment: ClaimSegment,
    write_started_at: Instant,
    /// When the caller of each claim began to wait; `None` once it has timed out.
    waiting_since: LiteMap<ClaimKey, Option<Instant>>,
    /// Whether a condition failed; the next read shows whether an earlier attempt took effect.
    is_conflicted: bool,
}

/// Decides which non-idempotent requests this process may run, by claiming them in the shared log.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_routing::{ClaimAction, ClaimKey, ClaimLedger, ClaimSettings};
///
/// let now = Instant::now();
/// let mut ledger = ClaimLedger::new(now, "zone-a-entry-1/1", ClaimSettings::default());
/// let key = ClaimKey::new("house-a", &"req-7f3a".parse()?);
/// assert_eq!(ledger.claim(now, key), None);
/// assert_eq!(ledger.next_action(now), Some(ClaimAction::Read { from: None }));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug)]
pub struct ClaimLedger {
    settings: ClaimSettings,
    appender: Arc<str>,
    view: ClaimLogView,
    is_loaded: bool,
    is_base_absent: bool,
    must_read: bool,
    has_action_in_flight: bool,
    is_append_in_flight: bool,
    has_read_for_write: bool,
    waiting_claims: LiteMap<ClaimKey, Instant>,
    pending_append: Option<PendingAppend>,
    waiting_releases: Vec<ClaimKey>,
    verdicts: Vec<(ClaimKey, ClaimVerdict)>,
    append_number: u64,
    append_tokens: f64,
    tokens_refilled_at: Instant,
    last_read: Option<Instant>,
    next_trim: Instant,
    retry_at: Option<Instant>,
    table_failing_since: Option<Instant>,
    appends: u64,
    conflicts: u64,
}

impl ClaimLedger {
    /// Creates the ledger of a process; `appender` identifies the process and its incarnation.
    #[must_use]
    pub fn new(now: Instant, appender: impl Into<Arc<str>>, settings: ClaimSettings) -> Self {
        Self {
            settings,
            appender: appender.into(),
            view: ClaimLogView::new(),
            is_loaded: false,
            is_base_absent: false,
            must_read: true,
            has_action_in_flight: false,
            is_append_in_flight: false,
            has_read_for_write: false,
            waiting_claims: LiteMap::new(),
            pending_append: None,
            waiting_releases: Vec::new(),
            verdicts: Vec::new(),
            append_number: 0,
            append_tokens: f64::from(settings.append_burst),
            tokens_refilled_at: now,
            last_read: None,
            next_trim: now + Duration::from_millis(settings.trim_interval_ms),
            retry_at: None,
            table_failing_since: None,
            appends: 0,
            conflicts: 0,
        }
    }

    /// Claims a request; returns the verdict if it is known already, otherwise
    /// [`Self::take_verdicts`] returns it later.
    pub fn claim(&mut self, now: Instant, key: ClaimKey) -> Option<ClaimVerdict> {
        if let Some(claim) = self.view.get(key) {
            return Some(self.claim_known_key(now, key, claim.holder));
        }
        if let Some(pending) = &mut self.pending_append
            && let Some(since) = pending.waiting_since.get_mut(&key)
        {
            if since.is_some() {
                return Some(ClaimVerdict::Duplicate);
            }
            *since = Some(now);
            return None;
        }
        if self.waiting_claims.contains_key(&key) {
            return Some(ClaimVerdict::Duplicate);
        }
        if self.waiting_claims.len() >= self.settings.max_waiting_claims || self.is_table_down(now)
        {
            return Some(ClaimVerdict::Unchecked);
        }
        self.waiting_claims.insert(key, now);
        None
    }

    /// Releases the claim of a granted request that certainly has not run, so that a retry may run.
    pub fn release(&mut self, key: ClaimKey) {
        let is_own = self
            .view
            .get(key)
            .is_some_and(|claim| claim.holder == ClaimHolder::Own);
        if is_own {
            self.view.set_holder(key, ClaimHolder::OwnNotRun);
            self.waiting_releases.push(key);
        }
    }

    /// Returns whether a granted request may still start.
    ///
    /// A process that was paused must not start a request whose claim another process may have
    /// trimmed from the log.
    #[must_use]
    pub fn may_start(&self, now: Instant, key: ClaimKey) -> bool {
        let Some(claim) = self.view.get(key) else {
            return false;
        };
        let is_recent = |from: Instant| now.saturating_duration_since(from) < self.grant_validity();
        claim.holder == ClaimHolder::Own
            && self.view.write_started_at(&claim).is_some_and(is_recent)
    }

    /// Returns the verdicts reached since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(ClaimKey, ClaimVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Ends claims that have waited for the maximum time, with [`ClaimVerdict::Unchecked`].
    pub fn expire(&mut self, now: Instant) {
        let max_wait = self.settings.max_wait();
        let is_late = |since: Instant| now.saturating_duration_since(since) >= max_wait;
        let late: Vec<ClaimKey> = self
            .waiting_claims
            .iter()
            .filter(|(_, since)| is_late(**since))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.waiting_claims.remove(&key);
            self.verdicts.push((key, ClaimVerdict::Unchecked));
        }
        let Some(pending) = &mut self.pending_append else {
            return;
        };
        for (key, since) in pending.waiting_since.iter_mut() {
            if since.is_some_and(is_late) {
                *since = None;
                self.verdicts.push((*key, ClaimVerdict::Unchecked));
            }
        }
    }

    /// Returns the next table operation, or `None` if nothing is due, a result is still awaited or
    /// the retry interval has not passed.
    pub fn next_action(&mut self, now: Instant) -> Option<ClaimAction> {
        let is_backing_off = self.retry_at.is_some_and(|at| now < at);
        if self.has_action_in_flight || is_backing_off {
            return None;
        }
        let action = self.select_action(now);
        self.has_action_in_flight = action.is_some();
        self.is_append_in_flight = matches!(action, Some(ClaimAction::Append { .. }));
        action
    }

    /// Applies the result of a read: the base row if it exists, and segments in ascending order.
    ///
    /// `is_end` states that the log had no further segments.
    pub fn on_read(
        &mut self,
        now: Instant,
        base: Option<(RowVersion, ClaimLogBase)>,
        segments: &[ClaimSegment],
        is_end: bool,
    ) {
        self.on_table_response();
        let Some((version, base)) = base else {
            self.is_base_absent = true;
            return;
        };
        self.view.set_base(version, base);
        for segment in segments {
            self.apply(now, segment);
        }
        if !is_end {
            return;
        }
        self.is_loaded = true;
        self.must_read = false;
        self.last_read = Some(now);
        self.requeue_conflicted(now);
        self.resolve_duplicates();
    }

    /// Records that a read failed; the ledger retries after the configured interval.
    pub fn on_read_failed(&mut self, now: Instant) {
        self.on_table_failure(now);
    }

    /// Applies the outcome of a write.
    pub fn on_commit(&mut self, now: Instant, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Unknown => self.on_table_failure(now),
            CommitOutcome::Conflict => {
                self.on_table_response();
                self.must_read = true;
                if let Some(pending) = self
                    .pending_append
                    .as_mut()
                    .filter(|_| self.is_append_in_flight)
                {
                    pending.is_conflicted = true;
                    self.conflicts += 1;
                }
            }
            CommitOutcome::Committed => {
                self.on_table_response();
                match &self.pending_append {
                    Some(pending) if self.is_append_in_flight => {
                        let segment = pending.segment.clone();
                        self.apply(now, &segment);
                    }
                    _ => self.must_read = true,
                }
            }
        }
    }

    /// Returns a summary for the state dump.
    #[must_use]
    pub fn snapshot(&self) -> ClaimLedgerSnapshot {
        ClaimLedgerSnapshot {
            is_loaded: self.is_loaded,
            first: self.view.first(),
            tail: self.view.next_sequence() - 1,
            taken_requests: self.view.taken_requests(),
            waiting_claims: self.waiting_claims.len(),
            appending_claims: self
                .pending_append
                .as_ref()
                .map_or(0, |pending| pending.segment.claims.len()),
            waiting_releases: self.waiting_releases.len(),
            appends: self.appends,
            conflicts: self.conflicts,
        }
    }

    const fn grant_validity(&self) -> Duration {
        Duration::from_millis(self.settings.window_ms / 2)
    }

    fn is_table_down(&self, now: Instant) -> bool {
        self.table_failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.settings.max_wait())
    }

    fn claim_known_key(
        &mut self,
        now: Instant,
        key: ClaimKey,
        holder: ClaimHolder,
    ) -> ClaimVerdict {
        let is_releasing = self
            .pending_append
            .as_ref()
            .is_some_and(|pending| pending.segment.releases.contains(&key));
        match holder {
            ClaimHolder::Other | ClaimHolder::Own => ClaimVerdict::Duplicate,
            ClaimHolder::OwnNotRun if is_releasing => ClaimVerdict::Unchecked,
            ClaimHolder::OwnNotRun => {
                self.waiting_releases.retain(|release| *release != key);
                self.view.set_holder(key, ClaimHolder::Own);
                if self.may_start(now, key) {
                    return ClaimVerdict::Granted;
                }
                self.release(key);
                ClaimVerdict::Unchecked
            }
        }
    }

    fn select_action(&mut self, now: Instant) -> Option<ClaimAction> {
        if std::mem::take(&mut self.is_base_absent) {
            return Some(ClaimAction::CreateBase);
        }
        if self.must_read || !self.is_loaded {
            return Some(self.read_action());
        }
        if let Some(pending) = &self.pending_append {
            return Some(ClaimAction::Append {
                base_version: pending.base_version,
                segment: pending.segment.clone(),
            });
        }
        let trim_target = self.due_trim(now);
        let wants_append = self.wants_append(now);
        if wants_append || trim_target.is_some() {
            let is_fresh = self.has_read_for_write || self.has_read_within(now, READ_FRESHNESS);
            self.has_read_for_write = !is_fresh;
            if !is_fresh {
                return Some(self.read_action());
            }
        }
        if wants_append {
            return self.append_action(now);
        }
        if let Some(new_first) = trim_target {
            return self.trim_action(now, new_first);
        }
        let is_idle_read_due = !self.has_read_within(now, IDLE_READ_INTERVAL);
        is_idle_read_due.then(|| self.read_action())
    }

    fn read_action(&self) -> ClaimAction {
        ClaimAction::Read {
            from: self.view.base_version().map(|_| self.view.next_sequence()),
        }
    }

    fn has_read_within(&self, now: Instant, limit: Duration) -> bool {
        self.last_read
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    fn due_trim(&self, now: Instant) -> Option<u64> {
        if now < self.next_trim {
            return None;
        }
        self.view
            .trim_target(now, self.settings.window(), MAX_SEGMENTS_PER_TRIM)
    }

    fn wants_append(&mut self, now: Instant) -> bool {
        let interval_ms = self.settings.append_interval_ms.max(1) as f64;
        let elapsed = now.saturating_duration_since(self.tokens_refilled_at);
        let refill = elapsed.as_secs_f64() * 1000.0 / interval_ms;
        let burst = f64::from(self.settings.append_burst);
        self.append_tokens = (self.append_tokens + refill).min(burst);
        self.tokens_refilled_at = now;
        let has_work = !self.waiting_claims.is_empty() || !self.waiting_releases.is_empty();
        has_work && self.append_tokens >= 1.0
    }

    fn append_action(&mut self, now: Instant) -> Option<ClaimAction> {
        let base_version = self.view.base_version()?;
        let limit = self.settings.max_claims_per_append;
        let claims: Vec<ClaimKey> = self.waiting_claims.keys().copied().take(limit).collect();
        let mut waiting_since = LiteMap::new();
        for key in &claims {
            waiting_since.insert(*key, self.waiting_claims.remove(key));
        }
        let view = &self.view;
        let is_own_not_run = |key: &ClaimKey| {
            let holder = view.get(*key).map(|claim| claim.holder);
            holder == Some(ClaimHolder::OwnNotRun)
        };
        let releases = std::mem::take(&mut self.waiting_releases)
            .into_iter()
            .filter(is_own_not_run)
            .collect();
        self.append_number += 1;
        self.append_tokens -= 1.0;
        let segment = ClaimSegment {
            sequence: self.view.next_sequence(),
            appender: self.appender.clone(),
            append_number: self.append_number,
            claims,
            releases,
        };
        self.pending_append = Some(PendingAppend {
            base_version,
            segment: segment.clone(),
            write_started_at: now,
            waiting_since,
            is_conflicted: false,
        });
        Some(ClaimAction::Append {
            base_version,
            segment,
        })
    }

    fn trim_action(&mut self, now: Instant, new_first: u64) -> Option<ClaimAction> {
        self.next_trim = now + Duration::from_millis(self.settings.trim_interval_ms);
        Some(ClaimAction::Trim {
            base_version: self.view.base_version()?,
            first: self.view.first(),
            new_first,
        })
    }

    fn apply(&mut self, now: Instant, segment: &ClaimSegment) {
        let is_own_append = |pending: &PendingAppend| {
            pending.segment.appender == segment.appender
                && pending.segment.append_number == segment.append_number
        };
        let is_own = self.pending_append.as_ref().is_some_and(is_own_append);
        let write_started_at = self
            .pending_append
            .as_ref()
            .map(|pending| pending.write_started_at);
        let write_started_at = write_started_at.filter(|_| is_own);
        if !self.view.apply(now, segment, write_started_at) || !is_own {
            return;
        }
        self.appends += 1;
        let Some(pending) = self.pending_append.take() else {
            return;
        };
        for (key, since) in pending.waiting_since.iter() {
            match since {
                Some(_) => self.verdicts.push((*key, ClaimVerdict::Granted)),
                None => self.release(*key),
            }
        }
    }

    /// Requeues the claims and releases of an append that certainly did not take effect.
    fn requeue_conflicted(&mut self, now: Instant) {
        let Some(pending) = self.pending_append.take_if(|pending| pending.is_conflicted) else {
            return;
        };
        self.append_tokens += 1.0;
        self.tokens_refilled_at = now;
        for (key, since) in pending.waiting_since.iter() {
            if let Some(since) = since {
                self.waiting_claims.insert(*key, *since);
            }
        }
        self.waiting_releases.extend(pending.segment.releases);
    }

    fn resolve_duplicates(&mut self) {
        let taken: Vec<ClaimKey> = self
            .waiting_claims
            .keys()
            .copied()
            .filter(|key| self.view.get(*key).is_some())
            .collect();
        for key in taken {
            self.waiting_claims.remove(&key);
            self.verdicts.push((key, ClaimVerdict::Duplicate));
        }
    }

    fn on_table_response(&mut self) {
        self.has_action_in_flight = false;
        self.retry_at = None;
        self.table_failing_since = None;
    }

    fn on_table_failure(&mut self, now: Instant) {
        self.has_action_in_flight = false;
        self.table_failing_since.get_or_insert(now);
        self.retry_at = Some(now + Duration::from_millis(self.settings.retry_interval_ms));
    }
}

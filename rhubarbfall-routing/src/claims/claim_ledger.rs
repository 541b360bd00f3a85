use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::LiteMap;
use rhubarbfall_core::RowVersion;

use super::claim_index::ClaimHolder;
use super::claim_log_view::ClaimLogView;
use super::{
    ClaimAction, ClaimKey, ClaimLedgerState, ClaimLogBase, ClaimSegment, ClaimSettings,
    ClaimVerdict,
};

/// How long a read of the log counts as fresh enough for an append to be likely to succeed.
const READ_FRESHNESS: Duration = Duration::from_millis(20);

/// The time between two reads while nothing is claimed, so that the first claim has little to read.
const IDLE_READ_INTERVAL: Duration = Duration::from_secs(5);

/// How many segments one removal takes.
const MAX_SEGMENTS_PER_TRIM: usize = 64;

/// What became of a write at the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write took effect.
    Committed,
    /// A condition failed; the write did not take effect and never will.
    Conflict,
    /// No answer came; the write may take effect.
    Unknown,
}

/// An append that was handed to the table.
#[derive(Debug)]
struct Appending {
    base_version: RowVersion,
    segment: ClaimSegment,
    written_from: Instant,
    /// Since when each claim has had a caller that waits; absent once it gave up.
    waiting_since: LiteMap<ClaimKey, Option<Instant>>,
    /// Whether a condition failed, so that the next read tells what became of the append.
    is_conflicted: bool,
}

/// Decides which non-idempotent requests this process may run.
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
/// assert_eq!(ledger.begin(now, key), None);
/// assert_eq!(ledger.action(now), Some(ClaimAction::Read { from: None }));
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
    is_busy: bool,
    is_append_sent: bool,
    has_read_for_write: bool,
    waiting: LiteMap<ClaimKey, Instant>,
    appending: Option<Appending>,
    releases: Vec<ClaimKey>,
    verdicts: Vec<(ClaimKey, ClaimVerdict)>,
    append_number: u64,
    append_tokens: f64,
    tokens_at: Instant,
    last_read: Option<Instant>,
    next_trim: Instant,
    retry_at: Option<Instant>,
    failing_since: Option<Instant>,
    appends: u64,
    conflicts: u64,
}

impl ClaimLedger {
    /// Creates the ledger of a process; `appender` names it with its incarnation.
    #[must_use]
    pub fn new(now: Instant, appender: impl Into<Arc<str>>, settings: ClaimSettings) -> Self {
        Self {
            settings,
            appender: appender.into(),
            view: ClaimLogView::new(),
            is_loaded: false,
            is_base_absent: false,
            must_read: true,
            is_busy: false,
            is_append_sent: false,
            has_read_for_write: false,
            waiting: LiteMap::new(),
            appending: None,
            releases: Vec::new(),
            verdicts: Vec::new(),
            append_number: 0,
            append_tokens: f64::from(settings.append_burst),
            tokens_at: now,
            last_read: None,
            next_trim: now + Duration::from_millis(settings.trim_interval_ms),
            retry_at: None,
            failing_since: None,
            appends: 0,
            conflicts: 0,
        }
    }

    /// Asks to run a request; without an answer here, [`Self::take_verdicts`] has it later.
    pub fn begin(&mut self, now: Instant, key: ClaimKey) -> Option<ClaimVerdict> {
        if let Some(claim) = self.view.get(key) {
            return Some(self.begin_again(now, key, claim.holder));
        }
        if let Some(appending) = &mut self.appending
            && let Some(since) = appending.waiting_since.get_mut(&key)
        {
            if since.is_some() {
                return Some(ClaimVerdict::Duplicate);
            }
            *since = Some(now);
            return None;
        }
        if self.waiting.contains_key(&key) {
            return Some(ClaimVerdict::Duplicate);
        }
        if self.waiting.len() >= self.settings.max_waiting_claims || self.is_table_down(now) {
            return Some(ClaimVerdict::Unchecked);
        }
        self.waiting.insert(key, now);
        None
    }

    /// Says that a granted request surely did not run, so that a repeat may run.
    pub fn release(&mut self, key: ClaimKey) {
        let is_own = self
            .view
            .get(key)
            .is_some_and(|claim| claim.holder == ClaimHolder::Own);
        if is_own {
            self.view.set_holder(key, ClaimHolder::OwnNotRun);
            self.releases.push(key);
        }
    }

    /// Returns whether a granted request may still be started.
    ///
    /// A process that was paused must not start a request whose claim others may have removed.
    #[must_use]
    pub fn may_start(&self, now: Instant, key: ClaimKey) -> bool {
        let Some(claim) = self.view.get(key) else {
            return false;
        };
        let is_recent = |from: Instant| now.saturating_duration_since(from) < self.grant_validity();
        claim.holder == ClaimHolder::Own && self.view.written_from(&claim).is_some_and(is_recent)
    }

    /// Returns the verdicts since the last call.
    pub fn take_verdicts(&mut self) -> Vec<(ClaimKey, ClaimVerdict)> {
        std::mem::take(&mut self.verdicts)
    }

    /// Gives up claims that have waited too long.
    pub fn expire(&mut self, now: Instant) {
        let max_wait = self.settings.max_wait();
        let is_late = |since: Instant| now.saturating_duration_since(since) >= max_wait;
        let late: Vec<ClaimKey> = self
            .waiting
            .iter()
            .filter(|(_, since)| is_late(**since))
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            self.waiting.remove(&key);
            self.verdicts.push((key, ClaimVerdict::Unchecked));
        }
        let Some(appending) = &mut self.appending else {
            return;
        };
        for (key, since) in appending.waiting_since.iter_mut() {
            if since.is_some_and(is_late) {
                *since = None;
                self.verdicts.push((*key, ClaimVerdict::Unchecked));
            }
        }
    }

    /// Returns what to do at the table next, unless a result is still awaited.
    pub fn action(&mut self, now: Instant) -> Option<ClaimAction> {
        let is_pausing = self.retry_at.is_some_and(|at| now < at);
        if self.is_busy || is_pausing {
            return None;
        }
        let action = self.next_action(now);
        self.is_busy = action.is_some();
        self.is_append_sent = matches!(action, Some(ClaimAction::Append { .. }));
        action
    }

    /// Takes the result of a read: the base row, and segments in ascending order.
    ///
    /// `is_end` says whether the log had no further segment.
    pub fn on_read(
        &mut self,
        now: Instant,
        base: Option<(RowVersion, ClaimLogBase)>,
        segments: &[ClaimSegment],
        is_end: bool,
    ) {
        self.on_answer();
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
        self.answer_duplicates();
    }

    /// Takes the failure of a read.
    pub fn on_read_failed(&mut self, now: Instant) {
        self.on_no_answer(now);
    }

    /// Takes the result of a write.
    pub fn on_commit(&mut self, now: Instant, outcome: CommitOutcome) {
        match outcome {
            CommitOutcome::Unknown => self.on_no_answer(now),
            CommitOutcome::Conflict => {
                self.on_answer();
                self.must_read = true;
                if let Some(appending) = self.appending.as_mut().filter(|_| self.is_append_sent) {
                    appending.is_conflicted = true;
                    self.conflicts += 1;
                }
            }
            CommitOutcome::Committed => {
                self.on_answer();
                match &self.appending {
                    Some(appending) if self.is_append_sent => {
                        let segment = appending.segment.clone();
                        self.apply(now, &segment);
                    }
                    _ => self.must_read = true,
                }
            }
        }
    }

    /// Returns a summary for the dump.
    #[must_use]
    pub fn state(&self) -> ClaimLedgerState {
        ClaimLedgerState {
            is_loaded: self.is_loaded,
            first: self.view.first(),
            tail: self.view.next_sequence() - 1,
            taken_requests: self.view.taken_requests(),
            waiting_claims: self.waiting.len(),
            appending_claims: self
                .appending
                .as_ref()
                .map_or(0, |a| a.segment.claims.len()),
            waiting_releases: self.releases.len(),
            appends: self.appends,
            conflicts: self.conflicts,
        }
    }

    const fn grant_validity(&self) -> Duration {
        Duration::from_millis(self.settings.window_ms / 2)
    }

    fn is_table_down(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.settings.max_wait())
    }

    fn begin_again(&mut self, now: Instant, key: ClaimKey, holder: ClaimHolder) -> ClaimVerdict {
        let is_releasing = self
            .appending
            .as_ref()
            .is_some_and(|appending| appending.segment.releases.contains(&key));
        match holder {
            ClaimHolder::Other | ClaimHolder::Own => ClaimVerdict::Duplicate,
            ClaimHolder::OwnNotRun if is_releasing => ClaimVerdict::Unchecked,
            ClaimHolder::OwnNotRun => {
                self.releases.retain(|release| *release != key);
                self.view.set_holder(key, ClaimHolder::Own);
                if self.may_start(now, key) {
                    return ClaimVerdict::Granted;
                }
                self.release(key);
                ClaimVerdict::Unchecked
            }
        }
    }

    fn next_action(&mut self, now: Instant) -> Option<ClaimAction> {
        if std::mem::take(&mut self.is_base_absent) {
            return Some(ClaimAction::CreateBase);
        }
        if self.must_read || !self.is_loaded {
            return Some(self.read());
        }
        if let Some(appending) = &self.appending {
            return Some(ClaimAction::Append {
                base_version: appending.base_version,
                segment: appending.segment.clone(),
            });
        }
        let trim_to = self.due_trim(now);
        let wants_append = self.wants_append(now);
        if wants_append || trim_to.is_some() {
            let is_fresh = self.has_read_for_write || self.has_read_within(now, READ_FRESHNESS);
            self.has_read_for_write = !is_fresh;
            if !is_fresh {
                return Some(self.read());
            }
        }
        if wants_append {
            return self.append(now);
        }
        if let Some(new_first) = trim_to {
            return self.trim(now, new_first);
        }
        let is_idle_read_due = !self.has_read_within(now, IDLE_READ_INTERVAL);
        is_idle_read_due.then(|| self.read())
    }

    fn read(&self) -> ClaimAction {
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
            .trim_to(now, self.settings.window(), MAX_SEGMENTS_PER_TRIM)
    }

    fn wants_append(&mut self, now: Instant) -> bool {
        let interval_ms = self.settings.append_interval_ms.max(1) as f64;
        let elapsed = now.saturating_duration_since(self.tokens_at);
        let refill = elapsed.as_secs_f64() * 1000.0 / interval_ms;
        let burst = f64::from(self.settings.append_burst);
        self.append_tokens = (self.append_tokens + refill).min(burst);
        self.tokens_at = now;
        let has_work = !self.waiting.is_empty() || !self.releases.is_empty();
        has_work && self.append_tokens >= 1.0
    }

    fn append(&mut self, now: Instant) -> Option<ClaimAction> {
        let base_version = self.view.base_version()?;
        let limit = self.settings.max_claims_per_append;
        let claims: Vec<ClaimKey> = self.waiting.keys().copied().take(limit).collect();
        let mut waiting_since = LiteMap::new();
        for key in &claims {
            waiting_since.insert(*key, self.waiting.remove(key));
        }
        let view = &self.view;
        let is_own_not_run = |key: &ClaimKey| {
            let holder = view.get(*key).map(|claim| claim.holder);
            holder == Some(ClaimHolder::OwnNotRun)
        };
        let releases = std::mem::take(&mut self.releases)
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
        self.appending = Some(Appending {
            base_version,
            segment: segment.clone(),
            written_from: now,
            waiting_since,
            is_conflicted: false,
        });
        Some(ClaimAction::Append {
            base_version,
            segment,
        })
    }

    fn trim(&mut self, now: Instant, new_first: u64) -> Option<ClaimAction> {
        self.next_trim = now + Duration::from_millis(self.settings.trim_interval_ms);
        Some(ClaimAction::Trim {
            base_version: self.view.base_version()?,
            first: self.view.first(),
            new_first,
        })
    }

    fn apply(&mut self, now: Instant, segment: &ClaimSegment) {
        let is_own_append = |appending: &Appending| {
            appending.segment.appender == segment.appender
                && appending.segment.append_number == segment.append_number
        };
        let is_own = self.appending.as_ref().is_some_and(is_own_append);
        let written_from = self.appending.as_ref().map(|a| a.written_from);
        let written_from = written_from.filter(|_| is_own);
        if !self.view.apply(now, segment, written_from) || !is_own {
            return;
        }
        self.appends += 1;
        let Some(appending) = self.appending.take() else {
            return;
        };
        for (key, since) in appending.waiting_since.iter() {
            match since {
                Some(_) => self.verdicts.push((*key, ClaimVerdict::Granted)),
                None => self.release(*key),
            }
        }
    }

    /// Puts the claims of an append that surely failed back in line.
    fn requeue_conflicted(&mut self, now: Instant) {
        let Some(appending) = self.appending.take_if(|appending| appending.is_conflicted) else {
            return;
        };
        self.append_tokens += 1.0;
        self.tokens_at = now;
        for (key, since) in appending.waiting_since.iter() {
            if let Some(since) = since {
                self.waiting.insert(*key, *since);
            }
        }
        self.releases.extend(appending.segment.releases);
    }

    fn answer_duplicates(&mut self) {
        let taken: Vec<ClaimKey> = self
            .waiting
            .keys()
            .copied()
            .filter(|key| self.view.get(*key).is_some())
            .collect();
        for key in taken {
            self.waiting.remove(&key);
            self.verdicts.push((key, ClaimVerdict::Duplicate));
        }
    }

    fn on_answer(&mut self) {
        self.is_busy = false;
        self.retry_at = None;
        self.failing_since = None;
    }

    fn on_no_answer(&mut self, now: Instant) {
        self.is_busy = false;
        self.failing_since.get_or_insert(now);
        self.retry_at = Some(now + Duration::from_millis(self.settings.retry_interval_ms));
    }
}

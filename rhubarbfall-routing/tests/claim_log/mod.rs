//! A fake table that holds a claim log, with lost responses and delayed writes.

use std::time::Instant;

use rhubarbfall_core::RowVersion;
use rhubarbfall_routing::{ClaimAction, ClaimLedger, ClaimLogBase, ClaimSegment, CommitOutcome};

/// The fault of one call to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The call takes effect, and its response is lost.
    ResponseLost,
    /// The call does not reach the table.
    RequestLost,
    /// The call takes effect when a process next reads the log.
    Delayed,
}

#[derive(Debug, Default)]
pub(crate) struct FakeTable {
    base: Option<(RowVersion, ClaimLogBase)>,
    segments: Vec<ClaimSegment>,
    results: Vec<(String, u64, CommitOutcome)>,
    delayed: Vec<ClaimAction>,
    pub(crate) transactions: usize,
    pub(crate) rows_written: usize,
    pub(crate) reads: usize,
}

impl FakeTable {
    pub(crate) fn commit(&mut self, action: &ClaimAction) -> CommitOutcome {
        self.transactions += 1;
        match action {
            ClaimAction::Read { .. } => unreachable!("a read is not committed"),
            ClaimAction::CreateBase => self.create_base(),
            ClaimAction::Append {
                base_version,
                segment,
            } => self.append(*base_version, segment),
            ClaimAction::Trim {
                base_version,
                new_first,
                ..
            } => self.trim(*base_version, *new_first),
        }
    }

    fn create_base(&mut self) -> CommitOutcome {
        if self.base.is_some() {
            return CommitOutcome::Conflict;
        }
        self.rows_written += 1;
        self.base = Some((RowVersion::new(1), ClaimLogBase { first: 1 }));
        CommitOutcome::Committed
    }

    fn append(&mut self, base_version: RowVersion, segment: &ClaimSegment) -> CommitOutcome {
        let is_same_append = |(appender, number, _): &&(String, u64, CommitOutcome)| {
            **appender == *segment.appender && *number == segment.append_number
        };
        if let Some((_, _, outcome)) = self.results.iter().find(is_same_append) {
            return *outcome;
        }
        let is_version_current = self
            .base
            .is_some_and(|(version, _)| version == base_version);
        let is_absent = self
            .segments
            .iter()
            .all(|row| row.sequence != segment.sequence);
        let outcome = if is_version_current && is_absent {
            self.rows_written += 1;
            self.segments.push(segment.clone());
            CommitOutcome::Committed
        } else {
            CommitOutcome::Conflict
        };
        let result = (segment.appender.to_string(), segment.append_number, outcome);
        self.results.push(result);
        outcome
    }

    fn trim(&mut self, base_version: RowVersion, new_first: u64) -> CommitOutcome {
        let Some((version, _)) = self.base.filter(|(version, _)| *version == base_version) else {
            return CommitOutcome::Conflict;
        };
        let length = self.segments.len();
        self.segments.retain(|row| row.sequence >= new_first);
        self.rows_written += 1 + length - self.segments.len();
        self.base = Some((version.next(), ClaimLogBase { first: new_first }));
        CommitOutcome::Committed
    }

    fn deliver_delayed(&mut self) {
        for action in std::mem::take(&mut self.delayed) {
            self.commit(&action);
        }
    }

    /// Performs the ledger's next action; returns whether there was one.
    pub(crate) fn step(&mut self, now: Instant, ledger: &mut ClaimLedger, fault: Fault) -> bool {
        let Some(action) = ledger.next_action(now) else {
            return false;
        };
        self.perform(now, ledger, &action, fault);
        true
    }

    pub(crate) fn perform(
        &mut self,
        now: Instant,
        ledger: &mut ClaimLedger,
        action: &ClaimAction,
        fault: Fault,
    ) {
        if let ClaimAction::Read { from } = action {
            self.deliver_delayed();
            if fault != Fault::None {
                return ledger.on_read_failed(now);
            }
            self.reads += 1;
            let from = from.unwrap_or(0);
            let rows: Vec<ClaimSegment> = self
                .segments
                .iter()
                .filter(|row| row.sequence >= from)
                .cloned()
                .collect();
            return ledger.on_read(now, self.base, &rows, true);
        }
        let outcome = match fault {
            Fault::None => self.commit(action),
            Fault::ResponseLost => {
                self.commit(action);
                CommitOutcome::Unknown
            }
            Fault::RequestLost => CommitOutcome::Unknown,
            Fault::Delayed => {
                self.delayed.push(action.clone());
                CommitOutcome::Unknown
            }
        };
        ledger.on_commit(now, outcome);
    }
}

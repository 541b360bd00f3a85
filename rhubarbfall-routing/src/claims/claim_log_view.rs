use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rhubarbfall_core::RowVersion;

use super::claim_index::{ClaimHolder, ClaimIndex, IndexedClaim};
use super::{ClaimKey, ClaimLogBase, ClaimSegment};

/// A segment that this process has read or written.
#[derive(Debug)]
struct KnownSegment {
    /// When this process first observed the segment in the log.
    first_seen: Instant,
    /// When this process started to write the segment; `None` for segments of other processes.
    write_started_at: Option<Instant>,
    claims: Vec<ClaimKey>,
}

/// The part of the claim log that this process has read or written.
#[derive(Debug)]
pub(crate) struct ClaimLogView {
    base: Option<(RowVersion, ClaimLogBase)>,
    /// The sequence number of the first known segment.
    first: u64,
    segments: VecDeque<KnownSegment>,
    index: ClaimIndex,
}

impl ClaimLogView {
    pub(crate) fn new() -> Self {
        Self {
            base: None,
            first: 1,
            segments: VecDeque::new(),
            index: ClaimIndex::new(),
        }
    }

    pub(crate) const fn base_version(&self) -> Option<RowVersion> {
        match self.base {
            Some((version, _)) => Some(version),
            None => None,
        }
    }

    pub(crate) const fn first(&self) -> u64 {
        self.first
    }

    /// Returns the sequence number of the next segment.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.first + self.segments.len() as u64
    }

    pub(crate) const fn taken_requests(&self) -> usize {
        self.index.len()
    }

    pub(crate) fn get(&self, key: ClaimKey) -> Option<IndexedClaim> {
        self.index.get(key)
    }

    pub(crate) fn set_holder(&mut self, key: ClaimKey, holder: ClaimHolder) {
        self.index.set_holder(key, holder);
    }

    /// Returns when this process started to write the segment that holds the claim.
    pub(crate) fn write_started_at(&self, claim: &IndexedClaim) -> Option<Instant> {
        let offset = claim.sequence.checked_sub(self.first)?;
        self.segments.get(offset as usize)?.write_started_at
    }

    /// Stores the base row and drops the segments that were trimmed from the log.
    pub(crate) fn set_base(&mut self, version: RowVersion, base: ClaimLogBase) {
        self.base = Some((version, base));
        while self.first < base.first {
            let Some(segment) = self.segments.pop_front() else {
                self.first = base.first;
                self.index.clear();
                return;
            };
            for key in segment.claims {
                self.index.remove(key, Some(self.first));
            }
            self.first += 1;
        }
    }

    /// Adds a segment if it is the next one of the log; returns whether it was added.
    pub(crate) fn apply(
        &mut self,
        now: Instant,
        segment: &ClaimSegment,
        write_started_at: Option<Instant>,
    ) -> bool {
        if segment.sequence != self.next_sequence() {
            return false;
        }
        let holder = match write_started_at {
            Some(_) => ClaimHolder::Own,
            None => ClaimHolder::Other,
        };
        for key in &segment.releases {
            self.index.remove(*key, None);
        }
        for key in &segment.claims {
            self.index.insert(*key, segment.sequence, holder);
        }
        self.segments.push_back(KnownSegment {
            first_seen: now,
            write_started_at,
            claims: segment.claims.clone(),
        });
        true
    }

    /// Returns the oldest sequence number to keep, or `None` if no segment is older than `window`.
    ///
    /// Ages are measured from when this process first observed a segment, so they do not depend on
    /// the clocks of other processes, and a process that started recently trims nothing.
    pub(crate) fn trim_target(&self, now: Instant, window: Duration, limit: usize) -> Option<u64> {
        let old = self
            .segments
            .iter()
            .take(limit)
            .take_while(|segment| now.saturating_duration_since(segment.first_seen) >= window)
            .count();
        (old > 0).then(|| self.first + old as u64)
    }
}

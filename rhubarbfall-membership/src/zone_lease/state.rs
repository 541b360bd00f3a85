use std::time::Instant;

use rhubarbfall_core::{EntryId, FencingNumber, Incarnation, RowVersion};

use super::{LeaseRow, ZoneLeaseConfig};

/// Request that the lease needs the owner to send to the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Read the row.
    Read,
    /// Write the row if it still has the expected version.
    Write {
        /// Version that the row must have; zero stands for an absent row.
        expected: RowVersion,
        /// New content of the row.
        row: LeaseRow,
    },
}

/// State machine of one entry for its zone's lease.
///
/// The owner sends the requests that [`ZoneLease::next_request`] returns, one at a time, and
/// reports the outcome of each. A lost answer is followed by a read, never by another write.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use rhubarbfall_core::{Incarnation, RowVersion};
/// use rhubarbfall_membership::{LeaseRequest, ZoneLease, ZoneLeaseConfig};
///
/// let now = Instant::now();
/// let mut lease =
///     ZoneLease::new(ZoneLeaseConfig::new(), "entry-1".parse()?, Incarnation::new(1), now);
/// assert_eq!(lease.next_request(now), Some(LeaseRequest::Read));
/// lease.observe_row(now, None);
/// assert!(matches!(lease.next_request(now), Some(LeaseRequest::Write { .. })));
/// lease.observe_written(now, RowVersion::new(1));
/// assert!(lease.fencing(now).is_some());
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct ZoneLease {
    config: ZoneLeaseConfig,
    entry: EntryId,
    incarnation: Incarnation,
    row: Option<ObservedRow>,
    pending_write: Option<PendingWrite>,
    held: Option<HeldLease>,
    next_request_at: Instant,
    must_read: bool,
    renewals: u64,
}

/// The row as last read or written.
#[derive(Debug, Clone)]
struct ObservedRow {
    version: RowVersion,
    row: Option<LeaseRow>,
    /// Time at which this version was first seen, taken after the answer arrived.
    first_seen: Instant,
}

/// Write whose outcome is unknown, also after its answer was lost.
#[derive(Debug, Clone)]
struct PendingWrite {
    sent_at: Instant,
    row: LeaseRow,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    renewed: Instant,
    expires_at: Instant,
    fencing: FencingNumber,
}

impl ZoneLease {
    /// Creates the state of a process that has not read the row yet.
    #[must_use]
    pub const fn new(
        config: ZoneLeaseConfig,
        entry: EntryId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            config,
            entry,
            incarnation,
            row: None,
            pending_write: None,
            held: None,
            next_request_at: now,
            must_read: true,
            renewals: 0,
        }
    }

    /// Returns the fencing number while this process holds the lease, otherwise `None`.
    ///
    /// Call it right before each action of the holder, since the process may have been paused.
    #[must_use]
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        let held = self.held.filter(|held| now < held.expires_at)?;
        Some(held.fencing)
    }

    /// Returns the holder named by the row as last read or written.
    #[must_use]
    pub fn holder(&self) -> Option<&EntryId> {
        let row = self.row.as_ref()?.row.as_ref()?;
        Some(&row.holder)
    }

    /// Returns the request to send at `now`, if one is due.
    #[must_use]
    pub fn next_request(&mut self, now: Instant) -> Option<LeaseRequest> {
        if now < self.next_request_at {
            return None;
        }
        // No second request is due before the outcome of this one is reported, unless that takes
        // longer than the lease.
        self.next_request_at = now + self.config.duration;
        let observed = self.row.clone().filter(|_| !self.must_read);
        let writable = observed.filter(|observed| self.is_writable(observed, now));
        let Some(observed) = writable else {
            return Some(LeaseRequest::Read);
        };
        let expected = observed.version;
        let row = self.new_row(observed.row.as_ref(), now);
        self.pending_write = Some(PendingWrite {
            sent_at: now,
            row: row.clone(),
        });
        Some(LeaseRequest::Write { expected, row })
    }

    /// Records the result of a read: the row and its version, or `None` if it is absent.
    pub fn observe_row(&mut self, now: Instant, row: Option<(RowVersion, LeaseRow)>) {
        self.must_read = false;
        let (version, row) = match row {
            Some((version, row)) => (version, Some(row)),
            None => (RowVersion::default(), None),
        };
        self.resolve_pending_write(row.as_ref());
        let is_known = self.row.as_ref().is_some_and(|old| old.version == version);
        if !is_known {
            self.row = Some(ObservedRow {
                version,
                row,
                first_seen: now,
            });
        }
        self.schedule_next_request(now);
    }

    /// Records that the write took effect and gave the row this version.
    pub fn observe_written(&mut self, now: Instant, version: RowVersion) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        self.set_held(&write);
        self.row = Some(ObservedRow {
            version,
            row: Some(write.row),
            first_seen: now,
        });
        self.schedule_next_request(now);
    }

    /// Records that the write had no effect because the row had another version.
    pub fn observe_conflict(&mut self, now: Instant) {
        self.pending_write = None;
        self.must_read = true;
        self.next_request_at = now;
    }

    /// Records a lost answer; a write may have taken effect, so a read follows.
    pub fn observe_no_answer(&mut self, now: Instant) {
        self.must_read = true;
        self.next_request_at = now + self.config.poll_interval / 5;
    }

    fn is_writable(&self, observed: &ObservedRow, now: Instant) -> bool {
        let Some(row) = &observed.row else {
            return true;
        };
        self.is_own(row) || now >= self.claimable_at(observed)
    }

    fn claimable_at(&self, observed: &ObservedRow) -> Instant {
        observed.first_seen + self.config.duration + self.config.drift_margin
    }

    fn is_own(&self, row: &LeaseRow) -> bool {
        row.holder == self.entry && row.incarnation == self.incarnation
    }

    fn new_row(&mut self, old: Option<&LeaseRow>, now: Instant) -> LeaseRow {
        self.renewals += 1;
        let last_fencing = old.map_or(FencingNumber::default(), |row| row.fencing);
        let is_renewal = old.is_some_and(|row| self.is_own(row)) && self.fencing(now).is_some();
        LeaseRow {
            holder: self.entry.clone(),
            incarnation: self.incarnation,
            fencing: if is_renewal {
                last_fencing
            } else {
                last_fencing.next()
            },
            renewal: self.renewals,
        }
    }

    /// Takes the lease if the row shows that a write whose answer was lost took effect.
    fn resolve_pending_write(&mut self, row: Option<&LeaseRow>) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        if row == Some(&write.row) {
            self.set_held(&write);
        }
    }

    fn set_held(&mut self, write: &PendingWrite) {
        self.held = Some(HeldLease {
            renewed: write.sent_at,
            expires_at: write.sent_at + self.config.duration,
            fencing: write.row.fencing,
        });
    }

    fn schedule_next_request(&mut self, now: Instant) {
        let Some(observed) = &self.row else {
            return;
        };
        self.next_request_at = match (&observed.row, self.held) {
            (Some(row), Some(held)) if self.is_own(row) => held.renewed + self.config.renew_after,
            (Some(row), _) if !self.is_own(row) => {
                let next_poll = now + self.config.poll_interval;
                next_poll.min(self.claimable_at(observed).max(now))
            }
            _ => now,
        };
    }
}

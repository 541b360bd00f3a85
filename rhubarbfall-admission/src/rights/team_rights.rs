use std::time::{Duration, Instant};

use rhubarbfall_core::{EntryId, Incarnation};

use super::ledger_row::LedgerRow;
use super::loan::{BorrowedSlots, LentSlots, LoanReply, LoanRequest};
use super::rights_settings::RightsSettings;
use crate::shares::{WeightedDemand, fair_shares};

/// The interval at which the slots that do not divide evenly rotate to the next participant.
const REMAINDER_ROTATION_MS: u64 = 2_000;

/// The rights of one team at one entry.
///
/// Owned slots come from the team's ledger row and never expire; borrowed slots expire with their
/// lease. A request starts only on a free slot of either kind.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamRights {
    pub(crate) limit: u32,
    pub(crate) owned: u32,
    /// The ledger write in progress.
    pub(crate) pending_write: Option<PendingWrite>,
    pub(crate) occupied_owned: u32,
    pub(crate) waiting: u32,
    pub(crate) borrowed: Vec<BorrowedSlots>,
    pub(crate) lent: Vec<LentSlots>,
    /// The times at which the rights of requests with unknown completion are released.
    pub(crate) hold_expiries: Vec<Instant>,
    pub(crate) granted_total: u32,
    /// Rotates which participant comes first for the slots that do not divide evenly.
    remainder_offset: usize,
    next_rotation_at: Option<Instant>,
}

/// The owned slots before and after a ledger write whose result is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingWrite {
    before: u32,
    after: u32,
}

impl TeamRights {
    /// Returns the owned slots that may be used under the limit in force.
    ///
    /// While the ledger grants more than the limit, each owner uses a proportional part of the
    /// limit.
    fn usable_owned(&self) -> u32 {
        if self.granted_total <= self.limit {
            return self.owned;
        }
        let part = u64::from(self.owned) * u64::from(self.limit) / u64::from(self.granted_total);
        part as u32
    }

    fn lent_slots(&self) -> u32 {
        self.lent.iter().map(|lent| lent.slots).sum()
    }

    pub(crate) fn running(&self) -> u32 {
        self.occupied_owned + self.borrowed.iter().map(|loan| loan.occupied).sum::<u32>()
    }

    pub(crate) fn demand(&self) -> u32 {
        self.running().saturating_add(self.waiting)
    }

    /// Returns the number of requests that may start at `now`.
    pub(crate) fn free_slots(&self, now: Instant, settings: &RightsSettings) -> u32 {
        if self.limit == 0 {
            return 0;
        }
        let borrowed: u32 = self
            .borrowed
            .iter()
            .map(|loan| loan.valid_slots(now).saturating_sub(loan.occupied))
            .sum();
        self.free_owned(settings).saturating_add(borrowed)
    }

    fn free_owned(&self, settings: &RightsSettings) -> u32 {
        let usable = self.usable_owned().saturating_sub(self.lent_slots());
        usable
            .min(self.own_share(settings))
            .saturating_sub(self.occupied_owned)
    }

    /// Returns the owned slots that this entry uses itself while borrowers want some.
    fn own_share(&self, settings: &RightsSettings) -> u32 {
        let wanted_by_borrowers: u32 = self.lent.iter().map(|lent| lent.wanted).sum();
        let owned = self.usable_owned();
        if wanted_by_borrowers == 0 || self.demand() + wanted_by_borrowers <= owned {
            return owned;
        }
        self.owned_shares()[0].max(settings.reserved_slots(owned))
    }

    /// Divides the owned slots among this entry, which comes first, and its borrowers.
    fn owned_shares(&self) -> Vec<u32> {
        let weighted_demand = |demand: u32| WeightedDemand {
            weight: 1.0,
            demand_slots: f64::from(demand),
        };
        let mut demands = vec![weighted_demand(self.demand())];
        demands.extend(self.lent.iter().map(|lent| weighted_demand(lent.wanted)));
        let owned = self.usable_owned();
        let exact = fair_shares(f64::from(owned), &demands);
        let mut whole: Vec<u32> = exact.iter().map(|share| share.floor() as u32).collect();
        let mut left = owned.saturating_sub(whole.iter().sum());
        for offset in 0..whole.len() {
            let index = (self.remainder_offset + offset) % whole.len();
            let wants_more = f64::from(whole[index]) < demands[index].demand_slots;
            if left > 0 && wants_more {
                whole[index] += 1;
                left -= 1;
            }
        }
        whole
    }

    /// Acquires an owned slot or, if none is free, a borrowed one; returns `false` without either.
    pub(crate) fn try_acquire(&mut self, now: Instant, settings: &RightsSettings) -> bool {
        if self.limit == 0 {
            return false;
        }
        if self.free_owned(settings) > 0 {
            self.occupied_owned += 1;
            return true;
        }
        let free = |loan: &&mut BorrowedSlots| loan.valid_slots(now) > loan.occupied;
        match self.borrowed.iter_mut().find(free) {
            Some(loan) => {
                loan.occupied += 1;
                true
            }
            None => false,
        }
    }

    /// Releases the right of a request that has ended. Borrowed slots are released before owned
    /// ones, and those of expired loans first.
    pub(crate) fn release(&mut self, now: Instant) {
        let occupied = |loan: &&mut BorrowedSlots| loan.occupied > 0;
        let valid_slots = |loan: &&mut BorrowedSlots| loan.valid_slots(now);
        match self
            .borrowed
            .iter_mut()
            .filter(occupied)
            .min_by_key(valid_slots)
        {
            Some(loan) => loan.occupied -= 1,
            None => self.occupied_owned = self.occupied_owned.saturating_sub(1),
        }
    }

    /// Expires loans, and releases the held rights of requests that must have ended.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.lent.retain(|lent| now < lent.free_at);
        for loan in &mut self.borrowed {
            loan.expire(now);
        }
        if self.next_rotation_at.is_none_or(|at| at <= now) {
            self.remainder_offset = self.remainder_offset.wrapping_add(1);
            self.next_rotation_at = Some(now + Duration::from_millis(REMAINDER_ROTATION_MS));
        }
        let ended = self
            .hold_expiries
            .iter()
            .filter(|until| **until <= now)
            .count();
        self.hold_expiries.retain(|until| now < *until);
        for _ in 0..ended {
            self.release(now);
        }
    }

    /// Handles a borrower's request; returns `None` if a later one has already been handled.
    pub(crate) fn lend(
        &mut self,
        now: Instant,
        borrower: (&EntryId, Incarnation),
        request: &LoanRequest,
        settings: &RightsSettings,
    ) -> Option<LoanReply> {
        self.expire(now);
        let index = self.lent_index(now, borrower, request.sequence)?;
        self.lent[index].sequence = request.sequence;
        self.lent[index].wanted = request.wanted_slots;
        self.lent[index].slots = request.held_slots;
        let owned = self.usable_owned();
        let busy = self.lent_slots() + self.occupied_owned;
        let kept = settings
            .reserved_slots(owned)
            .saturating_sub(self.occupied_owned);
        let idle = owned.saturating_sub(busy + kept);
        let share = self.owned_shares()[index + 1];
        let ceiling = if owned < busy {
            0
        } else if share <= request.held_slots {
            share
        } else {
            request.held_slots + idle
        };
        let granted = request.wanted_slots.min(ceiling).min(share);
        let own_waiting = self.waiting.min(self.own_share(settings));
        let lent = &mut self.lent[index];
        lent.slots = granted.max(request.held_slots);
        if granted > 0 || (lent.slots > 0 && lent.free_at <= now) {
            lent.free_at = now + settings.lender_hold();
        } else if lent.slots == 0 {
            // A borrower that was granted nothing stays in the division for one lease, until its
            // next request is due.
            lent.free_at = now + settings.loan_lease;
        }
        let extra = lent.slots - request.held_slots;
        Some(LoanReply {
            sequence: request.sequence,
            granted_slots: granted,
            spare_slots: idle.saturating_sub(extra).saturating_sub(own_waiting),
        })
    }

    fn lent_index(
        &mut self,
        now: Instant,
        (borrower, incarnation): (&EntryId, Incarnation),
        sequence: u64,
    ) -> Option<usize> {
        let known = self
            .lent
            .iter()
            .position(|lent| lent.borrower == *borrower && lent.incarnation == incarnation);
        if let Some(index) = known {
            return (self.lent[index].sequence < sequence).then_some(index);
        }
        self.lent.push(LentSlots {
            borrower: borrower.clone(),
            incarnation,
            slots: 0,
            wanted: 0,
            sequence,
            free_at: now,
        });
        Some(self.lent.len() - 1)
    }

    /// Handles a lender's reply to the last request.
    pub(crate) fn handle_reply(
        &mut self,
        lender: &EntryId,
        reply: &LoanReply,
        settings: &RightsSettings,
    ) {
        let Some(loan) = self.borrowed.iter_mut().find(|loan| loan.lender == *lender) else {
            return;
        };
        if loan.sequence != reply.sequence {
            return;
        }
        let Some(requested_at) = loan.requested_at.take() else {
            return;
        };
        loan.slots = reply.granted_slots;
        loan.expires_at = Some(requested_at + settings.loan_lease);
        loan.offered_slots = reply.granted_slots + reply.spare_slots;
    }

    /// Updates the lenders and the granted total from the team's ledger row.
    ///
    /// An earlier process on this entry's VM may still have a grant in the row, but lends nothing.
    pub(crate) fn observe_row(&mut self, own: &EntryId, row: &LedgerRow) {
        self.granted_total = row.granted_slots();
        let owners = || {
            row.grants
                .iter()
                .filter(|grant| grant.slots > 0 && grant.entry != *own)
        };
        for grant in owners() {
            if !self.borrowed.iter().any(|loan| loan.lender == grant.entry) {
                self.borrowed
                    .push(BorrowedSlots::new(grant.entry.clone(), grant.slots));
            }
        }
        self.borrowed.retain(|loan| {
            loan.held_slots() > 0 || owners().any(|grant| grant.entry == loan.lender)
        });
    }

    /// Starts a ledger write that changes the own grant; released slots are unusable from now on.
    pub(crate) fn begin_write(&mut self, after: u32) {
        self.pending_write = Some(PendingWrite {
            before: self.owned,
            after,
        });
        self.owned = self.owned.min(after);
    }

    /// Finishes a ledger write whose result is certain.
    pub(crate) fn finish_write(&mut self, was_applied: bool) {
        if let Some(pending_write) = self.pending_write.take() {
            self.owned = if was_applied {
                pending_write.after
            } else {
                pending_write.before
            };
        }
    }

    /// Returns the owned slots that are neither in use by requests nor lent.
    pub(crate) fn idle_owned(&self) -> u32 {
        self.owned
            .saturating_sub(self.occupied_owned + self.lent_slots())
    }

    /// Returns whether the team was withdrawn and has no work, slots or loans left.
    pub(crate) fn is_unused(&self) -> bool {
        let is_held = self.owned > 0 || self.pending_write.is_some() || self.running() > 0;
        let is_shared = !self.lent.is_empty() || self.borrowed.iter().any(|loan| loan.slots > 0);
        self.limit == 0 && self.waiting == 0 && !is_held && !is_shared
    }
}

//! Tracks until when orders for VMs may still reach the VM service.
//!
//! A VM service that does not compare fencing numbers carries out an order whenever it arrives, also
//! after a later owner's. Each owner therefore tells its successor how long that may be.

use std::cell::Cell;
use std::time::Duration;

use rhubarbfall_core::BootTime;

/// Orders of this owner and of earlier ones that may be on their way.
#[derive(Debug)]
pub(crate) struct VmOrdersOnTheWay {
    /// How long an order without an answer may be on its way; zero if the VM service refuses the
    /// orders of earlier owners.
    order_time: Duration,
    in_flight: Cell<usize>,
    /// When the orders of earlier owners have arrived or are lost.
    inherited_until: Cell<BootTime>,
    /// When the last order of this owner that got no answer has arrived or is lost.
    unanswered_until: Cell<BootTime>,
    last_sent_at: Cell<BootTime>,
    /// Whether this ownership ended while the entry could not reach the store.
    was_cut_off: Cell<bool>,
}

impl VmOrdersOnTheWay {
    /// Starts without orders of this owner; those of earlier owners arrive until `inherited_until`.
    pub(crate) const fn new(order_time: Duration, inherited_until: BootTime) -> Self {
        Self {
            order_time,
            in_flight: Cell::new(0),
            inherited_until: Cell::new(inherited_until),
            unanswered_until: Cell::new(BootTime::new(Duration::ZERO)),
            last_sent_at: Cell::new(BootTime::new(Duration::ZERO)),
            was_cut_off: Cell::new(false),
        }
    }

    /// Replaces the time until which orders of earlier owners arrive.
    pub(crate) fn inherit(&self, until: BootTime) {
        self.inherited_until.set(until);
    }

    /// Returns how long orders of earlier owners may still arrive.
    pub(crate) fn inherited_remaining(&self, now: BootTime) -> Duration {
        self.inherited_until.get().since(now)
    }

    /// Records that an order is being sent.
    pub(crate) fn begin(&self, now: BootTime) {
        self.last_sent_at.set(now);
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Records the end of an order's call, and whether it was answered or not sent at all.
    pub(crate) fn end(&self, is_settled: bool, now: BootTime) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        if !is_settled {
            let until = now + self.order_time;
            self.unanswered_until
                .set(self.unanswered_until.get().max(until));
        }
    }

    /// Records the end of the ownership, and whether the entry could not reach the store then.
    pub(crate) fn end_ownership(&self, is_cut_off: bool) {
        self.was_cut_off.set(is_cut_off);
    }

    /// Returns whether a call has not ended yet.
    pub(crate) fn is_any_in_flight(&self) -> bool {
        self.in_flight.get() > 0
    }

    /// Returns how long orders may still arrive if no more are sent.
    pub(crate) fn remaining(&self, now: BootTime) -> Duration {
        let unanswered = self.unanswered_until.get().since(now);
        let unanswered = unanswered.max(self.inherited_remaining(now));
        if self.is_any_in_flight() {
            unanswered.max(self.order_time)
        } else {
            unanswered
        }
    }

    /// Returns how long a successor must give no orders. Two owners that are both in service do not
    /// take turns at a VM within the order time, also if all orders were answered.
    pub(crate) fn remaining_for_successor(&self, now: BootTime) -> Duration {
        if self.was_cut_off.get() {
            return self.remaining(now);
        }
        let turn = (self.last_sent_at.get() + self.order_time).since(now);
        self.remaining(now).max(turn)
    }
}

/// How the ownership of the last owner ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PredecessorEnd {
    /// It released its ownership and gives no more orders.
    Released,
    /// It was an earlier process of this entry: its connections were reset when it ended.
    EarlierProcess,
    /// It renewed its ownership no more. It may run on and give orders until its ownership lease,
    /// of this length, ends.
    Silent(Duration),
}

/// Returns how long orders of earlier owners may arrive, counted from the last change of the
/// ownership rows. `stated` is what the latest renewal says of them, if it does.
pub(crate) fn inherited_order_time(
    end: PredecessorEnd,
    stated: Option<Duration>,
    order_time: Duration,
) -> Duration {
    if order_time.is_zero() {
        return Duration::ZERO;
    }
    match end {
        PredecessorEnd::Released | PredecessorEnd::EarlierProcess => stated.unwrap_or(order_time),
        PredecessorEnd::Silent(ownership_lease) => ownership_lease + order_time,
    }
}

#[cfg(test)]
mod tests;

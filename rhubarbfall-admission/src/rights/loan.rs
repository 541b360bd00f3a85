use std::time::Instant;

use rhubarbfall_core::{EntryId, Incarnation};

/// What a borrower knows of one lender.
#[derive(Debug, Clone)]
pub(crate) struct BorrowedSlots {
    pub(crate) lender: EntryId,
    /// The slots that the last answer granted.
    pub(crate) slots: u32,
    /// The slots that work holds; more than `slots` while the lender takes some back.
    pub(crate) occupied: u32,
    /// No work starts against the loan from this time on.
    pub(crate) expires_at: Option<Instant>,
    /// The number of the last request; answers to earlier ones are dropped.
    pub(crate) sequence: u64,
    /// When the last request was sent, until it is answered.
    pub(crate) requested_at: Option<Instant>,
    /// The earliest time of the next request.
    pub(crate) next_request_at: Option<Instant>,
    /// The slots that the lender could have granted at its last answer.
    pub(crate) offered_slots: u32,
}

impl BorrowedSlots {
    pub(crate) const fn new(lender: EntryId, offered_slots: u32) -> Self {
        Self {
            lender,
            slots: 0,
            occupied: 0,
            expires_at: None,
            sequence: 0,
            requested_at: None,
            next_request_at: None,
            offered_slots,
        }
    }

    /// Returns the slots that work may hold at `now`.
    pub(crate) fn valid_slots(&self, now: Instant) -> u32 {
        match self.expires_at {
            Some(expires_at) if now < expires_at => self.slots,
            _ => 0,
        }
    }

    /// Returns the slots that the lender has to count.
    pub(crate) fn held_slots(&self) -> u32 {
        self.slots.max(self.occupied)
    }

    /// Gives up what has lapsed.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.valid_slots(now) == 0 {
            self.slots = 0;
        }
    }
}

/// What a lender knows of one borrower.
#[derive(Debug, Clone)]
pub(crate) struct LentSlots {
    pub(crate) borrower: EntryId,
    pub(crate) incarnation: Incarnation,
    /// The most slots that the borrower may hold.
    pub(crate) slots: u32,
    /// The slots that the borrower last asked for.
    pub(crate) wanted: u32,
    /// The number of the last request; earlier ones are dropped.
    pub(crate) sequence: u64,
    /// All work against the loan has ended by this time.
    pub(crate) free_at: Instant,
}

/// A borrower's request for one team's slots, which also says what it still holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Orders the requests of one borrower for one team at one lender.
    pub sequence: u64,
    /// The slots that the borrower holds; it has given up all above.
    pub held_slots: u32,
    /// The slots that the borrower would like to hold.
    pub wanted_slots: u32,
}

/// A lender's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanReply {
    /// The number of the request.
    pub sequence: u64,
    /// The slots that the borrower may hold for one lease from before it asked.
    pub granted_slots: u32,
    /// The slots that the lender could lend besides.
    pub spare_slots: u32,
}

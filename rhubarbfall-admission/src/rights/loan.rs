use std::time::Instant;

use rhubarbfall_core::{EntryId, Incarnation};

/// A loan as the borrower tracks it, one per lender and team.
#[derive(Debug, Clone)]
pub(crate) struct BorrowedSlots {
    pub(crate) lender: EntryId,
    /// The slots granted by the last reply, less those returned since.
    pub(crate) slots: u32,
    /// The slots in use by running requests; exceeds `slots` while the lender reclaims some.
    pub(crate) occupied: u32,
    /// The lease expiry, from which on no request starts on the loan.
    pub(crate) expires_at: Option<Instant>,
    /// The sequence number of the last request; replies to earlier ones are dropped.
    pub(crate) sequence: u64,
    /// When the last request was sent; `None` once it has been answered.
    pub(crate) requested_at: Option<Instant>,
    /// The earliest time of the next request.
    pub(crate) next_request_at: Option<Instant>,
    /// The slots that the lender could have granted at its last reply, or its grant in the ledger
    /// row before the first reply.
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

    /// Returns the slots that requests may use at `now`: zero after the lease expiry.
    pub(crate) fn valid_slots(&self, now: Instant) -> u32 {
        match self.expires_at {
            Some(expires_at) if now < expires_at => self.slots,
            _ => 0,
        }
    }

    /// Returns the slots that the lender must count as lent.
    pub(crate) fn held_slots(&self) -> u32 {
        self.slots.max(self.occupied)
    }

    /// Drops the slots of an expired lease.
    pub(crate) fn expire(&mut self, now: Instant) {
        if self.valid_slots(now) == 0 {
            self.slots = 0;
        }
    }
}

/// A loan as the lender tracks it, one per borrowing process and team.
#[derive(Debug, Clone)]
pub(crate) struct LentSlots {
    pub(crate) borrower: EntryId,
    pub(crate) incarnation: Incarnation,
    /// The most slots that the borrower may be using.
    pub(crate) slots: u32,
    /// The slots that the borrower last requested.
    pub(crate) wanted: u32,
    /// The sequence number of the last request; earlier ones are dropped.
    pub(crate) sequence: u64,
    /// The time by which all requests on the loan must have ended.
    pub(crate) free_at: Instant,
}

/// A borrower's request for slots of one team, with the slots that it still holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// Increases with each request, to order the requests of one borrowing process.
    pub sequence: u64,
    /// The slots that the borrower still holds; it has returned all others.
    pub held_slots: u32,
    /// The slots that the borrower wants to hold in total.
    pub wanted_slots: u32,
}

/// A lender's reply to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanReply {
    /// The sequence number of the request.
    pub sequence: u64,
    /// The slots that the borrower may use for one lease, which starts when it sent the request.
    pub granted_slots: u32,
    /// The further slots that the lender could lend.
    pub spare_slots: u32,
}

//! Queues, fair shares and upper limits.
//!
//! Decisions are plain functions over the time, an event and their own state. They open no socket
//! and start no task, so that the entry process, the tests and the benchmarks run the same code.

mod rights;
mod shares;

pub use rights::{
    Grant, LedgerRow, LoanReply, LoanRequest, OutgoingLoanRequest, ReclaimWatch, Rights,
    RightsSettings, RightsState, TeamRightsState,
};
pub use shares::{Claim, fair_portions};

//! Admission control: queues, fair shares and upper limits of teams.
//!
//! Decisions are plain functions of the time, an event and their own state. They perform no I/O and
//! spawn no task, so that the entry process, the tests and the benchmarks run the same code.

mod admission;
mod admission_settings;
mod admission_snapshot;
mod queue;
mod rights;
mod service_queues;
mod shares;

pub use admission::{Admission, Completion};
pub use admission_settings::AdmissionSettings;
pub use admission_snapshot::AdmissionSnapshot;
pub use queue::{Rejection, SubmitOutcome, Ticket, WorkClass, WorkRequest};
pub use rights::{
    Grant, LedgerRow, LoanReply, LoanRequest, MAX_START_DELAY, OutgoingLoanRequest, ReclaimWatch,
    Rights, RightsSettings, RightsSnapshot, TeamRightsSnapshot,
};
pub use shares::{
    EntryShare, ServiceDemand, ServiceView, TeamDemand, TeamShareSpec, WeightedDemand,
    divide_slots, entry_shares, fair_shares,
};

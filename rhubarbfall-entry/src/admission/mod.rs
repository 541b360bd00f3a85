//! Rights under upper limits and the division of slots, between entries and with the table.

mod loans;
mod rights_ledger;
mod tasks;
mod work_summaries;

pub(crate) use tasks::{hand_over_rights, run};

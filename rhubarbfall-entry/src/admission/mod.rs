//! Rights under the teams' upper limits and fair shares of slots, coordinated by messages between
//! entries and by rows of the platform's table.

mod loans;
mod rights_ledger;
mod tasks;
mod work_summaries;

pub(crate) use tasks::{hand_over_rights, run};

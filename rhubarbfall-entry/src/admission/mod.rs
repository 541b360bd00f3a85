//! Rights under the teams' upper limits and fair shares of slots, exchanged with other entries and
//! the platform's table.

mod loans;
mod rights_ledger;
mod tasks;
mod work_summaries;

pub(crate) use tasks::{hand_over_rights, run};

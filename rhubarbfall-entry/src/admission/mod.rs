//! Rights under upper limits and the division of slots, between entries and with the table.

mod duties;
mod ledger;
mod loans;
mod summaries;

pub(crate) use duties::run;

//! Weighted max-min division of slots among teams.

mod fair_portions;

pub use fair_portions::{Claim, fair_portions};

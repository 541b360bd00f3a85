//! A simulated table, platform and set of entries in virtual time, with faults from a fixed seed.
#![allow(
    dead_code,
    unused_imports,
    missing_docs,
    unreachable_pub,
    reason = "each test file uses only part of the harness"
)]

mod entry;
mod fleet;
mod shape;
mod table;

pub use entry::SimEntry;
pub use fleet::{Faults, Fleet, RebootOutcome};
pub use shape::Shape;
pub use table::Table;

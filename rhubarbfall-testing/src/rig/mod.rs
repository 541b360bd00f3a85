//! Runs separate processes, and kills, freezes and stops them.

mod caller;
mod process;
mod test_fleet;
mod wait;

pub use caller::{Answer, Caller, CallerError, Request};
pub use process::Process;
pub use test_fleet::{EntryProcess, FLEET_KEY, FleetShape, KEY_PEPPER, TEST_DOCUMENT, TestFleet};
pub use wait::{wait_until, wait_until_async};

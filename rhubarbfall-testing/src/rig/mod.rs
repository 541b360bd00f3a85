//! Test rig: runs fleets of entry processes, and sends requests to them.
//!
//! A test can kill, freeze, resume and terminate each process.

mod caller;
mod free_address;
mod process;
mod test_fleet;
mod wait;

pub use caller::{Caller, CallerError, TestRequest, TestResponse};
pub use free_address::free_address;
pub use process::Process;
pub use test_fleet::{
    EntryProcess, FLEET_KEY, KEY_PEPPER, TEST_DOCUMENT, TestFleet, TestFleetConfig,
};
pub use wait::{wait_until, wait_until_async};

//! Stand-in for the platform's table, object store, VM list and maintenance service, with scripted
//! faults.

mod entry_record;
mod fault;
mod maintenance;
mod stand_in_platform;
mod table_state;
mod vm_history;

pub use entry_record::entry_record;
pub use fault::{Fault, FaultMode, PlatformService};
pub use maintenance::{RebootEvent, RebootOutcome};
pub use stand_in_platform::{PlatformCounters, StandInPlatform};

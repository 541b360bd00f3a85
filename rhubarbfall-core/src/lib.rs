//! Identifiers, units, clocks and result codes shared by all other packages.

mod boot_time;
mod cell_id;
mod clock;
mod execution;
mod ids;
mod manual_clock;
mod result_code;
mod revision;
mod system_clock;
mod units;

#[cfg(test)]
mod tests;

pub use boot_time::BootTime;
pub use cell_id::{CellId, ParseCellIdError};
pub use clock::{Clock, SharedClock};
pub use execution::Execution;
pub use ids::{
    AvailabilityZoneId, CustomerId, EntryId, ParseIdError, PoolId, QueueId, RackId, RegionId,
    RequestId, RunId, ServiceId, SubmissionId, TeamId, UpstreamId, VmId, WaveId, WorkerId,
};
pub use litemap::LiteMap;
pub use manual_clock::ManualClock;
pub use result_code::{ParseResultCodeError, ResultCode};
pub use revision::{FencingNumber, Generation, Incarnation, Revision, RowVersion, SectionVersion};
pub use system_clock::SystemClock;
pub use units::{Bytes, Connections, ShareWeight, Slots, VmCount};

use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, RackId, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// One VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The identifier of the VM.
    pub id: VmId,
    /// The purpose of the VM.
    pub kind: VmKind,
    /// The availability zone that the VM runs in.
    pub availability_zone: AvailabilityZoneId,
    /// The region that the VM runs in.
    pub region: RegionId,
    /// The rack that holds the VM; a rack is a failure domain.
    pub rack: RackId,
    /// The address at which the process on the VM listens.
    pub address: SocketAddr,
    /// The life-cycle state of the VM.
    pub state: VmState,
}

/// The purpose of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A small VM that runs an entry process.
    Entry,
    /// A racked VM that executes work.
    Worker,
}

/// The life-cycle state of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM will stop soon.
    Leaving,
    /// The VM has stopped permanently.
    Gone,
}

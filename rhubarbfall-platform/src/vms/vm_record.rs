use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, RackId, RegionId, VmId};
use serde::{Deserialize, Serialize};

/// What the platform's list says of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's identifier.
    pub id: VmId,
    /// What the VM is for.
    pub kind: VmKind,
    /// The availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The region.
    pub region: RegionId,
    /// The rack, which is a failure domain.
    pub rack: RackId,
    /// Where the VM's process listens.
    pub address: SocketAddr,
    /// Whether the VM stays.
    pub state: VmState,
}

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// A small VM for the system's own process.
    Entry,
    /// A racked VM that runs work.
    Worker,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will stop soon.
    Leaving,
    /// The VM has stopped for good.
    Gone,
}

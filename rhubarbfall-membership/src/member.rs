use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, Incarnation};
use serde::{Deserialize, Serialize};

/// What the fleet knows of one entry; also the content of its `entry/<entry>` row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// The process on the entry's VM.
    pub incarnation: Incarnation,
    /// Where the entry takes connections of its peers.
    pub address: SocketAddr,
}

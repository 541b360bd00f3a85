use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, Incarnation};
use serde::{Deserialize, Serialize};

/// Registration of one entry; also the content of its `entry/<entry>` row in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// Incarnation of the process on the entry's VM; a later process has a higher one.
    pub incarnation: Incarnation,
    /// Address at which the entry accepts connections from its peers.
    pub address: SocketAddr,
}

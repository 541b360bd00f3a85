use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation};

use crate::WireError;
use crate::envelope::PROTOCOL_VERSION;
use crate::hello::Hello;

/// Which process speaks: the entry, its availability zone and its incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The entry.
    pub entry: EntryId,
    /// The availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// The process on the entry's VM.
    pub incarnation: Incarnation,
    /// Where the entry takes connections of its peers, so that one which knows nobody can answer.
    pub address: SocketAddr,
}

impl PeerIdentity {
    pub(crate) fn to_hello(&self, nonce: &[u8]) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            entry: self.entry.to_string(),
            zone: self.zone.to_string(),
            incarnation: self.incarnation.get(),
            nonce: nonce.to_vec(),
            address: self.address.to_string(),
        }
    }

    pub(crate) fn from_hello(hello: &Hello) -> Result<Self, WireError> {
        if hello.version != PROTOCOL_VERSION {
            return Err(WireError::Version(hello.version));
        }
        let malformed = |_| WireError::Malformed;
        Ok(Self {
            entry: hello.entry.parse().map_err(malformed)?,
            zone: hello.zone.parse().map_err(malformed)?,
            incarnation: Incarnation::new(hello.incarnation),
            address: hello.address.parse().map_err(|_| WireError::Malformed)?,
        })
    }
}

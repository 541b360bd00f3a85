use std::net::SocketAddr;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation};

use crate::WireError;
use crate::envelope::PROTOCOL_VERSION;
use crate::hello::Hello;

/// The identity of an entry process, as exchanged in the handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The identifier of the entry.
    pub entry: EntryId,
    /// The availability zone of the entry.
    pub zone: AvailabilityZoneId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address at which the entry accepts connections from its peers. It lets a process that
    /// knows no peers yet reply to the sender.
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

use std::io;
use std::net::SocketAddr;

use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};

/// Returns the VM list's record of an entry, live and in region `west`.
///
/// # Errors
///
/// An error if the identifier or the zone is malformed.
pub fn entry_record(id: &str, zone: &str, address: SocketAddr) -> io::Result<VmRecord> {
    Ok(VmRecord {
        id: id.parse().map_err(io::Error::other)?,
        kind: VmKind::Entry,
        availability_zone: zone.parse().map_err(io::Error::other)?,
        region: "west".parse().map_err(io::Error::other)?,
        rack: format!("{zone}-entries")
            .parse()
            .map_err(io::Error::other)?,
        address,
        state: VmState::Live,
    })
}

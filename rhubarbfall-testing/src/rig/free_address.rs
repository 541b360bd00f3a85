use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below the range from which the operating system assigns ports to outgoing connections.
const TEST_PORTS: Range<u16> = 12_000..32_000;

/// Distance between the first ports of two test programs with consecutive process identifiers,
/// larger than the number of ports that one program uses.
const PORT_STRIDE: u32 = 97;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address whose port is free, and that no other call in this process returns.
///
/// A process can bind it later, and again after a restart: the operating system assigns none of
/// these ports to outgoing connections.
///
/// # Panics
///
/// Panics if no port is free.
#[must_use]
pub fn free_address() -> SocketAddr {
    let port_count = u32::from(TEST_PORTS.end - TEST_PORTS.start);
    let first_offset = std::process::id().wrapping_mul(PORT_STRIDE);
    for _ in TEST_PORTS {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = TEST_PORTS.start + (first_offset.wrapping_add(offset) % port_count) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener
                .local_addr()
                .unwrap_or_else(|error| panic!("cannot read the bound address: {error}"));
        }
    }
    panic!("no port in {TEST_PORTS:?} is free");
}

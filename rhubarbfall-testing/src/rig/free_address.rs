use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to outgoing connections.
const TEST_PORTS: Range<u16> = 12_000..32_000;

/// How many ports lie between the first ones of two test programs with neighbouring identifiers: more
/// than a program takes.
const PORT_STRIDE: u32 = 97;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback that is free now and that no other call in this process returns.
///
/// A process that is to listen there can start later, and again: the system gives these ports to no
/// outgoing connection.
///
/// # Panics
///
/// When no port is free.
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
                .unwrap_or_else(|error| panic!("a listener without an address: {error}"));
        }
    }
    panic!("no port of {TEST_PORTS:?} is free");
}

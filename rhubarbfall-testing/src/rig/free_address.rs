use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to outgoing connections.
const OWN_PORTS: Range<u16> = 12_000..32_000;

/// How many ports lie between the first ones of two test programs with neighbouring identifiers: more
/// than a program takes.
const PORTS_EACH: u32 = 97;

static TAKEN: AtomicU16 = AtomicU16::new(0);

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
    let count = u32::from(OWN_PORTS.end - OWN_PORTS.start);
    let first = std::process::id().wrapping_mul(PORTS_EACH);
    for _ in OWN_PORTS {
        let next = u32::from(TAKEN.fetch_add(1, Ordering::Relaxed));
        let port = OWN_PORTS.start + (first.wrapping_add(next) % count) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener
                .local_addr()
                .unwrap_or_else(|error| panic!("a listener without an address: {error}"));
        }
    }
    panic!("no port of {OWN_PORTS:?} is free");
}

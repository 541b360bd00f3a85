use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};

use serde::Serialize;

/// Phase of the process, which decides whether it accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No configuration is in force yet.
    Starting,
    /// Requests are accepted.
    Ready,
    /// A planned stop has begun; the readiness check fails and requests are still accepted.
    Draining,
    /// New requests are rejected; those in flight run to their end.
    Stopping,
}

/// Phase of the process and number of requests in flight.
#[derive(Debug)]
pub struct Lifecycle {
    phase: AtomicU8,
    in_flight: AtomicU32,
}

impl Lifecycle {
    /// Creates the lifecycle of a process in [`Phase::Starting`] with no requests in flight.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            phase: AtomicU8::new(Phase::Starting as u8),
            in_flight: AtomicU32::new(0),
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            2 => Phase::Draining,
            _ => Phase::Stopping,
        }
    }

    /// Advances to a later phase; has no effect if `phase` is not later than the current one.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    pub(crate) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
    }

    pub(crate) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}

use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::BootTime;

/// A clock that is passed to all code that needs the time, so that tests can replace it.
pub type SharedClock = Arc<dyn Clock>;

/// A source of monotonic and wall-clock time.
///
/// Deadlines, ages and the leases of availability zones use [`Clock::now`]. Worker leases and the
/// ownership of submissions use [`Clock::boot_time`]. [`Clock::wall_time`] is only for display and
/// for times that people enter.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::{Clock, SystemClock};
///
/// let clock = SystemClock::new();
/// let earlier = clock.now();
/// assert!(clock.now() >= earlier);
/// ```
pub trait Clock: Debug + Send + Sync {
    /// Returns the monotonic time, which does not advance while the VM is suspended.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump.
    fn wall_time(&self) -> SystemTime;

    /// Returns the monotonic time including suspensions of the VM.
    fn boot_time(&self) -> BootTime;
}

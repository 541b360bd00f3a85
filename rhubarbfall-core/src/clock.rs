use std::fmt::Debug;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use crate::BootTime;

/// A clock that every process, fake and benchmark passes to the code that needs the time.
pub type SharedClock = Arc<dyn Clock>;

/// A source of monotonic and wall-clock time.
///
/// Leases, deadlines and ages use [`Clock::now`]. [`Clock::wall_time`] is only for display and for
/// times that people enter.
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
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time.
    fn wall_time(&self) -> SystemTime;

    /// Returns the time on the clock that counts while the VM is suspended.
    fn boot_time(&self) -> BootTime;
}

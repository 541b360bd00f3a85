use std::time::{Duration, Instant};

/// Maximum time since the last verification for sending a non-idempotent request without a probe.
const NON_IDEMPOTENT_MAX_AGE: Duration = Duration::from_millis(100);

/// Maximum time since the last verification for sending an idempotent request without a probe.
const IDEMPOTENT_MAX_AGE: Duration = Duration::from_secs(1);

/// Idle time after which a connection is closed instead of probed.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// How to use an idle connection for the next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Send the request without a probe.
    Direct,
    /// Send a harmless request first, and open a new connection if it gets no response.
    Probe,
    /// Close the connection.
    Discard,
}

/// Records when a connection was last known to work in both directions.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_routing::{ConnectionHealth, Reuse};
///
/// let now = Instant::now();
/// let health = ConnectionHealth::new(now);
/// assert_eq!(health.reuse(now, false), Reuse::Direct);
/// assert_eq!(health.reuse(now + Duration::from_secs(5), false), Reuse::Probe);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionHealth {
    verified_at: Instant,
}

impl ConnectionHealth {
    /// Creates the health of a connection that has just opened or carried a complete response.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { verified_at: now }
    }

    /// Returns when the connection was last known to work in both directions.
    #[must_use]
    pub const fn verified_at(&self) -> Instant {
        self.verified_at
    }

    /// Returns how to use the connection for the next request, given the time since it last worked.
    #[must_use]
    pub fn reuse(&self, now: Instant, is_idempotent: bool) -> Reuse {
        let age = now.saturating_duration_since(self.verified_at);
        let max_age = if is_idempotent {
            IDEMPOTENT_MAX_AGE
        } else {
            NON_IDEMPOTENT_MAX_AGE
        };
        if age > MAX_IDLE {
            Reuse::Discard
        } else if age > max_age {
            Reuse::Probe
        } else {
            Reuse::Direct
        }
    }
}

use std::time::{Duration, Instant};

/// How long ago a connection may have proved itself to carry a non-idempotent request at once.
const NON_IDEMPOTENT_MAX_AGE: Duration = Duration::from_millis(100);

/// How long ago a connection may have proved itself to carry an idempotent request at once.
const IDEMPOTENT_MAX_AGE: Duration = Duration::from_secs(1);

/// How long a connection may wait before it is closed rather than tried.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// What to do with a connection that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Send the request on it.
    Direct,
    /// Ask the upstream something harmless first, and open a new connection if no answer comes.
    Probe,
    /// Close it.
    Discard,
}

/// When a connection was last known to work in both directions.
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
    /// Creates the health of a connection that has just opened or carried a whole answer.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { verified_at: now }
    }

    /// Returns when the connection last proved itself.
    #[must_use]
    pub const fn verified_at(&self) -> Instant {
        self.verified_at
    }

    /// Decides what to do with the connection for the next request.
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

use std::time::{Duration, Instant};

/// The newest health check result of a VM, and since when it holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether the newest check passed.
    pub is_healthy: bool,
    /// When the checks started to give the current result.
    pub since: Instant,
}

impl Health {
    /// Returns whether the VM has been healthy for at least `duration`.
    #[must_use]
    pub fn is_healthy_for(&self, duration: Duration, now: Instant) -> bool {
        self.is_healthy && now.saturating_duration_since(self.since) >= duration
    }

    /// Returns whether the VM has been unhealthy for at least `duration`.
    #[must_use]
    pub fn is_unhealthy_for(&self, duration: Duration, now: Instant) -> bool {
        !self.is_healthy && now.saturating_duration_since(self.since) >= duration
    }
}

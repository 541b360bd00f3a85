use std::future::Future;
use std::time::{Duration, Instant};

/// Interval between evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Blocks the thread until a condition holds.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within `timeout`.
pub fn wait_until(description: &str, timeout: Duration, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {description}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until an asynchronous condition holds.
///
/// # Panics
///
/// Panics with `description` if the condition does not hold within `timeout`.
pub async fn wait_until_async<F: Future<Output = bool>>(
    description: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> F,
) {
    let deadline = Instant::now() + timeout;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out: {description}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

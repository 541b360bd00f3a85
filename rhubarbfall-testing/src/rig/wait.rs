use std::future::Future;
use std::time::{Duration, Instant};

/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a condition holds.
///
/// # Panics
///
/// When it does not hold in time.
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
/// When it does not hold in time.
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

use std::cell::Cell;
use std::rc::Rc;

use tokio::task::LocalSet;

use super::{RESTART_PAUSE, spawn_duty};

/// A duty that ended with its first panic would leave the process without it.
#[tokio::test]
async fn duty_starts_again_after_a_panic() {
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let tasks = LocalSet::new();
    tasks
        .run_until(async move {
            spawn_duty("test", move || {
                let counted = Rc::clone(&counted);
                async move {
                    counted.set(counted.get() + 1);
                    assert!(counted.get() > 2, "the first two starts fail");
                }
            });
            tokio::time::sleep(RESTART_PAUSE * 4).await;
        })
        .await;
    assert_eq!(starts.get(), 3);
}

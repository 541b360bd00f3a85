use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rhubarbfall_core::{BootTime, Clock};

use super::*;

/// A clock that advances by a millisecond with each reading.
#[derive(Debug)]
struct TickingClock {
    base: Instant,
    readings: AtomicU64,
}

impl Clock for TickingClock {
    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.readings.fetch_add(1, Ordering::Relaxed))
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    fn boot_time(&self) -> BootTime {
        BootTime::default()
    }
}

/// Guards against an activity that is counted under the name of another one.
#[test]
fn each_activity_has_the_counter_of_its_position() {
    for (index, (activity, _)) in ACTIVITIES.iter().enumerate() {
        assert_eq!(*activity as usize, index);
    }
}

/// Guards against waiting time that counts as processor time: only polls are counted.
#[tokio::test]
async fn only_polls_are_counted() {
    let clock = Arc::new(TickingClock {
        base: Instant::now(),
        readings: AtomicU64::new(0),
    });
    let mut log = ProcessorTimeLog::new();
    let work = async {
        tokio::task::yield_now().await;
        7
    };
    assert_eq!(metered(Activity::Logs, clock, work).await, 7);
    let spent = log.advance()[Activity::Logs as usize];
    assert_eq!(
        spent,
        Duration::from_millis(2),
        "two polls of a millisecond each"
    );
}

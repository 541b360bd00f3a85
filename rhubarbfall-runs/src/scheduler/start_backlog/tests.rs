use std::time::Duration;

use super::PoolBacklog;

const SECOND: Duration = Duration::from_secs(1);

fn backlog(free: f64, freed_per_s: f64) -> PoolBacklog {
    PoolBacklog {
        waiting: 100,
        waiting_load: 25.0,
        free,
        freed_per_s,
    }
}

#[test]
fn tasks_with_room_all_compete() {
    assert_eq!(backlog(25.0, 0.0).startable(SECOND), 100);
}

#[test]
fn a_full_pool_lets_as_many_start_as_others_end() {
    assert_eq!(backlog(0.0, 5.0).startable(SECOND), 20);
    assert_eq!(backlog(0.0, 5.0).startable(SECOND * 2), 40);
    assert_eq!(backlog(0.0, 0.0).startable(SECOND), 0);
}

#[test]
fn an_empty_backlog_competes_for_nothing() {
    let idle = PoolBacklog::default();
    assert_eq!(idle.startable(SECOND), 0);
}

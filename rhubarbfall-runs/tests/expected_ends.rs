//! When the runs on a worker are expected to end.

use std::time::Duration;

use rhubarbfall_core::BootTime;
use rhubarbfall_runs::{ExpectedEnds, NEVER, Resources};

fn at(seconds: u64) -> BootTime {
    BootTime::new(Duration::from_secs(seconds))
}

fn cpu(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        ..Resources::default()
    }
}

/// Returns the ends of runs that were placed at 100 s, each with its demand and expected end.
fn ends(runs: &[(u64, BootTime)]) -> ExpectedEnds {
    let mut ends = ExpectedEnds::default();
    for (demand, end) in runs {
        ends.push(cpu(*demand));
        ends.set_last(at(100), *end);
    }
    ends
}

/// Guards against a straggler that counts as ended since its forecast has passed: the forecast is made
/// again with the time that it has lasted, and only for it.
#[test]
fn a_run_that_outlasts_its_forecast_is_forecast_again() {
    let mut ends = ends(&[(1, at(102)), (1, at(101))]);
    assert_eq!(ends.empties_at(), at(102));
    let again = |index, lasted: Duration| {
        assert_eq!((index, lasted), (1, Duration::from_secs(1)));
        at(105)
    };
    ends.refresh(at(101), again);
    assert_eq!(ends.empties_at(), at(105));
    ends.swap_remove(1);
    assert_eq!(ends.empties_at(), at(102));
    // Nothing is due, and nothing is asked.
    ends.refresh(at(101), again);
    assert_eq!(ends.empties_at(), at(102));
}

/// Guards against a straggler that counts as ended for as long as another run of its worker lasts: room
/// is then expected at once there, each time that it is looked for.
#[test]
fn a_straggler_beside_a_lasting_run_is_forecast_again() {
    let mut ends = ends(&[(60, NEVER), (40, at(101))]);
    ends.refresh(at(100), |_, _| NEVER);
    ends.refresh(at(102), |index, lasted| {
        assert_eq!((index, lasted), (1, Duration::from_secs(2)));
        at(103)
    });
    let room_at = ends.room_before(NEVER, cpu(0), cpu(40), at(102));
    assert_eq!(room_at, Some(at(103)));
    assert_eq!(ends.empties_at(), NEVER);
}

/// Guards against a new owner that learns wrong durations: it sees the runs that it inherits begin when
/// it takes over.
#[test]
fn only_runs_that_this_owner_placed_have_a_known_duration() {
    let mut ends = ends(&[(1, at(102))]);
    ends.push(cpu(1));
    ends.refresh(at(103), |_, _| at(110));
    assert_eq!(ends.lasted(0, at(104)), Some(Duration::from_secs(4)));
    assert_eq!(ends.lasted(1, at(104)), None);
}

/// Guards against room that is promised where a lasting task stays, or before enough runs have ended.
#[test]
fn room_comes_as_runs_end() {
    let ends = ends(&[(30, at(104)), (30, NEVER), (20, at(102)), (10, at(99))]);
    let times = |demand, tasks| ends.room_times(cpu(10), cpu(demand), tasks, at(101));
    assert_eq!(times(10, 3), [at(101), at(101), at(102)]);
    assert_eq!(times(40, 2), [at(102)]);
    assert_eq!(times(70, 1), [at(104)]);
    assert_eq!(times(71, 1), []);
    let first = |demand, before| ends.room_before(before, cpu(10), cpu(demand), at(101));
    assert_eq!(first(10, NEVER), Some(at(101)));
    assert_eq!(first(40, NEVER), Some(at(102)));
    assert_eq!(first(70, NEVER), Some(at(104)));
    assert_eq!((first(71, NEVER), first(70, at(104))), (None, None));
    assert_eq!(ends.freed_by(at(102)), cpu(30));
}

//! Guards against two faults. An owner whose processor limits the starts spends it on answers that
//! report one end each, so that it starts even less while workers are idle. And an owner that spaces
//! renewals further loses leases, or reports ends later than callers wait for.

use std::time::Duration;

use expect_test::expect;
use rhubarbfall_runs::scheduler::SchedulerSettings;

use super::{BUSY_LONG_POLL_TIMEOUT, MAX_CALL_PAUSE, RenewalLoad, call_pause};

const WORKERS: u64 = 237;

/// The mean time between two ends on a worker that holds three tasks of 860 ms.
const MEAN_END_INTERVAL: Duration = Duration::from_millis(287);

const DURATION: Duration = Duration::from_secs(20);

/// The time that a batch takes to be stored; the next renewal waits for it.
const STORE_TIME: Duration = Duration::from_millis(15);

/// The shortest objective that a queue has on the users' platform.
const SHORTEST_OBJECTIVE: Duration = Duration::from_millis(600);

#[derive(Debug, Default, PartialEq)]
struct Replay {
    calls: u64,
    ends: u64,
    longest_gap: Duration,
    latest_end: Duration,
}

/// Returns the times between a worker's ends, which vary between zero and twice their mean.
fn end_intervals(worker: u64) -> impl Iterator<Item = Duration> {
    let mut state = worker + 1;
    std::iter::repeat_with(move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        MEAN_END_INTERVAL * 2 * ((state >> 33) % 1_000) as u32 / 1_000
    })
}

/// Replays the renewals of workers that hold work. Each timer fires `timer_lateness` late.
fn replay(load: RenewalLoad) -> Replay {
    let mut replay = Replay::default();
    for worker in 0..WORKERS {
        let mut intervals = end_intervals(worker);
        let mut next_end = intervals.next().unwrap_or_default();
        let (mut now, mut answered_at) = (Duration::ZERO, Duration::ZERO);
        while now < DURATION {
            // The worker answers at the next end, or after the longest wait.
            now = now.max(next_end.min(now + BUSY_LONG_POLL_TIMEOUT));
            replay.calls += 1;
            replay.longest_gap = replay.longest_gap.max(now.saturating_sub(answered_at));
            answered_at = now;
            while next_end <= now {
                replay.ends += 1;
                replay.latest_end = replay.latest_end.max(now.saturating_sub(next_end));
                next_end += intervals.next().unwrap_or_default();
            }
            now += (call_pause(load) + load.timer_lateness).max(STORE_TIME);
        }
    }
    replay
}

fn load(lateness_ms: u64, are_starts_limited: bool) -> RenewalLoad {
    RenewalLoad {
        timer_lateness: Duration::from_millis(lateness_ms),
        are_starts_limited,
        has_unconfirmed_starts: false,
    }
}

#[test]
fn ends_are_taken_together_while_the_processor_limits_the_starts() {
    let per_second = |replay: &Replay| replay.calls / DURATION.as_secs();
    let mut calls = Vec::new();
    for lateness_ms in [12, 20, 30, 40] {
        let usual = replay(load(lateness_ms, false));
        let short = replay(load(lateness_ms, true));
        // Fewer calls report the same ends.
        assert!(short.calls * usual.ends < usual.calls * short.ends);
        calls.push((lateness_ms, per_second(&usual), per_second(&short)));
    }
    expect![[r"
        [
            (
                12,
                810,
                674,
            ),
            (
                20,
                787,
                665,
            ),
            (
                30,
                744,
                655,
            ),
            (
                40,
                686,
                644,
            ),
        ]
    "]]
    .assert_debug_eq(&calls);
}

#[test]
fn spaced_renewals_keep_leases_and_report_ends_in_time() {
    let settings = SchedulerSettings::default();
    for lateness_ms in 0..200 {
        let lateness = Duration::from_millis(lateness_ms);
        let short = replay(load(lateness_ms, true));
        assert!(short.latest_end <= SHORTEST_OBJECTIVE / 2 + lateness);
        assert!(short.longest_gap + lateness <= settings.unreachable_after);
    }
    // A worker whose runs go on answers after its full wait; a lease outlasts two such intervals.
    let gap = MAX_CALL_PAUSE + BUSY_LONG_POLL_TIMEOUT;
    assert!(gap < settings.unreachable_after);
    assert!(gap * 2 < settings.lease);
}

#[test]
fn pause_is_as_usual_unless_the_processor_limits_the_starts() {
    let usual = |lateness_ms: u64| Duration::from_millis((20 + 6 * lateness_ms).min(300));
    for lateness_ms in 0..100 {
        assert_eq!(call_pause(load(lateness_ms, false)), usual(lateness_ms));
        // A slow store limits the starts as well, but the processor has time.
        if lateness_ms < 12 {
            assert_eq!(call_pause(load(lateness_ms, true)), usual(lateness_ms));
        }
        let unconfirmed = RenewalLoad {
            has_unconfirmed_starts: true,
            ..load(lateness_ms, true)
        };
        assert_eq!(call_pause(unconfirmed), usual(lateness_ms));
    }
}

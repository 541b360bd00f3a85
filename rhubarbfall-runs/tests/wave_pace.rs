//! The pace of a wave, replayed against what it is given: a turn that needs all VMs, an owner that is
//! lost, a store that is out of reach, and limits of a few VMs. A wave that gives way must not miss its
//! time, and one that has time must not take the VMs of a turn.

use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_runs::scheduler::{PaceReason, VmCycle, WaveLoad, wave_pace};

const TICK: Duration = Duration::from_millis(100);

/// How long a VM is out of service.
const CYCLE: Duration = Duration::from_millis(2_400);

/// A wave and the trouble that it meets.
struct Replay {
    vms: usize,
    max_down: usize,
    duration: Duration,
    /// The VMs that pools do not need, by the time since the request.
    room: fn(Duration) -> usize,
    /// From when until when no call is made.
    outage: (Duration, Duration),
    /// When a new owner takes over, which has seen no VM come back.
    takeover: Option<Duration>,
}

/// How the wave went.
#[derive(Debug)]
struct Course {
    /// When the maintenance of the last VM began.
    took: Duration,
    /// The most VMs in progress while no room was left, and at any time.
    peak_without_room: usize,
    peak: usize,
    reasons: Vec<PaceReason>,
}

const NO_OUTAGE: (Duration, Duration) = (Duration::ZERO, Duration::ZERO);

fn replay(of: &Replay) -> Course {
    let mut cycle = VmCycle::default();
    let mut away: VecDeque<Duration> = VecDeque::new();
    let mut waiting = of.vms;
    let mut course = Course {
        took: Duration::ZERO,
        peak_without_room: 0,
        peak: 0,
        reasons: Vec::new(),
    };
    let mut elapsed = Duration::ZERO;
    while waiting > 0 {
        elapsed += TICK;
        assert!(elapsed < of.duration * 3, "the wave does not end");
        if of.takeover == Some(elapsed) {
            cycle = VmCycle::default();
        }
        while away.front().is_some_and(|back_at| *back_at <= elapsed) {
            away.pop_front();
            cycle.add(CYCLE);
        }
        let room = (of.room)(elapsed).saturating_sub(away.len());
        let is_out = (of.outage.0..of.outage.1).contains(&elapsed);
        let pace = wave_pace(&WaveLoad {
            vms: of.vms,
            not_begun: waiting,
            waiting,
            in_progress: away.len(),
            max_down: of.max_down,
            elapsed,
            duration: of.duration,
            cycle: cycle.mean(),
            room,
        });
        course.reasons.push(pace.reason);
        course.reasons.dedup();
        if !is_out {
            waiting -= pace.more_in_service;
            away.extend(std::iter::repeat_n(elapsed + CYCLE, pace.more_in_service));
        }
        assert!(away.len() <= of.max_down, "{} away", away.len());
        course.peak = course.peak.max(away.len());
        if (of.room)(elapsed) == 0 {
            course.peak_without_room = course.peak_without_room.max(away.len());
        }
    }
    course.took = elapsed;
    course
}

fn large_wave() -> Replay {
    Replay {
        vms: 182,
        max_down: 73,
        duration: Duration::from_secs(25),
        room: |_| usize::MAX,
        outage: NO_OUTAGE,
        takeover: None,
    }
}

/// The wave took 73 VMs at once where 17 to 27 do: it counted twice the time that a VM takes, and doubled
/// that for idle VMs.
#[test]
fn wave_is_spread_over_its_time() {
    let course = replay(&large_wave());
    println!("{course:?}");
    assert!(course.peak <= 30, "{course:?}");
    assert!(course.took <= Duration::from_secs(25), "{course:?}");
    // The last VMs begin when what is left of the time is one VM's.
    assert_eq!(
        course.reasons,
        [PaceReason::Even, PaceReason::Deadline],
        "{course:?}"
    );
}

/// A turn that needs all VMs from one second to eight after the request.
#[test]
fn wave_gives_way_to_a_turn() {
    let of = Replay {
        room: |elapsed| {
            let is_turn = (1..8).contains(&elapsed.as_secs());
            if is_turn { 0 } else { usize::MAX }
        },
        ..large_wave()
    };
    let course = replay(&of);
    println!("{course:?}");
    // Only those of the first second.
    assert!(course.peak_without_room <= 15, "{course:?}");
    assert!(course.took <= of.duration, "{course:?}");
}

/// Pools need all VMs all the time, no call is possible for eight seconds, and the owner changes.
#[test]
fn wave_without_room_is_in_time() {
    let second = Duration::from_secs;
    for begins in 0..20 {
        for takeover in [None, Some(second(begins + 8))] {
            let of = Replay {
                room: |_| 0,
                outage: (second(begins), second(begins + 8)),
                takeover,
                ..large_wave()
            };
            let course = replay(&of);
            assert!(course.took <= of.duration, "from {begins} s: {course:?}");
        }
    }
}

/// One VM at a time, and a wave for each rack of a few VMs, without room for any of them.
#[test]
fn waves_with_small_limits_are_in_time() {
    for (vms, max_down, seconds) in [(6, 1, 25), (1, 1, 5), (3, 1, 15), (20, 4, 25), (12, 12, 10)] {
        let of = Replay {
            vms,
            max_down,
            duration: Duration::from_secs(seconds),
            room: |_| 0,
            outage: NO_OUTAGE,
            takeover: None,
        };
        let course = replay(&of);
        assert!(course.took <= of.duration, "{vms} VMs: {course:?}");
    }
}

/// VMs that no pool counts on, such as those of an evacuated zone, need no room.
#[test]
fn vms_out_of_service_do_not_wait_for_room() {
    let pace = wave_pace(&WaveLoad {
        vms: 40,
        not_begun: 40,
        waiting: 40,
        in_progress: 0,
        max_down: 20,
        elapsed: Duration::from_secs(4),
        duration: Duration::from_secs(28),
        cycle: Duration::from_secs(2),
        room: 0,
    });
    assert_eq!(pace.reason, PaceReason::Yields);
    assert_eq!(pace.more_in_service, 0);
    assert!(pace.more > 0);
}

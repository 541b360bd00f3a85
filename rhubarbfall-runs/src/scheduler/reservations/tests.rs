use std::time::Duration;

use rhubarbfall_core::{BootTime, WorkerId};

use super::super::ordering::Standing;
use super::{Hold, MAX_MOVES, Passage, Passing, Reservation, Reservations, RoomTimes, first_room};
use crate::{Resources, StepId};

fn at(seconds: u64) -> BootTime {
    BootTime::new(Duration::from_secs(seconds))
}

fn worker(number: usize) -> WorkerId {
    format!("w-{number}").parse().expect("valid worker name")
}

fn step(number: u64) -> StepId {
    StepId {
        submission: format!("{number:016x}").parse().expect("valid identifier"),
        occurrence: 0,
        step: 0,
    }
}

fn cpu(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        ..Resources::default()
    }
}

fn holds(number: usize, spare: Resources) -> Vec<Hold> {
    vec![Hold {
        worker: worker(number),
        spare,
    }]
}

fn hold(
    reservations: &mut Reservations,
    number: u64,
    standing: Standing,
    on: usize,
    now: BootTime,
) {
    let service = "labels".parse().expect("valid service name");
    let place = (now + Duration::from_secs(2), holds(on, cpu(10)));
    reservations.hold(service, step(number), standing, place, now);
}

/// Guards against tasks that delay the step for which room is held, and against room that stays
/// empty although others would be done with it in time.
#[test]
fn tasks_that_end_before_or_fit_beside_pass() {
    let mut reservations = Reservations::default();
    hold(&mut reservations, 1, Standing::in_time(1), 1, at(100));
    let (own, other) = (step(1), step(2));
    let passage = |on: usize, step, standing, cpu_millis, end| {
        let passing = Passing {
            step,
            standing,
            reserved: cpu(cpu_millis),
            late_end: end,
        };
        reservations.passage(&worker(on), &passing)
    };
    let (same, better) = (Standing::in_time(1), Standing::in_time(0));
    assert_eq!(passage(1, &other, same, 50, at(102)), Passage::Free);
    assert_eq!(passage(1, &other, same, 10, at(200)), Passage::Free);
    assert_eq!(passage(1, &other, same, 50, at(103)), Passage::Closed);
    assert_eq!(passage(1, &other, better, 50, at(103)), Passage::IfNeeded);
    assert_eq!(passage(1, &own, same, 50, at(103)), Passage::Free);
    assert_eq!(passage(2, &other, same, 50, at(103)), Passage::Free);
}

/// Guards against many small tasks that each fit beside the held room, and together do not.
#[test]
fn what_passes_beside_the_held_room_uses_it_up() {
    let mut reservations = Reservations::default();
    hold(&mut reservations, 1, Standing::in_time(1), 1, at(100));
    let other = step(2);
    let passing = Passing {
        step: &other,
        standing: Standing::in_time(1),
        reserved: cpu(6),
        late_end: at(200),
    };
    assert_eq!(reservations.passage(&worker(1), &passing), Passage::Free);
    reservations.passed(&worker(1), &passing);
    assert_eq!(reservations.passage(&worker(1), &passing), Passage::Closed);
}

/// Guards against a place that moves for ever, since the estimates are wrong each time: after some
/// moves it stays where it is.
#[test]
fn a_reservation_moves_a_bounded_number_of_times() {
    let mut reservations = Reservations::default();
    let service = "labels".parse().expect("valid service name");
    let standing = Standing::in_time(1);
    let (mut now, mut moves) = (at(100), 0);
    hold(&mut reservations, 1, standing, 1, now);
    for _ in 0..100 {
        now = now + Duration::from_secs(1);
        if reservations.is_due(&service, &step(1), standing, now) {
            hold(&mut reservations, 1, standing, 1, now);
            moves += 1;
        }
    }
    assert_eq!(moves, MAX_MOVES);
}

/// Guards against work of a low tier that waits for as long as better ones come: the longest wait of a
/// service holds its place against these, too, and only it does.
#[test]
fn the_longest_wait_of_a_service_is_firm_after_a_time() {
    let mut reservations = Reservations::default();
    hold(&mut reservations, 1, Standing::in_time(2), 1, at(100));
    hold(&mut reservations, 2, Standing::in_time(2), 2, at(100));
    let other = step(9);
    let passages = |reservations: &Reservations| {
        let passing = Passing {
            step: &other,
            standing: Standing::in_time(1),
            reserved: cpu(50),
            late_end: at(500),
        };
        [1, 2].map(|number| reservations.passage(&worker(number), &passing))
    };
    reservations.update(at(109), |held| Some(held.standing), |_, _| true);
    assert_eq!(passages(&reservations), [Passage::IfNeeded; 2]);
    reservations.update(at(110), |held| Some(held.standing), |_, _| true);
    assert_eq!(
        passages(&reservations),
        [Passage::Closed, Passage::IfNeeded]
    );
    // The wait counts on when the worker is lost.
    reservations.update(
        at(111),
        |held| Some(held.standing),
        |worker, _| worker.as_str() != "w-1",
    );
    hold(&mut reservations, 1, Standing::in_time(2), 3, at(111));
    let service = "labels".parse().expect("valid service name");
    let best = Standing::in_time(0);
    assert!(reservations.is_due(&service, &other, best, at(111)));
    hold(&mut reservations, 9, best, 4, at(111));
    assert!(reservations.is_held_for_other(&worker(3), &other));
    assert!(!reservations.is_held_for_other(&worker(2), &other));
}

/// Guards against passes that grow with what waits, and against a lower standing that keeps a better
/// one from a place.
#[test]
fn few_places_are_held_and_better_standings_get_them() {
    let mut reservations = Reservations::default();
    let service = "labels".parse().expect("valid service name");
    hold(&mut reservations, 1, Standing::in_time(1), 1, at(100));
    hold(&mut reservations, 2, Standing::in_time(2), 2, at(100));
    let is_due = |reservations: &Reservations, standing| {
        reservations.is_due(&service, &step(3), standing, at(100))
    };
    assert!(!is_due(&reservations, Standing::in_time(2)));
    assert!(is_due(&reservations, Standing::in_time(1)));
    hold(&mut reservations, 3, Standing::in_time(1), 3, at(100));
    assert!(!reservations.is_held_for_other(&worker(2), &step(9)));
    assert!(reservations.is_held_for_other(&worker(1), &step(9)));
}

/// Guards against a step that never holds its place against better standings, since each of these that
/// comes takes it and makes its wait begin anew.
#[test]
fn a_step_whose_place_better_standings_took_becomes_firm() {
    let mut reservations = Reservations::default();
    let service = "labels".parse().expect("valid service name");
    let (low, best) = (Standing::in_time(2), Standing::in_time(1));
    hold(&mut reservations, 1, low, 1, at(100));
    for number in 2..40 {
        let now = at(100 + number / 4);
        reservations.update(now, |held| Some(held.standing), |_, _| true);
        if number > 4 {
            reservations.remove(&step(number - 3));
        }
        if reservations.is_due(&service, &step(number), best, now) {
            hold(&mut reservations, number, best, number as usize, now);
        }
        if reservations.is_due(&service, &step(1), low, now) {
            hold(&mut reservations, 1, low, 1, now);
        }
    }
    reservations.update(at(111), |held| Some(held.standing), |_, _| true);
    if reservations.is_due(&service, &step(1), low, at(111)) {
        hold(&mut reservations, 1, low, 1, at(111));
    }
    let other = step(99);
    let passing = Passing {
        step: &other,
        standing: best,
        reserved: cpu(50),
        late_end: at(500),
    };
    let passage = reservations.passage(&worker(1), &passing);
    assert_eq!(passage, Passage::Closed);
}

/// Guards against a gang that is promised room which comes at different times: it starts when the
/// last of its members has room.
#[test]
fn a_gang_has_room_when_its_last_member_has() {
    let room = |number, times: &[u64]| RoomTimes {
        reluctance: 0,
        worker: worker(number),
        times: times.iter().map(|seconds| at(*seconds)).collect(),
    };
    let rooms = [room(1, &[101, 109]), room(2, &[103, 104]), room(3, &[])];
    let first = first_room(&rooms, 3);
    assert_eq!(first, Some((at(104), vec![(worker(1), 1), (worker(2), 2)])));
    assert_eq!(first_room(&rooms, 5), None);
}

/// Guards against a step that had a better standing when its place was held, and against one that is
/// not waiting for the service any more: both kept others from room that these may use.
#[test]
fn a_reservation_has_the_present_standing_of_its_step() {
    let mut reservations = Reservations::default();
    hold(&mut reservations, 1, Standing::in_time(1), 1, at(100));
    hold(&mut reservations, 2, Standing::in_time(1), 2, at(100));
    let is_first = |held: &Reservation| held.step == step(1);
    let waits = |held: &Reservation| is_first(held).then_some(Standing::in_time(3));
    reservations.update(at(101), waits, |_, _| true);
    let other = step(9);
    let passing = Passing {
        step: &other,
        standing: Standing::in_time(2),
        reserved: cpu(50),
        late_end: at(500),
    };
    let passages = [1, 2].map(|number| reservations.passage(&worker(number), &passing));
    assert_eq!(passages, [Passage::IfNeeded, Passage::Free]);
}

/// Guards against steps that lost their workers and that no other worker can hold: they took the places
/// of a service for as long as they waited, and no other step was given one.
#[test]
fn steps_without_a_place_keep_no_others_from_one() {
    let mut reservations = Reservations::default();
    let standing = Standing::in_time(1);
    hold(&mut reservations, 1, standing, 1, at(100));
    hold(&mut reservations, 2, standing, 2, at(101));
    reservations.update(at(120), |held| Some(held.standing), |_, _| false);
    assert!(reservations.is_empty());
    let service = "labels".parse().expect("valid service name");
    for number in [3, 4] {
        assert!(reservations.is_due(&service, &step(number), standing, at(120)));
        hold(
            &mut reservations,
            number,
            standing,
            number as usize,
            at(120),
        );
    }
    assert!(!reservations.is_due(&service, &step(5), standing, at(120)));
    // The longest wait gets the next place in any case, another one only if one is left.
    assert!(reservations.is_due(&service, &step(1), standing, at(120)));
    reservations.update(at(121), |held| Some(held.standing), |_, _| true);
    hold(&mut reservations, 1, standing, 1, at(121));
    reservations.update(at(122), |held| Some(held.standing), |_, _| true);
    assert!(!reservations.is_due(&service, &step(2), standing, at(122)));
}

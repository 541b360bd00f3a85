//! No run of a submission goes on after its cancel is acknowledged, whatever happened before: the
//! hand-overs of a cancel and of a stop under trouble, simulated in virtual time.

mod hostile;
mod model;

use hostile::faults::Trouble;
use hostile::{DOUBLE_RUN, STUCK_TASK, World};

/// The number of seeds of a default run.
const SEEDS: u64 = 6;

/// The number of times of trouble in one simulation.
const CYCLES: usize = 3;

/// Returns a number from the environment, for longer runs.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a whole number"))
}

fn simulate(seed: u64, trouble: &[Trouble], cycles: usize) -> World {
    let mut world = World::new(seed, trouble);
    for _ in 0..cycles {
        world.cycle();
    }
    world
}

/// Returns the classes of trouble that the violation needs, of those given.
fn shrink(seed: u64, kind: &str, trouble: &[Trouble]) -> Vec<Trouble> {
    let mut needed = trouble.to_vec();
    for class in trouble {
        let fewer: Vec<Trouble> = needed.iter().copied().filter(|one| one != class).collect();
        if simulate(seed, &fewer, CYCLES).violations.contains_key(kind) {
            needed = fewer;
        }
    }
    needed
}

/// Runs each seed and returns the violations, each with the trouble that it needs.
fn violations(trouble: &[Trouble], is_checked: impl Fn(&str) -> bool) -> Vec<String> {
    let first = setting("CANCELLATION_FIRST", 0);
    let seeds = setting("CANCELLATION_SEEDS", SEEDS);
    if setting("CANCELLATION_LOGS", 0) > 0 {
        hostile::trace::print_logs();
    }
    let mut found = Vec::new();
    let (mut starts, mut stops, mut over) = (0, 0, 0);
    for seed in first..first + seeds {
        let world = simulate(seed, trouble, CYCLES);
        starts += world.starts;
        stops += world.stops;
        over += world.over();
        for (kind, text) in world.violations.iter().filter(|(kind, _)| is_checked(kind)) {
            let needed = if setting("CANCELLATION_SHRINK", 0) > 0 {
                shrink(seed, kind, trouble)
            } else {
                trouble.to_vec()
            };
            found.push(format!("seed {seed}: {kind} with {needed:?}: {text}"));
        }
    }
    println!("{seeds} seeds: {starts} starts, {stops} stops, {over} submissions over");
    found
}

/// A run that goes on after its submission's cancel: a stop that is lost, a placement that its
/// worker does not have, or a worker that is removed and listed again. Gangs, tasks with two runs
/// and tasks that stay placed are left to the test below.
#[test]
fn no_run_goes_on_after_its_submission_has_ended() {
    let mut trouble = Trouble::ALL.to_vec();
    trouble.retain(|class| *class != Trouble::Gangs);
    let found = violations(&trouble, |kind| ![DOUBLE_RUN, STUCK_TASK].contains(&kind));
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A placement that outlives its run, or a run that outlives its placement, whatever the step.
#[test]
fn placements_and_runs_agree_under_every_trouble() {
    let found = violations(&Trouble::ALL, |_| true);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A start that is on its way, held back or repeated by a new owner while its zone is evacuated, and
/// tasks that leave such a zone beside every other trouble.
#[test]
fn nothing_starts_in_an_evacuated_zone_beyond_the_bound() {
    let mut trouble = Trouble::ALL.to_vec();
    trouble.push(Trouble::Zones);
    let found = violations(&trouble, |_| true);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

/// A call that is meant for an earlier life of a worker: its acknowledgement makes the present life
/// forget ends, its lease outlasts what the owner counts, and its start runs beside another one.
#[test]
fn calls_for_earlier_lives_of_restarted_workers_have_no_effect() {
    let mut trouble = Trouble::ALL.to_vec();
    trouble.push(Trouble::Restarts);
    let found = violations(&trouble, |_| true);
    assert!(found.is_empty(), "{}", found.join("\n"));
}

//! The forecast of how long runs last.

use std::time::Duration;

use rhubarbfall_core::{BootTime, CustomerId, QueueId};
use rhubarbfall_runs::scheduler::run_estimates::{Forecast, RunEstimates, RunKind};

const NOW: BootTime = BootTime::new(Duration::from_secs(100));

fn queue() -> QueueId {
    "labels".parse().expect("valid queue name")
}

fn customer(number: usize) -> CustomerId {
    let name = format!("house-{number}");
    name.parse().expect("valid customer name")
}

fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

/// Records runs of `house-0`, each with its announced and its true duration.
fn learned(runs: impl IntoIterator<Item = (u64, u64)>) -> RunEstimates {
    let mut estimates = RunEstimates::default();
    for (announced_ms, lasted_ms) in runs {
        record(&mut estimates, 0, announced_ms, lasted_ms);
    }
    estimates
}

fn record(estimates: &mut RunEstimates, number: usize, announced_ms: u64, lasted_ms: u64) {
    let (queue, customer) = (queue(), customer(number));
    let kind = RunKind {
        queue: &queue,
        customer: Some(&customer),
        announced: ms(announced_ms),
    };
    estimates.record(kind, ms(lasted_ms), NOW);
}

fn forecast(
    estimates: &RunEstimates,
    number: usize,
    announced_ms: u64,
    elapsed_ms: u64,
) -> Forecast {
    let (queue, customer) = (queue(), customer(number));
    let kind = RunKind {
        queue: &queue,
        customer: Some(&customer),
        announced: ms(announced_ms),
    };
    estimates.forecast(kind, ms(elapsed_ms))
}

fn assert_between(value: Duration, low_ms: u64, high_ms: u64) {
    assert!(
        value >= ms(low_ms) && value <= ms(high_ms),
        "{value:?} is not within {low_ms} to {high_ms} ms"
    );
}

/// Guards against an owner that knows nothing and forecasts nothing: a new owner has only what was
/// announced.
#[test]
fn the_announced_estimate_counts_until_runs_have_ended() {
    let estimates = RunEstimates::default();
    let new = forecast(&estimates, 0, 1_000, 0);
    assert_eq!((new.likely, new.late), (ms(1_000), ms(2_000)));
    let overdue = forecast(&estimates, 0, 1_000, 4_000);
    assert_eq!((overdue.likely, overdue.late), (ms(2_000), ms(4_000)));
}

/// Guards against estimates that are taken as they come: they are off by 20 to 90% by kind of request.
#[test]
fn a_customer_that_announces_half_is_known_for_it() {
    let estimates = learned((0..40).map(|_| (500, 1_000)));
    assert_between(forecast(&estimates, 0, 500, 0).likely, 900, 1_300);
    assert_between(forecast(&estimates, 0, 500, 0).late, 900, 1_300);
}

/// Guards against a straggler that counts as about to end: one run in ten takes seven times as long,
/// and one that has outlasted the others is one of these.
#[test]
fn a_run_that_outlasts_the_others_is_known_as_a_straggler() {
    let estimates = learned((0..100).map(|run| (1_000, if run % 10 == 0 { 7_000 } else { 1_000 })));
    let new = forecast(&estimates, 0, 1_000, 0).likely;
    let straggler = forecast(&estimates, 0, 1_000, 1_500).likely;
    assert_between(new, 900, 1_300);
    assert_between(straggler, 5_000, 7_000);
    let longer = forecast(&estimates, 0, 1_000, 20_000);
    assert_eq!((longer.likely, longer.late), (ms(10_000), ms(20_000)));
}

/// Guards against a customer of whom nothing is known and who is believed: its queue's runs count.
#[test]
fn a_new_customer_is_judged_by_its_queue() {
    let estimates = learned((0..40).map(|_| (1_000, 2_000)));
    assert_between(forecast(&estimates, 1, 1_000, 0).likely, 1_800, 2_600);
}

/// Guards against nonsense that pays: runs that are announced as short pass where room is held. A
/// customer that always does so, at times, or at random is forecast no less than it takes.
#[test]
fn announcing_nonsense_shortens_no_late_forecast() {
    let always = learned((0..100).map(|_| (1, 1_000)));
    let at_times = learned((0..100).map(|run| (if run % 20 == 0 { 1 } else { 1_000 }, 1_000)));
    let every_sixth = learned((0..120).map(|run| (if run % 6 == 0 { 1 } else { 1_000 }, 1_000)));
    let at_random = learned((0..100u64).map(|run| (1 << (run * 7 % 16), 1_000)));
    for (name, estimates) in [
        ("always", always),
        ("at times", at_times),
        ("every sixth", every_sixth),
        ("at random", at_random),
    ] {
        let late = forecast(&estimates, 0, 1, 0).late;
        assert!(late >= ms(900), "{name}: {late:?}");
    }
}

/// Guards against forecasts that follow a change of the work only after hours.
#[test]
fn recent_runs_weigh_most() {
    let mut estimates = learned((0..1_000).map(|_| (1_000, 1_000)));
    for _ in 0..300 {
        record(&mut estimates, 0, 1_000, 3_000);
    }
    assert_between(forecast(&estimates, 0, 1_000, 0).likely, 2_500, 3_700);
}

/// Guards against memory that grows with the customers.
#[test]
fn the_runs_of_a_bounded_number_of_customers_are_remembered() {
    let mut estimates = RunEstimates::default();
    for number in 0..2_000 {
        record(&mut estimates, number, 1_000, 1_000);
    }
    assert!(estimates.kinds() <= 65, "{} histograms", estimates.kinds());
}

//! Deviation of each team's running slots from its fair share, simulated in virtual time.
//!
//! Guards against shares that drift from weighted max-min fairness when demand shifts, summaries
//! are stale, a zone is partitioned or arrivals are skewed. Two baselines are printed for
//! comparison.

mod shares_model;

use shares_model::{Baseline, FLEET_RATE_PER_S, Scenario, run_baseline, run_shares};

/// Two teams at a time submit five times the mean rate, the others a twentieth of it.
fn by_turns(team: usize, seconds: f64) -> f64 {
    const TURN_S: f64 = 20.0;
    let mean = FLEET_RATE_PER_S / 6.0;
    let first = (seconds / TURN_S) as usize % 6;
    if team == first || team == (first + 1) % 6 {
        mean * 5.0
    } else {
        mean / 20.0
    }
}

/// Every team submits more than its share.
fn all_saturated(team: usize, _seconds: f64) -> f64 {
    FLEET_RATE_PER_S / 6.0 * (1.2 + 0.2 * team as f64)
}

/// One team submits at ten times the rate of each other team.
fn one_large(team: usize, _seconds: f64) -> f64 {
    FLEET_RATE_PER_S / 6.0 * if team == 0 { 12.0 } else { 1.2 }
}

fn new(rate: fn(usize, f64) -> f64) -> Scenario {
    Scenario {
        rate,
        seconds: 60,
        ..Scenario::default()
    }
}

/// Fails if a team with waiting requests deviates from its share by more than 5% or one slot,
/// whichever is larger, in any 10 s window.
fn check(scenarios: Vec<(&str, Scenario)>) {
    let mut failures = Vec::new();
    for (name, scenario) in scenarios {
        let report = run_shares(&scenario);
        let deviation = report.deviation();
        println!(
            "{name}: {deviation}, utilisation {:.3}",
            report.utilisation()
        );
        for baseline in [Baseline::FirstComeFirstServed, Baseline::StaticSplit] {
            let report = run_baseline(&scenario, baseline);
            let utilisation = report.utilisation();
            println!(
                "  {baseline:?}: {}, utilisation {utilisation:.3}",
                report.deviation()
            );
        }
        assert!(
            deviation.windows > 0,
            "{name}: the scenario has no saturated window"
        );
        if deviation.worst_ratio > 1.0 {
            failures.push(format!("{name}: {deviation}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn waiting_teams_hold_their_fair_portions() {
    check(vec![
        (
            "demand by turns",
            Scenario {
                seconds: 120,
                ..new(by_turns)
            },
        ),
        ("one large team, five small", new(one_large)),
        (
            "one entry of each zone gets most",
            Scenario {
                skew_in_zone: 0.8,
                ..new(all_saturated)
            },
        ),
    ]);
}

#[test]
fn fair_portions_hold_with_a_zone_cut_off() {
    check(vec![(
        "one zone cut off",
        Scenario {
            is_last_zone_cut_off: true,
            ..new(all_saturated)
        },
    )]);
}

#[test]
fn fair_portions_hold_with_old_summaries() {
    check(vec![(
        "summaries 2 s old",
        Scenario {
            summary_age_divisions: 20,
            ..new(all_saturated)
        },
    )]);
}

#[test]
fn fair_portions_hold_when_most_of_a_team_arrives_in_one_zone() {
    check(vec![
        (
            "skewed arrival",
            Scenario {
                skew: 0.8,
                ..new(all_saturated)
            },
        ),
        (
            "demand by turns, skewed arrival",
            Scenario {
                seconds: 120,
                skew: 0.8,
                ..new(by_turns)
            },
        ),
    ]);
}

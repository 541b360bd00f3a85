//! Maintenance waves over whole fleets in virtual time: a wave must neither exceed a budget nor
//! interrupt requests, also under faults, and must end close to the arithmetic lower bound.

mod harness;

use std::time::Duration;

use harness::{Faults, Fleet, RebootOutcome, Shape};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::{PoolId, VmId, WaveId};
use rhubarbfall_fleet::{
    FleetTimings, Reason, SizerPolicy, StopReason, Subject, VmRowState, WavePolicy, WaveStatus,
};

const TICK: Duration = Duration::from_secs(1);
const DUE: Duration = Duration::from_hours(6);
const SLOTS_PER_VM: u32 = 8;

/// Maximum ratio of the roll-out time to the arithmetic lower bound.
const ROLL_OUT_BOUND: f64 = 1.25;

fn wave() -> WaveId {
    "wave-1".parse().expect("valid ID")
}

fn vm(number: u32) -> VmId {
    format!("vm-{number:04}").parse().expect("valid ID")
}

fn timings() -> FleetTimings {
    FleetTimings::default().longest_request(Duration::from_secs(15))
}

fn fleet(shape: &Shape, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(
        shape,
        timings(),
        WavePolicy::default(),
        SizerPolicy::default(),
        seed,
    );
    fleet.announce_all(&wave(), DUE);
    fleet
}

/// The reboot rounds of the pool that needs most, each as long as a reboot and its health checks.
fn lower_bound(fleet: &Fleet, shape: &Shape) -> Duration {
    let rounds = shape
        .pools
        .iter()
        .map(|(_, vms, budget)| vms.div_ceil(*budget as usize))
        .max()
        .unwrap_or(0);
    (fleet.reboot_time + fleet.timings.min_healthy_time) * rounds as u32
}

/// Gives each queue in turn five times its mean demand, and a twentieth in between.
fn rotate_demand_peak(fleet: &mut Fleet, shape: &Shape, peak_time: Duration) {
    let elapsed = (fleet.now - fleet.start).as_secs();
    let peak = elapsed / peak_time.as_secs() % shape.pools.len() as u64;
    for (index, (pool, ..)) in shape.pools.iter().enumerate() {
        let pool: PoolId = pool.parse().expect("valid ID");
        let percent = if index as u64 == peak { 125 } else { 2 };
        fleet.set_demand_percent(&pool, percent, SLOTS_PER_VM);
    }
}

fn roll_out(shape: &Shape, seed: u64) -> (f64, u32, u32) {
    let mut fleet = fleet(shape, seed);
    let taken = fleet.run(TICK, DUE * 2, |fleet| {
        rotate_demand_peak(fleet, shape, Duration::from_mins(2));
        fleet.is_wave_done()
    });
    let taken = taken.expect("the wave ends in time");
    let ratio = taken.as_secs_f64() / lower_bound(&fleet, shape).as_secs_f64();
    (
        ratio,
        fleet.table.budget_violations,
        fleet.interrupted_requests,
    )
}

#[test]
fn waves_end_within_the_bound_and_the_budget() {
    for shape in [
        Shape::three_zones(1),
        Shape::three_zones(2),
        Shape::four_zones(1),
        Shape::four_zones(2),
    ] {
        let (ratio, budget_violations, interrupted) = roll_out(&shape, 7);
        println!(
            "zones {} budget {}: ratio {ratio:.3}",
            shape.zones, shape.pools[0].2
        );
        assert_eq!((budget_violations, interrupted), (0, 0));
        assert!(ratio <= ROLL_OUT_BOUND, "{} zones: {ratio}", shape.zones);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn faults_break_neither_budget_nor_requests(seed in any::<u64>(), budget in 1_u32..3) {
        let shape = Shape::three_zones(budget);
        let mut fleet = fleet(&shape, seed);
        fleet.reboot_time = Duration::from_mins(1);
        fleet.faults = Faults {
            lose_answer: 0.1,
            drop_write: 0.1,
            crash: 0.005,
            pause_holder: 0.01,
            pause_entry: 0.005,
            second_holder: 0.01,
        };
        let taken = fleet.run(TICK, DUE, |fleet| fleet.is_wave_done());
        prop_assert!(taken.is_some(), "the wave did not end in time");
        prop_assert_eq!(fleet.table.budget_violations, 0);
        prop_assert_eq!(fleet.interrupted_requests, 0);
        prop_assert_eq!(fleet.wrong_pool_routes, 0);
    }
}

#[test]
fn a_vm_that_stays_down_stops_the_wave_and_is_named_as_the_reason() {
    let mut fleet = fleet(&Shape::three_zones(2), 1);
    fleet.timings = timings();
    fleet.run(TICK, Duration::from_secs(5), |_| false);
    let first = first_out(&fleet);
    fleet
        .reboot_outcomes
        .insert(first.clone(), RebootOutcome::StaysDown);
    fleet.run(TICK, Duration::from_mins(25), |_| false);
    let row = &fleet
        .table
        .rows
        .waves
        .get(&wave())
        .expect("the wave exists")
        .value;
    assert!(row.granted_vms < 50, "the wave was not stopped: {row:?}");
    let WaveStatus::Stopped {
        reason: StopReason::NotBack { vm, .. },
    } = &row.status
    else {
        panic!("expected a wave stopped by a VM that is not back: {row:?}");
    };
    assert_eq!(*vm, first);
    let pool = &fleet.row(&first).pool;
    let ledger = &fleet.table.rows.pools.get(pool).expect("exists").value;
    assert!(ledger.outages.contains_key(&first));
    let zone = fleet.row(&first).zone.clone();
    let decisions = fleet
        .holder(&zone)
        .reasons()
        .explain(&Subject::Wave(wave()));
    assert!(matches!(decisions[0].reason, Reason::WaveStopped { .. }));
}

fn first_out(fleet: &Fleet) -> VmId {
    let mut rows = fleet.table.rows.vms.values();
    let row = rows.find(|row| row.value.state != VmRowState::InService);
    row.expect("a drain has begun").value.vm.clone()
}

#[test]
fn vms_that_fail_after_their_return_stop_the_wave() {
    let shape = Shape::three_zones(2);
    let mut fleet = fleet(&shape, 2);
    for number in 0..50 {
        let outcome = RebootOutcome::FailsAfter(Duration::from_secs(40));
        fleet.reboot_outcomes.insert(vm(number), outcome);
    }
    fleet.run(TICK, Duration::from_hours(1), |_| false);
    let row = &fleet.table.rows.waves.get(&wave()).expect("exists").value;
    let is_stopped = matches!(
        row.status,
        WaveStatus::Stopped {
            reason: StopReason::FailedAfterReturn { .. }
        }
    );
    assert!(is_stopped, "{row:?}");
    assert!(row.granted_vms <= 24, "{row:?}");
    assert_eq!(fleet.table.budget_violations, 0);
}

#[test]
fn a_rack_lost_mid_wave_spends_the_budget_of_its_pools() {
    let mut fleet = fleet(&Shape::three_zones(2), 3);
    fleet.run(TICK, Duration::from_secs(200), |_| false);
    let rack = fleet.row(&vm(49)).rack.clone();
    let rows: Vec<_> = fleet
        .table
        .rows
        .vms
        .values()
        .map(|row| row.value.clone())
        .collect();
    for row in rows.iter().filter(|row| row.rack == rack) {
        fleet.set_health(&row.vm, false);
    }
    fleet.run(TICK, Duration::from_secs(2000), |_| false);
    assert_eq!(fleet.table.budget_violations, 0);
    assert!(!fleet.is_wave_done());
    for row in rows.iter().filter(|row| row.rack == rack) {
        fleet.set_health(&row.vm, true);
    }
    let stopped = fleet
        .table
        .rows
        .waves
        .get(&wave())
        .expect("exists")
        .value
        .status
        .clone();
    if stopped != WaveStatus::Running {
        fleet.set_status(&wave(), WaveStatus::Running);
    }
    assert!(fleet.run(TICK, DUE, |fleet| fleet.is_wave_done()).is_some());
    assert_eq!(fleet.table.budget_violations, 0);
}

#[test]
fn a_reboot_without_permit_counts_as_an_outage() {
    let mut fleet = fleet(&Shape::three_zones(1), 4);
    fleet.reboot_without_permit(&vm(0));
    fleet.run(TICK, Duration::from_secs(10), |_| false);
    let row = fleet.row(&vm(0)).clone();
    let ledger = &fleet.table.rows.pools.get(&row.pool).expect("exists").value;
    assert!(ledger.outages.contains_key(&row.vm));
    assert!(ledger.permits.is_empty(), "budget exceeded");
    let decisions = fleet
        .holder(&row.zone)
        .reasons()
        .explain(&Subject::Vm(row.vm.clone()));
    let is_match = |reason: &Reason| matches!(reason, Reason::RebootedWithoutPermit { .. });
    assert!(decisions.iter().any(|decision| is_match(&decision.reason)));
    assert!(fleet.run(TICK, DUE, |fleet| fleet.is_wave_done()).is_some());
    assert_eq!(fleet.table.budget_violations, 0);
}

#[test]
fn a_table_outage_stops_grants_and_exceeds_no_budget() {
    let mut fleet = fleet(&Shape::four_zones(2), 5);
    fleet.run(TICK, Duration::from_mins(1), |_| false);
    let before = fleet.table.rows.clone();
    fleet.table_up = false;
    fleet.run(TICK, Duration::from_hours(1), |_| false);
    assert_eq!(fleet.table.rows, before);
    fleet.table_up = true;
    assert!(fleet.run(TICK, DUE, |fleet| fleet.is_wave_done()).is_some());
    assert_eq!(
        (fleet.table.budget_violations, fleet.interrupted_requests),
        (0, 0)
    );
}

#[test]
fn a_paused_wave_finishes_what_it_began_and_a_stopped_one_undoes_drains() {
    let mut fleet = fleet(&Shape::three_zones(2), 6);
    fleet.run(TICK, Duration::from_secs(3), |_| false);
    fleet.set_status(&wave(), WaveStatus::Paused);
    let granted = |fleet: &Fleet| {
        let row = fleet.table.rows.waves.get(&wave()).expect("exists");
        (row.value.granted_vms, row.value.done_vms)
    };
    let (granted_before, _) = granted(&fleet);
    fleet.run(TICK, Duration::from_mins(10), |_| false);
    assert_eq!(granted(&fleet), (granted_before, granted_before));
    fleet.set_status(&wave(), WaveStatus::Running);
    fleet.run(TICK, Duration::from_secs(2), |_| false);
    let reason = StopReason::Operator;
    fleet.set_status(&wave(), WaveStatus::Stopped { reason });
    fleet.run(TICK, Duration::from_mins(2), |_| false);
    assert_eq!(
        granted(&fleet),
        (granted_before, granted_before),
        "drains were not undone"
    );
}

//! Moves between pools: a VM must never be routed to for two pools at once, also under faults, and
//! moves that follow demand must reduce waiting without too many moves.

mod harness;

use std::time::Duration;

use harness::{Faults, Fleet, Shape};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::{LiteMap, PoolId, Slots, VmCount, VmId};
use rhubarbfall_fleet::{FleetTimings, PoolDemand, SizerPolicy, VmRowState, WavePolicy};

const TICK: Duration = Duration::from_secs(1);
const SLOTS_PER_VM: u32 = 8;

/// Duration of one request in the fluid model of the queues, in seconds.
const REQUEST_S: u32 = 10;

fn pool(name: &str) -> PoolId {
    name.parse().expect("valid ID")
}

fn vm(number: u32) -> VmId {
    format!("vm-{number:04}").parse().expect("valid ID")
}

fn fleet(sizer: SizerPolicy, seed: u64) -> Fleet {
    let timings = FleetTimings::default().longest_request(Duration::from_secs(15));
    let shape = Shape::three_zones(2);
    Fleet::new(&shape, timings, WavePolicy::default(), sizer, seed)
}

fn request_move(fleet: &mut Fleet, vm: &VmId, to: &str) {
    let row = fleet.table.rows.vms.get_mut(vm).expect("the VM exists");
    row.version = row.version.next();
    row.value.wanted_pool = Some(pool(to));
}

fn has_moved(fleet: &Fleet, vm: &VmId, to: &str) -> bool {
    let row = fleet.row(vm);
    row.pool == pool(to) && row.state == VmRowState::InService && row.wanted_pool.is_none()
}

#[test]
fn a_requested_move_drains_changes_pool_and_warms_up() {
    let mut fleet = fleet(SizerPolicy::default(), 1);
    request_move(&mut fleet, &vm(0), "service-4");
    let taken = fleet.run(TICK, Duration::from_mins(2), |fleet| {
        has_moved(fleet, &vm(0), "service-4")
    });
    assert!(taken.is_some_and(|taken| taken >= fleet.timings.min_healthy_time));
    assert_eq!(fleet.table.moves, 1);
    assert_eq!(
        (fleet.wrong_pool_routes, fleet.table.budget_violations),
        (0, 0)
    );
}

#[test]
fn a_holder_that_dies_at_any_second_leaves_the_move_to_its_successor() {
    for second in 1..40 {
        let mut fleet = fleet(SizerPolicy::default(), second);
        request_move(&mut fleet, &vm(0), "service-4");
        fleet.run(TICK, Duration::from_secs(second), |_| false);
        fleet.replace_holder(0);
        let taken = fleet.run(TICK, Duration::from_mins(2), |fleet| {
            has_moved(fleet, &vm(0), "service-4")
        });
        assert!(taken.is_some(), "holder replaced after {second} s");
        assert_eq!(fleet.table.moves, 1);
        assert_eq!(
            (fleet.wrong_pool_routes, fleet.table.budget_violations),
            (0, 0)
        );
    }
}

#[test]
fn a_paused_entry_delays_the_move_until_its_view_has_expired() {
    let mut fleet = fleet(SizerPolicy::default(), 3);
    fleet.run(TICK, Duration::from_secs(5), |_| false);
    fleet.pause_entry(0, 0, Duration::from_mins(5));
    request_move(&mut fleet, &vm(0), "service-4");
    let limit = fleet.timings.drain_limit().expect("views expire");
    let taken = fleet.run(TICK, Duration::from_secs(200), |fleet| {
        fleet.row(&vm(0)).pool == pool("service-4")
    });
    let taken = taken.expect("the move ends without the paused entry");
    assert!(taken >= limit, "moved after {taken:?}, limit {limit:?}");
    fleet.run(TICK, Duration::from_secs(400), |_| false);
    assert_eq!(fleet.wrong_pool_routes, 0);
}

#[test]
fn a_retired_pool_gives_its_vms_to_the_spare_pool() {
    let sizer = SizerPolicy::default().spare_pool(Some(pool("spare")));
    let mut fleet = fleet(sizer, 4);
    fleet.run(TICK, Duration::from_secs(5), |_| false);
    fleet.budgets.remove(&pool("service-0"));
    let taken = fleet.run(TICK, Duration::from_mins(20), |fleet| {
        (0..8).all(|number| has_moved(fleet, &vm(number), "spare"))
    });
    assert!(taken.is_some());
    assert_eq!(fleet.table.budget_violations, 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn faults_never_put_a_vm_in_two_pools(seed in any::<u64>()) {
        let mut fleet = fleet(always_move(), seed);
        fleet.faults = Faults {
            lose_answer: 0.1,
            drop_write: 0.1,
            crash: 0.01,
            pause_holder: 0.02,
            pause_entry: 0.01,
            second_holder: 0.02,
        };
        fleet.run(TICK, Duration::from_mins(25), |fleet| {
            let elapsed = (fleet.now - fleet.start).as_secs();
            for index in 0..5 {
                let percent = if elapsed / 200 % 5 == index { 150 } else { 2 };
                fleet.set_demand_percent(&pool(&format!("service-{index}")), percent, SLOTS_PER_VM);
            }
            false
        });
        prop_assert!(fleet.table.moves > 10);
        prop_assert_eq!((fleet.wrong_pool_routes, fleet.table.budget_violations), (0, 0));
    }
}

/// Follows demand immediately, whatever a move costs.
fn always_move() -> SizerPolicy {
    SizerPolicy {
        spare_pool: Some(pool("spare")),
        grow_percent: 100,
        shrink_percent: 90,
        grow_after: Duration::ZERO,
        shrink_after: Duration::ZERO,
        waiting_percent: 100,
        min_gain_percent: 0,
        ..SizerPolicy::default()
    }
}

fn never_move() -> SizerPolicy {
    SizerPolicy {
        grow_after: Duration::MAX,
        ..SizerPolicy::default()
    }
}

fn default_with_spare_pool() -> SizerPolicy {
    SizerPolicy::default().spare_pool(Some(pool("spare")))
}

/// The cost of a policy over a run.
#[derive(Debug)]
#[allow(dead_code, reason = "printed as a measurement")]
struct Cost {
    waiting_slot_hours: f64,
    moves: u32,
    spare_vm_hours: f64,
}

/// Runs five services, each in turn with five times the mean demand while the others have a
/// twentieth of it.
fn run_rotating_peaks(sizer: SizerPolicy, peak_time: Duration, mean_percent: f64) -> Cost {
    let mut fleet = fleet(sizer, 9);
    let services = (0..5).map(|index| (pool(&format!("service-{index}")), VmCount::new(7)));
    let spare = (pool("spare"), VmCount::new(4));
    fleet.set_minimums(services.chain([spare]).collect());
    let mut backlog_slot_s = [0.0_f64; 5];
    let mut waited_slot_s = 0.0;
    let mut spare_vm_s = 0.0;
    let tick = Duration::from_secs(5);
    let base_slots = 8.4 * f64::from(SLOTS_PER_VM);
    fleet.run(tick, peak_time * 20, |fleet| {
        let elapsed = (fleet.now - fleet.start).as_secs();
        let peak = elapsed / peak_time.as_secs() % 5;
        let mut demand = LiteMap::new();
        for (index, backlog) in backlog_slot_s.iter_mut().enumerate() {
            let factor = if index as u64 == peak { 5.0 } else { 0.05 };
            let offered = base_slots * mean_percent / 100.0 * factor;
            let id = pool(&format!("service-{index}"));
            let capacity = f64::from(in_service(fleet, &id) * SLOTS_PER_VM);
            *backlog = (*backlog + (offered - capacity) * tick.as_secs_f64()).max(0.0);
            let waiting = *backlog / f64::from(REQUEST_S);
            waited_slot_s += waiting * tick.as_secs_f64();
            let asked = PoolDemand {
                running_slots: Slots::new(offered.min(capacity) as u32),
                waiting_slots: Slots::new((waiting + (offered - capacity).max(0.0)) as u32),
                slots_per_vm: Slots::new(SLOTS_PER_VM),
            };
            demand.insert(id, asked);
        }
        fleet.demand = demand;
        spare_vm_s += f64::from(in_service(fleet, &pool("spare"))) * tick.as_secs_f64();
        false
    });
    assert_eq!(
        (fleet.table.budget_violations, fleet.wrong_pool_routes),
        (0, 0)
    );
    Cost {
        waiting_slot_hours: waited_slot_s / 3600.0,
        moves: fleet.table.moves,
        spare_vm_hours: spare_vm_s / 3600.0,
    }
}

fn in_service(fleet: &Fleet, pool: &PoolId) -> u32 {
    let rows = fleet.table.rows.vms.values();
    let is_in = |row: &rhubarbfall_fleet::VmRow| row.pool == *pool && row.is_routable();
    rows.filter(|row| is_in(&row.value)).count() as u32
}

#[test]
fn long_demand_peaks_move_vms_and_short_ones_do_not() {
    let mut costs = Vec::new();
    for peak_time in [60, 300, 1800] {
        let peak_time = Duration::from_secs(peak_time);
        for (name, policy) in [
            ("never", never_move()),
            ("always", always_move()),
            ("hysteresis", default_with_spare_pool()),
        ] {
            let cost = run_rotating_peaks(policy, peak_time, 27.0);
            println!("peak {peak_time:?} {name}: {cost:?}");
            costs.push(cost);
        }
    }
    let [
        never_short,
        always_short,
        short,
        _,
        _,
        _,
        never_long,
        always_long,
        long,
    ] = &costs[..]
    else {
        panic!("expected nine costs");
    };
    assert!(short.moves * 4 <= always_short.moves, "short peaks");
    assert!(
        long.waiting_slot_hours * 2.0 <= never_long.waiting_slot_hours,
        "long peaks"
    );
    assert!(
        short.waiting_slot_hours <= never_short.waiting_slot_hours,
        "short peaks"
    );
    assert!(long.moves <= always_long.moves, "long peaks");
}

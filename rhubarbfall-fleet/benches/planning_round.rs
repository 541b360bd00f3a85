//! Duration of one planning round of one zone, at several fleet sizes.

use std::time::Instant;

use rhubarbfall_core::{FencingNumber, LiteMap, PoolId, Revision, RowVersion, VmCount};
use rhubarbfall_fleet::{
    Announcement, AnnouncementState, Budget, FleetTimings, Observation, SizerPolicy, Versioned,
    VmRow, WavePolicy, ZoneFleet,
};

const ZONES: usize = 9;
const VMS_PER_POOL: usize = 43;
const VMS_PER_RACK: usize = 4;

fn main() {
    divan::main();
}

fn observation(vms: usize) -> Observation {
    let now = Instant::now();
    let mut observation = Observation {
        fence: Some(FencingNumber::new(1)),
        ..Observation::default()
    };
    let mut announcements = Vec::new();
    for number in 0..vms {
        let row = row(number);
        announcements.push(Announcement {
            wave: "wave-1".parse().expect("valid ID"),
            vm: row.vm.clone(),
            zone: row.zone.clone(),
            rack: row.rack.clone(),
            due_at_unix_ms: u64::MAX,
            state: AnnouncementState::Announced,
        });
        let health = rhubarbfall_fleet::Health {
            is_healthy: true,
            since: now,
        };
        observation.health.insert(row.vm.clone(), health);
        let budget = Budget {
            max_unavailable_vms: VmCount::new(4),
            revision: Revision::new(1),
        };
        observation.budgets.insert(row.pool.clone(), budget);
        let row = Versioned::new(RowVersion::new(1), row);
        observation.rows.vms.insert(row.value.vm.clone(), row);
    }
    observation.announcements = Some(announcements);
    observation
}

fn row(number: usize) -> VmRow {
    let zone = number % ZONES;
    let rack = number / ZONES / VMS_PER_RACK;
    VmRow::new(
        format!("vm-{number:05}").parse().expect("valid ID"),
        format!("zone-{zone}").parse().expect("valid ID"),
        format!("zone-{zone}-rack-{rack}")
            .parse()
            .expect("valid ID"),
        pool(number / VMS_PER_POOL),
    )
}

fn pool(number: usize) -> PoolId {
    format!("pool-{number:03}").parse().expect("valid ID")
}

#[divan::bench(args = [50, 725, 1450, 2900, 5800])]
fn round(bencher: divan::Bencher<'_, '_>, vms: usize) {
    let observation = observation(vms);
    bencher
        .with_inputs(|| {
            let mut fleet = ZoneFleet::new(
                "bench",
                "zone-0".parse().expect("valid ID"),
                FleetTimings::default(),
                WavePolicy::default(),
                SizerPolicy::default(),
            );
            fleet.set_minimums(LiteMap::new());
            fleet
        })
        .bench_refs(|fleet| fleet.round(&observation, Instant::now()));
}

use rhubarbfall_core::{AvailabilityZoneId, LiteMap};
use rhubarbfall_fleet::{PlanInput, PlannedVm, Rows, WavePlanner};
use rhubarbfall_platform::PlatformError;

use super::fleet_registration::add_demand;
use super::read_rows::{read_announcements, read_entries, read_rows};
use crate::Shared;

/// Plans every wave in every zone, as the lease holders would from the current rows.
pub(super) async fn plan_waves(
    shared: &Shared,
    now_unix_ms: u64,
) -> Result<Vec<PlannedVm>, PlatformError> {
    let rows = read_rows(shared).await?;
    let announcements = read_announcements(shared).await?;
    let mut demand = LiteMap::new();
    for entry in read_entries(shared).await? {
        add_demand(&mut demand, &entry.demand);
    }
    let timings = shared.settings.fleet.timings();
    let mut plan = Vec::new();
    for zone in zones(&rows) {
        let input = PlanInput {
            zone: &zone,
            rows: &rows,
            announcements: &announcements,
            demand: &demand,
            timings: &timings,
            now_unix_ms,
        };
        let mut planner = WavePlanner::new(shared.settings.fleet.wave_policy());
        plan.extend(planner.plan(&input, shared.clock.now()));
    }
    Ok(plan)
}

fn zones(rows: &Rows) -> Vec<AvailabilityZoneId> {
    let mut zones: Vec<_> = rows
        .vms
        .values()
        .map(|row| row.value.zone.clone())
        .collect();
    zones.sort();
    zones.dedup();
    zones
}

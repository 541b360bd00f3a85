//! The order in which a zone's announced VMs are considered for permits.

use std::cmp::Reverse;

use rhubarbfall_core::{LiteMap, PoolId, RackId, VmId};

use crate::PlanInput;
use crate::wave_candidates::{Candidate, PoolPlanState, is_in_maintenance};

/// The state of one rack by which its VMs are ordered.
#[derive(Debug, Clone, Default)]
struct RackPlanState {
    has_started: bool,
    reboot_rounds: u32,
    pending_by_pool: LiteMap<PoolId, usize>,
}

/// Sorts the zone's candidates by due time, then prefers racks whose maintenance has started, racks
/// with VMs of the pools that need the most reboot rounds, racks with many VMs of those pools, and
/// racks whose VMs all fit the budget.
pub(crate) fn prioritized<'a>(
    input: &PlanInput<'a>,
    candidates: &[Candidate<'a>],
    pools: &LiteMap<PoolId, PoolPlanState>,
) -> Vec<Candidate<'a>> {
    let racks = rack_plan_states(input, candidates, pools);
    let mut keyed: Vec<_> = candidates
        .iter()
        .map(|candidate| (order_key(candidate, &racks, pools), candidate.clone()))
        .collect();
    keyed.sort_by_key(|(key, _)| *key);
    keyed.into_iter().map(|(_, candidate)| candidate).collect()
}

type OrderKey<'a> = (
    u64,
    Reverse<bool>,
    Reverse<u32>,
    Reverse<usize>,
    Reverse<bool>,
    &'a RackId,
    &'a VmId,
);

fn order_key<'a>(
    candidate: &Candidate<'a>,
    racks: &LiteMap<RackId, RackPlanState>,
    pools: &LiteMap<PoolId, PoolPlanState>,
) -> OrderKey<'a> {
    let rack = racks.get(&candidate.row.rack);
    let fits = |rack: &RackPlanState| {
        let room = |id| pools.get(id).map_or(0, PoolPlanState::room_vms);
        rack.pending_by_pool
            .iter()
            .all(|(id, vms)| *vms <= room(id))
    };
    // The first batches are small and should contain as many VMs as possible of the pools that
    // need the most reboot rounds.
    let critical_vms = |rack: &RackPlanState| {
        let critical = rack.pending_by_pool.iter().filter_map(|(id, vms)| {
            let pool = pools
                .get(id)
                .filter(|pool| pool.reboot_rounds() == rack.reboot_rounds)?;
            Some(pool.room_vms().min(*vms))
        });
        critical.sum::<usize>()
    };
    (
        candidate.announcement.due_at_unix_ms,
        Reverse(rack.is_some_and(|rack| rack.has_started)),
        Reverse(rack.map_or(0, |rack| rack.reboot_rounds)),
        Reverse(rack.map_or(0, critical_vms)),
        Reverse(rack.is_some_and(fits)),
        &candidate.row.rack,
        &candidate.row.vm,
    )
}

fn rack_plan_states(
    input: &PlanInput<'_>,
    candidates: &[Candidate<'_>],
    pools: &LiteMap<PoolId, PoolPlanState>,
) -> LiteMap<RackId, RackPlanState> {
    let mut racks: LiteMap<RackId, RackPlanState> = LiteMap::new();
    for candidate in candidates {
        let rack_id = &candidate.row.rack;
        if !racks.contains_key(rack_id) {
            racks.insert(rack_id.clone(), RackPlanState::default());
        }
        let Some(rack) = racks.get_mut(rack_id) else {
            continue;
        };
        let pool_id = &candidate.row.pool;
        let reboot_rounds = pools.get(pool_id).map_or(0, PoolPlanState::reboot_rounds);
        rack.reboot_rounds = rack.reboot_rounds.max(reboot_rounds);
        let vms = rack.pending_by_pool.get(pool_id).copied().unwrap_or(0);
        rack.pending_by_pool.insert(pool_id.clone(), vms + 1);
    }
    for row in input.rows.vms.values() {
        if let Some(rack) = racks.get_mut(&row.value.rack) {
            rack.has_started |= is_in_maintenance(&row.value);
        }
    }
    racks
}

//! The order in which a zone's announced VMs are taken.

use std::cmp::Reverse;

use rhubarbfall_core::{LiteMap, PoolId, RackId, VmId};

use crate::PlanInput;
use crate::wave_candidates::{Candidate, PoolSituation, is_in_maintenance};

/// What the order knows of one rack.
#[derive(Debug, Clone, Default)]
struct RackSituation {
    is_open: bool,
    rounds: u32,
    pending_by_pool: LiteMap<PoolId, usize>,
}

/// Returns the zone's candidates in order: due first, then racks that have begun, racks of
/// the pools that need the most rounds, racks with many VMs of those, and racks that fit the
/// budget whole.
pub(crate) fn ordered<'a>(
    input: &PlanInput<'a>,
    here: &[Candidate<'a>],
    pools: &LiteMap<PoolId, PoolSituation>,
) -> Vec<Candidate<'a>> {
    let racks = rack_situations(input, here, pools);
    let mut keyed: Vec<_> = here
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
    racks: &LiteMap<RackId, RackSituation>,
    pools: &LiteMap<PoolId, PoolSituation>,
) -> OrderKey<'a> {
    let rack = racks.get(&candidate.row.rack);
    let fits = |rack: &RackSituation| {
        let room = |id| pools.get(id).map_or(0, PoolSituation::room_vms);
        rack.pending_by_pool
            .iter()
            .all(|(id, vms)| *vms <= room(id))
    };
    // The first batches are small, so they take as many VMs of the longest pools as they can.
    let critical_vms = |rack: &RackSituation| {
        let critical = rack.pending_by_pool.iter().filter_map(|(id, vms)| {
            let pool = pools.get(id).filter(|pool| pool.rounds() == rack.rounds)?;
            Some(pool.room_vms().min(*vms))
        });
        critical.sum::<usize>()
    };
    (
        candidate.announcement.due_at_unix_ms,
        Reverse(rack.is_some_and(|rack| rack.is_open)),
        Reverse(rack.map_or(0, |rack| rack.rounds)),
        Reverse(rack.map_or(0, critical_vms)),
        Reverse(rack.is_some_and(fits)),
        &candidate.row.rack,
        &candidate.row.vm,
    )
}

fn rack_situations(
    input: &PlanInput<'_>,
    here: &[Candidate<'_>],
    pools: &LiteMap<PoolId, PoolSituation>,
) -> LiteMap<RackId, RackSituation> {
    let mut racks: LiteMap<RackId, RackSituation> = LiteMap::new();
    for candidate in here {
        let rack_id = &candidate.row.rack;
        if !racks.contains_key(rack_id) {
            racks.insert(rack_id.clone(), RackSituation::default());
        }
        let Some(rack) = racks.get_mut(rack_id) else {
            continue;
        };
        let pool_id = &candidate.row.pool;
        let rounds = pools.get(pool_id).map_or(0, PoolSituation::rounds);
        rack.rounds = rack.rounds.max(rounds);
        let vms = rack.pending_by_pool.get(pool_id).copied().unwrap_or(0);
        rack.pending_by_pool.insert(pool_id.clone(), vms + 1);
    }
    for row in input.rows.vms.values() {
        if let Some(rack) = racks.get_mut(&row.value.rack) {
            rack.is_open |= is_in_maintenance(&row.value);
        }
    }
    racks
}

//! Announced VMs whose maintenance has not started, and the state of their pools.

use rhubarbfall_core::{LiteMap, PoolId};

use crate::{Announcement, AnnouncementState, PermitLedger, PlanInput, Purpose, VmRow, VmRowState};

/// An announced VM with its row.
#[derive(Debug, Clone)]
pub(crate) struct Candidate<'a> {
    pub(crate) announcement: &'a Announcement,
    pub(crate) row: &'a VmRow,
}

/// The state of one pool during planning, over all zones.
#[derive(Debug, Clone, Default)]
pub(crate) struct PoolPlanState {
    pub(crate) ledger: Option<PermitLedger>,
    pub(crate) available_vms: u32,
    pub(crate) pending_vms: u32,
    pub(crate) earlier_zone_vms: u32,
    pub(crate) waiting_zone_vms: u32,
    pub(crate) is_waiting_for_demand: bool,
}

impl PoolPlanState {
    pub(crate) fn max_unavailable_vms(&self) -> u32 {
        let budget = self.ledger.as_ref().map(|ledger| ledger.budget);
        budget.map_or(0, |budget| budget.max_unavailable_vms.get())
    }

    pub(crate) fn reboot_rounds(&self) -> u32 {
        self.pending_vms.div_ceil(self.max_unavailable_vms().max(1))
    }

    pub(crate) fn room_vms(&self) -> usize {
        self.ledger.as_ref().map_or(0, PermitLedger::room_vms)
    }
}

/// Returns the announced VMs of all zones whose maintenance has not started.
pub(crate) fn pending_candidates<'a>(input: &PlanInput<'a>) -> Vec<Candidate<'a>> {
    let mut pending: Vec<Candidate<'a>> = Vec::new();
    for announcement in input.announcements {
        let versioned = input.rows.vms.get(&announcement.vm);
        let Some(row) = versioned.map(|row| &row.value) else {
            continue;
        };
        let is_unstarted = matches!(
            announcement.state,
            AnnouncementState::Announced | AnnouncementState::Permitted
        );
        let is_done = row.last_wave.as_ref() == Some(&announcement.wave);
        let is_listed = pending.last().is_some_and(|last| last.row.vm == row.vm);
        if is_unstarted && !is_done && !is_listed && !is_in_maintenance(row) {
            pending.push(Candidate { announcement, row });
        }
    }
    pending
}

pub(crate) const fn is_in_maintenance(row: &VmRow) -> bool {
    matches!(
        row.state,
        VmRowState::Draining {
            purpose: Purpose::Maintenance { .. }
        } | VmRowState::Rebooting { .. }
            | VmRowState::Proving { .. }
    )
}

pub(crate) fn pool_plan_states(
    input: &PlanInput<'_>,
    pending: &[Candidate<'_>],
) -> LiteMap<PoolId, PoolPlanState> {
    let mut pools: LiteMap<PoolId, PoolPlanState> = LiteMap::new();
    for (id, row) in &input.rows.pools {
        let state = PoolPlanState {
            ledger: Some(row.value.clone()),
            ..PoolPlanState::default()
        };
        pools.insert(id.clone(), state);
    }
    for row in input.rows.vms.values() {
        let Some(pool) = pools.get_mut(&row.value.pool) else {
            continue;
        };
        let has_outage = |ledger: &PermitLedger| ledger.outages.contains_key(&row.value.vm);
        let is_unavailable = pool.ledger.as_ref().is_some_and(has_outage);
        pool.available_vms += u32::from(row.value.is_routable() && !is_unavailable);
    }
    for candidate in pending {
        let Some(pool) = pools.get_mut(&candidate.row.pool) else {
            continue;
        };
        let is_earlier = candidate.row.zone < *input.zone && candidate.row.is_routable();
        pool.pending_vms += 1;
        pool.earlier_zone_vms += u32::from(is_earlier);
    }
    pools
}

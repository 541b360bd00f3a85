use std::time::{Duration, Instant};

use rhubarbfall_core::{FencingNumber, LiteMap, PoolId, WaveId};

use crate::wave_candidates::{Candidate, PoolPlanState, pending_candidates, pool_plan_states};
use crate::wave_order::prioritized;
use crate::{
    Permit, PermitLedger, PlanInput, PlannedVm, Purpose, Reason, WavePolicy, WaveRow, WaveStatus,
};

/// Decides which announced VMs are drained now, and why the others wait.
#[derive(Debug, Clone)]
pub struct WavePlanner {
    policy: WavePolicy,
    earlier_zone_waits: LiteMap<PoolId, EarlierZoneWait>,
    demand_waits: LiteMap<PoolId, DemandWait>,
    pending_pools: Vec<PoolId>,
}

/// Since when earlier zones have left budget of a pool unused without starting a VM.
#[derive(Debug, Clone, Copy)]
struct EarlierZoneWait {
    earlier_zone_vms: u32,
    since: Instant,
}

/// How long a pool has waited for lower demand, and how long it may wait.
#[derive(Debug, Clone, Copy)]
struct DemandWait {
    allowance: Duration,
    waited: Duration,
    last_waiting_at: Option<Instant>,
}

impl WavePlanner {
    /// Creates a planner whose pools have not waited yet.
    #[must_use]
    pub const fn new(policy: WavePolicy) -> Self {
        Self {
            policy,
            earlier_zone_waits: LiteMap::new(),
            demand_waits: LiteMap::new(),
            pending_pools: Vec::new(),
        }
    }

    /// Returns the policy by which waves are planned.
    #[must_use]
    pub const fn policy(&self) -> &WavePolicy {
        &self.policy
    }

    /// Returns the pools that had pending VMs in any zone at the last plan, sorted.
    #[must_use]
    pub fn pending_pools(&self) -> &[PoolId] {
        &self.pending_pools
    }

    /// Plans the zone's announced VMs, in order of priority.
    pub fn plan(&mut self, input: &PlanInput<'_>, now: Instant) -> Vec<PlannedVm> {
        let pending = pending_candidates(input);
        let mut pools = pool_plan_states(input, &pending);
        self.pending_pools = pools
            .iter()
            .filter(|(_, pool)| pool.pending_vms > 0)
            .map(|(id, _)| id.clone())
            .collect();
        let zone_candidates: Vec<Candidate<'_>> = pending
            .into_iter()
            .filter(|candidate| candidate.row.zone == *input.zone)
            .collect();
        self.update_earlier_zone_waits(&zone_candidates, &pools, now);
        let mut waves: LiteMap<WaveId, WaveRow> = LiteMap::new();
        let mut planned = Vec::with_capacity(zone_candidates.len());
        for candidate in prioritized(input, &zone_candidates, &pools) {
            let wave = wave_row(&mut waves, input, &candidate.announcement.wave);
            let Some(pool) = pools.get_mut(&candidate.row.pool) else {
                continue;
            };
            let reason = self.evaluate(input, &candidate, wave, pool, now);
            let planned_vm = self.planned_vm(&candidate, pool, reason);
            if planned_vm.is_granted() {
                wave.granted_vms += 1;
                pool.available_vms = pool.available_vms.saturating_sub(1);
            } else {
                pool.waiting_zone_vms += 1;
            }
            planned.push(planned_vm);
        }
        self.update_demand_waits(&pools, now);
        planned
    }

    fn evaluate(
        &mut self,
        input: &PlanInput<'_>,
        candidate: &Candidate<'_>,
        wave: &WaveRow,
        pool: &mut PoolPlanState,
        now: Instant,
    ) -> Reason {
        match &wave.status {
            WaveStatus::Running => {}
            WaveStatus::Paused => return Reason::WavePaused,
            WaveStatus::Stopped { reason } => {
                let stop = reason.clone();
                return Reason::WaveStopped { stop };
            }
        }
        let has_outage = |ledger: &PermitLedger| ledger.outages.contains_key(&candidate.row.vm);
        if !candidate.row.is_routable() || pool.ledger.as_ref().is_some_and(has_outage) {
            return Reason::WaitsForVm;
        }
        let limit_vms = self.policy.in_flight_limit_vms(wave.done_vms);
        let in_flight_vms = wave.in_flight_vms();
        if in_flight_vms >= limit_vms {
            return Reason::WaitsForBatch {
                in_flight_vms,
                limit_vms,
            };
        }
        if self.must_wait_for_earlier_zones(input, &candidate.row.pool, pool, now) {
            return Reason::WaitsForZone {
                pending_vms: pool.earlier_zone_vms,
            };
        }
        self.evaluate_pool(input, candidate, pool)
    }

    fn evaluate_pool(
        &mut self,
        input: &PlanInput<'_>,
        candidate: &Candidate<'_>,
        pool: &mut PoolPlanState,
    ) -> Reason {
        let Some(ledger) = pool.ledger.clone() else {
            return Reason::WaitsForVm;
        };
        let mut granted = ledger;
        if let Err(refusal) = granted.grant(candidate.row.vm.clone(), permit(candidate)) {
            return Reason::WaitsForBudget { refusal };
        }
        if let Some(reason) = self.demand_reason(input, candidate, pool) {
            return reason;
        }
        let room_left_vms = granted.room_vms() as u32;
        pool.ledger = Some(granted);
        Reason::PermitGranted {
            pool: candidate.row.pool.clone(),
            wave: candidate.announcement.wave.clone(),
            rack: candidate.row.rack.clone(),
            room_left_vms,
        }
    }

    /// Returns the reason to wait for lower demand, or `None` if demand is low, the pool has used
    /// up its waiting time, or the due time is too close.
    fn demand_reason(
        &mut self,
        input: &PlanInput<'_>,
        candidate: &Candidate<'_>,
        pool: &mut PoolPlanState,
    ) -> Option<Reason> {
        let id = &candidate.row.pool;
        let demand = input.demand.get(id)?;
        let slots_after = pool.available_vms.saturating_sub(1) * demand.slots_per_vm.get();
        let wanted_slots = demand.wanted_slots().get();
        let is_busy = u64::from(wanted_slots) * 100
            > u64::from(slots_after) * u64::from(self.policy.busy_percent);
        if !is_busy {
            return None;
        }
        let work_left = self.policy.expected_downtime * pool.reboot_rounds();
        let due_at_ms = candidate.announcement.due_at_unix_ms;
        let work_left_ms = u64::try_from(work_left.as_millis()).unwrap_or(u64::MAX);
        if input.now_unix_ms.saturating_add(work_left_ms) >= due_at_ms {
            return None;
        }
        let wait = self.demand_wait(id, work_left);
        if wait.waited >= wait.allowance {
            return None;
        }
        pool.is_waiting_for_demand = true;
        Some(Reason::WaitsForDemand {
            pool: id.clone(),
            wanted_slots,
            slots_after,
        })
    }

    fn demand_wait(&mut self, pool: &PoolId, work_left: Duration) -> DemandWait {
        let allowance = work_left * self.policy.demand_wait_percent / 100;
        let new_wait = DemandWait {
            allowance,
            waited: Duration::ZERO,
            last_waiting_at: None,
        };
        if !self.demand_waits.contains_key(pool) {
            self.demand_waits.insert(pool.clone(), new_wait);
        }
        self.demand_waits.get(pool).copied().unwrap_or(new_wait)
    }

    /// Adds the time since the last plan to the waits of pools that were waiting then, and removes
    /// pools without pending VMs.
    fn update_demand_waits(&mut self, pools: &LiteMap<PoolId, PoolPlanState>, now: Instant) {
        self.demand_waits
            .retain(|id, _| pools.get(id).is_some_and(|pool| pool.pending_vms > 0));
        for (id, wait) in self.demand_waits.iter_mut() {
            if let Some(last_waiting_at) = wait.last_waiting_at {
                wait.waited += now.saturating_duration_since(last_waiting_at);
            }
            let is_waiting = pools.get(id).is_some_and(|pool| pool.is_waiting_for_demand);
            wait.last_waiting_at = is_waiting.then_some(now);
        }
    }

    fn update_earlier_zone_waits(
        &mut self,
        candidates: &[Candidate<'_>],
        pools: &LiteMap<PoolId, PoolPlanState>,
        now: Instant,
    ) {
        let waits = |id: &PoolId| candidates.iter().any(|candidate| candidate.row.pool == *id);
        for (id, pool) in pools {
            let is_waiting = pool.earlier_zone_vms > 0 && pool.room_vms() > 0 && waits(id);
            if !is_waiting {
                self.earlier_zone_waits.remove(id);
                continue;
            }
            let known = self.earlier_zone_waits.get(id);
            if known.is_none_or(|wait| wait.earlier_zone_vms != pool.earlier_zone_vms) {
                let wait = EarlierZoneWait {
                    earlier_zone_vms: pool.earlier_zone_vms,
                    since: now,
                };
                self.earlier_zone_waits.insert(id.clone(), wait);
            }
        }
    }

    fn must_wait_for_earlier_zones(
        &self,
        input: &PlanInput<'_>,
        id: &PoolId,
        pool: &PoolPlanState,
        now: Instant,
    ) -> bool {
        if pool.earlier_zone_vms == 0 {
            return false;
        }
        let wait = self.earlier_zone_waits.get(id);
        wait.is_none_or(|wait| now < wait.since + input.timings.earlier_zone_wait)
    }

    fn planned_vm(
        &self,
        candidate: &Candidate<'_>,
        pool: &PoolPlanState,
        reason: Reason,
    ) -> PlannedVm {
        let room_vms = pool.max_unavailable_vms().max(1);
        let reboot_rounds_ahead = 1 + (pool.earlier_zone_vms + pool.waiting_zone_vms) / room_vms;
        let is_granted = matches!(reason, Reason::PermitGranted { .. });
        let starts_in = if is_granted {
            Duration::ZERO
        } else {
            self.policy.expected_downtime * reboot_rounds_ahead
        };
        PlannedVm {
            wave: candidate.announcement.wave.clone(),
            vm: candidate.row.vm.clone(),
            zone: candidate.row.zone.clone(),
            rack: candidate.row.rack.clone(),
            pool: candidate.row.pool.clone(),
            starts_in_s: starts_in.as_secs(),
            reason,
        }
    }
}

fn permit(candidate: &Candidate<'_>) -> Permit {
    Permit {
        zone: candidate.row.zone.clone(),
        purpose: Purpose::Maintenance {
            wave: candidate.announcement.wave.clone(),
        },
        fence: FencingNumber::new(0),
    }
}

fn wave_row<'w>(
    waves: &'w mut LiteMap<WaveId, WaveRow>,
    input: &PlanInput<'_>,
    id: &WaveId,
) -> &'w mut WaveRow {
    if !waves.contains_key(id) {
        let known = input.rows.waves.get(id).map(|row| row.value.clone());
        waves.insert(
            id.clone(),
            known.unwrap_or_else(|| WaveRow::new(id.clone())),
        );
    }
    waves.get_mut(id).expect("the row was inserted above")
}

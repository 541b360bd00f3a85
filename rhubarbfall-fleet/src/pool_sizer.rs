use std::time::{Duration, Instant};

use rhubarbfall_core::{AvailabilityZoneId, LiteMap, PoolId, Slots, VmCount, VmId};

use crate::{MoveRequest, PoolDemand, Purpose, Reason, Rows, SizerPolicy, VmRow, VmRowState};

/// The state from which moves between pools are decided.
#[derive(Debug, Clone, Copy)]
pub struct SizeInput<'a> {
    /// Zone whose VMs may move.
    pub zone: &'a AvailabilityZoneId,
    /// Rows of the table.
    pub rows: &'a Rows,
    /// Demand of the zone's queues by pool.
    pub demand: &'a LiteMap<PoolId, PoolDemand>,
    /// Minimum number of VMs that each pool keeps, over all zones.
    pub minimums: &'a LiteMap<PoolId, VmCount>,
    /// Pools whose budget a wave needs, sorted; they give up no VMs.
    pub wave_pools: &'a [PoolId],
}

/// Decides which VMs move to which pools as demand changes.
///
/// A pool grows only after it has been short of VMs for some time, and only if the move is expected
/// to gain more slot time than it costs. Hysteresis prevents VMs from moving back immediately.
#[derive(Debug, Clone)]
pub struct PoolSizer {
    policy: SizerPolicy,
    trends: LiteMap<PoolId, DemandTrend>,
    /// Expected duration of a shortage, for pools that have not had one yet.
    expected_shortage: Duration,
}

/// The history of a pool's demand relative to its size.
#[derive(Debug, Clone, Copy)]
struct DemandTrend {
    shortage: Option<Shortage>,
    slack_since: Option<Instant>,
    /// Expected duration of the pool's shortages, once it has had one.
    expected_shortage: Option<Duration>,
}

/// A period in which demand exceeds what the pool could run with the VMs it had at the start.
#[derive(Debug, Clone, Copy)]
struct Shortage {
    since: Instant,
    base_vms: u32,
}

/// The VMs of one pool in the zone.
#[derive(Debug, Clone, Default)]
struct ZonePool {
    /// VMs of the zone that belong to the pool or are moving to it.
    vms: u32,
    /// VMs of the zone that are in service without an outage, in order of their identifiers.
    movable_vms: Vec<VmId>,
    /// VMs of all zones that belong to the pool or are moving to it.
    total_vms: u32,
}

impl PoolSizer {
    /// Creates a sizer that has not observed any demand yet.
    #[must_use]
    pub const fn new(policy: SizerPolicy) -> Self {
        Self {
            expected_shortage: policy.expected_shortage,
            policy,
            trends: LiteMap::new(),
        }
    }

    /// Returns the moves to start now; the budget of the pool that gives up a VM may still refuse
    /// them.
    pub fn decide(&mut self, input: &SizeInput<'_>, now: Instant) -> Vec<MoveRequest> {
        let mut zone_pools = zone_pools(input);
        let demand = self.discount_waiting(input.demand);
        let input = &SizeInput {
            demand: &demand,
            ..*input
        };
        for (pool, demand) in input.demand {
            let vms = zone_pools.get(pool).map_or(0, |zone_pool| zone_pool.vms);
            self.update_trend(pool, demand, vms, now);
        }
        let mut requests = Vec::new();
        for (pool, demand) in input.demand {
            self.grow(input, pool, demand, &mut zone_pools, &mut requests, now);
        }
        self.refill_spare(input, &mut zone_pools, &mut requests, now);
        requests
    }

    /// Returns the demand reduced to `waiting_percent` of the waiting requests.
    fn discount_waiting(
        &self,
        demand: &LiteMap<PoolId, PoolDemand>,
    ) -> LiteMap<PoolId, PoolDemand> {
        let percent = u64::from(self.policy.waiting_percent);
        let discounted = demand.iter().map(|(pool, demand)| {
            let waiting = u64::from(demand.waiting_slots.get()) * percent / 100;
            let demand = PoolDemand {
                waiting_slots: Slots::new(u32::try_from(waiting).unwrap_or(u32::MAX)),
                ..*demand
            };
            (pool.clone(), demand)
        });
        discounted.collect()
    }

    fn update_trend(&mut self, pool: &PoolId, demand: &PoolDemand, vms: u32, now: Instant) {
        let mut trend = self.trends.get(pool).copied().unwrap_or(DemandTrend {
            shortage: None,
            slack_since: None,
            expected_shortage: None,
        });
        let base_vms = trend.shortage.map_or(vms, |shortage| shortage.base_vms);
        let is_short = is_demand_above(demand, base_vms, self.policy.grow_percent);
        trend.shortage = match trend.shortage {
            Some(shortage) if !is_short => {
                let lasted = now.saturating_duration_since(shortage.since);
                let known = trend.expected_shortage.unwrap_or(lasted);
                trend.expected_shortage = Some((known + lasted) / 2);
                self.expected_shortage = (self.expected_shortage + lasted) / 2;
                None
            }
            None if is_short => Some(Shortage {
                since: now,
                base_vms,
            }),
            unchanged => unchanged,
        };
        let has_slack = !is_demand_above(demand, vms, self.policy.shrink_percent);
        trend.slack_since = has_slack.then(|| trend.slack_since.unwrap_or(now));
        self.trends.insert(pool.clone(), trend);
    }

    fn grow(
        &self,
        input: &SizeInput<'_>,
        pool: &PoolId,
        demand: &PoolDemand,
        zone_pools: &mut LiteMap<PoolId, ZonePool>,
        requests: &mut Vec<MoveRequest>,
        now: Instant,
    ) {
        let Some(trend) = self.trends.get(pool) else {
            return;
        };
        let Some(shortage) = trend.shortage else {
            return;
        };
        let shortage_time = now.saturating_duration_since(shortage.since);
        if shortage_time < self.policy.grow_after {
            return;
        }
        let expected = trend.expected_shortage.unwrap_or(self.expected_shortage);
        let remaining = expected.saturating_sub(shortage_time).max(shortage_time);
        loop {
            let vms = zone_pools.get(pool).map_or(0, |zone_pool| zone_pool.vms);
            if !self.is_move_worthwhile(demand, vms, remaining) {
                return;
            }
            let Some((from, vm)) = self.take_vm_to_move(input, pool, zone_pools, now) else {
                return;
            };
            count_move(zone_pools, &from, pool);
            requests.push(MoveRequest {
                vm,
                to: pool.clone(),
                reason: Reason::MoveStarted {
                    from,
                    to: pool.clone(),
                    wanted_vms: demand.wanted_vms(),
                    available_vms: vms,
                },
            });
        }
    }

    /// Returns whether one more VM gains more slot time than its move there and back costs.
    fn is_move_worthwhile(&self, demand: &PoolDemand, vms: u32, remaining: Duration) -> bool {
        let slots = u64::from(demand.slots_per_vm.get());
        let capacity = slots * u64::from(vms);
        let short_slots = u64::from(demand.wanted_slots().get()).saturating_sub(capacity);
        let useful_time = remaining.saturating_sub(self.policy.move_time);
        let gain = short_slots.min(slots) * useful_time.as_secs();
        let cost = slots * self.policy.move_time.as_secs() * 2;
        short_slots > 0 && gain * 100 > cost * self.policy.min_gain_percent
    }

    /// Takes a VM to move from the spare pool, or else from a pool that has had slack for
    /// `shrink_after`.
    fn take_vm_to_move(
        &self,
        input: &SizeInput<'_>,
        to: &PoolId,
        zone_pools: &mut LiteMap<PoolId, ZonePool>,
        now: Instant,
    ) -> Option<(PoolId, VmId)> {
        let spare = self.policy.spare_pool.as_ref();
        if let Some(spare) = spare.filter(|spare| *spare != to) {
            let zone_pool = zone_pools.get_mut(spare);
            if let Some(vm) = zone_pool.and_then(|zone_pool| zone_pool.movable_vms.pop()) {
                return Some((spare.clone(), vm));
            }
        }
        let from = input
            .demand
            .iter()
            .filter(|(pool, _)| *pool != to && Some(*pool) != spare)
            .find(|(pool, demand)| self.can_give_up_vm(input, pool, demand, zone_pools, now))
            .map(|(pool, _)| pool.clone())?;
        let vm = zone_pools.get_mut(&from)?.movable_vms.pop()?;
        Some((from, vm))
    }

    fn can_give_up_vm(
        &self,
        input: &SizeInput<'_>,
        pool: &PoolId,
        demand: &PoolDemand,
        zone_pools: &LiteMap<PoolId, ZonePool>,
        now: Instant,
    ) -> bool {
        let Some(zone_pool) = zone_pools.get(pool) else {
            return false;
        };
        let slack_since = self.trends.get(pool).and_then(|trend| trend.slack_since);
        let has_long_slack = slack_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.shrink_after);
        let minimum = input.minimums.get(pool).map_or(0, |vms| vms.get());
        let stays_above_minimum = zone_pool.total_vms > minimum && zone_pool.vms > 1;
        let keeps_slack = !is_demand_above(
            demand,
            zone_pool.vms.saturating_sub(1),
            self.policy.shrink_percent,
        );
        let is_in_wave = input.wave_pools.binary_search(pool).is_ok();
        !is_in_wave
            && has_long_slack
            && stays_above_minimum
            && keeps_slack
            && !zone_pool.movable_vms.is_empty()
    }

    /// Refills the spare pool to its minimum from pools with slack.
    fn refill_spare(
        &self,
        input: &SizeInput<'_>,
        zone_pools: &mut LiteMap<PoolId, ZonePool>,
        requests: &mut Vec<MoveRequest>,
        now: Instant,
    ) {
        let Some(spare) = self.policy.spare_pool.as_ref() else {
            return;
        };
        let minimum = input.minimums.get(spare).map_or(0, |vms| vms.get());
        loop {
            let vms = zone_pools
                .get(spare)
                .map_or(0, |zone_pool| zone_pool.total_vms);
            if vms >= minimum {
                return;
            }
            let Some((from, vm)) = self.take_vm_to_move(input, spare, zone_pools, now) else {
                return;
            };
            count_move(zone_pools, &from, spare);
            requests.push(MoveRequest {
                vm,
                to: spare.clone(),
                reason: Reason::MoveStarted {
                    from,
                    to: spare.clone(),
                    wanted_vms: minimum,
                    available_vms: vms,
                },
            });
        }
    }
}

fn is_demand_above(demand: &PoolDemand, vms: u32, percent: u32) -> bool {
    let capacity = u64::from(vms) * u64::from(demand.slots_per_vm.get());
    u64::from(demand.wanted_slots().get()) * 100 > capacity * u64::from(percent)
}

fn count_move(zone_pools: &mut LiteMap<PoolId, ZonePool>, from: &PoolId, to: &PoolId) {
    if let Some(zone_pool) = zone_pools.get_mut(from) {
        zone_pool.vms = zone_pool.vms.saturating_sub(1);
        zone_pool.total_vms = zone_pool.total_vms.saturating_sub(1);
    }
    if !zone_pools.contains_key(to) {
        zone_pools.insert(to.clone(), ZonePool::default());
    }
    if let Some(zone_pool) = zone_pools.get_mut(to) {
        zone_pool.vms += 1;
        zone_pool.total_vms += 1;
    }
}

fn zone_pools(input: &SizeInput<'_>) -> LiteMap<PoolId, ZonePool> {
    let mut zone_pools: LiteMap<PoolId, ZonePool> = LiteMap::new();
    for row in input.rows.vms.values() {
        let row = &row.value;
        let pool = destination(row);
        if !zone_pools.contains_key(pool) {
            zone_pools.insert(pool.clone(), ZonePool::default());
        }
        let Some(zone_pool) = zone_pools.get_mut(pool) else {
            continue;
        };
        zone_pool.total_vms += 1;
        if row.zone != *input.zone {
            continue;
        }
        zone_pool.vms += 1;
        let ledger = input.rows.pools.get(&row.pool);
        let has_outage = ledger.is_some_and(|ledger| ledger.value.outages.contains_key(&row.vm));
        if row.is_routable() && !has_outage {
            zone_pool.movable_vms.push(row.vm.clone());
        }
    }
    zone_pools
}

/// Returns the pool to which a VM belongs once a move in progress is complete.
const fn destination(row: &VmRow) -> &PoolId {
    match &row.state {
        VmRowState::Draining {
            purpose: Purpose::Move { to },
        } => to,
        _ => &row.pool,
    }
}

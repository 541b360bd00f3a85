use std::time::{Duration, Instant};

use rhubarbfall_core::{AvailabilityZoneId, LiteMap, PoolId, Slots, VmCount, VmId};

use crate::{MoveRequest, PoolDemand, Purpose, Reason, Rows, SizerPolicy, VmRow, VmRowState};

/// What the sizes of pools are decided on.
#[derive(Debug, Clone, Copy)]
pub struct SizeInput<'a> {
    /// The zone whose VMs may move.
    pub zone: &'a AvailabilityZoneId,
    /// The rows of the table.
    pub rows: &'a Rows,
    /// What the zone's queues ask of each pool.
    pub demand: &'a LiteMap<PoolId, PoolDemand>,
    /// The fewest VMs that each pool keeps, over all zones.
    pub minimums: &'a LiteMap<PoolId, VmCount>,
    /// Pools whose budget a wave needs, sorted; they lend nothing.
    pub wave_pools: &'a [PoolId],
}

/// Decides which VMs move to which pools as demand comes and goes.
///
/// A pool grows only while it has been short for a while, and only if the move is expected to
/// earn more slot time than it costs; hysteresis keeps VMs from moving back at once.
#[derive(Debug, Clone)]
pub struct PoolSizer {
    policy: SizerPolicy,
    trends: LiteMap<PoolId, Trend>,
    /// How long shortages of any pool last, for pools that have shown none of their own.
    expected_peak: Duration,
}

/// How a pool's demand has stood to its size.
#[derive(Debug, Clone, Copy)]
struct Trend {
    peak: Option<Peak>,
    slack_since: Option<Instant>,
    /// How long the pool's shortages last, once it has shown one.
    expected_peak: Option<Duration>,
}

/// A time of more demand than the pool could run with the VMs it had at the start.
#[derive(Debug, Clone, Copy)]
struct Peak {
    since: Instant,
    base_vms: u32,
}

/// The zone's part of one pool.
#[derive(Debug, Clone, Default)]
struct Part {
    /// VMs that belong to the pool or are on their way to it.
    vms: u32,
    /// VMs that could be lent, in order.
    lendable: Vec<VmId>,
    /// VMs of the pool in all zones.
    vms_everywhere: u32,
}

impl PoolSizer {
    /// Creates a sizer.
    #[must_use]
    pub const fn new(policy: SizerPolicy) -> Self {
        Self {
            expected_peak: policy.expected_peak,
            policy,
            trends: LiteMap::new(),
        }
    }

    /// Returns the moves to begin now; the budget of the lending pool may still refuse them.
    pub fn decide(&mut self, input: &SizeInput<'_>, now: Instant) -> Vec<MoveRequest> {
        let mut parts = parts(input);
        let demand = self.weighted(input.demand);
        let input = &SizeInput {
            demand: &demand,
            ..*input
        };
        for (pool, demand) in input.demand {
            let vms = parts.get(pool).map_or(0, |part| part.vms);
            self.follow(pool, demand, vms, now);
        }
        let mut requests = Vec::new();
        for (pool, demand) in input.demand {
            self.grow(input, pool, demand, &mut parts, &mut requests, now);
        }
        self.refill_spare(input, &mut parts, &mut requests, now);
        requests
    }

    /// Returns the demand with only a part of what waits.
    fn weighted(&self, demand: &LiteMap<PoolId, PoolDemand>) -> LiteMap<PoolId, PoolDemand> {
        let percent = u64::from(self.policy.waiting_percent);
        let weighted = demand.iter().map(|(pool, demand)| {
            let waiting = u64::from(demand.waiting_slots.get()) * percent / 100;
            let demand = PoolDemand {
                waiting_slots: Slots::new(u32::try_from(waiting).unwrap_or(u32::MAX)),
                ..*demand
            };
            (pool.clone(), demand)
        });
        weighted.collect()
    }

    fn follow(&mut self, pool: &PoolId, demand: &PoolDemand, vms: u32, now: Instant) {
        let mut trend = self.trends.get(pool).copied().unwrap_or(Trend {
            peak: None,
            slack_since: None,
            expected_peak: None,
        });
        let base_vms = trend.peak.map_or(vms, |peak| peak.base_vms);
        let is_peak = is_above(demand, base_vms, self.policy.grow_percent);
        trend.peak = match trend.peak {
            Some(peak) if !is_peak => {
                let lasted = now.saturating_duration_since(peak.since);
                let known = trend.expected_peak.unwrap_or(lasted);
                trend.expected_peak = Some((known + lasted) / 2);
                self.expected_peak = (self.expected_peak + lasted) / 2;
                None
            }
            None if is_peak => Some(Peak {
                since: now,
                base_vms,
            }),
            unchanged => unchanged,
        };
        let has_slack = !is_above(demand, vms, self.policy.shrink_percent);
        trend.slack_since = has_slack.then(|| trend.slack_since.unwrap_or(now));
        self.trends.insert(pool.clone(), trend);
    }

    fn grow(
        &self,
        input: &SizeInput<'_>,
        pool: &PoolId,
        demand: &PoolDemand,
        parts: &mut LiteMap<PoolId, Part>,
        requests: &mut Vec<MoveRequest>,
        now: Instant,
    ) {
        let Some(trend) = self.trends.get(pool) else {
            return;
        };
        let Some(peak) = trend.peak else {
            return;
        };
        let short_for = now.saturating_duration_since(peak.since);
        if short_for < self.policy.grow_after {
            return;
        }
        let expected = trend.expected_peak.unwrap_or(self.expected_peak);
        let remaining = expected.saturating_sub(short_for).max(short_for);
        loop {
            let vms = parts.get(pool).map_or(0, |part| part.vms);
            if !self.is_worth(demand, vms, remaining) {
                return;
            }
            let Some((from, vm)) = self.lender(input, pool, parts, now) else {
                return;
            };
            lend(parts, &from, pool);
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

    /// Returns whether one more VM earns more slot time than its move there and back costs.
    fn is_worth(&self, demand: &PoolDemand, vms: u32, remaining: Duration) -> bool {
        let slots = u64::from(demand.slots_per_vm.get());
        let capacity = slots * u64::from(vms);
        let short_slots = u64::from(demand.wanted_slots().get()).saturating_sub(capacity);
        let useful = remaining.saturating_sub(self.policy.move_time);
        let earned = short_slots.min(slots) * useful.as_secs();
        let cost = slots * self.policy.move_time.as_secs() * 2;
        short_slots > 0 && earned * 100 > cost * self.policy.earn_percent
    }

    /// Returns a VM to lend: from the spare pool, else from a pool that has had slack for a while.
    fn lender(
        &self,
        input: &SizeInput<'_>,
        borrower: &PoolId,
        parts: &mut LiteMap<PoolId, Part>,
        now: Instant,
    ) -> Option<(PoolId, VmId)> {
        let spare = self.policy.spare_pool.as_ref();
        if let Some(spare) = spare.filter(|spare| *spare != borrower) {
            let part = parts.get_mut(spare);
            if let Some(vm) = part.and_then(|part| part.lendable.pop()) {
                return Some((spare.clone(), vm));
            }
        }
        let lender = input
            .demand
            .iter()
            .filter(|(pool, _)| *pool != borrower && Some(*pool) != spare)
            .find(|(pool, demand)| self.may_lend(input, pool, demand, parts, now))
            .map(|(pool, _)| pool.clone())?;
        let vm = parts.get_mut(&lender)?.lendable.pop()?;
        Some((lender, vm))
    }

    fn may_lend(
        &self,
        input: &SizeInput<'_>,
        pool: &PoolId,
        demand: &PoolDemand,
        parts: &LiteMap<PoolId, Part>,
        now: Instant,
    ) -> bool {
        let Some(part) = parts.get(pool) else {
            return false;
        };
        let slack_since = self.trends.get(pool).and_then(|trend| trend.slack_since);
        let has_long_slack = slack_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.policy.shrink_after);
        let minimum = input.minimums.get(pool).map_or(0, |vms| vms.get());
        let stays_large = part.vms_everywhere > minimum && part.vms > 1;
        let keeps_up = !is_above(
            demand,
            part.vms.saturating_sub(1),
            self.policy.shrink_percent,
        );
        let is_in_wave = input.wave_pools.binary_search(pool).is_ok();
        !is_in_wave && has_long_slack && stays_large && keeps_up && !part.lendable.is_empty()
    }

    /// Brings the spare pool back to its minimum from pools with slack.
    fn refill_spare(
        &self,
        input: &SizeInput<'_>,
        parts: &mut LiteMap<PoolId, Part>,
        requests: &mut Vec<MoveRequest>,
        now: Instant,
    ) {
        let Some(spare) = self.policy.spare_pool.as_ref() else {
            return;
        };
        let minimum = input.minimums.get(spare).map_or(0, |vms| vms.get());
        loop {
            let vms = parts.get(spare).map_or(0, |part| part.vms_everywhere);
            if vms >= minimum {
                return;
            }
            let Some((from, vm)) = self.lender(input, spare, parts, now) else {
                return;
            };
            lend(parts, &from, spare);
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

fn is_above(demand: &PoolDemand, vms: u32, percent: u32) -> bool {
    let capacity = u64::from(vms) * u64::from(demand.slots_per_vm.get());
    u64::from(demand.wanted_slots().get()) * 100 > capacity * u64::from(percent)
}

fn lend(parts: &mut LiteMap<PoolId, Part>, from: &PoolId, to: &PoolId) {
    if let Some(part) = parts.get_mut(from) {
        part.vms = part.vms.saturating_sub(1);
        part.vms_everywhere = part.vms_everywhere.saturating_sub(1);
    }
    if !parts.contains_key(to) {
        parts.insert(to.clone(), Part::default());
    }
    if let Some(part) = parts.get_mut(to) {
        part.vms += 1;
        part.vms_everywhere += 1;
    }
}

fn parts(input: &SizeInput<'_>) -> LiteMap<PoolId, Part> {
    let mut parts: LiteMap<PoolId, Part> = LiteMap::new();
    for row in input.rows.vms.values() {
        let row = &row.value;
        let pool = destination(row);
        if !parts.contains_key(pool) {
            parts.insert(pool.clone(), Part::default());
        }
        let Some(part) = parts.get_mut(pool) else {
            continue;
        };
        part.vms_everywhere += 1;
        if row.zone != *input.zone {
            continue;
        }
        part.vms += 1;
        let ledger = input.rows.pools.get(&row.pool);
        let is_out = ledger.is_some_and(|ledger| ledger.value.outages.contains_key(&row.vm));
        if row.is_routable() && !is_out {
            part.lendable.push(row.vm.clone());
        }
    }
    parts
}

/// Returns the pool that a VM belongs to once its move is done.
const fn destination(row: &VmRow) -> &PoolId {
    match &row.state {
        VmRowState::Draining {
            purpose: Purpose::Move { to },
        } => to,
        _ => &row.pool,
    }
}

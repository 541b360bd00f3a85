//! Writes the entry's own row before the entry routes, and again when drains or demand change.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rhubarbfall_core::{Generation, LiteMap, PoolId, Slots, VmId};
use rhubarbfall_fleet::{PoolDemand, VmRowState};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use tokio::time::sleep;

use super::EntryFleetRow;
use crate::Shared;

/// Minimum interval between writes for a change of demand alone.
const DEMAND_INTERVAL: Duration = Duration::from_secs(5);

/// Maintains the entry's row, in which it confirms drains.
struct FleetRegistration {
    shared: Arc<Shared>,
    row: EntryFleetRow,
    sequence: u64,
    /// Until this time, requests of a predecessor process may still run.
    confirm_from: Option<Instant>,
    written: Option<EntryFleetRow>,
    demand_written_at: Option<Instant>,
}

fn row_key(shared: &Shared) -> String {
    format!("fleet-entry/{}", shared.settings.entry.id)
}

/// Keeps the entry's row up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.fleet.confirm_ms);
    let mut registration = FleetRegistration::new(Arc::clone(&shared));
    loop {
        if let Err(error) = registration.update().await {
            log::warn!("event=fleet-entry-row error={error}");
        }
        sleep(interval).await;
    }
}

/// Deletes the entry's row after its last request has ended, so that drains do not wait for it.
pub(crate) async fn withdraw(shared: &Shared) {
    let id = TransactionId::new(&shared.settings.entry.id, started_unix_ms(shared), u64::MAX);
    let transaction = Transaction::new(id).delete(row_key(shared));
    if let Err(error) = shared.table.commit(&transaction).await {
        log::warn!("event=fleet-entry-row error={error}");
    }
}

fn started_unix_ms(shared: &Shared) -> u64 {
    let since = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}

impl FleetRegistration {
    fn new(shared: Arc<Shared>) -> Self {
        let entry = &shared.settings.entry;
        let row = EntryFleetRow {
            entry: entry.id.clone(),
            zone: entry.availability_zone.clone(),
            started_unix_ms: started_unix_ms(&shared),
            confirmed: LiteMap::new(),
            demand: LiteMap::new(),
        };
        Self {
            shared,
            row,
            sequence: 0,
            confirm_from: None,
            written: None,
            demand_written_at: None,
        }
    }

    async fn update(&mut self) -> Result<(), PlatformError> {
        let now = self.shared.clock.now();
        if self.confirm_from.is_none() {
            self.confirm_from = Some(self.earliest_confirmation(now).await?);
        }
        let may_confirm = self.confirm_from.is_some_and(|at| now >= at);
        self.row.confirmed = if may_confirm {
            idle_draining_vms(&self.shared)
        } else {
            LiteMap::new()
        };
        self.row.demand = demand(&self.shared);
        if !self.is_write_due(now) {
            return Ok(());
        }
        self.write().await?;
        self.written = Some(self.row.clone());
        self.demand_written_at = Some(now);
        self.shared.fleet.set_registered();
        Ok(())
    }

    /// Returns when the entry may confirm drains; requests of a predecessor on the same VM may
    /// still run.
    async fn earliest_confirmation(&self, now: Instant) -> Result<Instant, PlatformError> {
        let predecessor = self.shared.table.read(&row_key(&self.shared)).await?;
        let longest = Duration::from_millis(self.shared.settings.stop.longest_request_ms);
        Ok(match predecessor {
            Some(_) => now + longest,
            None => now,
        })
    }

    fn is_write_due(&self, now: Instant) -> bool {
        let Some(written) = &self.written else {
            return true;
        };
        if written.confirmed != self.row.confirmed {
            return true;
        }
        let last = self.demand_written_at;
        let is_late = last.is_none_or(|at| now.duration_since(at) >= DEMAND_INTERVAL);
        is_late && wanted_vms(&written.demand) != wanted_vms(&self.row.demand)
    }

    async fn write(&mut self) -> Result<(), PlatformError> {
        self.sequence += 1;
        let id = format!("fleet-{}", self.row.entry);
        let id = TransactionId::new(id, self.row.started_unix_ms, self.sequence);
        let value = serde_json::to_value(&self.row)
            .map_err(|error| PlatformError::Malformed(error.to_string().into()))?;
        let transaction = Transaction::new(id).put(row_key(&self.shared), value);
        self.shared.table.commit(&transaction).await?;
        Ok(())
    }
}

/// Returns the zone's draining VMs that run no request of this entry and will receive none.
fn idle_draining_vms(shared: &Shared) -> LiteMap<VmId, Generation> {
    let zone = &shared.settings.entry.availability_zone;
    let rows = shared.fleet.applied();
    let snapshot = shared.dispatcher.snapshot();
    let is_used = |vm: &VmId| {
        snapshot.upstreams.iter().any(|upstream| {
            let is_same = upstream.upstream.as_str() == vm.as_str();
            is_same && (!upstream.is_leaving || upstream.running_slots > Slots::ZERO)
        })
    };
    rows.values()
        .filter(|row| row.zone == *zone && matches!(row.state, VmRowState::Draining { .. }))
        .filter(|row| !is_used(&row.vm))
        .map(|row| (row.vm.clone(), row.generation))
        .collect()
}

/// Returns the demand of this entry's queues, by pool.
fn demand(shared: &Shared) -> LiteMap<PoolId, PoolDemand> {
    let mut pools: LiteMap<PoolId, PoolDemand> = LiteMap::new();
    let Some(document) = shared.document.load_full() else {
        return pools;
    };
    let snapshot = shared.dispatcher.snapshot();
    for service in &document.fleet.services {
        let upstreams = snapshot.upstreams.iter();
        let running = upstreams
            .filter(|upstream| upstream.service == service.id)
            .fold(Slots::ZERO, |sum, up| sum.saturating_add(up.running_slots));
        let waiting = snapshot.waiting_by_service.get(&service.id).copied();
        let waiting = Slots::new(u32::try_from(waiting.unwrap_or(0)).unwrap_or(u32::MAX));
        let known = pools.get(&service.pool).copied().unwrap_or_default();
        let demand = PoolDemand {
            running_slots: known.running_slots.saturating_add(running),
            waiting_slots: known.waiting_slots.saturating_add(waiting),
            slots_per_vm: known
                .slots_per_vm
                .saturating_add(service.slots_per_upstream),
        };
        pools.insert(service.pool.clone(), demand);
    }
    pools
}

fn wanted_vms(demand: &LiteMap<PoolId, PoolDemand>) -> Vec<u32> {
    demand.values().map(PoolDemand::wanted_vms).collect()
}

/// Adds one entry's demand to the sum over entries; the slots per VM are not added, since every
/// entry reports the same number.
pub(super) fn add_demand(
    sum: &mut LiteMap<PoolId, PoolDemand>,
    part: &LiteMap<PoolId, PoolDemand>,
) {
    for (pool, part) in part {
        let known = sum.get(pool).copied().unwrap_or_default();
        let demand = PoolDemand {
            running_slots: known.running_slots.saturating_add(part.running_slots),
            waiting_slots: known.waiting_slots.saturating_add(part.waiting_slots),
            slots_per_vm: part.slots_per_vm,
        };
        sum.insert(pool.clone(), demand);
    }
}

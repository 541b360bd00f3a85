//! Runs the fleet management of the zone in rounds, while this process holds the zone's lease.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use rhubarbfall_core::{EntryId, FencingNumber, LiteMap, PoolId};
use rhubarbfall_document::Document;
use rhubarbfall_fleet::{
    Budget, DrainConfirmation, FleetCommand, FleetTransaction, Observation, Rows, VmRow, ZoneFleet,
};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::maintenance::MaintenancePermit;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use tokio::time::sleep;

use super::fleet_registration::add_demand;
use super::health_probe::HealthProbe;
use super::read_rows::{read_announcements, read_entries, read_rows};
use super::{EntryFleetRow, FleetDump};
use crate::Shared;

/// The state that is kept between rounds.
struct FleetController {
    shared: Arc<Shared>,
    probe: HealthProbe,
    fleet: ZoneFleet,
    /// When the VM of each entry was first listed as gone.
    gone_since: LiteMap<EntryId, Instant>,
}

/// Runs a round at every interval until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.fleet.round_ms);
    let mut controller = FleetController::new(shared);
    loop {
        if let Err(error) = controller.round().await {
            log::warn!("event=fleet-round error={error}");
        }
        sleep(interval).await;
    }
}

impl FleetController {
    fn new(shared: Arc<Shared>) -> Self {
        let settings = &shared.settings;
        let zone = settings.entry.availability_zone.clone();
        let started = shared.clock.wall_time().duration_since(UNIX_EPOCH);
        let started_ms = started.map_or(0, |since| since.as_millis());
        let fleet = ZoneFleet::new(
            format!("{}-{started_ms}", settings.entry.id),
            zone.clone(),
            settings.fleet.timings(),
            settings.fleet.wave_policy(),
            settings.fleet.sizer_policy(),
        );
        Self {
            probe: HealthProbe::new(zone),
            fleet,
            gone_since: LiteMap::new(),
            shared,
        }
    }

    /// Returns the fencing number while this process holds the zone's lease.
    fn fencing(&self) -> Option<FencingNumber> {
        self.shared.membership.fencing(self.shared.clock.now())
    }

    async fn round(&mut self) -> Result<(), PlatformError> {
        let Some(document) = self.shared.document.load_full() else {
            return Ok(());
        };
        if self.fencing().is_none() {
            self.fleet.reset_progress();
            self.shared.fleet.set_dump(FleetDump::default());
            return Ok(());
        }
        let observation = self.observe(&document).await?;
        let now = self.shared.clock.now();
        let round = self.fleet.round(&observation, now);
        self.update_dump(&observation, now);
        // The lease may have expired since the rows were read.
        if self.fencing() != observation.fence {
            return Ok(());
        }
        self.execute(&round.commands).await;
        match round.transaction {
            Some(transaction) => self.commit(&transaction).await,
            None => Ok(()),
        }
    }

    async fn observe(&mut self, document: &Document) -> Result<Observation, PlatformError> {
        let fence = self.fencing();
        let rows = read_rows(&self.shared).await?;
        let entries = read_entries(&self.shared).await?;
        let announcements = read_announcements(&self.shared).await;
        let vms = self.shared.vm_list.list().await?;
        let now = self.shared.clock.now();
        self.probe.check(&vms, now).await;
        self.update_gone_entries(&vms, now);
        let minimums = document.fleet.pools.iter();
        let minimums = minimums.map(|pool| (pool.id.clone(), pool.min_vms));
        self.fleet.set_minimums(minimums.collect());
        let own: Vec<&EntryFleetRow> = entries
            .iter()
            .filter(|row| row.zone == self.shared.settings.entry.availability_zone)
            .collect();
        let mut observation = Observation {
            fence,
            announcements: announcements.ok(),
            health: self.probe.health().clone(),
            entries: self.confirming_entries(&own, now),
            confirmations: own.iter().flat_map(|row| confirmations(row)).collect(),
            budgets: budgets(document),
            new_vms: self.new_vms(&vms, &rows),
            now_unix_ms: self.now_unix_ms(),
            rows,
            ..Observation::default()
        };
        for row in &entries {
            add_demand(&mut observation.demand, &row.demand);
        }
        for row in own {
            add_demand(&mut observation.zone_demand, &row.demand);
        }
        Ok(observation)
    }

    fn update_gone_entries(&mut self, vms: &[VmRecord], now: Instant) {
        let is_gone = |vm: &&VmRecord| vm.kind == VmKind::Entry && vm.state == VmState::Gone;
        let gone = vms.iter().filter(is_gone);
        let gone = gone.filter_map(|vm| vm.id.as_str().parse::<EntryId>().ok());
        let known = std::mem::take(&mut self.gone_since);
        self.gone_since = gone
            .map(|entry| {
                let since = known.get(&entry).copied().unwrap_or(now);
                (entry, since)
            })
            .collect();
    }

    /// Returns the entries whose confirmation a drain requires, sorted.
    ///
    /// An entry whose VM is gone is left out once its requests must have ended.
    fn confirming_entries(&self, own: &[&EntryFleetRow], now: Instant) -> Vec<EntryId> {
        let longest = Duration::from_millis(self.shared.settings.stop.longest_request_ms);
        let has_no_requests = |entry: &EntryId| {
            let since = self.gone_since.get(entry);
            since.is_some_and(|since| now.saturating_duration_since(*since) >= longest)
        };
        let entries = own.iter().map(|row| row.entry.clone());
        let mut entries: Vec<EntryId> = entries.filter(|entry| !has_no_requests(entry)).collect();
        entries.sort();
        entries
    }

    /// Returns new rows, in the spare pool, for listed workers of the zone that have none.
    fn new_vms(&self, vms: &[VmRecord], rows: &Rows) -> Vec<VmRow> {
        let settings = &self.shared.settings;
        let Some(pool) = &settings.fleet.spare_pool else {
            return Vec::new();
        };
        let zone = &settings.entry.availability_zone;
        vms.iter()
            .filter(|vm| vm.kind == VmKind::Worker && vm.state == VmState::Live)
            .filter(|vm| vm.availability_zone == *zone && !rows.vms.contains_key(&vm.id))
            .map(|vm| VmRow::new(vm.id.clone(), zone.clone(), vm.rack.clone(), pool.clone()))
            .collect()
    }

    async fn commit(&self, transaction: &FleetTransaction) -> Result<(), PlatformError> {
        let result = self.shared.table.commit(&to_platform(transaction)?).await;
        match result {
            Ok(_) => Ok(()),
            // The lease holder of another zone wrote first; the next round decides from its rows.
            Err(PlatformError::ConditionFailed(key, _)) => {
                log::debug!("event=fleet-conflict row={key}");
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    async fn execute(&self, commands: &[FleetCommand]) {
        for command in commands {
            // Other commands need no action here: entries read drains from the rows themselves.
            let FleetCommand::PermitReboot { wave, vm } = command else {
                continue;
            };
            if self.fencing().is_none() {
                return;
            }
            let permit = MaintenancePermit {
                wave: wave.clone(),
                vm: vm.clone(),
            };
            if let Err(error) = self.shared.fleet.maintenance.permit(&permit).await {
                log::warn!("event=reboot-permit vm={vm} error={error}");
            }
        }
    }

    fn update_dump(&self, observation: &Observation, now: Instant) {
        let decisions = self.fleet.reasons().iter();
        self.shared.fleet.set_dump(FleetDump {
            fence: observation.fence,
            plan: self.fleet.plan().to_vec(),
            decisions: decisions
                .map(|(subject, list)| (subject.clone(), list.iter().cloned().collect()))
                .collect(),
            decided_at: Some(now),
        });
    }

    fn now_unix_ms(&self) -> u64 {
        let since = self.shared.clock.wall_time().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
    }
}

fn confirmations(row: &EntryFleetRow) -> impl Iterator<Item = DrainConfirmation> {
    let confirmed = row.confirmed.iter();
    confirmed.map(|(vm, generation)| DrainConfirmation {
        entry: row.entry.clone(),
        vm: vm.clone(),
        generation: *generation,
    })
}

fn budgets(document: &Document) -> LiteMap<PoolId, Budget> {
    let budget = |pool: &rhubarbfall_document::PoolSpec| Budget {
        max_unavailable_vms: pool.max_unavailable_vms,
        revision: document.revision,
    };
    let pools = document.fleet.pools.iter();
    pools.map(|pool| (pool.id.clone(), budget(pool))).collect()
}

/// Converts a transaction to the table's wire format.
pub(super) fn to_platform(transaction: &FleetTransaction) -> Result<Transaction, PlatformError> {
    let id = TransactionId::new(&transaction.id, 0, 0);
    let mut platform = Transaction::new(id);
    for (key, version) in &transaction.conditions {
        platform = platform.expect(key.to_string(), *version);
    }
    for (key, value) in &transaction.writes {
        let value = serde_json::to_value(value)
            .map_err(|error| PlatformError::Malformed(error.to_string().into()))?;
        platform = platform.put(key.to_string(), value);
    }
    Ok(platform)
}

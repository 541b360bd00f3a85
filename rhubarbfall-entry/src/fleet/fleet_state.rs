use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use parking_lot::Mutex;
use rhubarbfall_core::{FencingNumber, LiteMap, PoolId, VmId};
use rhubarbfall_fleet::{Decision, PlannedVm, Subject, VmRow};
use rhubarbfall_platform::maintenance::MaintenanceClient;
use rhubarbfall_platform::table::Row;
use serde::Serialize;

use crate::Settings;

/// The state that fleet management shares with the rest of the process.
#[derive(Debug)]
pub struct FleetState {
    /// Client of the platform's maintenance service.
    pub maintenance: MaintenanceClient,
    is_registered: AtomicBool,
    applied: Mutex<LiteMap<VmId, VmRow>>,
    dump: Mutex<FleetDump>,
}

/// The state of fleet management, as shown in the state dump.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FleetDump {
    /// Fencing number of the zone's lease, while this process holds it.
    pub fence: Option<FencingNumber>,
    /// The newest plan of the zone's announced VMs.
    pub plan: Vec<PlannedVm>,
    /// The newest decisions of this process, by subject.
    pub decisions: Vec<(Subject, Vec<Decision>)>,
    /// Time of the last round.
    #[serde(skip)]
    pub decided_at: Option<Instant>,
}

impl FleetState {
    /// Creates the state of a process that is not registered and follows no rows yet.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let platform = &settings.platform;
        let zone = settings.entry.availability_zone.clone();
        Self {
            maintenance: MaintenanceClient::new(platform.vms, zone, platform.timeout()),
            is_registered: AtomicBool::new(false),
            applied: Mutex::new(LiteMap::new()),
            dump: Mutex::new(FleetDump::default()),
        }
    }

    /// Returns whether this entry's row is in the table, so that it may route.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.is_registered.load(Ordering::Acquire)
    }

    pub(super) fn set_registered(&self) {
        self.is_registered.store(true, Ordering::Release);
    }

    /// Parses the rows of VMs; a malformed row is logged and left out.
    #[must_use]
    pub fn parse_vms(rows: &[Row]) -> LiteMap<VmId, VmRow> {
        let parsed = rows.iter().filter_map(|row| match row.parse::<VmRow>() {
            Ok(vm) => Some((vm.vm.clone(), vm)),
            Err(error) => {
                log::warn!("event=vm-row error={error}");
                None
            }
        });
        parsed.collect()
    }

    /// Returns the VMs that may be routed to, with their pools.
    ///
    /// A row is ignored if its generation is older than that of the row that routing follows.
    #[must_use]
    pub fn routable_pools(&self, rows: &LiteMap<VmId, VmRow>) -> LiteMap<VmId, PoolId> {
        let applied = self.applied.lock();
        let is_old = |row: &VmRow| {
            let known = applied.get(&row.vm);
            known.is_some_and(|known| known.generation > row.generation)
        };
        let routable = rows
            .values()
            .filter(|row| row.is_routable() && !is_old(row));
        routable
            .map(|row| (row.vm.clone(), row.pool.clone()))
            .collect()
    }

    /// Sets the VM rows that routing follows.
    pub fn set_applied(&self, rows: LiteMap<VmId, VmRow>) {
        *self.applied.lock() = rows;
    }

    /// Returns the VM rows that routing follows.
    #[must_use]
    pub fn applied(&self) -> LiteMap<VmId, VmRow> {
        self.applied.lock().clone()
    }

    pub(super) fn set_dump(&self, dump: FleetDump) {
        *self.dump.lock() = dump;
    }

    /// Returns the state for the state dump; empty without the zone's lease.
    #[must_use]
    pub fn dump(&self) -> FleetDump {
        self.dump.lock().clone()
    }
}

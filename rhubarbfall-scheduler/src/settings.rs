//! Settings file of the scheduler process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rhubarbfall_core::{AvailabilityZoneId, CellId, EntryId};
use rhubarbfall_runs::scheduler::SchedulerSettings;
use serde::Deserialize;

quick_error! {
    /// Reason why the settings cannot be used.
    #[derive(Debug)]
    pub enum SchedulerSettingsError {
        /// The file cannot be read.
        Unreadable(cause: std::io::Error) {
            from()
            display("5001 cannot read the settings file: {cause}")
        }
        /// The file is not valid TOML, or a value is missing or has the wrong type.
        Malformed(cause: toml::de::Error) {
            from()
            display("5001 malformed settings file: {cause}")
        }
        /// A value is out of range.
        Invalid(what: &'static str) {
            display("5002 invalid setting: {what}")
        }
    }
}

/// Share of the VM service's call rate that is used for moves; the rest is left for maintenance and
/// retries.
const VM_MOVE_SHARE: f64 = 0.75;

/// Shortest gap between the orders of two owners for VMs: the timeout of an order, after which its
/// connection is reset.
const MIN_VM_ORDER_GAP_MS: u64 = 1_500;

/// Shortest time after which an evacuation can be in force: the delivery of a start, and a view of the
/// operators' requests that is renewed once a second.
const MIN_EVACUATION_BOUND_MS: u64 = 3_000;

/// Smallest row that the store may hold: one with the longest program that callers may send.
const MIN_STORE_ROW_BYTES: usize = 16 * 1024;

/// Settings of a scheduler process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerProcessSettings {
    /// Name of this entry, recorded in the owner row while it owns the submissions.
    pub entry: EntryId,
    /// Availability zone of this entry.
    pub availability_zone: AvailabilityZoneId,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for other entries.
    pub peers: SocketAddr,
    /// Listen address for metrics scrapes.
    pub metrics: SocketAddr,
    /// Peer addresses of entries to ask for the owner; some may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the service that lists, moves and maintains VMs.
    pub vm_service: SocketAddr,
    /// Address of the advice service, which decides which workers may run a step. Needed only if a
    /// queue uses advice.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// Longest lease that a worker grants, in milliseconds; at least 1000.
    pub max_lease_ms: u64,
    /// Moves and maintenance calls per second that the VM service accepts from all entries
    /// together; above 0.
    #[serde(default = "default_vm_calls_per_s")]
    pub vm_calls_per_s: f64,
    /// Longest value of a row that the store accepts, in bytes of base64; at least 16384.
    #[serde(default = "default_store_row_bytes")]
    pub store_row_bytes: usize,
    /// Whether the VM service refuses orders with a lower fencing number than one that it has seen.
    #[serde(default = "default_vm_service_checks_fences")]
    pub vm_service_checks_fences: bool,
    /// Time that a new owner keeps between its predecessor's last order for a VM and its own first
    /// one if the VM service does not check fencing numbers, in milliseconds; at least 1500, the
    /// time for which an order may be on its way.
    #[serde(default = "default_vm_order_gap_ms")]
    pub vm_order_gap_ms: u64,
    /// Time after which an evacuation of an availability zone is in force, in milliseconds from when
    /// it is stored; at least 3000. Without it, an owner does not check how recent its view of such
    /// requests is.
    #[serde(default)]
    pub evacuation_bound_ms: Option<u64>,
    /// Number of VMs from which on a fleet is divided into cells; at least 2.
    #[serde(default = "default_min_divided_vms")]
    pub min_divided_vms: usize,
    /// Number of VMs of a cell, about; at least 1.
    #[serde(default = "default_vms_per_cell")]
    pub vms_per_cell: usize,
    /// Whether tasks are placed by when runs are expected to end, and room is held for large tasks
    /// and gangs that smaller tasks would pass for ever.
    #[serde(default)]
    pub placement_lookahead: bool,
    /// Share of a core available to this entry, such as 0.25; above 0.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// Time limit of a planned stop, in seconds; at least 1.
    pub stop_grace_s: u64,
    /// Log level, such as `info`.
    #[serde(default = "default_log_level")]
    pub log_level: Arc<str>,
}

/// The lowest rate observed on the users' platform.
const fn default_vm_calls_per_s() -> f64 {
    64.0
}

const fn default_store_row_bytes() -> usize {
    65_536
}

const fn default_vm_service_checks_fences() -> bool {
    true
}

/// The lease that the users' platform grants to whoever gives orders for a VM.
const fn default_vm_order_gap_ms() -> u64 {
    3_000
}

/// Fleets of up to 350 VMs need a small part of a core.
const fn default_min_divided_vms() -> usize {
    500
}

const fn default_vms_per_cell() -> usize {
    140
}

const fn default_cpu_share() -> f64 {
    1.0
}

fn default_log_level() -> Arc<str> {
    Arc::from("info")
}

impl SchedulerProcessSettings {
    /// Returns the longest lease that a worker grants.
    #[must_use]
    pub const fn max_lease(&self) -> Duration {
        Duration::from_millis(self.max_lease_ms)
    }

    /// Returns the settings of the scheduler that an owner runs.
    #[must_use]
    pub fn scheduler(&self) -> SchedulerSettings {
        SchedulerSettings {
            max_lease: self.max_lease(),
            // Base64 has four characters for three bytes.
            max_row_bytes: self.store_row_bytes / 4 * 3,
            vm_moves_per_s: self.vm_calls_per_s * VM_MOVE_SHARE,
            placement_lookahead: self.placement_lookahead,
            evacuation_bound: self.evacuation_bound(),
            ..SchedulerSettings::default()
        }
    }

    /// Returns the settings of the scheduler of a cell.
    #[must_use]
    pub fn scheduler_of(&self, cell: CellId, cells: u16) -> SchedulerSettings {
        SchedulerSettings {
            cell,
            cells,
            ..self.scheduler()
        }
    }

    /// Returns the time after which an evacuation is in force, or `None` without a bound.
    fn evacuation_bound(&self) -> Option<Duration> {
        self.evacuation_bound_ms.map(Duration::from_millis)
    }

    /// Returns how long an order for a VM may be on its way after its call has ended without an
    /// answer; zero if the VM service refuses the orders of earlier owners.
    #[must_use]
    pub const fn vm_order_time(&self) -> Duration {
        if self.vm_service_checks_fences {
            Duration::ZERO
        } else {
            Duration::from_millis(self.vm_order_gap_ms)
        }
    }

    /// Returns the time limit of a planned stop.
    #[must_use]
    pub const fn stop_grace(&self) -> Duration {
        Duration::from_secs(self.stop_grace_s)
    }
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns a [`SchedulerSettingsError`] with the result code and the first invalid value.
pub fn read_settings(path: &Path) -> Result<SchedulerProcessSettings, SchedulerSettingsError> {
    let settings: SchedulerProcessSettings = toml::from_str(&std::fs::read_to_string(path)?)?;
    if settings.max_lease_ms < 1_000 {
        return Err(SchedulerSettingsError::Invalid(
            "max_lease_ms must be at least 1000",
        ));
    }
    if settings.stop_grace_s < 1 {
        return Err(SchedulerSettingsError::Invalid(
            "stop_grace_s must be at least 1",
        ));
    }
    if settings.cpu_share.is_nan() || settings.cpu_share <= 0.0 {
        return Err(SchedulerSettingsError::Invalid("cpu_share must be above 0"));
    }
    if settings.vm_calls_per_s.is_nan() || settings.vm_calls_per_s <= 0.0 {
        return Err(SchedulerSettingsError::Invalid(
            "vm_calls_per_s must be above 0",
        ));
    }
    if settings.store_row_bytes < MIN_STORE_ROW_BYTES {
        return Err(SchedulerSettingsError::Invalid(
            "store_row_bytes must be at least 16384",
        ));
    }
    if settings.vm_order_gap_ms < MIN_VM_ORDER_GAP_MS {
        return Err(SchedulerSettingsError::Invalid(
            "vm_order_gap_ms must be at least 1500",
        ));
    }
    if settings
        .evacuation_bound_ms
        .is_some_and(|bound_ms| bound_ms < MIN_EVACUATION_BOUND_MS)
    {
        return Err(SchedulerSettingsError::Invalid(
            "evacuation_bound_ms must be at least 3000",
        ));
    }
    if settings.min_divided_vms < 2 {
        return Err(SchedulerSettingsError::Invalid(
            "min_divided_vms must be at least 2",
        ));
    }
    if settings.vms_per_cell < 1 {
        return Err(SchedulerSettingsError::Invalid(
            "vms_per_cell must be at least 1",
        ));
    }
    if settings.log_level.parse::<log::LevelFilter>().is_err() {
        return Err(SchedulerSettingsError::Invalid(
            "log_level must be off, error, warn, info, debug or trace",
        ));
    }
    Ok(settings)
}

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use rhubarbfall_core::{AvailabilityZoneId, EntryId};
use rhubarbfall_runs::scheduler::SchedulerSettings;
use serde::Deserialize;

quick_error! {
    /// Why the settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Unreadable(cause: std::io::Error) {
            from()
            display("5001 the settings cannot be read: {cause}")
        }
        /// The file is not TOML, or a value is missing or of another type.
        Malformed(cause: toml::de::Error) {
            from()
            display("5001 the settings are malformed: {cause}")
        }
        /// A value is out of its range.
        Invalid(what: &'static str) {
            display("5002 the settings break a rule: {what}")
        }
    }
}

/// The part of the VM service's rate that moves use; the rest is left to maintenance and repeats.
const VM_MOVE_SHARE: f64 = 0.75;

/// The settings of an entry process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SchedulerProcessSettings {
    /// The entry's name.
    pub entry: EntryId,
    /// The entry's availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the entry takes connections.
    pub readiness: SocketAddr,
    /// Where other entries connect.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Entries that may know the owner; some may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// The service that lists, moves and maintains VMs.
    pub vm_service: SocketAddr,
    /// The service that knows which workers may run a step, where queues need it.
    #[serde(default)]
    pub advice: Option<SocketAddr>,
    /// The longest lease that a worker grants, in milliseconds.
    pub max_lease_ms: u64,
    /// How many moves and maintenance calls a second the VM service takes from all entries.
    #[serde(default = "default_vm_calls_per_s")]
    pub vm_calls_per_s: f64,
    /// The part of a core that the entry has.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    /// How long a planned stop may take, in seconds.
    pub stop_grace_s: u64,
    /// The level of the log.
    #[serde(default = "default_log_level")]
    pub log_level: Arc<str>,
}

/// The lowest rate that the users' platform has been seen to offer.
const fn default_vm_calls_per_s() -> f64 {
    64.0
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

    /// Returns how an owner decides.
    #[must_use]
    pub fn scheduler(&self) -> SchedulerSettings {
        SchedulerSettings {
            vm_moves_per_s: self.vm_calls_per_s * VM_MOVE_SHARE,
            ..SchedulerSettings::default()
        }
    }

    /// Returns how long a planned stop may take.
    #[must_use]
    pub const fn stop_grace(&self) -> Duration {
        Duration::from_secs(self.stop_grace_s)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`SettingsError`] with the result code and the first fault.
pub fn read_settings(path: &Path) -> Result<SchedulerProcessSettings, SettingsError> {
    let settings: SchedulerProcessSettings = toml::from_str(&std::fs::read_to_string(path)?)?;
    if settings.max_lease_ms < 1_000 {
        return Err(SettingsError::Invalid("max_lease_ms is below 1000"));
    }
    if settings.stop_grace_s < 1 {
        return Err(SettingsError::Invalid("stop_grace_s is below 1"));
    }
    if settings.cpu_share.is_nan() || settings.cpu_share <= 0.0 {
        return Err(SettingsError::Invalid("cpu_share is not above 0"));
    }
    if settings.vm_calls_per_s.is_nan() || settings.vm_calls_per_s <= 0.0 {
        return Err(SettingsError::Invalid("vm_calls_per_s is not above 0"));
    }
    if settings.log_level.parse::<log::LevelFilter>().is_err() {
        return Err(SettingsError::Invalid("log_level is not a level"));
    }
    Ok(settings)
}

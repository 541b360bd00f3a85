use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, RackId, RegionId};
use rhubarbfall_document::Pepper;
use serde::Deserialize;

/// Who the process is and where it runs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's identifier, which a replacement on the same VM keeps.
    pub id: EntryId,
    /// The availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// The region.
    pub region: RegionId,
    /// The rack.
    pub rack: RackId,
}

/// Where the process listens; port 0 lets the system choose.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators, metrics, health and the state dump.
    pub operators: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// Where other entries connect, when that is not where this process listens.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
    /// How long one answer may take.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_platform_timeout_ms() -> u64 {
    1_000
}

impl PlatformSettings {
    /// Returns how long one answer may take.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// The secrets that all processes of the fleet share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// What entries prove to each other.
    pub fleet_key: Pepper,
    /// What keys are digested with.
    pub key_pepper: Pepper,
}

/// Limits of the traffic side.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrafficSettings {
    /// How many threads serve callers.
    pub threads: usize,
    /// The largest body of a request.
    pub max_body_bytes: usize,
    /// The memory that the bodies of all requests may take together.
    pub max_buffered_bytes: usize,
    /// How long a body may take to arrive.
    pub body_timeout_ms: u64,
    /// How long a connection to an upstream may take to open.
    pub connect_timeout_ms: u64,
    /// How long a request may wait when its caller names no deadline.
    pub default_deadline_ms: u64,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self {
            threads: 2,
            max_body_bytes: 1024 * 1024,
            max_buffered_bytes: 64 * 1024 * 1024,
            body_timeout_ms: 10_000,
            connect_timeout_ms: 500,
            default_deadline_ms: 30_000,
        }
    }
}

/// Intervals of the control thread.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// The age of the newest known read of the head row at which an entry reads it itself.
    pub document_poll_ms: u64,
    /// How often the list of VMs is read.
    pub vm_list_poll_ms: u64,
    /// How old the evidence may be that the configuration is the newest.
    pub freshness_bound_ms: u64,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            document_poll_ms: 1_500,
            vm_list_poll_ms: 500,
            freshness_bound_ms: 5_000,
        }
    }
}

/// How a planned stop goes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long the balancer may go on sending after readiness went off.
    pub balancer_grace_ms: u64,
    /// How long the longest request may take; the process waits no longer.
    pub longest_request_ms: u64,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            balancer_grace_ms: 1_000,
            longest_request_ms: 60_000,
        }
    }
}

/// What is logged and how.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The shape of a line.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: Arc<str>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: Arc::from("info"),
        }
    }
}

/// The shape of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

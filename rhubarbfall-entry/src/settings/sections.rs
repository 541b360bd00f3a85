use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{AvailabilityZoneId, EntryId, RackId, RegionId};
use rhubarbfall_document::Pepper;
use serde::Deserialize;

/// Identity and location of the process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identifier of the entry; a process that replaces it on the same VM keeps it.
    pub id: EntryId,
    /// Availability zone of the VM.
    pub availability_zone: AvailabilityZoneId,
    /// Region of the availability zone.
    pub region: RegionId,
    /// Rack of the VM.
    pub rack: RackId,
}

/// Addresses at which the process listens; with port 0 the operating system chooses the port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators, metrics, health checks and the state dump.
    pub operators: SocketAddr,
    /// Address for other entries.
    pub peers: SocketAddr,
    /// Address to which other entries connect, if it differs from the listening address.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_platform_timeout_ms() -> u64 {
    1_000
}

impl PlatformSettings {
    /// Returns the timeout of one call.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Secrets that all processes of the fleet share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Key with which entries authenticate each other.
    pub fleet_key: Pepper,
    /// Pepper for the digests of access keys.
    pub key_pepper: Pepper,
}

/// Limits and timeouts of the request path.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TrafficSettings {
    /// Number of threads that serve callers.
    pub threads: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum memory for the bodies of all requests together.
    pub max_buffered_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout_ms: u64,
    /// Timeout for connecting to an upstream.
    pub connect_timeout_ms: u64,
    /// Maximum wait of a request whose caller sets no deadline.
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

/// Intervals of the control thread, and the freshness bound.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Age of the newest known read of the head row at which an entry reads the row itself.
    pub document_poll_ms: u64,
    /// Interval between reads of the VM list.
    pub vm_list_poll_ms: u64,
    /// Maximum age of the evidence that the configuration is the newest.
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

/// Time limits of a planned stop.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long the load balancer may keep sending requests after the readiness check fails.
    pub balancer_grace_ms: u64,
    /// Maximum time that the process waits for requests in flight.
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

/// Format and level of the log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Format of a log line.
    pub format: LogFormat,
    /// Least severe level that is logged.
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

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Text,
}

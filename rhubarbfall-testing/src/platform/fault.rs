use rhubarbfall_core::AvailabilityZoneId;
use serde::{Deserialize, Serialize};

/// Service of the platform, as the scope of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformService {
    /// Transactional table.
    Table,
    /// Object store.
    Objects,
    /// VM list and maintenance.
    Vms,
}

/// Effect of a fault on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// The request is rejected with status 503 and has no effect.
    Down,
    /// The connection is dropped before the request takes effect.
    #[serde(rename = "cut")]
    DropRequest,
    /// The request takes effect, and the connection is dropped before the response.
    #[serde(rename = "lose-answer")]
    DropResponse,
    /// The request is processed after a delay.
    Slow {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
}

/// Scripted fault of the stand-in platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Affected service; `None` means all.
    pub service: Option<PlatformService>,
    /// Availability zone whose requests are affected; `None` means all.
    pub availability_zone: Option<AvailabilityZoneId>,
    /// Whether only writes are affected.
    #[serde(default)]
    pub writes_only: bool,
    /// Number of requests still to be affected; `None` means all until the fault is cleared.
    pub remaining: Option<u32>,
    /// Effect on a request.
    pub mode: FaultMode,
}

impl Fault {
    /// Creates a fault that affects every service and zone until it is cleared.
    #[must_use]
    pub const fn new(mode: FaultMode) -> Self {
        Self {
            service: None,
            availability_zone: None,
            writes_only: false,
            remaining: None,
            mode,
        }
    }

    /// Limits the fault to one service.
    #[must_use]
    pub const fn service(mut self, service: PlatformService) -> Self {
        self.service = Some(service);
        self
    }

    /// Limits the fault to requests from one availability zone.
    #[must_use]
    pub fn availability_zone(mut self, zone: AvailabilityZoneId) -> Self {
        self.availability_zone = Some(zone);
        self
    }

    /// Limits the fault to writes.
    #[must_use]
    pub const fn writes_only(mut self, writes_only: bool) -> Self {
        self.writes_only = writes_only;
        self
    }

    /// Limits the fault to the first `remaining` requests that it applies to.
    #[must_use]
    pub const fn remaining(mut self, remaining: u32) -> Self {
        self.remaining = Some(remaining);
        self
    }

    /// Returns whether the fault affects a request to `service` from `zone`.
    pub(super) fn applies_to(&self, service: PlatformService, zone: &str, is_write: bool) -> bool {
        self.service.is_none_or(|only| only == service)
            && self
                .availability_zone
                .as_ref()
                .is_none_or(|only| only.as_str() == zone)
            && (is_write || !self.writes_only)
            && self.remaining != Some(0)
    }
}

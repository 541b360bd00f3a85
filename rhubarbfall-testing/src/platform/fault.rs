use rhubarbfall_core::AvailabilityZoneId;
use serde::{Deserialize, Serialize};

/// One of the platform's services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformService {
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The list of VMs.
    Vms,
}

/// What goes wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// The request is refused and has no effect.
    Down,
    /// The connection drops before the request takes effect.
    #[serde(rename = "cut")]
    DropRequest,
    /// The request takes effect, and the connection drops before the answer.
    #[serde(rename = "lose-answer")]
    DropResponse,
    /// The answer comes late by this much.
    Slow {
        /// The delay.
        delay_ms: u64,
    },
}

/// A scripted fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The service that has the fault; nothing stands for all.
    pub service: Option<PlatformService>,
    /// The availability zone whose requests it hits; nothing stands for all.
    pub availability_zone: Option<AvailabilityZoneId>,
    /// Whether it hits only writes.
    #[serde(default)]
    pub writes_only: bool,
    /// How many requests it hits; nothing stands for all until it is cleared.
    pub remaining: Option<u32>,
    /// What goes wrong.
    pub mode: FaultMode,
}

impl Fault {
    /// Creates a fault of every service and zone that lasts until it is cleared.
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

    /// Limits the fault to this many requests.
    #[must_use]
    pub const fn remaining(mut self, remaining: u32) -> Self {
        self.remaining = Some(remaining);
        self
    }

    /// Returns whether the fault hits a request.
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

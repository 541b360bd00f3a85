use std::time::Duration;

use rhubarbfall_core::PoolId;
use rhubarbfall_fleet::{FleetTimings, SizerPolicy, WavePolicy};
use rhubarbfall_membership::ZoneLeaseConfig;
use serde::Deserialize;

/// Settings of the zone's lease, of maintenance waves and of pool moves.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// Duration of the zone's lease without a renewal, in milliseconds.
    pub lease_ms: u64,
    /// Interval between rounds of the lease holder, in milliseconds.
    pub round_ms: u64,
    /// Interval at which an entry checks whether it can confirm drains, in milliseconds.
    pub confirm_ms: u64,
    /// Longest time from the reboot permit until the reboot is reported as done, in milliseconds.
    pub reboot_limit_ms: u64,
    /// How long a VM must be healthy before it returns to service, in milliseconds.
    pub prove_ms: u64,
    /// Time within which a VM must have been healthy for `prove_ms`, in milliseconds.
    pub prove_limit_ms: u64,
    /// How long a VM must be unhealthy to count as an outage, in milliseconds.
    pub outage_after_ms: u64,
    /// VMs of a wave that may be in flight before the first one has returned to service.
    pub first_batch_vms: u32,
    /// The pool that lends VMs to other pools and receives those of retired pools.
    pub spare_pool: Option<PoolId>,
}

impl FleetSettings {
    /// Returns the timing of the zone's lease.
    #[must_use]
    pub fn lease_config(&self) -> ZoneLeaseConfig {
        let lease = Duration::from_millis(self.lease_ms);
        ZoneLeaseConfig {
            duration: lease,
            renew_after: lease / 3,
            poll_interval: lease / 3,
            ..ZoneLeaseConfig::new()
        }
    }

    /// Returns the time limits of maintenance steps. Routing views do not expire, so every entry
    /// has to confirm each drain.
    #[must_use]
    pub fn timings(&self) -> FleetTimings {
        FleetTimings::default()
            .view_lifetime(None)
            .reboot_limit(Duration::from_millis(self.reboot_limit_ms))
            .min_healthy_time(Duration::from_millis(self.prove_ms))
            .healthy_deadline(Duration::from_millis(self.prove_limit_ms))
            .outage_after(Duration::from_millis(self.outage_after_ms))
    }

    /// Returns the policy for the progress of waves.
    #[must_use]
    pub fn wave_policy(&self) -> WavePolicy {
        WavePolicy::default().first_batch_vms(self.first_batch_vms)
    }

    /// Returns the policy by which pools grow and shrink.
    #[must_use]
    pub fn sizer_policy(&self) -> SizerPolicy {
        SizerPolicy::default().spare_pool(self.spare_pool.clone())
    }
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            lease_ms: 15_000,
            round_ms: 1_000,
            confirm_ms: 500,
            reboot_limit_ms: 900_000,
            prove_ms: 10_000,
            prove_limit_ms: 120_000,
            outage_after_ms: 3_000,
            first_batch_vms: 4,
            spare_pool: None,
        }
    }
}

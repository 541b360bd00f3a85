use std::time::Duration;

use rhubarbfall_core::PoolId;
use rhubarbfall_fleet::{FleetTimings, SizerPolicy, WavePolicy};
use rhubarbfall_membership::ZoneLeaseConfig;
use serde::Deserialize;

/// How maintenance waves and moves go.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// How long the lease of the zone lasts without a renewal.
    pub lease_ms: u64,
    /// How often the holder of the zone's lease decides.
    pub round_ms: u64,
    /// How often an entry looks whether it can confirm drains.
    pub confirm_ms: u64,
    /// How long a VM may take to come back from its reboot.
    pub reboot_limit_ms: u64,
    /// How long a VM must be healthy before it takes work again.
    pub prove_ms: u64,
    /// How long a VM may take to prove healthy.
    pub prove_limit_ms: u64,
    /// How long a VM must be unhealthy to count as an outage.
    pub outage_after_ms: u64,
    /// How many VMs of a wave may be in flight before the first has come back.
    pub first_batch_vms: u32,
    /// The pool that lends VMs and takes those of retired pools.
    pub spare_pool: Option<PoolId>,
}

impl FleetSettings {
    /// Returns the times of the zone's lease.
    #[must_use]
    pub fn lease_config(&self) -> ZoneLeaseConfig {
        let lease = Duration::from_millis(self.lease_ms);
        ZoneLeaseConfig {
            duration: lease,
            renew_after: lease / 3,
            watch_interval: lease / 3,
            ..ZoneLeaseConfig::new()
        }
    }

    /// Returns the limits of steps; views do not expire, so every entry confirms each drain.
    #[must_use]
    pub fn timings(&self) -> FleetTimings {
        FleetTimings::default()
            .view_lifetime(None)
            .reboot_limit(Duration::from_millis(self.reboot_limit_ms))
            .min_healthy_time(Duration::from_millis(self.prove_ms))
            .healthy_deadline(Duration::from_millis(self.prove_limit_ms))
            .outage_after(Duration::from_millis(self.outage_after_ms))
    }

    /// Returns how waves go.
    #[must_use]
    pub fn wave_policy(&self) -> WavePolicy {
        WavePolicy::default().first_batch_vms(self.first_batch_vms)
    }

    /// Returns how pools grow and shrink.
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

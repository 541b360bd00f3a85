use std::fmt;

use rhubarbfall_core::{VmId, WaveId};
use serde::{Deserialize, Serialize};

/// Why a wave was stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StopReason {
    /// An operator stopped the wave.
    Operator,
    /// A VM did not return to service after its reboot.
    NotBack {
        /// VM that did not return.
        vm: VmId,
        /// VMs of the wave that did not return to service or failed afterwards.
        failed_vms: u32,
        /// VMs of the wave that returned to service.
        done_vms: u32,
    },
    /// A VM failed after it had returned to service.
    FailedAfterReturn {
        /// VM that failed.
        vm: VmId,
        /// VMs of the wave that did not return to service or failed afterwards.
        failed_vms: u32,
        /// VMs of the wave that returned to service.
        done_vms: u32,
    },
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Operator => f.write_str("stopped by an operator"),
            Self::NotBack {
                vm,
                failed_vms,
                done_vms,
            } => write!(
                f,
                "{vm} did not return to service; {failed_vms} failed, {done_vms} done"
            ),
            Self::FailedAfterReturn {
                vm,
                failed_vms,
                done_vms,
            } => write!(
                f,
                "{vm} failed after its return to service; {failed_vms} failed, {done_vms} done"
            ),
        }
    }
}

/// Whether a wave grants new permits.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveStatus {
    /// Permits are granted.
    #[default]
    Running,
    /// No new permits; maintenance that has started continues.
    Paused,
    /// No new permits; drains without a permitted reboot are undone.
    Stopped {
        /// Why the wave was stopped.
        reason: StopReason,
    },
}

/// The row of one wave: its status and the counts that limit its batches.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRow {
    /// Identifier of the wave, also the key of the row.
    pub wave: WaveId,
    /// Whether the wave grants new permits.
    pub status: WaveStatus,
    /// VMs that were granted a permit, without those whose drain was undone.
    pub granted_vms: u32,
    /// VMs that were rebooted and returned to service.
    pub done_vms: u32,
    /// VMs that did not return to service after their reboot.
    pub failed_vms: u32,
    /// VMs that failed after they had returned to service.
    pub failed_after_return_vms: u32,
}

impl WaveRow {
    /// Creates the row of a wave that has just been announced.
    #[must_use]
    pub const fn new(wave: WaveId) -> Self {
        Self {
            wave,
            status: WaveStatus::Running,
            granted_vms: 0,
            done_vms: 0,
            failed_vms: 0,
            failed_after_return_vms: 0,
        }
    }

    /// Returns how many VMs have a permit and have neither returned to service nor failed.
    #[must_use]
    pub const fn in_flight_vms(&self) -> u32 {
        self.granted_vms
            .saturating_sub(self.done_vms)
            .saturating_sub(self.failed_vms)
    }

    /// Returns how many VMs failed during or after their reboot.
    #[must_use]
    pub const fn all_failed_vms(&self) -> u32 {
        self.failed_vms + self.failed_after_return_vms
    }

    /// Stops the wave; a wave that is already stopped keeps its first reason.
    pub fn stop(&mut self, reason: StopReason) {
        if !matches!(self.status, WaveStatus::Stopped { .. }) {
            self.status = WaveStatus::Stopped { reason };
        }
    }
}

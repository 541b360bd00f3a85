//! The row changes of each step of a VM.

use rhubarbfall_core::{FencingNumber, PoolId, VmId, WaveId};

use crate::staged_rows::StagedRows;
use crate::vm_step::VmStep;
use crate::{Outage, Reason, StopReason, VmRowState, WavePolicy};

/// The fencing number and the policy under which steps are applied.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Applier<'a> {
    pub(crate) fence: FencingNumber,
    pub(crate) policy: &'a WavePolicy,
    pub(crate) time_in_state_s: u64,
}

impl Applier<'_> {
    /// Applies a step; returns the reason to record if anything changed.
    pub(crate) fn apply(&self, staged: &mut StagedRows, vm: &VmId, step: VmStep) -> Option<Reason> {
        match step {
            VmStep::NoChange => None,
            VmStep::CancelDrain(wave) => self.cancel_drain(staged, vm, &wave),
            VmStep::StartReboot(wave) => {
                let state = VmRowState::Rebooting { wave: wave.clone() };
                staged.vm_mut(vm)?.transition_to(state, self.fence);
                Some(Reason::RebootPermitted { wave })
            }
            VmStep::FinishMove(to) => self.finish_move(staged, vm, to),
            VmStep::StartProving(wave) => {
                let state = VmRowState::Proving {
                    wave: wave.clone(),
                    is_rebooted: true,
                };
                staged.vm_mut(vm)?.transition_to(state, self.fence);
                Some(Reason::Rebooted { wave })
            }
            VmStep::ReturnToService => self.return_to_service(staged, vm),
            VmStep::MarkFailed => self.mark_failed(staged, vm),
            VmStep::Recover => self.recover(staged, vm),
        }
    }

    fn cancel_drain(&self, staged: &mut StagedRows, vm: &VmId, wave: &WaveId) -> Option<Reason> {
        let state = VmRowState::Proving {
            wave: wave.clone(),
            is_rebooted: false,
        };
        staged.vm_mut(vm)?.transition_to(state, self.fence);
        let reason = match staged.wave(wave).map(|row| row.status.clone()) {
            Some(crate::WaveStatus::Stopped { reason }) => reason,
            _ => StopReason::Operator,
        };
        Some(Reason::WaveStopped { stop: reason })
    }

    /// Changes the VM's pool and releases its permit of the old pool in the same transaction.
    fn finish_move(&self, staged: &mut StagedRows, vm: &VmId, to: PoolId) -> Option<Reason> {
        let row = staged.vm_mut(vm)?;
        let from = std::mem::replace(&mut row.pool, to.clone());
        row.transition_to(VmRowState::Warming, self.fence);
        if row.wanted_pool.as_ref() == Some(&to) {
            row.wanted_pool = None;
        }
        let ledger = staged.ledger_mut(&from);
        ledger.release(vm);
        ledger.clear_outage(vm);
        Some(Reason::Moved { from, to })
    }

    fn return_to_service(&self, staged: &mut StagedRows, vm: &VmId) -> Option<Reason> {
        let row = staged.vm_mut(vm)?;
        let state = row.state.clone();
        let pool = row.pool.clone();
        row.transition_to(VmRowState::InService, self.fence);
        if let VmRowState::Proving { wave, is_rebooted } = state {
            if is_rebooted {
                row.last_wave = Some(wave.clone());
                staged.wave_mut(&wave).done_vms += 1;
            } else {
                let row = staged.wave_mut(&wave);
                row.granted_vms = row.granted_vms.saturating_sub(1);
            }
        }
        let ledger = staged.ledger_mut(&pool);
        ledger.release(vm);
        ledger.clear_outage(vm);
        Some(Reason::TakenBack { pool })
    }

    /// Replaces the VM's permit with an outage, and stops the wave if too many VMs have failed.
    fn mark_failed(&self, staged: &mut StagedRows, vm: &VmId) -> Option<Reason> {
        let row = staged.vm_mut(vm)?;
        let pool = row.pool.clone();
        let zone = row.zone.clone();
        let wave = match &row.state {
            VmRowState::Rebooting { wave } | VmRowState::Proving { wave, .. } => Some(wave.clone()),
            _ => None,
        };
        row.transition_to(VmRowState::Failed { wave: wave.clone() }, self.fence);
        let ledger = staged.ledger_mut(&pool);
        ledger.release(vm);
        ledger.record_outage(vm.clone(), Outage { zone });
        if let Some(wave) = wave {
            let row = staged.wave_mut(&wave);
            row.failed_vms += 1;
            let failed_vms = row.all_failed_vms();
            let done_vms = row.done_vms;
            if self.policy.must_stop(failed_vms, done_vms) {
                row.stop(StopReason::NotBack {
                    vm: vm.clone(),
                    failed_vms,
                    done_vms,
                });
            }
        }
        Some(Reason::NotBack {
            after_s: self.time_in_state_s,
        })
    }

    fn recover(&self, staged: &mut StagedRows, vm: &VmId) -> Option<Reason> {
        let row = staged.vm_mut(vm)?;
        let pool = row.pool.clone();
        if let VmRowState::Failed { wave: Some(wave) } = &row.state {
            row.last_wave = Some(wave.clone());
        }
        row.transition_to(VmRowState::InService, self.fence);
        staged.ledger_mut(&pool).clear_outage(vm);
        Some(Reason::OutageCleared { pool })
    }

    /// Records an outage of a VM in service, and stops the wave that rebooted it if too many VMs
    /// have failed.
    pub(crate) fn record_outage(&self, staged: &mut StagedRows, vm: &VmId) -> Option<Reason> {
        let row = staged.rows().vms.get(vm)?.value.clone();
        let ledger = staged.ledger_mut(&row.pool);
        ledger.record_outage(vm.clone(), Outage { zone: row.zone });
        let reason = Reason::OutageRecorded {
            pool: row.pool,
            unavailable_vms: ledger.unavailable_vms() as u32,
            max_unavailable_vms: ledger.budget.max_unavailable_vms.get(),
        };
        let wave = row.last_wave.filter(|wave| staged.wave(wave).is_some());
        if let Some(wave) = wave {
            let row = staged.wave_mut(&wave);
            row.failed_after_return_vms += 1;
            let failed_vms = row.all_failed_vms();
            let done_vms = row.done_vms;
            if self.policy.must_stop(failed_vms, done_vms) {
                row.stop(StopReason::FailedAfterReturn {
                    vm: vm.clone(),
                    failed_vms,
                    done_vms,
                });
            }
        }
        Some(reason)
    }
}

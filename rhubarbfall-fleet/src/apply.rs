//! What the steps of one VM change in the rows.

use rhubarbfall_core::{FencingNumber, PoolId, VmId, WaveId};

use crate::draft::Draft;
use crate::vm_step::VmStep;
use crate::{Outage, Reason, StopReason, VmState, WavePolicy};

/// Who changes the rows, and under which policy.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Applier<'a> {
    pub(crate) fence: FencingNumber,
    pub(crate) policy: &'a WavePolicy,
    pub(crate) after_s: u64,
}

impl Applier<'_> {
    /// Applies a step and returns the reason to record, if anything changed.
    pub(crate) fn apply(&self, draft: &mut Draft, vm: &VmId, step: VmStep) -> Option<Reason> {
        match step {
            VmStep::Stay => None,
            VmStep::CancelDrain(wave) => self.cancel_drain(draft, vm, &wave),
            VmStep::StartReboot(wave) => {
                let state = VmState::Rebooting { wave: wave.clone() };
                draft.vm_mut(vm)?.enter(state, self.fence);
                Some(Reason::RebootPermitted { wave })
            }
            VmStep::FinishMove(to) => self.finish_move(draft, vm, to),
            VmStep::StartProving(wave) => {
                let state = VmState::Proving {
                    wave: wave.clone(),
                    is_rebooted: true,
                };
                draft.vm_mut(vm)?.enter(state, self.fence);
                Some(Reason::Rebooted { wave })
            }
            VmStep::TakeBack => self.take_back(draft, vm),
            VmStep::GiveUp => self.give_up(draft, vm),
            VmStep::Recover => self.recover(draft, vm),
        }
    }

    fn cancel_drain(&self, draft: &mut Draft, vm: &VmId, wave: &WaveId) -> Option<Reason> {
        let state = VmState::Proving {
            wave: wave.clone(),
            is_rebooted: false,
        };
        draft.vm_mut(vm)?.enter(state, self.fence);
        let reason = match draft.wave(wave).map(|row| row.status.clone()) {
            Some(crate::WaveStatus::Stopped { reason }) => reason,
            _ => StopReason::Operator,
        };
        Some(Reason::WaveStopped { stop: reason })
    }

    /// Changes the VM's pool; the pool that it leaves gets its permit back in the same write.
    fn finish_move(&self, draft: &mut Draft, vm: &VmId, to: PoolId) -> Option<Reason> {
        let row = draft.vm_mut(vm)?;
        let from = std::mem::replace(&mut row.pool, to.clone());
        row.enter(VmState::Warming, self.fence);
        if row.wanted_pool.as_ref() == Some(&to) {
            row.wanted_pool = None;
        }
        let ledger = draft.ledger_mut(&from);
        ledger.release(vm);
        ledger.clear_outage(vm);
        Some(Reason::Moved { from, to })
    }

    fn take_back(&self, draft: &mut Draft, vm: &VmId) -> Option<Reason> {
        let row = draft.vm_mut(vm)?;
        let state = row.state.clone();
        let pool = row.pool.clone();
        row.enter(VmState::InService, self.fence);
        if let VmState::Proving { wave, is_rebooted } = state {
            if is_rebooted {
                row.last_wave = Some(wave.clone());
                draft.wave_mut(&wave).done_vms += 1;
            } else {
                let row = draft.wave_mut(&wave);
                row.granted_vms = row.granted_vms.saturating_sub(1);
            }
        }
        let ledger = draft.ledger_mut(&pool);
        ledger.release(vm);
        ledger.clear_outage(vm);
        Some(Reason::TakenBack { pool })
    }

    /// Turns the VM's permit into an outage, and stops the wave if too many have failed.
    fn give_up(&self, draft: &mut Draft, vm: &VmId) -> Option<Reason> {
        let row = draft.vm_mut(vm)?;
        let pool = row.pool.clone();
        let zone = row.zone.clone();
        let wave = match &row.state {
            VmState::Rebooting { wave } | VmState::Proving { wave, .. } => Some(wave.clone()),
            _ => None,
        };
        row.enter(VmState::Failed { wave: wave.clone() }, self.fence);
        let ledger = draft.ledger_mut(&pool);
        ledger.release(vm);
        ledger.record_outage(vm.clone(), Outage { zone });
        if let Some(wave) = wave {
            let row = draft.wave_mut(&wave);
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
            after_s: self.after_s,
        })
    }

    fn recover(&self, draft: &mut Draft, vm: &VmId) -> Option<Reason> {
        let row = draft.vm_mut(vm)?;
        let pool = row.pool.clone();
        if let VmState::Failed { wave: Some(wave) } = &row.state {
            row.last_wave = Some(wave.clone());
        }
        row.enter(VmState::InService, self.fence);
        draft.ledger_mut(&pool).clear_outage(vm);
        Some(Reason::OutageCleared { pool })
    }

    /// Records that a VM in service is unavailable, and stops the wave that rebooted it if too
    /// many have failed.
    pub(crate) fn record_outage(&self, draft: &mut Draft, vm: &VmId) -> Option<Reason> {
        let row = draft.rows().vms.get(vm)?.value.clone();
        let ledger = draft.ledger_mut(&row.pool);
        ledger.record_outage(vm.clone(), Outage { zone: row.zone });
        let reason = Reason::OutageRecorded {
            pool: row.pool,
            unavailable_vms: ledger.unavailable_vms() as u32,
            max_unavailable_vms: ledger.budget.max_unavailable_vms.get(),
        };
        let wave = row.last_wave.filter(|wave| draft.wave(wave).is_some());
        if let Some(wave) = wave {
            let row = draft.wave_mut(&wave);
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

use std::time::{Duration, Instant};

use rhubarbfall_core::{PoolId, WaveId};

use crate::{AnnouncementState, FleetTimings, Health, Purpose, VmRow, VmRowState, WaveStatus};

/// The state from which the next step of one VM is decided.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StepInput<'a> {
    pub(crate) row: &'a VmRow,
    /// How long this process has observed the VM in its current state.
    pub(crate) time_in_state: Duration,
    pub(crate) health: Option<Health>,
    /// Whether the platform answered; only then does a missing announcement mean that it was
    /// withdrawn.
    pub(crate) is_platform_known: bool,
    pub(crate) maintenance: Option<AnnouncementState>,
    pub(crate) wave_status: Option<&'a WaveStatus>,
    /// Whether no requests can run on the VM any more.
    pub(crate) is_drained: bool,
    pub(crate) timings: &'a FleetTimings,
    pub(crate) now: Instant,
}

/// The next step of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum VmStep {
    NoChange,
    /// Undo a drain whose reboot was never permitted.
    CancelDrain(WaveId),
    /// The VM is drained, so the platform may reboot it, or the platform is rebooting it already.
    StartReboot(WaveId),
    /// The VM is drained, so it joins its new pool.
    FinishMove(PoolId),
    /// The platform has rebooted the VM.
    StartProving(WaveId),
    /// The VM has passed its health checks for long enough.
    ReturnToService,
    /// The VM was not rebooted or healthy in time.
    MarkFailed,
    /// A VM marked as failed has passed its health checks for long enough.
    Recover,
}

/// Returns the next step of a VM from its committed row.
pub(crate) fn next_step(input: &StepInput<'_>) -> VmStep {
    match &input.row.state {
        VmRowState::Draining {
            purpose: Purpose::Maintenance { wave },
        } => drain_step(input, wave),
        VmRowState::Draining {
            purpose: Purpose::Move { to },
        } if input.is_drained => VmStep::FinishMove(to.clone()),
        VmRowState::InService | VmRowState::Draining { .. } => VmStep::NoChange,
        VmRowState::Rebooting { wave } => reboot_step(input, wave),
        VmRowState::Proving { .. } | VmRowState::Warming => proving_step(input),
        VmRowState::Failed { wave } => failed_step(input, wave.as_ref()),
    }
}

fn drain_step(input: &StepInput<'_>, wave: &WaveId) -> VmStep {
    let is_stopped = matches!(input.wave_status, Some(WaveStatus::Stopped { .. }));
    let is_withdrawn = input.is_platform_known && input.maintenance.is_none();
    match input.maintenance {
        Some(AnnouncementState::Done) => VmStep::StartProving(wave.clone()),
        Some(AnnouncementState::Rebooting) => VmStep::StartReboot(wave.clone()),
        _ if is_stopped || is_withdrawn => VmStep::CancelDrain(wave.clone()),
        _ if input.is_drained => VmStep::StartReboot(wave.clone()),
        _ => VmStep::NoChange,
    }
}

fn reboot_step(input: &StepInput<'_>, wave: &WaveId) -> VmStep {
    if is_reboot_over(input) {
        return VmStep::StartProving(wave.clone());
    }
    if input.time_in_state >= input.timings.reboot_limit {
        return VmStep::MarkFailed;
    }
    VmStep::NoChange
}

fn proving_step(input: &StepInput<'_>) -> VmStep {
    if has_passed_proving(input) {
        return VmStep::ReturnToService;
    }
    if input.time_in_state >= input.timings.healthy_deadline {
        return VmStep::MarkFailed;
    }
    VmStep::NoChange
}

fn failed_step(input: &StepInput<'_>, wave: Option<&WaveId>) -> VmStep {
    let may_still_reboot = wave.is_some() && !is_reboot_over(input);
    if !may_still_reboot && has_passed_proving(input) {
        return VmStep::Recover;
    }
    VmStep::NoChange
}

fn is_reboot_over(input: &StepInput<'_>) -> bool {
    match input.maintenance {
        Some(state) => state == AnnouncementState::Done,
        None => input.is_platform_known,
    }
}

/// Returns whether the VM has been healthy for long enough within its current state. Checks that
/// passed before it entered the state do not count.
fn has_passed_proving(input: &StepInput<'_>) -> bool {
    let min_healthy_time = input.timings.min_healthy_time;
    let is_healthy = input
        .health
        .is_some_and(|health| health.is_healthy_for(min_healthy_time, input.now));
    is_healthy && input.time_in_state >= min_healthy_time
}

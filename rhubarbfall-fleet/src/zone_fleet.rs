use std::sync::Arc;
use std::time::Instant;

use rhubarbfall_core::{
    AvailabilityZoneId, FencingNumber, Generation, LiteMap, PoolId, VmCount, VmId,
};

use crate::apply::Applier;
use crate::drain_start::{count_unpermitted_reboot, start_maintenance, start_move};
use crate::lookup::{find_announcement, find_unpermitted_reboot, wave_of_state, zone_rows};
use crate::staged_rows::StagedRows;
use crate::vm_step::{StepInput, next_step};
use crate::{
    AnnouncementState, Decision, DrainProgress, FleetCommand, FleetTimings, MoveRequest,
    Observation, PlanInput, PlannedVm, PoolSizer, Reason, ReasonLog, Round, SizeInput, SizerPolicy,
    Subject, VmRow, VmRowState, WavePlanner, WavePolicy, WaveStatus,
};

/// Manages the fleet of one availability zone while this process holds the zone's lease.
///
/// Only times, drain confirmations and recorded decisions are kept between rounds. The next lease
/// holder starts without them and therefore waits longer, but never less.
#[derive(Debug, Clone)]
pub struct ZoneFleet {
    holder: Arc<str>,
    zone: AvailabilityZoneId,
    timings: FleetTimings,
    planner: WavePlanner,
    sizer: PoolSizer,
    spare_pool: Option<PoolId>,
    minimums: LiteMap<PoolId, VmCount>,
    first_seen: LiteMap<VmId, FirstSeen>,
    drains: LiteMap<VmId, DrainProgress>,
    plan: Vec<PlannedVm>,
    reasons: ReasonLog,
    sequence: u64,
}

/// When this process first read a VM's row with its current generation.
#[derive(Debug, Clone, Copy)]
struct FirstSeen {
    generation: Generation,
    since: Instant,
}

impl ZoneFleet {
    /// Creates the manager of a zone; `holder` identifies this process in transaction identifiers.
    #[must_use]
    pub fn new(
        holder: impl Into<Arc<str>>,
        zone: AvailabilityZoneId,
        timings: FleetTimings,
        wave_policy: WavePolicy,
        sizer_policy: SizerPolicy,
    ) -> Self {
        Self {
            holder: holder.into(),
            zone,
            timings,
            planner: WavePlanner::new(wave_policy),
            spare_pool: sizer_policy.spare_pool.clone(),
            sizer: PoolSizer::new(sizer_policy),
            minimums: LiteMap::new(),
            first_seen: LiteMap::new(),
            drains: LiteMap::new(),
            plan: Vec::new(),
            reasons: ReasonLog::default(),
            sequence: 0,
        }
    }

    /// Sets the minimum number of VMs that each pool keeps when it gives up VMs.
    pub fn set_minimums(&mut self, minimums: LiteMap<PoolId, VmCount>) {
        self.minimums = minimums;
    }

    /// Returns the newest plan of the zone's announced VMs.
    #[must_use]
    pub fn plan(&self) -> &[PlannedVm] {
        &self.plan
    }

    /// Returns the log of recorded decisions.
    #[must_use]
    pub const fn reasons(&self) -> &ReasonLog {
        &self.reasons
    }

    /// Clears times, confirmations and the plan, as needed after the loss of the lease.
    pub fn reset_progress(&mut self) {
        self.first_seen = LiteMap::new();
        self.drains = LiteMap::new();
        self.plan = Vec::new();
    }

    /// Decides one round from rows that were just read.
    ///
    /// Commands follow from committed rows only, so that nothing depends on a transaction whose
    /// outcome is unknown. The round is empty without the lease, or when a row carries the fencing
    /// number of a later lease holder.
    pub fn round(&mut self, observation: &Observation, now: Instant) -> Round {
        let Some(fence) = observation.fence else {
            return Round::default();
        };
        if self.is_superseded(observation, fence) {
            return Round::default();
        }
        self.update_first_seen(observation, now);
        let mut staged = StagedRows::new(&observation.rows);
        Self::update_budgets(observation, &mut staged);
        self.adopt(observation, &mut staged);
        self.step_vms(observation, &mut staged, fence, now);
        self.update_outages(observation, &mut staged, fence, now);
        self.grant_permits(observation, &mut staged, fence, now);
        self.start_moves(observation, &mut staged, fence, now);
        self.sequence += 1;
        let id = format!("fleet-{}-{}-{}", self.holder, fence, self.sequence);
        Round {
            transaction: staged.into_transaction(id.into()),
            commands: self.commands(observation),
        }
    }

    fn is_superseded(&self, observation: &Observation, fence: FencingNumber) -> bool {
        let rows = observation.rows.vms.values();
        rows.filter(|row| row.value.zone == self.zone)
            .any(|row| row.value.fence > fence)
    }

    fn update_first_seen(&mut self, observation: &Observation, now: Instant) {
        let zone = self.zone.clone();
        for row in zone_rows(observation, &zone) {
            let known = self.first_seen.get(&row.vm);
            if known.is_none_or(|first_seen| first_seen.generation != row.generation) {
                let first_seen = FirstSeen {
                    generation: row.generation,
                    since: now,
                };
                self.first_seen.insert(row.vm.clone(), first_seen);
                self.drains.remove(&row.vm);
                if matches!(row.state, VmRowState::Draining { .. }) {
                    let progress = DrainProgress::new(row.generation, now);
                    self.drains.insert(row.vm.clone(), progress);
                }
            }
        }
        let rows = &observation.rows.vms;
        self.first_seen.retain(|vm, _| rows.contains_key(vm));
        self.drains.retain(|vm, _| rows.contains_key(vm));
        for confirmation in &observation.confirmations {
            if let Some(progress) = self.drains.get_mut(&confirmation.vm) {
                progress.confirm(confirmation);
            }
        }
    }

    fn update_budgets(observation: &Observation, staged: &mut StagedRows) {
        for (pool, budget) in &observation.budgets {
            if staged.ledger(pool).update_budget(*budget) {
                staged.ledger_mut(pool);
            }
        }
    }

    fn adopt(&mut self, observation: &Observation, staged: &mut StagedRows) {
        for row in &observation.new_vms {
            let pool = row.pool.clone();
            self.record_vm_reason(&row.vm, Reason::Adopted { pool }, observation);
            staged.insert_vm(row.clone());
        }
    }

    fn step_vms(
        &mut self,
        observation: &Observation,
        staged: &mut StagedRows,
        fence: FencingNumber,
        now: Instant,
    ) {
        let zone = self.zone.clone();
        for row in zone_rows(observation, &zone) {
            let step = {
                let wave = wave_of_state(&row.state);
                let status = wave.and_then(|wave| observation.rows.waves.get(wave));
                let first_seen = self.first_seen.get(&row.vm);
                let time_in_state = first_seen
                    .map(|first_seen| now.saturating_duration_since(first_seen.since))
                    .unwrap_or_default();
                let drain = self.drains.get(&row.vm);
                let is_drained = drain
                    .is_some_and(|drain| drain.is_done(&observation.entries, &self.timings, now));
                let maintenance =
                    wave.and_then(|wave| find_announcement(observation, &row.vm, wave));
                let input = StepInput {
                    row,
                    time_in_state,
                    health: observation.health.get(&row.vm).copied(),
                    is_platform_known: observation.announcements.is_some(),
                    maintenance: maintenance.map(|announcement| announcement.state),
                    wave_status: status.map(|wave| &wave.value.status),
                    is_drained,
                    timings: &self.timings,
                    now,
                };
                (next_step(&input), time_in_state)
            };
            let (step, time_in_state) = step;
            let applier = Applier {
                fence,
                policy: self.planner.policy(),
                time_in_state_s: time_in_state.as_secs(),
            };
            if let Some(reason) = applier.apply(staged, &row.vm, step) {
                self.record_vm_decision(staged, &row.vm, reason, observation);
            } else if let Some(reason) = self.drain_reason(observation, row) {
                self.record_vm_reason(&row.vm, reason, observation);
            }
        }
    }

    fn drain_reason(&self, observation: &Observation, row: &VmRow) -> Option<Reason> {
        let drain = self.drains.get(&row.vm)?;
        let missing_entries = drain.missing_confirmations(&observation.entries) as u32;
        Some(Reason::WaitsForEntries { missing_entries })
    }

    /// Records and clears outages of VMs in service, and accounts for reboots without a permit.
    fn update_outages(
        &mut self,
        observation: &Observation,
        staged: &mut StagedRows,
        fence: FencingNumber,
        now: Instant,
    ) {
        let zone = self.zone.clone();
        let policy = *self.planner.policy();
        let applier = Applier {
            fence,
            policy: &policy,
            time_in_state_s: 0,
        };
        for row in zone_rows(observation, &zone).filter(|row| row.is_routable()) {
            let health = observation.health.get(&row.vm);
            let rebooting = find_unpermitted_reboot(observation, row, AnnouncementState::Rebooting);
            let rebooted = find_unpermitted_reboot(observation, row, AnnouncementState::Done);
            let is_down = rebooting.is_some()
                || health.is_some_and(|h| h.is_unhealthy_for(self.timings.outage_after, now));
            let is_up = rebooting.is_none()
                && health.is_some_and(|h| h.is_healthy_for(self.timings.min_healthy_time, now));
            let is_recorded = staged.ledger(&row.pool).outages.contains_key(&row.vm);
            if is_down && !is_recorded {
                if let Some(reason) = applier.record_outage(staged, &row.vm) {
                    let pool = Subject::Pool(row.pool.clone());
                    self.reasons
                        .record(&pool, reason.clone(), observation.now_unix_ms);
                    self.record_vm_reason(&row.vm, reason, observation);
                }
            } else if is_up && is_recorded {
                staged.ledger_mut(&row.pool).clear_outage(&row.vm);
                let pool = row.pool.clone();
                self.record_vm_reason(&row.vm, Reason::OutageCleared { pool }, observation);
            }
            if let Some(found) = rebooting {
                let wave = found.wave.clone();
                self.record_vm_reason(&row.vm, Reason::RebootedWithoutPermit { wave }, observation);
            }
            if let Some(found) = rebooted {
                count_unpermitted_reboot(staged, row, found, fence);
            }
        }
    }

    fn grant_permits(
        &mut self,
        observation: &Observation,
        staged: &mut StagedRows,
        fence: FencingNumber,
        now: Instant,
    ) {
        let Some(announcements) = &observation.announcements else {
            return;
        };
        for announcement in announcements {
            if staged.wave(&announcement.wave).is_none() {
                staged.wave_mut(&announcement.wave);
            }
        }
        let input = PlanInput {
            zone: &self.zone,
            rows: staged.rows(),
            announcements,
            demand: &observation.demand,
            timings: &self.timings,
            now_unix_ms: observation.now_unix_ms,
        };
        let plan = self.planner.plan(&input, now);
        for planned in &plan {
            let subject = Subject::Vm(planned.vm.clone());
            self.reasons
                .record(&subject, planned.reason.clone(), observation.now_unix_ms);
            if planned.is_granted() {
                start_maintenance(staged, planned, fence);
                let reason = planned.reason.clone();
                self.record_vm_decision(staged, &planned.vm, reason, observation);
            }
        }
        self.record_stopped_waves(observation, staged);
        self.plan = plan;
    }

    fn record_stopped_waves(&mut self, observation: &Observation, staged: &StagedRows) {
        for (wave, row) in &staged.rows().waves {
            if let WaveStatus::Stopped { reason } = &row.value.status {
                let stop = reason.clone();
                let subject = Subject::Wave(wave.clone());
                self.reasons.record(
                    &subject,
                    Reason::WaveStopped { stop },
                    observation.now_unix_ms,
                );
            }
        }
    }

    fn start_moves(
        &mut self,
        observation: &Observation,
        staged: &mut StagedRows,
        fence: FencingNumber,
        now: Instant,
    ) {
        let mut requests = self.requested_moves(observation);
        let input = SizeInput {
            zone: &self.zone,
            rows: staged.rows(),
            demand: &observation.zone_demand,
            minimums: &self.minimums,
            wave_pools: self.planner.pending_pools(),
        };
        requests.extend(self.sizer.decide(&input, now));
        for request in requests {
            let reason = start_move(staged, &request, fence);
            if let Some(reason) = reason {
                self.record_vm_decision(staged, &request.vm, reason, observation);
            }
        }
    }

    /// Returns the moves that operators requested, and those out of retired pools.
    fn requested_moves(&self, observation: &Observation) -> Vec<MoveRequest> {
        let zone = self.zone.clone();
        let is_retired =
            |pool| !observation.budgets.is_empty() && !observation.budgets.contains_key(pool);
        let mut requests = Vec::new();
        for row in zone_rows(observation, &zone).filter(|row| row.is_routable()) {
            let retired = is_retired(&row.pool).then_some(&self.spare_pool);
            let wanted = row
                .wanted_pool
                .as_ref()
                .or(retired.and_then(Option::as_ref));
            if let Some(to) = wanted.filter(|to| **to != row.pool) {
                requests.push(MoveRequest {
                    vm: row.vm.clone(),
                    to: to.clone(),
                    reason: Reason::MoveRequested {
                        from: row.pool.clone(),
                        to: to.clone(),
                    },
                });
            }
        }
        requests
    }

    fn commands(&self, observation: &Observation) -> Vec<FleetCommand> {
        let zone = self.zone.clone();
        let mut commands = Vec::new();
        for row in zone_rows(observation, &zone) {
            match &row.state {
                VmRowState::Draining { .. } => commands.push(FleetCommand::Drain {
                    vm: row.vm.clone(),
                    generation: row.generation,
                }),
                VmRowState::Rebooting { wave } => commands.push(FleetCommand::PermitReboot {
                    wave: wave.clone(),
                    vm: row.vm.clone(),
                }),
                _ => {}
            }
        }
        commands
    }

    /// Records a decision in the log and in the row that it changes, so that every entry can
    /// explain it.
    fn record_vm_decision(
        &mut self,
        staged: &mut StagedRows,
        vm: &VmId,
        reason: Reason,
        observation: &Observation,
    ) {
        if let Some(row) = staged.vm_mut(vm) {
            row.decision = Some(Decision {
                first_unix_ms: observation.now_unix_ms,
                last_unix_ms: observation.now_unix_ms,
                reason: reason.clone(),
            });
        }
        self.record_vm_reason(vm, reason, observation);
    }

    fn record_vm_reason(&mut self, vm: &VmId, reason: Reason, observation: &Observation) {
        let subject = Subject::Vm(vm.clone());
        self.reasons
            .record(&subject, reason, observation.now_unix_ms);
    }
}

//! Changes that the store refuses for good. Repeating one would hold up those of all other
//! submissions, so that each is given up with an error, and only what it belongs to is affected.

use rhubarbfall_core::{BootTime, WaveId};

use super::Scheduler;
use super::storing::{Batch, BatchRow};
use super::vm_operations::VmPhase;
use crate::JobState;

impl Scheduler {
    /// Processes the refusal of a batch with a single change. A submission that is not stored yet is
    /// dropped: it never runs. A job whose progress cannot be stored fails, because its ends could
    /// not be acknowledged.
    pub fn change_refused(&mut self, change: &Batch, now: BootTime) {
        for row in &change.rows {
            self.row_refused(row, now);
        }
        for wave in &change.waves {
            log::error!("event=wave_row_refused wave={}", wave.id);
            self.abandon_wave(&wave.id);
        }
        for id in &change.early_cancellations {
            log::error!("event=cancellation_row_refused id={id}");
            self.early_cancellations.forget(id);
        }
        for id in &change.expired_cancellations {
            log::error!("event=cancellation_removal_refused id={id}");
        }
        self.early_cancellations
            .removed(&change.expired_cancellations);
        self.acknowledge_stored();
        self.needs_placement = true;
    }

    fn row_refused(&mut self, row: &BatchRow, now: BootTime) {
        let Some(job) = self.jobs.get_mut(&row.id) else {
            return;
        };
        log::error!(
            "event=job_row_refused id={} state={} is_accepted={}",
            row.id,
            job.state,
            job.is_accepted
        );
        if !job.is_accepted {
            let placed = job.tasks_where(|task| task.placement().is_some());
            for task in placed {
                self.release(&task, now);
            }
            self.jobs.remove(&row.id);
            self.dirty.retain(|dirty| *dirty != row.id);
        } else if job.state.is_final() {
            // Nothing shorter could be stored.
            job.stored_version = job.stored_version.max(row.version);
            job.ended_at.get_or_insert(now);
        } else {
            self.finish(&row.id, JobState::Failed, now);
        }
    }

    /// Gives up a wave whose progress cannot be stored. A successor would not know of further VMs
    /// that are down for it.
    fn abandon_wave(&mut self, id: &WaveId) {
        self.vm_ops.waves.remove(id);
        self.recovered_waves.insert(id.clone(), None);
        let is_called = |phase: VmPhase| !matches!(phase, VmPhase::Draining | VmPhase::Storing(_));
        self.vm_ops
            .active
            .retain(|_, active| !active.is_for_wave(id) || is_called(active.phase));
    }
}

//! What a placement pass knows of workers and waiting steps, and what it finds out on its way.

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, SubmissionId, WorkerId};

use super::lookahead::{ClosedTo, Placeless, StepOutlook};
use super::placing::WaitingStep;
use super::service_view::FleetView;
use crate::{Resources, Step};

/// Values computed once for a placement pass.
#[derive(Debug, Default)]
pub(super) struct PlacementPass {
    /// The time of the pass.
    pub(super) now: BootTime,
    /// The workers of each service.
    pub(super) fleet: FleetView,
    /// The demands for which no worker of a service has capacity; demands at least as large are
    /// skipped.
    pub(super) unplaceable: LiteMap<ServiceId, Vec<Resources>>,
    /// The workers on VMs that are still due for maintenance in a wave, sorted.
    pub(super) awaiting_wave: Vec<WorkerId>,
    /// The smallest demand of the steps that wait for each service, by component.
    pub(super) smallest: LiteMap<ServiceId, Resources>,
    /// When the tasks of the step that is being placed end, or `None` without lookahead.
    pub(super) outlook: Option<StepOutlook>,
    /// The number of its tasks that were placed.
    pub(super) placed_of_step: usize,
    /// The tasks that found no room but held room.
    pub(super) closed: Vec<ClosedTo>,
    /// What no place was found for; steps that need as much are skipped.
    pub(super) placeless: Vec<Placeless>,
    /// How many tasks that were never placed the submission of the last step may still place.
    pub(super) row_room: Option<(SubmissionId, usize)>,
    /// The services for whose steps a place was held in this pass.
    pub(super) given_place: Vec<ServiceId>,
}

impl PlacementPass {
    /// Returns whether no worker of a service has capacity for a task of a step.
    pub(super) fn is_unplaceable(&self, service: &ServiceId, step: &Step) -> bool {
        let reserved = step.reserved();
        let unplaceable = self.unplaceable.get(service);
        unplaceable.is_some_and(|demands| demands.iter().any(|demand| demand.fits_in(reserved)))
    }

    /// Takes the demand of a waiting step into account for [`Self::has_smaller`].
    pub(super) fn note_demand(&mut self, waiting_step: &WaitingStep) {
        let reserved = waiting_step.reserved;
        let known = self.smallest.get(&waiting_step.service).copied();
        let smallest = known.map_or(reserved, |known| known.min(reserved));
        self.smallest.insert(waiting_step.service.clone(), smallest);
    }

    /// Records that a task found no room but held room.
    pub(super) fn record_closed(&mut self, waiting_step: &WaitingStep, reserved: Resources) {
        self.closed.extend(self.outlook.map(|outlook| ClosedTo {
            service: waiting_step.service.clone(),
            standing: waiting_step.rank.standing(),
            reserved,
            late_end: outlook.late_end,
        }));
    }

    /// Returns whether a step that waits for a service needs less than `demand` of something.
    pub(super) fn has_smaller(&self, service: &ServiceId, demand: Resources) -> bool {
        let smallest = self.smallest.get(service);
        smallest.is_some_and(|smallest| !demand.fits_in(*smallest))
    }

    /// Returns the indexes of a service's workers that accept work.
    pub(super) fn usable_of(&self, service: &ServiceId) -> &[usize] {
        let service = self.fleet.service(service);
        service.map_or(&[], |service| &service.usable)
    }

    /// Returns whether a worker is on a VM that is still due for maintenance in a wave.
    pub(super) fn awaits_wave(&self, worker: &WorkerId) -> bool {
        self.awaiting_wave.binary_search(worker).is_ok()
    }
}

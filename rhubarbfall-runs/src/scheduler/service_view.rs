//! What a pass knows of the workers of each service, from one walk over all workers.

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, ServiceId, WorkerId};

use super::Scheduler;
use super::free_room::FreeRoom;
use crate::{Resources, Worker};

/// The workers of one service at the time of a pass.
#[derive(Debug, Default)]
pub(super) struct ServiceView {
    /// The number of workers that accept work, also of those on VMs with an active operation.
    pub(super) accepting: usize,
    /// The largest capacity in each component.
    pub(super) worker_size: Resources,
    /// The positions of the workers on which tasks may start, sorted.
    pub(super) usable: Vec<usize>,
    /// The same workers by what they have left; `None` before a task of the service is placed.
    free_room: Option<FreeRoom>,
}

/// The workers of all services at the time of a pass.
#[derive(Debug, Default)]
pub(super) struct FleetView {
    services: LiteMap<ServiceId, ServiceView>,
    /// When the first of the workers in quarantine may get work again.
    pub(super) first_quarantine_end: Option<BootTime>,
}

impl FleetView {
    pub(super) fn service(&self, id: &ServiceId) -> Option<&ServiceView> {
        self.services.get(id)
    }
}

impl Scheduler {
    /// Looks at every worker once.
    pub(super) fn fleet_view(&self, now: BootTime) -> FleetView {
        let cordoned = self.vm_ops.cordoned();
        let is_view_current = self.is_operator_view_current(now);
        let mut view = FleetView::default();
        for (index, worker) in self.workers().enumerate() {
            let end = Some(worker.quarantined_until).filter(|end| *end > now);
            let first = view.first_quarantine_end;
            view.first_quarantine_end = first.into_iter().chain(end).min();
            let name = &worker.report.service;
            if view.services.get(name).is_none() {
                view.services.insert(name.clone(), ServiceView::default());
            }
            let Some(service) = view.services.get_mut(name) else {
                continue;
            };
            service.worker_size = service.worker_size.max(worker.report.capacity);
            if !worker.accepts_work(now, self.settings.unreachable_after)
                || self.evacuation.includes(&worker.report.availability_zone)
            {
                continue;
            }
            service.accepting += 1;
            if is_view_current && self.is_usable(worker, &cordoned, now) {
                service.usable.push(index);
            }
        }
        view
    }

    /// Sorts the usable workers of a service by their free capacity, once in a pass.
    pub(super) fn sort_by_room(&self, view: &mut FleetView, service: &ServiceId) {
        let Some(service) = view.services.get_mut(service) else {
            return;
        };
        let of_service = service.usable.iter();
        let workers = of_service.filter_map(|index| {
            let found = self.workers.get_indexed(*index);
            found.map(|(_, worker)| (*index, worker))
        });
        if service.free_room.is_none() {
            service.free_room = Some(FreeRoom::new(workers));
        }
    }

    /// Changes a worker, and keeps its place among those with room.
    pub(super) fn with_room_of(
        &mut self,
        view: &mut FleetView,
        id: &WorkerId,
        change: impl FnOnce(&mut Self),
    ) {
        let Some((index, worker)) = self
            .workers
            .find_index(id)
            .ok()
            .and_then(|index| Some((index, self.workers.get_indexed(index)?.1)))
        else {
            change(self);
            return;
        };
        let (service, before) = (worker.report.service.clone(), worker.free_capacity());
        change(self);
        let after = self.workers.get(id).map(Worker::free_capacity);
        let room = view.services.get_mut(&service);
        if let Some(room) = room.and_then(|service| service.free_room.as_mut()) {
            room.update(index, before, after.unwrap_or_default());
        }
    }
}

impl ServiceView {
    /// Returns the positions of the usable workers with at least this CPU and memory, those with the
    /// least CPU first.
    pub(super) fn fitting(&self, demand: Resources) -> impl Iterator<Item = usize> {
        let room = self.free_room.iter();
        room.flat_map(move |room| room.fitting(demand))
    }
}

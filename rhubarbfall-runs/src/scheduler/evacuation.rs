//! Availability zones that operators have evacuated.
//!
//! The load: a whole availability zone is about to be lost, and every task that starts there has to
//! start again elsewhere. From the time at which an operator's request is in force until it is
//! withdrawn, no task starts in the zone and no VM of it moves to another pool.
//!
//! An owner that cannot read the operators' requests does not know which zones are evacuated. Where
//! operators are promised a bound, [`SchedulerSettings::evacuation_bound`], the owner starts nothing
//! anywhere once its view of the requests is too old for a start to arrive in time, and no start
//! carries a lease beyond the bound: a worker refuses the order if it arrives later.
//!
//! A zone that is taken back gets work step by step, since its VMs may be cold.
//!
//! [`SchedulerSettings::evacuation_bound`]: super::SchedulerSettings::evacuation_bound

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{AvailabilityZoneId, BootTime, ServiceId, WorkerId};

use super::{Scheduler, VmRow};
use crate::{TaskId, Worker};

/// The time that remains for the delivery of a start and for the first renewal of its lease when an
/// owner's view of the operators' requests becomes too old. An idle worker may hold a renewal for
/// 900 ms.
const MIN_START_LEASE: Duration = Duration::from_millis(1_600);

/// The part of a bound that is kept for workers' clocks, which may be 2% slow.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);

/// The longest time over which the workers of a zone that is taken back open one after the other.
const MAX_TAKE_BACK_TIME: Duration = Duration::from_secs(3);

/// What is known of the operators' requests to evacuate availability zones.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    /// The evacuated availability zones, sorted.
    zones: Vec<AvailabilityZoneId>,
    /// Since when this owner has known of each request.
    known_since: LiteMap<AvailabilityZoneId, BootTime>,
    /// The workers of zones that are taken back and do not get work yet, with the times from which
    /// they do.
    closed: LiteMap<WorkerId, BootTime>,
    /// All requests that were in force at this time are known; `None` before the first view.
    viewed_at: Option<BootTime>,
    /// Whether the age of the view was within its limit at the last check.
    was_view_current: bool,
    /// The short tasks that were stopped to leave an evacuated zone, sorted; each is stopped once.
    pub(super) moved: Vec<TaskId>,
    /// What the evacuated zones last ran.
    pub(super) counts: LiteMap<AvailabilityZoneId, super::leaving::ZoneCounts>,
    /// The zones whose counts have changed since they were taken.
    pub(super) reported: Vec<super::ZoneRuns>,
    /// When tasks that leave were last chosen.
    pub(super) left_at: BootTime,
    /// When the counts were last logged.
    pub(super) logged_at: BootTime,
}

impl Evacuation {
    /// Returns whether an availability zone is evacuated.
    pub(super) fn includes(&self, zone: &AvailabilityZoneId) -> bool {
        self.zones.binary_search(zone).is_ok()
    }

    /// Returns whether tasks may start on a worker, as far as evacuations are concerned.
    pub(super) fn allows(&self, worker: &Worker, now: BootTime) -> bool {
        let opens_at = self.closed.get(&worker.report.id);
        !self.includes(&worker.report.availability_zone) && opens_at.is_none_or(|at| *at <= now)
    }
}

impl Scheduler {
    /// Replaces the evacuated availability zones.
    pub fn set_evacuated_zones(
        &mut self,
        zones: impl IntoIterator<Item = AvailabilityZoneId>,
        now: BootTime,
    ) {
        let mut zones: Vec<AvailabilityZoneId> = zones.into_iter().collect();
        zones.sort();
        zones.dedup();
        let before = std::mem::take(&mut self.evacuation.zones);
        for zone in &zones {
            if before.binary_search(zone).is_err() {
                log::info!("event=zone_evacuated zone={zone}");
                self.evacuation.known_since.insert(zone.clone(), now);
            }
        }
        for zone in &before {
            if zones.binary_search(zone).is_err() {
                self.take_back(zone, now);
            }
        }
        self.needs_placement |= before != zones;
        self.evacuation.zones = zones;
        if self.evacuation.zones.is_empty() {
            self.evacuation.moved.clear();
        }
    }

    /// Lets the workers of a zone take work again, those of each service one after the other. A short
    /// evacuation has moved little, and ends as fast.
    fn take_back(&mut self, zone: &AvailabilityZoneId, now: BootTime) {
        let known_since = self.evacuation.known_since.remove(zone).unwrap_or(now);
        let take_back_time = now.since(known_since).min(MAX_TAKE_BACK_TIME);
        let mut workers: LiteMap<ServiceId, Vec<WorkerId>> = LiteMap::new();
        for worker in self.workers() {
            if worker.report.availability_zone == *zone {
                let of_service = workers.entry(worker.report.service.clone());
                of_service.or_default().push(worker.report.id.clone());
            }
        }
        let count: usize = workers.iter().map(|(_, ids)| ids.len()).sum();
        for (_, ids) in workers.iter() {
            for (index, id) in ids.iter().enumerate() {
                let share = index as f64 / ids.len() as f64;
                let opens_at = now + take_back_time.mul_f64(share);
                self.evacuation.closed.insert(id.clone(), opens_at);
            }
        }
        log::info!(
            "event=zone_taken_back zone={zone} workers={count} over_ms={}",
            take_back_time.as_millis()
        );
        self.evacuation.counts.remove(zone);
        self.evacuation.reported.push(super::ZoneRuns {
            zone: zone.clone(),
            runs: 0,
        });
    }

    /// Records that the evacuated zones are those that operators had requested at `viewed_at`.
    pub fn confirm_operator_view(&mut self, viewed_at: BootTime) {
        let latest = self.evacuation.viewed_at.max(Some(viewed_at));
        self.evacuation.viewed_at = latest;
        // Tasks may have waited for a current view.
        self.needs_placement |= !self.evacuation.was_view_current;
    }

    /// Returns the evacuated availability zones, sorted.
    #[must_use]
    pub fn evacuated_zones(&self) -> &[AvailabilityZoneId] {
        &self.evacuation.zones
    }

    /// Returns whether a VM is in an evacuated availability zone.
    pub(super) fn is_in_evacuated_zone(&self, row: &VmRow) -> bool {
        let worker = row.worker.as_ref().and_then(|id| self.workers.get(id));
        let of_worker = worker.map(|worker| &worker.report.availability_zone);
        let zone = row.availability_zone.as_ref().or(of_worker);
        zone.is_some_and(|zone| self.evacuation.includes(zone))
    }

    /// Returns the end of the longest lease that a start may carry at `now`, given the usual one.
    /// `None` if the view of the operators' requests is too old to start tasks.
    pub(super) fn start_lease(&self, usual: BootTime, now: BootTime) -> Option<BootTime> {
        let Some(bound) = self.settings.evacuation_bound else {
            return Some(usual);
        };
        let lease = usual.min(self.evacuation.viewed_at? + bound.saturating_sub(CLOCK_MARGIN));
        let is_current = self.is_operator_view_current(now);
        is_current.then_some(lease)
    }

    /// Returns whether the view of the operators' requests is recent enough to start tasks.
    pub(super) fn is_operator_view_current(&self, now: BootTime) -> bool {
        let Some(bound) = self.settings.evacuation_bound else {
            return true;
        };
        let max_age = bound.saturating_sub(MIN_START_LEASE);
        let viewed_at = self.evacuation.viewed_at;
        viewed_at.is_some_and(|at| now.since(at) <= max_age)
    }

    /// Lets workers take work whose turn has come after their zone was taken back.
    pub(super) fn open_taken_back(&mut self, now: BootTime) {
        let closed = self.evacuation.closed.len();
        self.evacuation.closed.retain(|_, opens_at| *opens_at > now);
        self.needs_placement |= self.evacuation.closed.len() < closed;
    }

    /// Logs each change between a view of the operators' requests that is recent enough and one that
    /// is not.
    pub(super) fn check_operator_view(&mut self, now: BootTime) {
        let is_current = self.is_operator_view_current(now);
        if is_current == self.evacuation.was_view_current {
            return;
        }
        self.evacuation.was_view_current = is_current;
        self.needs_placement |= is_current;
        if is_current {
            log::info!("event=operator_view_current");
        } else {
            log::warn!("event=operator_view_outdated starts=withheld");
        }
    }
}

//! Availability zones that operators have evacuated.
//!
//! The load: a whole availability zone is about to be lost, and every task that starts there has to
//! start again elsewhere. From the time at which an operator's request is in force until it is
//! withdrawn, no task starts in the zone and no VM moves into it; what runs there goes on.
//!
//! An owner that cannot read the operators' requests does not know which zones are evacuated. Once
//! its view of them is older than [`SchedulerSettings::max_operator_view_age`], it starts nothing
//! anywhere.
//!
//! [`SchedulerSettings::max_operator_view_age`]: super::SchedulerSettings::max_operator_view_age

use rhubarbfall_core::{AvailabilityZoneId, BootTime};

use super::{Scheduler, VmRow};

/// What is known of the operators' requests to evacuate availability zones.
#[derive(Debug, Default)]
pub(super) struct Evacuation {
    /// The evacuated availability zones, sorted.
    zones: Vec<AvailabilityZoneId>,
    /// All requests that were in force at this time are known; `None` before the first view.
    viewed_at: Option<BootTime>,
    /// Whether the age of the view was within its limit at the last check.
    was_view_current: bool,
}

impl Evacuation {
    /// Returns whether an availability zone is evacuated.
    pub(super) fn includes(&self, zone: &AvailabilityZoneId) -> bool {
        self.zones.binary_search(zone).is_ok()
    }
}

impl Scheduler {
    /// Replaces the evacuated availability zones.
    pub fn set_evacuated_zones(&mut self, zones: impl IntoIterator<Item = AvailabilityZoneId>) {
        let mut zones: Vec<AvailabilityZoneId> = zones.into_iter().collect();
        zones.sort();
        zones.dedup();
        for zone in zones.iter().filter(|zone| !self.evacuation.includes(zone)) {
            log::info!("event=zone_evacuated zone={zone}");
        }
        let is_withdrawn = |zone: &&AvailabilityZoneId| zones.binary_search(zone).is_err();
        for zone in self.evacuation.zones.iter().filter(is_withdrawn) {
            log::info!("event=zone_taken_back zone={zone}");
        }
        self.needs_placement |= self.evacuation.zones != zones;
        self.evacuation.zones = zones;
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
        let zone = row.availability_zone.as_ref();
        zone.is_some_and(|zone| self.evacuation.includes(zone))
    }

    /// Returns whether the view of the operators' requests is recent enough to start tasks.
    pub(super) fn is_operator_view_current(&self, now: BootTime) -> bool {
        let Some(max_age) = self.settings.max_operator_view_age else {
            return true;
        };
        let viewed_at = self.evacuation.viewed_at;
        viewed_at.is_some_and(|at| now.since(at) <= max_age)
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

//! Operators' requests to evacuate availability zones, and the owner's view of them.

use std::time::Duration;

use rand::RngExt;
use rhubarbfall_core::{AvailabilityZoneId, BootTime, WorkerId};

use super::faults::Trouble;
use super::{Event, World};

/// The time after which a request is in force.
pub(super) const EVACUATION_BOUND: Duration = Duration::from_secs(5);

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The requests in force, and the polls for them.
#[derive(Debug, Default)]
pub(super) struct Zones {
    requested: Vec<(AvailabilityZoneId, BootTime)>,
    /// When the owner next polls; `None` while a poll is on its way.
    next_poll: Option<BootTime>,
    /// The last view that was answered, which the next owner may have too.
    view: Option<(Vec<AvailabilityZoneId>, BootTime)>,
}

impl Zones {
    pub(super) fn new() -> Self {
        Self {
            next_poll: Some(BootTime::default()),
            ..Self::default()
        }
    }
}

/// Returns the availability zone of a VM.
pub(super) fn zone_of(vm: usize) -> AvailabilityZoneId {
    let name = ZONES[vm % ZONES.len()];
    name.parse().expect("valid availability zone name")
}

impl World {
    /// Requests an evacuation or withdraws one, also within a second.
    pub(super) fn change_zones(&mut self) {
        let zone = zone_of(self.rng.random_range(0..ZONES.len()));
        let requested = &mut self.zones.requested;
        let before = requested.len();
        requested.retain(|(known, _)| *known != zone);
        if requested.len() == before {
            requested.push((zone, self.now));
        }
    }

    /// Sends the next poll; its answer dates from now and may be late or lost.
    pub(super) fn poll_zones(&mut self) {
        if !self.has(Trouble::Zones) || self.zones.next_poll.is_none_or(|at| at > self.now) {
            return;
        }
        self.zones.next_poll = None;
        let zones = self.zones.requested.iter().map(|(zone, _)| zone.clone());
        let zones = zones.collect();
        let mut delay = self.millis(5..1_050);
        let mut is_answered = true;
        // Unlike the other troubles, a late view lasts into the calm: it excuses no start.
        if self.rng.random_bool(0.3) {
            delay = self.millis(500..9_000);
            is_answered = self.rng.random_bool(0.5);
        }
        let view = (zones, self.now);
        self.at(self.now + delay, Event::Zones(view, is_answered));
    }

    pub(super) fn zones_viewed(
        &mut self,
        view: (Vec<AvailabilityZoneId>, BootTime),
        is_answered: bool,
    ) {
        self.zones.next_poll = Some(self.now);
        if is_answered {
            self.zones.view = Some(view);
            self.pass_zones();
        }
    }

    /// Passes the last view of the requests to the owner.
    pub(super) fn pass_zones(&mut self) {
        if let Some((zones, viewed_at)) = self.zones.view.clone() {
            self.scheduler.set_evacuated_zones(zones, self.now);
            self.scheduler.confirm_operator_view(viewed_at);
        }
    }

    /// Checks a run that a worker has begun.
    pub(super) fn check_zone(&mut self, worker: &WorkerId, vm: usize, task: &str) {
        let zone = zone_of(vm);
        let requested = self
            .zones
            .requested
            .iter()
            .find(|(known, _)| *known == zone);
        let Some((_, since)) = requested else { return };
        let age = self.now.since(*since);
        if age > EVACUATION_BOUND {
            let text = format!("{task} starts on {worker} in {zone}, evacuated for {age:?}");
            self.violation("evacuated", &text);
        }
    }
}

//! An owner that was replaced and does not know it yet: it starts nothing, but its renewals and
//! stops go on until its leases have expired.

use std::collections::BTreeMap;
use std::mem::swap;
use std::time::Duration;

use rand::RngExt;
use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_runs::Scheduler;

use super::network::{RenewalLoop, SentCall};
use super::{Event, MAX_LEASE, World, settings};

/// How long a former owner goes on in calm, until the store tells it that it was replaced.
const NOTICE: Duration = Duration::from_millis(300);

pub(super) struct Former {
    scheduler: Scheduler,
    epoch: u64,
    loops: Vec<RenewalLoop>,
    order_clients: BTreeMap<WorkerId, usize>,
    calls: BTreeMap<u64, SentCall>,
    ends_at: BootTime,
}

impl World {
    /// Keeps the present owner as a former one, or ends it.
    pub(super) fn retire_owner(&mut self) {
        let mut former = Former {
            scheduler: Scheduler::new(settings(&self.trouble)),
            epoch: self.epoch + 1,
            loops: Vec::new(),
            order_clients: BTreeMap::new(),
            calls: BTreeMap::new(),
            ends_at: self.now + MAX_LEASE,
        };
        swap(&mut self.scheduler, &mut former.scheduler);
        swap(&mut self.epoch, &mut former.epoch);
        swap(&mut self.loops, &mut former.loops);
        swap(&mut self.order_clients, &mut former.order_clients);
        swap(&mut self.calls, &mut former.calls);
        let goes_on = self.rng.random_bool(0.5);
        self.former = goes_on.then(|| Box::new(former));
    }

    /// Returns whether an event is one of the former owner's.
    fn is_of_former(&self, event: &Event) -> bool {
        self.former.as_ref().is_some_and(|former| match event {
            Event::Answer(id, _) | Event::Timeout(id) => former.calls.contains_key(id),
            Event::Wake(epoch, _) => *epoch == former.epoch,
            _ => false,
        })
    }

    /// Handles an event of the present or of the former owner.
    pub(super) fn handle_of_either(&mut self, event: Event) {
        if !self.is_of_former(&event) {
            return self.handle(event);
        }
        let Some(mut former) = self.former.take() else {
            return;
        };
        self.exchange(&mut former);
        self.handle(event);
        self.execute(false);
        self.exchange(&mut former);
        let calm_end = self.calm_since + NOTICE;
        let has_noticed = self.is_calm && self.now > calm_end;
        if self.now < former.ends_at && !has_noticed {
            self.former = Some(former);
        }
    }

    fn exchange(&mut self, former: &mut Former) {
        swap(&mut self.scheduler, &mut former.scheduler);
        swap(&mut self.epoch, &mut former.epoch);
        swap(&mut self.loops, &mut former.loops);
        swap(&mut self.order_clients, &mut former.order_clients);
        swap(&mut self.calls, &mut former.calls);
    }
}

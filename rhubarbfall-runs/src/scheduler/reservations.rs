//! Places that are held for tasks that fit nowhere, so that smaller ones do not take each gap.
//!
//! The load: a pool has room for a large task or a gang in total, but small tasks take what each
//! ended run frees, and the large one waits for as long as small ones come. The place where room
//! comes first is therefore held; smaller tasks pass there if they end before, or fit beside it.

#[cfg(test)]
mod tests;

use std::time::Duration;

use rhubarbfall_core::{BootTime, ServiceId, WorkerId};

use super::ordering::Standing;
use crate::{Resources, StepId};

/// The maximum number of reservations for each service.
const MAX_PER_SERVICE: usize = 2;

/// The maximum number of steps for each service whose wait is kept although they lost their place.
const MAX_PLACELESS_PER_SERVICE: usize = 8;

/// How often a reservation may move or be estimated again; then its place stays closed.
const MAX_MOVES: u32 = 3;

/// The longest expected wait: forecasts beyond it say little.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(10);

/// How long a step waits with a place before that place is held against better standings, too: one
/// for each service at a time.
const FIRM_AFTER: Duration = Duration::from_secs(10);

/// How long room may be late before the reservation is estimated again: lists of ends come at the
/// interval of lease renewals.
const PATIENCE: Duration = Duration::from_millis(300);

/// A place that is held for a step.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub(super) service: ServiceId,
    pub(super) step: StepId,
    pub(super) standing: Standing,
    /// When room is expected.
    pub(super) expected_at: BootTime,
    /// Since when a place has been held for the step.
    since: BootTime,
    /// Whether the place is held against better standings, too.
    is_firm: bool,
    /// How often the reservation has moved or was estimated again.
    moves: u32,
    /// The room that is held, sorted by worker; none after a worker was lost or a better standing got
    /// the place. A reservation without room keeps no other step from a place.
    pub(super) holds: Vec<Hold>,
}

/// Room that is held on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Hold {
    pub(super) worker: WorkerId,
    /// The resources beside the held room when it is expected.
    pub(super) spare: Resources,
}

/// A task that looks for a worker.
#[derive(Debug, Clone)]
pub(super) struct Passing<'a> {
    pub(super) step: &'a StepId,
    pub(super) standing: Standing,
    pub(super) reserved: Resources,
    /// When nine of ten such runs have ended.
    pub(super) late_end: BootTime,
}

/// Whether a task may be placed on a worker where others hold room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Passage {
    /// The task delays nobody there.
    #[default]
    Free,
    /// The task comes first, but would delay the step that holds room there.
    IfNeeded,
    /// The room is held.
    Closed,
}

/// The times at which a worker has room for one, two and more tasks, each after the other.
#[derive(Debug, Clone)]
pub(super) struct RoomTimes {
    /// Workers with lower values are preferred.
    pub(super) reluctance: u8,
    pub(super) worker: WorkerId,
    pub(super) times: Vec<BootTime>,
}

/// The reservations of an owner.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    held: Vec<Reservation>,
}

impl Reservation {
    /// Returns what is held on a worker.
    fn hold_on(&self, worker: &WorkerId) -> Option<&Hold> {
        let index = self.holds.binary_search_by(|hold| hold.worker.cmp(worker));
        self.holds.get(index.ok()?)
    }
}

impl Reservations {
    /// Returns whether nothing is held.
    pub(super) fn is_empty(&self) -> bool {
        self.held.iter().all(|held| held.holds.is_empty())
    }

    /// Ends the reservations of steps that no longer wait, gives up places on workers that may not
    /// get work, and makes the longest wait of each service firm. `waits` returns the present standing
    /// of the step of a reservation, or `None` if it does not wait for its service any more.
    pub(super) fn update(
        &mut self,
        now: BootTime,
        waits: impl Fn(&Reservation) -> Option<Standing>,
        is_usable: impl Fn(&WorkerId, &ServiceId) -> bool,
    ) {
        self.held.retain_mut(|held| {
            let standing = waits(held);
            held.standing = standing.unwrap_or(held.standing);
            standing.is_some()
        });
        self.held.sort_by_key(|held| held.since);
        let mut services: Vec<ServiceId> = Vec::new();
        for held in &mut self.held {
            let is_first = !services.contains(&held.service);
            held.is_firm = is_first && now.since(held.since) >= FIRM_AFTER;
            if held.is_firm && !held.holds.is_empty() {
                services.push(held.service.clone());
            }
        }
        // A step that has just lost its place stays the firm one while it looks for another.
        for held in &mut self.held {
            let mut holds = held.holds.iter();
            if !holds.all(|hold| is_usable(&hold.worker, &held.service)) {
                held.holds.clear();
            }
        }
    }

    /// Removes the reservation of a step, and returns whether there was one.
    pub(super) fn remove(&mut self, step: &StepId) -> bool {
        let before = self.held.len();
        self.held.retain(|reservation| reservation.step != *step);
        self.held.len() < before
    }

    /// Returns whether a task may be placed on a worker.
    pub(super) fn passage(&self, worker: &WorkerId, passing: &Passing<'_>) -> Passage {
        let holds = self
            .others(passing.step)
            .filter_map(|reservation| Some((reservation, reservation.hold_on(worker)?)));
        let passages = holds.map(|(reservation, hold)| {
            let ends_before = passing.late_end <= reservation.expected_at;
            if ends_before || passing.reserved.fits_in(hold.spare) {
                Passage::Free
            } else if passing.standing < reservation.standing && !reservation.is_firm {
                Passage::IfNeeded
            } else {
                Passage::Closed
            }
        });
        passages.max().unwrap_or(Passage::Free)
    }

    /// Records that a task was placed on a worker, where it takes room beside what is held.
    pub(super) fn passed(&mut self, worker: &WorkerId, passing: &Passing<'_>) {
        for reservation in &mut self.held {
            if reservation.step == *passing.step || passing.late_end <= reservation.expected_at {
                continue;
            }
            for hold in &mut reservation.holds {
                if hold.worker == *worker {
                    hold.spare = hold.spare.saturating_sub(passing.reserved);
                }
            }
        }
    }

    /// Returns whether a step that has just found no room is to be given a place: it has none, or
    /// the room did not come in time.
    pub(super) fn is_due(
        &self,
        service: &ServiceId,
        step: &StepId,
        standing: Standing,
        now: BootTime,
    ) -> bool {
        let own = self.held.iter().find(|held| held.step == *step);
        if let Some(own) = own.filter(|own| own.is_firm || !own.holds.is_empty()) {
            let is_late = own.moves < MAX_MOVES && now > own.expected_at + PATIENCE;
            return own.holds.is_empty() || is_late;
        }
        let mut of_service = self.with_room(service);
        of_service.clone().count() < MAX_PER_SERVICE
            || of_service.any(|held| standing < held.standing && !held.is_firm)
    }

    /// Returns whether a place is held for a step.
    pub(super) fn has(&self, step: &StepId) -> bool {
        self.held.iter().any(|held| held.step == *step)
    }

    /// Returns whether another step holds room on a worker.
    pub(super) fn is_held_for_other(&self, worker: &WorkerId, step: &StepId) -> bool {
        let mut others = self.others(step);
        others.any(|held| held.hold_on(worker).is_some())
    }

    /// Holds a place, instead of the step's present one or, beyond the limit for the service, of
    /// the one with the lowest standing.
    pub(super) fn hold(
        &mut self,
        service: ServiceId,
        step: StepId,
        standing: Standing,
        (expected_at, mut holds): (BootTime, Vec<Hold>),
        now: BootTime,
    ) {
        holds.sort_by(|one, other| one.worker.cmp(&other.worker));
        let present = self.held.iter().position(|held| held.step == step);
        let present = present.map(|index| self.held.remove(index));
        let (since, is_firm, moves) = present.map_or((now, false, 0), |held| {
            let moves = held.moves + u32::from(!held.holds.is_empty());
            (held.since, held.is_firm, moves)
        });
        if self.with_room(&service).count() >= MAX_PER_SERVICE {
            let lowest = self.with_room(&service).filter(|held| !held.is_firm);
            let lowest = lowest.max_by_key(|held| held.standing);
            if let Some(lowest) = lowest.map(|held| held.step.clone()) {
                self.take_place_of(&lowest);
            }
        }
        self.held.push(Reservation {
            service,
            step,
            standing,
            expected_at: expected_at.min(now + MAX_EXPECTED_WAIT),
            since,
            is_firm,
            moves,
            holds,
        });
    }

    /// Takes the place of a step, whose wait counts on: it would never be firm if better standings came
    /// again and again.
    fn take_place_of(&mut self, step: &StepId) {
        let Some(held) = self.held.iter_mut().find(|held| held.step == *step) else {
            return;
        };
        held.holds.clear();
        let service = held.service.clone();
        let is_placeless = |held: &Reservation| held.service == service && held.holds.is_empty();
        let placeless = self.held.iter().filter(|held| is_placeless(held));
        if placeless.clone().count() > MAX_PLACELESS_PER_SERVICE
            && let Some(youngest) = placeless.max_by_key(|held| held.since)
        {
            let youngest = youngest.step.clone();
            self.remove(&youngest);
        }
    }

    /// Returns the reservations for a service that hold room.
    fn with_room<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a Reservation> + Clone {
        let of_service = self.held.iter().filter(|held| held.service == *service);
        of_service.filter(|held| !held.holds.is_empty())
    }

    fn others<'a>(&'a self, step: &'a StepId) -> impl Iterator<Item = &'a Reservation> {
        self.held.iter().filter(move |held| held.step != *step)
    }
}

/// Returns where `tasks` tasks have room first: when, and how many tasks on which worker. `None` if
/// the workers never have room for all.
pub(super) fn first_room(
    workers: &[RoomTimes],
    tasks: usize,
) -> Option<(BootTime, Vec<(WorkerId, u64)>)> {
    let slots = workers.iter().flat_map(|room| {
        let times = room.times.iter();
        times.map(move |at| (room.reluctance, *at, &room.worker))
    });
    let mut slots: Vec<_> = slots.collect();
    if slots.len() < tasks || tasks == 0 {
        return None;
    }
    slots.sort();
    slots.truncate(tasks);
    let expected_at = slots.iter().map(|(_, at, _)| *at).max()?;
    slots.sort_by_key(|(_, _, worker)| *worker);
    let mut counts: Vec<(WorkerId, u64)> = Vec::new();
    for (_, _, worker) in slots {
        match counts.last_mut().filter(|(last, _)| last == worker) {
            Some((_, count)) => *count += 1,
            None => counts.push((worker.clone(), 1)),
        }
    }
    Some((expected_at, counts))
}

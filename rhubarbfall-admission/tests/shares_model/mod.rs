//! A simulation of a fleet's entries and upstream slots for one service, in virtual time.

mod baselines;
mod report;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub(crate) use baselines::{Baseline, run as run_baseline};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub(crate) use report::Report;
use rhubarbfall_admission::{
    Admission, AdmissionSettings, Completion, LedgerRow, Rights, RightsSettings, ServiceDemand,
    SubmitOutcome, Ticket, WorkClass, WorkRequest, divide_slots,
};
use rhubarbfall_core::{Incarnation, Revision, ServiceId, ShareWeight, Slots, TeamId};
use rhubarbfall_document::{Document, TeamSpec};

pub(crate) const ZONES: usize = 3;
pub(crate) const ENTRIES_PER_ZONE: usize = 3;
pub(crate) const ENTRIES: usize = ZONES * ENTRIES_PER_ZONE;
pub(crate) const TEAMS: usize = 6;
pub(crate) const ZONE_SLOTS: u32 = 80;
pub(crate) const STEP_MS: u64 = 10;
/// The fleet's capacity: all slots divided by the mean service time.
pub(crate) const FLEET_RATE_PER_S: f64 = 480.0;
/// The interval between samples of running and waiting requests.
pub(crate) const SAMPLE_STEPS: u64 = 5;
const DIVIDE_STEPS: u64 = 10;

/// The parameters of a simulated load.
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) seconds: u64,
    /// Returns the arrival rate of a team, in requests per second, at a time in seconds.
    pub(crate) rate: fn(usize, f64) -> f64,
    /// The fraction of a team's requests that arrives at one entry of the fleet, fixed per team.
    pub(crate) skew: f64,
    /// The fraction of the rest that arrives at one entry of each zone, fixed per team.
    pub(crate) skew_in_zone: f64,
    /// The age of the summaries of other entries, in divisions.
    pub(crate) summary_age_divisions: usize,
    pub(crate) is_last_zone_cut_off: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 7,
            seconds: 70,
            rate: |_, _| FLEET_RATE_PER_S / 4.0,
            skew: 0.0,
            skew_in_zone: 0.0,
            summary_age_divisions: 1,
            is_last_zone_cut_off: false,
        }
    }
}

impl Scenario {
    /// Returns whether two zones can exchange messages.
    pub(crate) fn is_reachable(&self, a: usize, b: usize) -> bool {
        a == b || !self.is_last_zone_cut_off || (a != ZONES - 1 && b != ZONES - 1)
    }

    /// Returns the entries at which requests of a team arrive in a step, one item per request.
    pub(crate) fn arrivals(&self, rng: &mut ChaCha8Rng, team: usize, step: u64) -> Vec<usize> {
        let seconds = (step * STEP_MS) as f64 / 1000.0;
        let mean = (self.rate)(team, seconds) * STEP_MS as f64 / 1000.0;
        let count = mean.floor() as usize + usize::from(rng.random_bool(mean.fract()));
        let mut entry = || {
            if rng.random_bool(self.skew) {
                team % ENTRIES
            } else if rng.random_bool(self.skew_in_zone) {
                rng.random_range(0..ZONES) * ENTRIES_PER_ZONE + team % ENTRIES_PER_ZONE
            } else {
                rng.random_range(0..ENTRIES)
            }
        };
        (0..count).map(|_| entry()).collect()
    }
}

pub(crate) const fn zone_of(entry: usize) -> usize {
    entry / ENTRIES_PER_ZONE
}

pub(crate) fn service_steps(rng: &mut ChaCha8Rng) -> u64 {
    rng.random_range(20..80)
}

fn service() -> ServiceId {
    "labels".parse().expect("the identifier is valid")
}

fn team(index: usize) -> TeamId {
    format!("house-{index}")
        .parse()
        .expect("the identifier is valid")
}

struct Running {
    ends_at: u64,
    entry: usize,
    ticket: Ticket,
}

/// A request that waits or runs in another zone than the one it arrived in.
struct Forwarded {
    origin: usize,
    entry: usize,
    team: usize,
    ticket: Ticket,
}

struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    start: Instant,
    step: u64,
    entries: Vec<Admission>,
    /// The summaries of all entries per division, the newest last.
    summaries: Vec<Vec<ServiceDemand>>,
    wanted: Vec<f64>,
    quotas: Vec<u32>,
    running: Vec<Running>,
    /// Waiting tickets, by entry and team.
    waiting: Vec<Vec<VecDeque<Ticket>>>,
    forwarded: Vec<Forwarded>,
}

/// Runs a scenario with the shares computed by this package.
pub(crate) fn run_shares(scenario: &Scenario) -> Report {
    let mut fleet = Fleet::new(scenario);
    let mut report = Report::new(scenario);
    for step in 0..scenario.seconds * 1000 / STEP_MS {
        fleet.step = step;
        fleet.run_step();
        if step.is_multiple_of(SAMPLE_STEPS) {
            report.record(&fleet.counts());
        }
    }
    report
}

fn document() -> Document {
    let spec = |index| TeamSpec {
        id: team(index),
        upper_limit_slots: Slots::new(10_000),
        share_weight: ShareWeight::new(1),
    };
    let mut document = Document {
        revision: Revision::new(1),
        ..Document::default()
    };
    document.fleet.teams = (0..TEAMS).map(spec).collect();
    document
}

/// Creates an entry whose rights never limit the load.
fn new_entry(index: usize) -> Admission {
    let id = format!("entry-{index}")
        .parse()
        .expect("the identifier is valid");
    let rights = Rights::new(id, Incarnation::new(1), RightsSettings::default());
    let mut admission = Admission::new(AdmissionSettings::default(), rights);
    admission.set_document(&document());
    for index in 0..TEAMS {
        let id = team(index);
        let rights = admission.rights_mut();
        rights.set_waiting(&id, 1);
        let row = LedgerRow::default();
        let next = rights.plan(&id, &row, 1, &|_, _| false, Instant::now());
        rights.begin_write(&id, &next.expect("the plan acquires slots"));
        rights.finish_write(&id, true);
        rights.set_waiting(&id, 0);
    }
    admission
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            start: Instant::now(),
            step: 0,
            entries: (0..ENTRIES).map(new_entry).collect(),
            summaries: vec![vec![ServiceDemand::default(); ENTRIES]],
            wanted: vec![0.0; ENTRIES],
            quotas: vec![ZONE_SLOTS / ENTRIES_PER_ZONE as u32; ENTRIES],
            running: Vec::new(),
            waiting: vec![vec![VecDeque::new(); TEAMS]; ENTRIES],
            forwarded: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.step * STEP_MS)
    }

    fn run_step(&mut self) {
        let now = self.now();
        let step = self.step;
        for ended in self.running.extract_if(.., |work| work.ends_at <= step) {
            self.entries[ended.entry].finish(now, ended.ticket, Completion::Confirmed);
            let is_same =
                |work: &Forwarded| work.entry == ended.entry && work.ticket == ended.ticket;
            self.forwarded.retain(|work| !is_same(work));
        }
        for index in 0..TEAMS {
            for entry in self.scenario.arrivals(&mut self.rng, index, step) {
                self.submit(entry, index);
            }
        }
        if step.is_multiple_of(DIVIDE_STEPS) {
            self.divide();
        }
        self.forward();
        self.start_work();
    }

    fn submit(&mut self, entry: usize, index: usize) -> Option<Ticket> {
        let now = self.now();
        let request = WorkRequest {
            team: team(index),
            queue: "labels-urgent".parse().expect("the identifier is valid"),
            service: service(),
            class: WorkClass::Urgent,
            deadline: now + Duration::from_mins(10),
        };
        match self.entries[entry].submit(now, &request) {
            SubmitOutcome::Queued { ticket, .. } => {
                self.waiting[entry][index].push_back(ticket);
                Some(ticket)
            }
            SubmitOutcome::Rejected(_) => None,
        }
    }

    fn divide(&mut self) {
        let now = self.now();
        let age = self.scenario.summary_age_divisions;
        let known = self.summaries[self.summaries.len().saturating_sub(age)].clone();
        for entry in 0..ENTRIES {
            let mut zones = vec![ServiceDemand::default(); ZONES];
            for (other, summary) in known
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != entry)
            {
                zones[zone_of(other)].add_all(summary);
            }
            for zone in &mut zones {
                zone.capacity_slots = ZONE_SLOTS;
            }
            let own = zone_of(entry);
            let reachable = |zone: &usize| *zone != own && self.scenario.is_reachable(own, *zone);
            let others: Vec<_> = (0..ZONES)
                .filter(reachable)
                .map(|zone| zones[zone].clone())
                .collect();
            self.entries[entry].divide(now, &service(), &zones[own], &others);
            self.wanted[entry] = self.entries[entry].wanted_slots(&service());
        }
        let summaries = self.entries.iter().map(|entry| {
            let summary = entry.summary();
            summary.get(&service()).cloned().unwrap_or_default()
        });
        self.summaries.push(summaries.collect());
        let rotation = (self.step / DIVIDE_STEPS) as usize;
        for zone in 0..ZONES {
            let range = zone * ENTRIES_PER_ZONE..(zone + 1) * ENTRIES_PER_ZONE;
            let quotas = divide_slots(ZONE_SLOTS, &self.wanted[range.clone()], rotation);
            self.quotas[range].copy_from_slice(&quotas);
        }
    }

    /// Forwards each team's overflow to the reachable zone with the fewest waiting requests.
    fn forward(&mut self) {
        for entry in 0..ENTRIES {
            for index in 0..TEAMS {
                let overflow = self.entries[entry].overflow_slots(&service(), &team(index));
                let is_own = |work: &&Forwarded| work.origin == entry && work.team == index;
                let forwarded_count = self.forwarded.iter().filter(is_own).count();
                for _ in forwarded_count..overflow.round() as usize {
                    let Some(target) = self.overflow_target(entry) else {
                        break;
                    };
                    let is_own = |ticket: &Ticket| {
                        let is_same =
                            |work: &Forwarded| work.entry == entry && work.ticket == *ticket;
                        !self.forwarded.iter().any(is_same)
                    };
                    let Some(position) = self.waiting[entry][index].iter().position(is_own) else {
                        break;
                    };
                    let ticket = self.waiting[entry][index].remove(position);
                    let ticket = ticket.expect("the position was just found");
                    self.entries[entry].cancel(ticket);
                    if let Some(ticket) = self.submit(target, index) {
                        self.forwarded.push(Forwarded {
                            origin: entry,
                            entry: target,
                            team: index,
                            ticket,
                        });
                    }
                }
            }
        }
    }

    fn overflow_target(&mut self, from: usize) -> Option<usize> {
        let here = zone_of(from);
        let load = |zone: usize| -> u32 {
            (zone * ENTRIES_PER_ZONE..(zone + 1) * ENTRIES_PER_ZONE)
                .map(|entry| self.entries[entry].waiting(&service()))
                .sum()
        };
        let zone = (0..ZONES)
            .filter(|zone| *zone != here && self.scenario.is_reachable(here, *zone))
            .min_by_key(|zone| load(*zone))?;
        Some(zone * ENTRIES_PER_ZONE + self.rng.random_range(0..ENTRIES_PER_ZONE))
    }

    fn start_work(&mut self) {
        let now = self.now();
        for zone in 0..ZONES {
            let busy = self
                .running
                .iter()
                .filter(|work| zone_of(work.entry) == zone)
                .count();
            let mut free = ZONE_SLOTS.saturating_sub(busy as u32);
            for entry in zone * ENTRIES_PER_ZONE..(zone + 1) * ENTRIES_PER_ZONE {
                let own = self
                    .running
                    .iter()
                    .filter(|work| work.entry == entry)
                    .count();
                let own_free = self.quotas[entry].saturating_sub(own as u32).min(free);
                let started = self.entries[entry].start_next(now, &service(), own_free);
                free -= started.len() as u32;
                for ticket in started {
                    let ends_at = self.step + service_steps(&mut self.rng);
                    self.running.push(Running {
                        ends_at,
                        entry,
                        ticket,
                    });
                    for queue in &mut self.waiting[entry] {
                        if queue.front() == Some(&ticket) {
                            queue.pop_front();
                        }
                    }
                }
            }
        }
    }

    /// Returns the running and waiting requests by zone and team.
    fn counts(&self) -> Vec<Vec<(u32, u32)>> {
        let mut counts = vec![vec![(0, 0); TEAMS]; ZONES];
        for (entry, admission) in self.entries.iter().enumerate() {
            let summary = admission.summary();
            let Some(demand) = summary.get(&service()) else {
                continue;
            };
            for (index, count) in counts[zone_of(entry)].iter_mut().enumerate() {
                let of_team = demand.team(&team(index));
                count.0 += of_team.running_slots;
                count.1 += of_team.waiting_requests;
            }
        }
        counts
    }
}

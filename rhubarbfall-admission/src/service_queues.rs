use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, TeamId};

use crate::queue::TeamQueue;
use crate::shares::{EntryShare, ServiceDemand, TeamDemand};

/// The weight of the newest sample in the moving average of the service time.
const SERVICE_TIME_GAIN: f64 = 1.0 / 16.0;
/// The time in which a deficit of one slot adds one slot of credit to a team.
const CREDIT_TIME_CONSTANT_S: f64 = 1.0;
/// The bound of a team's credit in either direction, in slots.
const MAX_CREDIT_SLOTS: f64 = 1.0;
/// The fraction of the shortfall that each division adds to a team's overflow.
///
/// Less than one, because work that has just been forwarded appears in the summaries with a delay.
const OVERFLOW_GAIN: f64 = 0.5;
/// The fraction of the overflow that each division drops, so that overflow decays once it is no
/// longer needed.
const OVERFLOW_DECAY: f64 = 0.02;
/// Overflow at or below this counts as none.
const MIN_OVERFLOW_SLOTS: f64 = 0.1;
/// The share of a team before the first division that includes it.
const INITIAL_SHARE_SLOTS: f64 = 1.0;

/// The inputs to the choice of the next team, stored apart from the queues so that the scan touches
/// few cache lines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TeamLoad {
    pub(crate) waiting: u32,
    pub(crate) running: u32,
    share: f64,
    /// Slots credited to the team; grows while the team runs less than its share.
    credit: f64,
}

/// The queues of one service at one entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceQueues {
    /// Sorted by identifier; `loads` and `queues` are in the same order.
    teams: Vec<TeamId>,
    pub(crate) loads: Vec<TeamLoad>,
    pub(crate) queues: Vec<TeamQueue>,
    pub(crate) overflow_slots: LiteMap<TeamId, f64>,
    mean_service_s: Option<f64>,
    divided_at: Option<Instant>,
}

impl ServiceQueues {
    pub(crate) fn find(&self, team: &TeamId) -> Option<usize> {
        self.teams.binary_search(team).ok()
    }

    pub(crate) fn find_or_insert(&mut self, team: &TeamId) -> usize {
        self.teams.binary_search(team).unwrap_or_else(|index| {
            let load = TeamLoad {
                waiting: 0,
                running: 0,
                share: INITIAL_SHARE_SLOTS,
                credit: 0.0,
            };
            self.teams.insert(index, team.clone());
            self.loads.insert(index, load);
            self.queues.insert(index, TeamQueue::default());
            index
        })
    }

    pub(crate) fn team(&self, index: usize) -> &TeamId {
        &self.teams[index]
    }

    pub(crate) fn waiting(&self) -> u32 {
        self.loads.iter().map(|load| load.waiting).sum()
    }

    /// Returns the index of the waiting team that would use the smallest fraction of its share
    /// after one more start; skips the indices in `blocked`.
    pub(crate) fn most_underserved(&self, blocked: &[usize]) -> Option<usize> {
        let mut best = None;
        let mut best_score = f64::INFINITY;
        for (index, load) in self.loads.iter().enumerate() {
            if load.waiting == 0 {
                continue;
            }
            let held = f64::from(load.running) + 1.0 - load.credit;
            let score = held / load.share.max(f64::MIN_POSITIVE);
            if score < best_score && !blocked.contains(&index) {
                best = Some(index);
                best_score = score;
            }
        }
        best
    }

    /// Applies the shares of a new division and updates credits and overflow.
    pub(crate) fn divide(&mut self, now: Instant, shares: &LiteMap<TeamId, EntryShare>) {
        let elapsed = self
            .divided_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let gain = (elapsed.as_secs_f64() / CREDIT_TIME_CONSTANT_S).min(1.0);
        self.divided_at = Some(now);
        let mut overflow_slots = LiteMap::new();
        for (team, load) in self.teams.iter().zip(&mut self.loads) {
            let share = shares.get(team);
            let deficit = load.share - f64::from(load.running);
            load.credit = if load.waiting == 0 {
                0.0
            } else {
                (load.credit + deficit * gain).clamp(-MAX_CREDIT_SLOTS, MAX_CREDIT_SLOTS)
            };
            load.share = share.map_or(0.0, |share| share.slots);
            let shortfall = share.map_or(0.0, |share| share.shortfall_slots);
            let last = self.overflow_slots.get(team).copied().unwrap_or_default();
            let overflow = last * (1.0 - OVERFLOW_DECAY) + shortfall * OVERFLOW_GAIN;
            if load.waiting > 0 && overflow > MIN_OVERFLOW_SLOTS {
                overflow_slots.insert(team.clone(), overflow);
            }
        }
        self.overflow_slots = overflow_slots;
    }

    /// Returns the sum of all teams' shares at this entry.
    pub(crate) fn wanted_slots(&self) -> f64 {
        self.loads.iter().map(|load| load.share).sum()
    }

    /// Removes teams that have no work and no share.
    pub(crate) fn remove_idle(&mut self) {
        let is_idle = |load: &TeamLoad| load.waiting == 0 && load.running == 0 && load.share == 0.0;
        if self.loads.iter().any(is_idle) {
            let keep: Vec<bool> = self.loads.iter().map(|load| !is_idle(load)).collect();
            retain(&mut self.teams, &keep);
            retain(&mut self.loads, &keep);
            retain(&mut self.queues, &keep);
        }
    }

    pub(crate) fn demand(&self) -> ServiceDemand {
        let mut demand = ServiceDemand::default();
        for (team, load) in self.teams.iter().zip(&self.loads) {
            if load.waiting + load.running > 0 {
                let team_demand = TeamDemand {
                    running_slots: load.running,
                    waiting_requests: load.waiting,
                };
                demand.teams.insert(team.clone(), team_demand);
            }
        }
        demand
    }

    pub(crate) fn record_service_time(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mean = self.mean_service_s.unwrap_or(sample);
        self.mean_service_s = Some(mean + (sample - mean) * SERVICE_TIME_GAIN);
    }

    /// Returns the expected wait of the team's next request behind `ahead` others.
    ///
    /// Zero until a service time has been measured, so that no request is rejected on a guess.
    pub(crate) fn expected_wait(&self, index: usize, ahead: usize) -> Duration {
        let load = &self.loads[index];
        let Some(mean_service_s) = self.mean_service_s.filter(|_| ahead > 0) else {
            return Duration::ZERO;
        };
        let slots = load.share.max(f64::from(load.running)).max(1.0);
        Duration::from_secs_f64(mean_service_s * ahead as f64 / slots)
    }
}

fn retain<T>(list: &mut Vec<T>, keep: &[bool]) {
    let mut kept = keep.iter();
    list.retain(|_| *kept.next().unwrap_or(&true));
}

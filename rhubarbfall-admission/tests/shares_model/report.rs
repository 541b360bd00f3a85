use std::fmt;

use rhubarbfall_admission::{WeightedDemand, fair_shares};

use super::{SAMPLE_STEPS, STEP_MS, Scenario, TEAMS, ZONE_SLOTS, ZONES};

const WINDOW_STEPS: usize = (10_000 / STEP_MS / SAMPLE_STEPS) as usize;
const WINDOW_STRIDE_STEPS: usize = 20;

/// The deviation of running slots from the fair shares over all windows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Deviation {
    pub(crate) windows: usize,
    /// The largest deviation divided by the allowed one, which is 5% of the share or one slot,
    /// whichever is larger.
    pub(crate) worst_ratio: f64,
    pub(crate) worst_slots: f64,
    pub(crate) mean_slots: f64,
}

impl fmt::Display for Deviation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "windows {}, mean {:.2} slots, worst {:.2} slots, {:.2} of the bound",
            self.windows, self.mean_slots, self.worst_slots, self.worst_ratio
        )
    }
}

/// Running slots and fair shares of every sample.
pub(crate) struct Report {
    partitions: Vec<Vec<usize>>,
    /// By step, partition and team: running slots, fair share and whether requests wait.
    steps: Vec<Vec<[(f64, f64, bool); TEAMS]>>,
    saturated: Vec<Vec<bool>>,
}

impl Report {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let partitions = if scenario.is_last_zone_cut_off {
            vec![(0..ZONES - 1).collect(), vec![ZONES - 1]]
        } else {
            vec![(0..ZONES).collect()]
        };
        Self {
            partitions,
            steps: Vec::new(),
            saturated: Vec::new(),
        }
    }

    pub(crate) fn record(&mut self, counts: &[Vec<(u32, u32)>]) {
        let mut step = Vec::new();
        let mut saturated = Vec::new();
        for partition in &self.partitions {
            let mut partition_teams = [(0.0, 0.0, false); TEAMS];
            let sum = |team: usize| {
                let zones = partition.iter().map(|zone| counts[*zone][team]);
                zones.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
            };
            let capacity = f64::from(ZONE_SLOTS) * partition.len() as f64;
            let demands: Vec<WeightedDemand> = (0..TEAMS)
                .map(|team| WeightedDemand {
                    weight: 1.0,
                    demand_slots: f64::from(sum(team).0 + sum(team).1),
                })
                .collect();
            let shares = fair_shares(capacity, &demands);
            for (team, slot) in partition_teams.iter_mut().enumerate() {
                *slot = (f64::from(sum(team).0), shares[team], sum(team).1 > 0);
            }
            step.push(partition_teams);
            saturated.push(
                demands
                    .iter()
                    .map(|demand| demand.demand_slots)
                    .sum::<f64>()
                    > capacity,
            );
        }
        self.steps.push(step);
        self.saturated.push(saturated);
    }

    /// Evaluates every saturated window throughout which the team had waiting requests.
    pub(crate) fn deviation(&self) -> Deviation {
        let mut result = Deviation::default();
        let mut sum = 0.0;
        let starts =
            (0..self.steps.len().saturating_sub(WINDOW_STEPS)).step_by(WINDOW_STRIDE_STEPS);
        for start in starts {
            let window = start..start + WINDOW_STEPS;
            for partition in 0..self.partitions.len() {
                if !window.clone().all(|step| self.saturated[step][partition]) {
                    continue;
                }
                for team in 0..TEAMS {
                    let steps = || window.clone().map(|step| self.steps[step][partition][team]);
                    if !steps().all(|(_, _, waits)| waits) {
                        continue;
                    }
                    let mean = |value: fn((f64, f64, bool)) -> f64| {
                        steps().map(value).sum::<f64>() / WINDOW_STEPS as f64
                    };
                    let fair = mean(|step| step.1);
                    let distance = (mean(|step| step.0) - fair).abs();
                    result.windows += 1;
                    sum += distance;
                    result.worst_slots = result.worst_slots.max(distance);
                    result.worst_ratio = result.worst_ratio.max(distance / (fair * 0.05).max(1.0));
                }
            }
        }
        result.mean_slots = sum / result.windows.max(1) as f64;
        result
    }

    /// Returns the fraction of slots in use while a partition was saturated.
    pub(crate) fn utilisation(&self) -> f64 {
        let (mut held, mut slots) = (0.0, 0.0);
        for (step, saturated) in self.steps.iter().zip(&self.saturated) {
            for (partition, teams) in step.iter().enumerate() {
                if saturated[partition] {
                    held += teams.iter().map(|team| team.0).sum::<f64>();
                    slots += f64::from(ZONE_SLOTS) * self.partitions[partition].len() as f64;
                }
            }
        }
        if slots > 0.0 { held / slots } else { 1.0 }
    }
}

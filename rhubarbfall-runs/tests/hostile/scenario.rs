//! What happens to the owner: callers' requests, planned work and trouble, at random times.

use std::time::Duration;

use rand::RngExt;
use rhubarbfall_runs::scheduler::Wave;
use rhubarbfall_runs::{Resources, Step};

use super::client::{Cancel, Client};
use super::faults::Trouble;
use super::places::vm_name;
use super::{RowChange, World};
use crate::model::{step, submission};

/// The number of submissions that are not over at the same time.
const MAX_OPEN: usize = 14;

/// The duration of a run that lasts.
const UNBOUNDED: Duration = Duration::from_secs(1_000_000);

impl World {
    pub(super) fn act(&mut self) {
        if self.chance(2.5) {
            self.submit();
        }
        if self.chance(1.5) {
            self.cancel_one();
        }
        if self.has_now(Trouble::Cuts) && self.chance(0.6) {
            let until = self.now + self.millis(200..5_000);
            if let Some(index) = self.any_process() {
                self.processes[index].cut_until = until;
            }
        }
        if self.has_now(Trouble::Crashes)
            && self.chance(0.5)
            && let Some(index) = self.any_process()
        {
            self.end_process(index, false);
        }
        if self.has_now(Trouble::Restarts)
            && self.chance(1.5)
            && let Some(index) = self.any_process()
        {
            self.restart_process(index);
        }
        if self.has(Trouble::Drains) && self.chance(0.25) {
            self.drain_one();
        }
        if self.has_now(Trouble::List) && self.chance(2.0) {
            self.disturb_list();
        }
        if self.has(Trouble::Vms) && self.chance(0.12) {
            self.request_wave();
        }
        if self.has(Trouble::Zones) && self.chance(0.4) {
            self.change_zones();
        }
        if self.has(Trouble::Config) && self.chance(0.3) {
            self.change_config();
        }
        if self.has_now(Trouble::Owners) && self.chance(0.35) {
            self.change_owner();
        }
        if self.has_now(Trouble::Pauses) && self.chance(0.5) {
            self.paused_until = self.now + self.millis(50..1_500);
        }
    }

    fn any_process(&mut self) -> Option<usize> {
        let count = self.processes.len();
        (count > 0).then(|| self.rng.random_range(0..count))
    }

    fn submit(&mut self) {
        let open = self
            .clients
            .iter()
            .filter(|client| client.over_since().is_none())
            .count();
        if open >= MAX_OPEN {
            return;
        }
        self.next_submission += 1;
        let queue = ["q-a", "q-b"][self.rng.random_range(0..2)];
        let tasks = self.rng.random_range(1..6);
        let cpu_millis = self.rng.random_range(1..12) * 1_000;
        let mut duration = self.millis(200..4_000);
        if self.has(Trouble::Restarts) && self.rng.random_bool(0.5) {
            duration = self.millis(10..80);
        }
        let mut first = step(tasks, cpu_millis);
        let mut steps = Vec::new();
        match self.rng.random_range(0..10) {
            0..4 => {
                first.is_long_running = true;
                first.max_unavailable = 1;
                first.max_per_worker = self.rng.random_bool(0.5).then_some(1);
                duration = UNBOUNDED;
            }
            4 => first.is_best_effort = true,
            5 => first.is_checkpointed = true,
            6 | 7 if self.has(Trouble::Gangs) => {
                first.is_gang = true;
                first.tasks = first.tasks.min(4);
            }
            8 => steps.push(Step {
                after: vec![0],
                ..step(2, 4_000)
            }),
            _ => {}
        }
        steps.insert(0, first);
        let mut submission = submission(self.next_submission, queue, steps[0].clone());
        submission.steps = steps;
        self.clients.push(Client::new(submission, duration));
    }

    fn cancel_one(&mut self) {
        let open: Vec<usize> = self
            .clients
            .iter()
            .enumerate()
            .filter(|(_, client)| client.cancel == Cancel::None && client.ended_at.is_none())
            .map(|(index, _)| index)
            .collect();
        if !open.is_empty() {
            let index = open[self.rng.random_range(0..open.len())];
            self.clients[index].cancel = Cancel::Wanted;
        }
    }

    fn drain_one(&mut self) {
        let Some(index) = self.any_process() else {
            return;
        };
        let leaves_at = self.now + self.millis(3_000..12_000);
        let process = &mut self.processes[index];
        if process.leaves_at.is_none() {
            process.leaves_at = Some(leaves_at);
            process.report.is_draining = true;
            let report = process.report.clone();
            self.publish(RowChange::Listed(report));
        }
    }

    /// Loses a row for a while, or repeats an outdated one.
    fn disturb_list(&mut self) {
        let Some(index) = self.any_process() else {
            return;
        };
        let mut report = self.processes[index].report.clone();
        match self.rng.random_range(0..6) {
            4 | 5 => self.publish_all(),
            0 => {
                report.incarnation_unix_ms -= 1_000;
                self.publish(RowChange::Listed(report));
            }
            1 => self.publish(RowChange::Listed(report)),
            2 => self.publish(RowChange::Removed(report.id)),
            _ => {
                self.publish(RowChange::Removed(report.id.clone()));
                self.publish(RowChange::Listed(report));
            }
        }
    }

    fn request_wave(&mut self) {
        let count = self.rng.random_range(1..5);
        let first = self.rng.random_range(0..self.vms.len());
        let vms = (0..count).map(|offset| vm_name((first + offset) % self.vms.len()));
        let wave = Wave {
            id: (self.waves.len() + 1)
                .to_string()
                .parse()
                .expect("valid wave name"),
            vms: vms.collect(),
            duration: Duration::from_secs(self.rng.random_range(3..25)),
            max_down: self.rng.random_range(1..3),
            version: rhubarbfall_core::RowVersion::new(1),
        };
        self.waves.push(wave.clone());
        self.scheduler
            .wave_requested(wave, None, self.now, self.now.as_millis());
    }

    fn change_config(&mut self) {
        let mut config = self.full_config.clone();
        match self.rng.random_range(0..5) {
            0 => drop(config.queues.remove(self.rng.random_range(0..2))),
            1 => config.queues[0].service = config.queues[1].service.clone(),
            2 => {
                config.customers[0].limit = Resources {
                    cpu_millis: 40_000,
                    ..Resources::default()
                }
            }
            _ => {}
        }
        config.version = self.config.version + 1;
        self.config = config.clone();
        self.scheduler.set_config(config.into());
    }
}

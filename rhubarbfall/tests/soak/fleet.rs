//! Changes of the fleet: workers that drain and leave, come, start again, are replaced or unlisted
//! for a time, or carry out orders late, and new configurations.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::disturbances::{DisturbanceLog, DisturbanceScope};
use crate::stand_in::StandInSite;

/// The mean time between two changes.
const MEAN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A change that starts at `at`, measured from the start of the injection.
#[derive(Debug, Clone)]
pub(crate) struct FleetChange {
    at: Duration,
    length: Duration,
    /// The time for which a worker's entry and its process differ.
    lag: Duration,
    worker: usize,
    kind: ChangeKind,
}

#[derive(Debug, Clone, Copy)]
enum ChangeKind {
    /// A worker drains for `length` and leaves, or one that is away comes under a new identifier.
    LeaveOrJoin,
    /// A worker crashes and starts again under its identifier and address, after `lag`.
    Restart,
    /// Another worker starts under a worker's address; the old entry stays for `lag`.
    Replace,
    /// The entry of a worker that runs on is missing for `length`.
    Unlist,
    /// A worker carries out some orders late and loses some responses.
    Impair,
    /// A new configuration is written.
    Configure,
}

/// Generates the changes of a seed, ordered by start.
pub(crate) fn schedule(
    rng: &mut ChaCha8Rng,
    duration: Duration,
    workers: usize,
) -> Vec<FleetChange> {
    let mut changes = Vec::new();
    let mut at = Duration::from_secs(2);
    while at < duration {
        let kind = match rng.random_range(0..100) {
            0..40 => ChangeKind::LeaveOrJoin,
            40..50 => ChangeKind::Restart,
            50..58 => ChangeKind::Replace,
            58..64 => ChangeKind::Unlist,
            64..82 => ChangeKind::Impair,
            _ => ChangeKind::Configure,
        };
        changes.push(FleetChange {
            at,
            length: Duration::from_millis(rng.random_range(500..4_000)),
            lag: Duration::from_millis(rng.random_range(0..2_000)),
            worker: rng.random_range(0..workers),
            kind,
        });
        at += MEAN_CHANGE_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    changes
}

/// The workers as the changes left them.
pub(crate) struct Fleet {
    site: StandInSite,
    disturbances: Arc<DisturbanceLog>,
    slots: Mutex<Vec<WorkerSlot>>,
    /// The number of workers below which none leaves.
    min_workers: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum WorkerSlot {
    Up,
    Away,
    /// A change of the worker goes on.
    Changing,
}

impl Fleet {
    /// Creates a fleet of `workers` workers, followed by `spares` that are away.
    pub(crate) fn new(
        site: StandInSite,
        disturbances: Arc<DisturbanceLog>,
        workers: usize,
        spares: usize,
        min_workers: usize,
    ) -> Self {
        let mut slots = vec![WorkerSlot::Up; workers];
        for spare in workers..workers + spares {
            site.exit_worker(spare);
            site.unlist_worker(&site.worker_id(spare));
            slots.push(WorkerSlot::Away);
        }
        Self {
            site,
            disturbances,
            slots: Mutex::new(slots),
            min_workers,
        }
    }

    /// Carries out the changes at their times, until the last has ended.
    pub(crate) async fn play(self: &Arc<Self>, changes: &[FleetChange]) {
        let started_at = Instant::now();
        let mut running = JoinSet::new();
        for (number, change) in changes.iter().enumerate() {
            tokio::time::sleep_until(started_at + change.at).await;
            let (fleet, change) = (Arc::clone(self), change.clone());
            running.spawn(async move { fleet.carry_out(number, change).await });
        }
        while running.join_next().await.is_some() {}
    }

    async fn carry_out(&self, number: usize, change: FleetChange) {
        if matches!(change.kind, ChangeKind::Configure) {
            return self.site.configure(8 + number as u64);
        }
        let Some(slot) = self.begin(change.worker, change.kind) else {
            return;
        };
        let (site, worker) = (&self.site, change.worker);
        let scope = DisturbanceScope::Worker(worker);
        let new_id = format!("w-{worker}-{number}");
        let id = site.worker_id(worker);
        let mut after = WorkerSlot::Up;
        match change.kind {
            ChangeKind::LeaveOrJoin if slot == WorkerSlot::Away => {
                site.start_worker(worker, new_id);
            }
            ChangeKind::LeaveOrJoin => {
                site.drain_worker(worker);
                sleep(change.length).await;
                site.exit_worker(worker);
                site.unlist_worker(&id);
                after = WorkerSlot::Away;
            }
            ChangeKind::Restart => {
                self.disturbances.add(scope, change.lag);
                site.exit_worker(worker);
                sleep(change.lag).await;
                site.start_worker(worker, id);
            }
            ChangeKind::Replace => {
                self.disturbances.add(scope, change.lag);
                site.exit_worker(worker);
                site.start_worker(worker, new_id);
                sleep(change.lag).await;
                site.unlist_worker(&id);
            }
            ChangeKind::Unlist => {
                self.disturbances.add(scope, change.length);
                site.unlist_worker(&id);
                sleep(change.length).await;
                site.list_worker(worker);
            }
            ChangeKind::Impair => {
                self.disturbances.add(scope, change.length);
                site.set_worker_impaired(worker, true);
                sleep(change.length).await;
                site.set_worker_impaired(worker, false);
            }
            ChangeKind::Configure => {}
        }
        self.slots()[worker] = after;
    }

    /// Returns the platform's stand-in.
    pub(crate) const fn site(&self) -> &StandInSite {
        &self.site
    }

    /// Reserves a worker for restarts that take this long, and returns whether they can begin.
    pub(crate) fn begin_restarts(&self, worker: usize, length: Duration) -> bool {
        let can_begin = self.begin(worker, ChangeKind::Restart).is_some();
        if can_begin {
            self.disturbances
                .add(DisturbanceScope::Worker(worker), length);
        }
        can_begin
    }

    /// Ends the restarts of a worker.
    pub(crate) fn end_restarts(&self, worker: usize) {
        self.slots()[worker] = WorkerSlot::Up;
    }

    /// Reserves a worker for a change, and returns its state before, unless the change cannot begin.
    fn begin(&self, worker: usize, kind: ChangeKind) -> Option<WorkerSlot> {
        let mut slots = self.slots();
        let slot = slots[worker];
        let up = slots.iter().filter(|slot| **slot == WorkerSlot::Up).count();
        let can_begin = match (slot, kind) {
            (WorkerSlot::Changing, _) => false,
            (WorkerSlot::Away, kind) => matches!(kind, ChangeKind::LeaveOrJoin),
            (WorkerSlot::Up, _) => up > self.min_workers,
        };
        if !can_begin {
            return None;
        }
        slots[worker] = WorkerSlot::Changing;
        Some(slot)
    }

    fn slots(&self) -> std::sync::MutexGuard<'_, Vec<WorkerSlot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

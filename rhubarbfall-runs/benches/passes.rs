//! Processor time of an owner's placement passes, by the number of VMs and of waiting tasks.
//!
//! Every pool is full and each end of a run is replaced by a waiting task, while the number of waiting
//! tasks stays the same and several thousand ended jobs are kept. Prints the time of a pass, of a pass
//! for each task that it places, and of recording a stored batch; the check of the pools, which is due
//! with every seventh pass, is part of the time of a pass.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, QUEUES, TASKS};
use rhubarbfall_runs::JobState;

const VMS: [usize; 4] = [50, 350, 1_100, 2_900];

const WAITING_TASKS: [u64; 3] = [100, 1_000, 10_000];

/// The jobs that ended before the measurement and are kept.
const ENDED_JOBS: usize = 4_000;

/// The time between two passes of a busy owner.
const TICK: Duration = Duration::from_millis(12);

const WARM_UP_TICKS: usize = 120;
const MEASURED_TICKS: usize = 120;

/// The interval at which each worker reports what has ended.
const RENEWAL_TICKS: usize = 8;

/// The time that the scheduler took for parts of its work.
#[derive(Default)]
struct Spent {
    passes: Duration,
    batches: Duration,
    renewals: Duration,
}

fn keep_ended_jobs(fleet: &mut Fleet) {
    for job in 0..ENDED_JOBS {
        fleet.submit(job % QUEUES.len());
    }
    let ids = fleet.scheduler.jobs().map(|job| job.submission.id.clone());
    let ids: Vec<_> = ids.collect();
    for id in ids {
        fleet.decide(|scheduler, now| scheduler.cancel(&id, now));
    }
    while fleet.store() {}
    let mut jobs = fleet.scheduler.jobs();
    assert!(jobs.all(|job| job.state == JobState::Cancelled));
}

fn tick(fleet: &mut Fleet, number: usize, waiting: u64, spent: &mut Spent) {
    fleet.now = fleet.now + TICK;
    let lease_end = fleet.now + Duration::from_secs(9);
    fleet.decide(|scheduler, _| scheduler.confirm_ownership(lease_end));
    let began_at = fleet.spent;
    for index in (number % RENEWAL_TICKS..fleet.ids.len()).step_by(RENEWAL_TICKS) {
        fleet.renew(index);
    }
    spent.renewals += fleet.spent.saturating_sub(began_at);
    let jobs_before = ENDED_JOBS as u64;
    while (fleet.submitted - jobs_before) * u64::from(TASKS) < fleet.starts + waiting {
        fleet.submit(fleet.submitted as usize % QUEUES.len());
    }
    let began_at = Instant::now();
    fleet.decide(|scheduler, now| scheduler.tick(now, 0));
    spent.passes += began_at.elapsed();
    fleet.act();
    let began_at = Instant::now();
    fleet.store();
    spent.batches += began_at.elapsed();
    fleet.act();
}

fn main() {
    println!(
        "| VMs | waiting tasks | us a pass | us a placed task | us a batch | us of renewals |"
    );
    println!("|---|---|---|---|---|---|");
    for vms in VMS {
        for waiting in WAITING_TASKS {
            let mut fleet = Fleet::new(vms);
            keep_ended_jobs(&mut fleet);
            for number in 0..WARM_UP_TICKS {
                tick(&mut fleet, number, waiting, &mut Spent::default());
            }
            let starts = fleet.starts;
            let mut spent = Spent::default();
            for number in WARM_UP_TICKS..WARM_UP_TICKS + MEASURED_TICKS {
                tick(&mut fleet, number, waiting, &mut spent);
            }
            let placed = (fleet.starts - starts).max(1) as f64;
            let each = |time: Duration| time.as_secs_f64() * 1e6 / MEASURED_TICKS as f64;
            println!(
                "| {vms} | {waiting} | {:.0} | {:.1} | {:.0} | {:.0} |",
                each(spent.passes),
                spent.passes.as_secs_f64() * 1e6 / placed,
                each(spent.batches),
                each(spent.renewals)
            );
        }
    }
}

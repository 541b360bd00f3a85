//! Processor time that an owner's decisions take for each start, at different numbers of workers.
//!
//! Load grows with the workers: a queue in its surge asks for more than its pool holds, so that
//! submissions wait. Workers, store and network answer at once and take no time. Prints one row for
//! each size; ratios between sizes matter, not the times themselves.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, QUEUES, TASK_CPU_MILLIS, TASK_DURATION, TASKS, WORKER_CAPACITY};

const WORKERS: [usize; 4] = [50, 350, 1_100, 2_900];

/// The time between two ticks of a busy owner.
const TICK: Duration = Duration::from_millis(12);

/// The simulated time.
const DURATION: Duration = Duration::from_secs(6);

/// The interval at which each worker reports what has ended.
const RENEWAL_TICKS: usize = 8;

/// What a surging queue asks for, as a multiple of what its pool can do.
const SURGE_FACTOR: f64 = 1.5;

/// What another queue asks for, as a multiple of what its pool can do.
const CALM_FACTOR: f64 = 0.1;

fn submit(fleet: &mut Fleet, load: &mut [f64], surging: usize) {
    let pool = fleet.ids.len() as f64 / QUEUES.len() as f64;
    let tasks_per_worker = (WORKER_CAPACITY.cpu_millis / TASK_CPU_MILLIS) as f64;
    let jobs_per_tick =
        pool * tasks_per_worker * TICK.div_duration_f64(TASK_DURATION) / f64::from(TASKS);
    for (queue, load) in load.iter_mut().enumerate() {
        let factor = if queue == surging {
            SURGE_FACTOR
        } else {
            CALM_FACTOR
        };
        *load += jobs_per_tick * factor;
        while *load >= 1.0 {
            *load -= 1.0;
            fleet.submit(queue);
        }
    }
}

fn run(fleet: &mut Fleet) {
    let end = fleet.now + DURATION;
    let (mut load, mut tick) = ([0.0; QUEUES.len()], 0);
    while fleet.now < end {
        fleet.now = fleet.now + TICK;
        tick += 1;
        let lease_end = fleet.now + Duration::from_secs(9);
        fleet.decide(|scheduler, _| scheduler.confirm_ownership(lease_end));
        submit(fleet, &mut load, tick / 120 % QUEUES.len());
        for index in (tick % RENEWAL_TICKS..fleet.ids.len()).step_by(RENEWAL_TICKS) {
            fleet.renew(index);
        }
        fleet.decide(|scheduler, now| scheduler.tick(now, 0));
        fleet.act();
        fleet.store();
        fleet.act();
    }
}

fn main() {
    println!("| workers | starts/s | decisions, us a start | share of a core |");
    println!("|---|---|---|---|");
    for count in WORKERS {
        let mut fleet = Fleet::new(count);
        fleet.spent = Duration::ZERO;
        run(&mut fleet);
        let per_start = fleet.spent.as_secs_f64() * 1e6 / fleet.starts.max(1) as f64;
        println!(
            "| {count} | {:.0} | {per_start:.1} | {:.3} |",
            fleet.starts as f64 / DURATION.as_secs_f64(),
            fleet.spent.div_duration_f64(DURATION)
        );
    }
}

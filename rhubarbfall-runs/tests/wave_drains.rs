//! VMs with long-running tasks are drained early for a wave. Each of many submissions lets a task go at
//! once: all their VMs were drained together and then stood idle, since only few may be away at a time.

mod model;

use std::time::Duration;

use model::{Model, STEP, step, submission};
use rhubarbfall_core::VmId;
use rhubarbfall_runs::Step;
use rhubarbfall_runs::scheduler::{Wave, WaveState};

const VMS: usize = 30;
const MAX_DOWN: usize = 4;
const WAVE_TIME: Duration = Duration::from_secs(40);
const UNBOUNDED: Duration = Duration::from_secs(100_000);

/// Returns the VMs whose long-running task has left them and that are not away.
fn idle_after_drain(model: &Model) -> usize {
    let is_first_life = |name: &str| name.ends_with("-0");
    let idle = model.workers.iter().filter(|worker| {
        worker.vm < VMS && worker.runs.is_empty() && is_first_life(worker.report.id.as_str())
    });
    idle.count()
}

#[test]
fn vms_with_long_running_tasks_are_drained_when_their_place_is_near() {
    let mut model = Model::new(&[("labels", VMS), ("spare", VMS)], 1);
    for number in 0..VMS as u64 {
        let lasting = Step {
            is_long_running: true,
            max_unavailable: 1,
            ..step(1, 60_000)
        };
        model.submit(submission(number, "labels", lasting), UNBOUNDED);
    }
    model.run_for(Duration::from_secs(3));
    assert_eq!(idle_after_drain(&model), 0);
    let vms: Vec<VmId> = model.vm_names().into_iter().take(VMS).collect();
    let wave = Wave {
        id: "1".parse().expect("valid wave name"),
        vms,
        duration: WAVE_TIME,
        max_down: MAX_DOWN,
        version: rhubarbfall_core::RowVersion::new(1),
    };
    let began_at = model.now;
    model.scheduler.wave_requested(wave, None, model.now, 0);
    let (mut most_idle, mut completed_after) = (0, None);
    while model.now.since(began_at) < WAVE_TIME * 2 && completed_after.is_none() {
        model.run_for(STEP);
        most_idle = most_idle.max(idle_after_drain(&model));
        let states = model.scheduler.unreported_waves();
        if states
            .iter()
            .any(|(_, state)| *state == WaveState::Completed)
        {
            completed_after = Some(model.now.since(began_at));
        }
    }
    println!("at most {most_idle} VMs idle after their drain, completed after {completed_after:?}");
    assert_eq!(model.violations, Vec::<String>::new());
    assert!(most_idle <= 2 * MAX_DOWN, "{most_idle} VMs idle");
    let completed_after = completed_after.expect("a completed wave");
    assert!(completed_after <= WAVE_TIME, "{completed_after:?}");
}

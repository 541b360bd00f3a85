//! A wave over half of the VMs beside a surge. The wave took its idle VMs at once, as many as its limit
//! allows, and the queue whose turn began one second later lacked them: submissions were late that are
//! in time without the wave.

mod model;

use std::time::Duration;

use model::{Model, STEP, step, submission};
use rhubarbfall_core::RowVersion;
use rhubarbfall_core::SubmissionId;
use rhubarbfall_runs::scheduler::{Wave, WaveState};
use rhubarbfall_runs::{JobState, Submission};

const TASK_TIME: Duration = Duration::from_secs(1);
const VMS: usize = 100;

/// The tasks of a submission, which fill a VM together.
const TASKS: u32 = 8;

/// When the surge begins, is at its peak and ends.
const SURGE_BEGINS: Duration = Duration::from_secs(1);
const SURGE_PEAK: Duration = Duration::from_secs(3);
const SURGE_ENDS: Duration = Duration::from_secs(11);

/// The submissions a second before the surge and at its peak.
const QUIET_PER_S: f64 = 10.0;
const PEAK_PER_S: f64 = 90.0;

fn objective(submission: &Submission) -> Duration {
    submission.critical_path().mul_f64(1.6) + Duration::from_millis(600)
}

fn submissions_per_s(elapsed: Duration) -> f64 {
    if elapsed < SURGE_BEGINS || elapsed >= SURGE_ENDS {
        return QUIET_PER_S;
    }
    let since = elapsed.saturating_sub(SURGE_BEGINS);
    let rise = since.div_duration_f64(SURGE_PEAK.saturating_sub(SURGE_BEGINS));
    QUIET_PER_S + (PEAK_PER_S - QUIET_PER_S) * rise.min(1.0)
}

#[derive(Debug, Default)]
struct Outcome {
    late: Vec<SubmissionId>,
    completed_after: Option<Duration>,
    /// The most VMs under maintenance at a time, in all and during the surge.
    max_down: usize,
    max_down_in_surge: usize,
}

fn wave(max_down: usize, duration: Duration) -> Wave {
    // Every other VM, of all pools.
    let vms = (0..VMS).step_by(2).map(|vm| format!("vm-{vm}"));
    Wave {
        id: "1".parse().expect("valid wave name"),
        vms: vms.map(|vm| vm.parse().expect("valid VM name")).collect(),
        duration,
        max_down,
        version: RowVersion::new(1),
    }
}

fn replay(seed: u64, wave: Option<Wave>, wave_at: Duration) -> Outcome {
    let pools = [("labels", 20), ("permits", 10), ("spare", VMS - 30)];
    let mut model = Model::new(&pools, seed);
    let mut outcome = Outcome::default();
    let (mut sent, mut due) = (0_u32, 0.0);
    let lead = Duration::from_secs(2);
    let began_at = model.now + lead;
    let mut waiting = wave;
    while model.now < began_at + Duration::from_secs(35) {
        let elapsed = model.now.since(began_at);
        if model.now >= began_at + wave_at
            && let Some(wave) = waiting.take()
        {
            model.scheduler.wave_requested(wave, None, model.now, 0);
        }
        due += submissions_per_s(elapsed) * STEP.as_secs_f64();
        while f64::from(sent) < due {
            sent += 1;
            let duration = model.sample_duration(TASK_TIME, 0.2);
            model.submit(
                submission(u64::from(sent), "labels", step(TASKS, 8_000)),
                duration,
            );
        }
        model.step();
        let down = model.vms_in_maintenance();
        outcome.max_down = outcome.max_down.max(down);
        if (SURGE_BEGINS..SURGE_ENDS).contains(&elapsed) {
            outcome.max_down_in_surge = outcome.max_down_in_surge.max(down);
        }
        let is_completed = |(_, state): &(_, WaveState)| *state == WaveState::Completed;
        if outcome.completed_after.is_none()
            && model.scheduler.unreported_waves().iter().any(is_completed)
        {
            outcome.completed_after = Some(elapsed.saturating_sub(wave_at));
        }
    }
    model.run_for(Duration::from_secs(5));
    assert_eq!(model.violations, Vec::<String>::new());
    let is_in_time = |job: &&rhubarbfall_runs::Job| {
        let took = job.ended_at.map(|ended_at| ended_at.since(job.accepted_at));
        job.state == JobState::Completed
            && took.is_some_and(|took| took <= objective(&job.submission))
    };
    let late = model.scheduler.jobs().filter(|job| !is_in_time(job));
    outcome.late = late.map(|job| job.submission.id.clone()).collect();
    outcome
}

/// The wave is requested before the surge, while it rises, and at its peak.
#[test]
fn wave_makes_no_submission_late() {
    for seed in 0..3 {
        let without = replay(seed, None, Duration::ZERO);
        for wave_at in [0, 2, 4].map(Duration::from_secs) {
            let with = replay(seed, Some(wave(40, Duration::from_secs(25))), wave_at);
            println!(
                "seed {seed} at {wave_at:?}: late {} without, {} with; \
                 at most {} VMs down, {} in the surge; completed after {:?}",
                without.late.len(),
                with.late.len(),
                with.max_down,
                with.max_down_in_surge,
                with.completed_after
            );
            let is_made_late = |id: &&SubmissionId| !without.late.contains(id);
            let made_late: Vec<&SubmissionId> = with.late.iter().filter(is_made_late).collect();
            assert_eq!(made_late, Vec::<&SubmissionId>::new());
            let completed_after = with.completed_after.expect("a completed wave");
            assert!(
                completed_after <= Duration::from_secs(25),
                "{completed_after:?}"
            );
        }
    }
}

/// Waves of one VM at a time, and of VMs rack after rack, are in time beside the surge as well.
#[test]
fn small_limits_are_in_time_beside_a_surge() {
    for (vms, max_down, seconds) in [(6, 1, 25), (20, 4, 25), (2, 1, 10)] {
        let mut wave = wave(max_down, Duration::from_secs(seconds));
        wave.vms.truncate(vms);
        let duration = wave.duration;
        let outcome = replay(0, Some(wave), Duration::ZERO);
        println!(
            "{vms} VMs, {max_down} at a time: {:?}",
            outcome.completed_after
        );
        assert!(outcome.max_down <= max_down, "{} down", outcome.max_down);
        let completed_after = outcome.completed_after.expect("a completed wave");
        assert!(completed_after <= duration, "{completed_after:?}");
    }
}

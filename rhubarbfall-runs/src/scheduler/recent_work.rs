use std::collections::VecDeque;
use std::time::Duration;

use rhubarbfall_core::{BootTime, ServiceId};

use crate::{Resources, Submission};

/// The window over which arrivals are counted: several submissions of a surging queue, and a
/// fraction of the duration of a move.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(600);

/// How far ahead arrivals are forecast: a move takes 1.5 s, and afterwards the new worker must be
/// listed and answer once.
const FORECAST_HORIZON: Duration = Duration::from_millis(1_700);

/// The minimum number of submissions in a window for a trend.
const MIN_TREND_ARRIVALS: usize = 4;

/// The maximum ratio of the forecast rate to the current rate, because a rise does not continue for
/// ever.
const MAX_GROWTH_FACTOR: f64 = 3.0;

/// Recently submitted work by service. Rising arrivals show what a surge will need before its tasks
/// wait for workers.
#[derive(Debug, Default)]
pub(super) struct RecentWork {
    arrivals: VecDeque<Arrival>,
}

#[derive(Debug)]
struct Arrival {
    at: BootTime,
    service: ServiceId,
    /// The resources that the tasks reserve, multiplied by their estimated duration in
    /// milliseconds.
    work: Resources,
}

/// The total of the arrivals in one window.
#[derive(Debug, Default)]
struct ArrivalWindow {
    count: usize,
    work: Resources,
}

impl RecentWork {
    /// Adds the work of a submission.
    pub(super) fn add(&mut self, service: &ServiceId, submission: &Submission, now: BootTime) {
        let mut work = Resources::default();
        for step in submission.steps.iter().filter(|step| !step.is_long_running) {
            let task_ms = step.estimate.as_millis() as u64;
            work += step.reserved().times(u64::from(step.tasks)).times(task_ms);
        }
        self.arrivals.push_back(Arrival {
            at: now,
            service: service.clone(),
            work,
        });
        let is_over = |arrival: &Arrival| now.since(arrival.at) > ARRIVAL_WINDOW * 2;
        while self.arrivals.front().is_some_and(is_over) {
            self.arrivals.pop_front();
        }
    }

    /// Returns the resources that a service needs to keep up with its arrivals, forecast for the
    /// time at which a VM that moves now has joined the pool.
    pub(super) fn forecast(&self, service: &ServiceId, now: BootTime) -> Resources {
        let (mut last, mut before) = (ArrivalWindow::default(), ArrivalWindow::default());
        for arrival in self.arrivals.iter().filter(|one| one.service == *service) {
            let age = now.since(arrival.at);
            let window = if age <= ARRIVAL_WINDOW {
                &mut last
            } else if age <= ARRIVAL_WINDOW * 2 {
                &mut before
            } else {
                continue;
            };
            window.count += 1;
            window.work += arrival.work;
        }
        let growth = if last.count < MIN_TREND_ARRIVALS {
            1.0
        } else {
            // A rise within the noise of the two counts is ignored.
            let (recent, earlier) = (last.count as f64, before.count as f64);
            let rise = (recent - earlier - (recent + earlier).sqrt()).max(0.0) / recent;
            // The rate of a window is that at its middle.
            let windows_ahead =
                (FORECAST_HORIZON + ARRIVAL_WINDOW / 2).div_duration_f64(ARRIVAL_WINDOW);
            (1.0 + rise * windows_ahead).clamp(1.0, MAX_GROWTH_FACTOR)
        };
        let per_ms = growth / ARRIVAL_WINDOW.as_millis() as f64;
        Resources {
            cpu_millis: (last.work.cpu_millis as f64 * per_ms) as u64,
            memory_mb: (last.work.memory_mb as f64 * per_ms) as u64,
            gpus: (last.work.gpus as f64 * per_ms) as u64,
        }
    }
}

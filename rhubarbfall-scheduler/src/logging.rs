//! Non-blocking structured log on standard output.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::{LevelFilter, SetLoggerError};
use rhubarbfall_core::SharedClock;

use crate::processor_time::{self, Activity};

/// Capacity of the queue to the writer thread: about one second of a busy owner's peak output.
/// Further lines are dropped.
const QUEUE_LINES: usize = 8_192;

/// Limit of lines written per second, which bounds the processor time spent on bursts of log lines.
const MAX_LINES_PER_S: u32 = 6_000;

/// Time for which the writer collects lines before it writes them. Each wake-up of the writer costs
/// as much as a network call.
pub(crate) const FLUSH_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    lines: u32,
}

/// Starts the log. Each line holds the time, the level and one event as `key=value` pairs.
pub(crate) fn start(level: LevelFilter, clock: SharedClock) -> Result<(), SetLoggerError> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let dropped_count = Arc::clone(&dropped);
    let writer_clock = Arc::clone(&clock);
    std::thread::spawn(move || write_lines(&receiver, &dropped_count, &writer_clock));
    let started = Instant::now();
    let budget = Mutex::new(LineBudget::default());
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rhubarbfall_scheduler", level)
        .level_for("rhubarbfall_runs", level)
        .level_for("rhubarbfall_site", level)
        .format(move |out, message, record| {
            let time_ms = clock.boot_time().as_millis();
            out.finish(format_args!(
                "t_ms={time_ms} level={} {message}",
                record.level()
            ));
        })
        .chain(fern::Output::call(move |record| {
            let is_within = is_within_budget(&budget, started.elapsed());
            if !is_within || !send(&sender, record.args().to_string()) {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }))
        .apply()
}

fn is_within_budget(budget: &Mutex<LineBudget>, elapsed: Duration) -> bool {
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    if budget.second != elapsed.as_secs() {
        *budget = LineBudget {
            second: elapsed.as_secs(),
            lines: 0,
        };
    }
    budget.lines += 1;
    budget.lines <= MAX_LINES_PER_S
}

fn send(sender: &SyncSender<String>, line: String) -> bool {
    !matches!(
        sender.try_send(line),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_))
    )
}

/// Writes lines until the process ends. If standard output is closed, only the writer ends.
fn write_lines(lines: &Receiver<String>, dropped: &AtomicU64, clock: &SharedClock) {
    let stdout = std::io::stdout();
    while let Ok(first) = lines.recv() {
        std::thread::sleep(FLUSH_INTERVAL);
        let began_at = clock.now();
        let mut text = first;
        text.push('\n');
        while let Ok(next) = lines.try_recv() {
            text.push_str(&next);
            text.push('\n');
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "level=WARN event=log_lines_dropped count={lost}");
        }
        let mut stdout = stdout.lock();
        if stdout
            .write_all(text.as_bytes())
            .and_then(|()| stdout.flush())
            .is_err()
        {
            return;
        }
        processor_time::add(
            Activity::Logs,
            clock.now().saturating_duration_since(began_at),
        );
    }
}

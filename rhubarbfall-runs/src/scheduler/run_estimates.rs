//! How long runs last: learned from ended runs by queue and customer, against what was announced.
//!
//! The load: announced estimates are off by 20 to 90%, and a few runs take several times the mean.
//! Which VM empties when, and which run ends before another starts, depends on these runs. The
//! forecast is therefore conditional on how long a run has lasted already.

use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{BootTime, CustomerId, QueueId};

/// The number of buckets in which values double.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// The binary logarithm of the lowest value that a histogram tells apart.
const MIN_LOG2: f64 = -6.0;

/// The number of buckets, up to the binary logarithm 14.
const BUCKETS: usize = 80;

/// The number of values at which the counts of a histogram are halved, so that recent ones weigh
/// most.
const MAX_VALUES: u32 = 256;

/// The number of runs from which on a histogram is used.
const MIN_VALUES: u32 = 8;

/// The maximum number of queues, and of customers for each of them, whose runs are remembered.
const MAX_REMEMBERED: usize = 64;

/// The share of runs that end within the likely time.
const LIKELY_SHARE: f64 = 0.5;

/// The share of runs that end within the late time.
const LATE_SHARE: f64 = 0.9;

/// The shares of a customer's announced estimates between which one counts. What a larger share of
/// the runs is announced with shows in their ratios, up to [`LATE_SHARE`].
const CREDIBLE_SHARES: (f64, f64) = (0.15, 0.99);

/// The shortest forecast.
const MIN_FORECAST: Duration = Duration::from_millis(20);

/// How much longer a run is expected to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forecast {
    /// The time within which half of such runs end.
    pub likely: Duration,
    /// The time within which nine of ten such runs end.
    pub late: Duration,
}

/// The kind of a run, by which its duration is learned.
#[derive(Debug, Clone, Copy)]
pub struct RunKind<'a> {
    /// The queue to which the run's submission was sent.
    pub queue: &'a QueueId,
    /// The customer, or `None` on a public queue.
    pub customer: Option<&'a CustomerId>,
    /// The duration that the caller announced.
    pub announced: Duration,
}

/// The durations of ended runs, by queue and customer, in bounded memory.
#[derive(Debug, Clone, Default)]
pub struct RunEstimates {
    queues: LiteMap<QueueId, QueueRuns>,
}

#[derive(Debug, Clone, Default)]
struct QueueRuns {
    all: Observed,
    customers: LiteMap<CustomerId, Observed>,
}

/// Announced estimates, and the ratios of durations to them.
#[derive(Debug, Clone, Default)]
struct Observed {
    ratios: Histogram,
    announced_s: Histogram,
    recorded_at: BootTime,
}

/// Counts of positive values in buckets of equal ratio.
#[derive(Debug, Clone)]
struct Histogram {
    counts: [u16; BUCKETS],
    total: u32,
}

impl RunEstimates {
    /// Records that a run of this kind was done after `lasted`.
    pub fn record(&mut self, kind: RunKind<'_>, lasted: Duration, now: BootTime) {
        if !self.queues.contains_key(kind.queue) {
            evict_oldest(&mut self.queues, |runs| runs.all.recorded_at);
        }
        let queue = self.queues.entry(kind.queue.clone()).or_default();
        queue.all.record(kind.announced, lasted, now);
        if let Some(id) = kind.customer {
            if !queue.customers.contains_key(id) {
                evict_oldest(&mut queue.customers, |observed| observed.recorded_at);
            }
            let customer = queue.customers.entry(id.clone()).or_default();
            customer.record(kind.announced, lasted, now);
        }
    }

    /// Returns how much longer a run of this kind is expected to last that has lasted for `elapsed`.
    #[must_use]
    pub fn forecast(&self, kind: RunKind<'_>, elapsed: Duration) -> Forecast {
        let queue = self.queues.get(kind.queue);
        let customer = queue.and_then(|queue| queue.customers.get(kind.customer?));
        let known = [customer, queue.map(|queue| &queue.all)];
        let mut known = known.into_iter().flatten();
        known
            .find(|observed| observed.ratios.total >= MIN_VALUES)
            .map_or_else(
                || announced_forecast(kind.announced, elapsed),
                |observed| observed.forecast(kind.announced, elapsed),
            )
    }

    /// Returns the number of histograms that are kept.
    #[must_use]
    pub fn kinds(&self) -> usize {
        let queues = self.queues.iter();
        queues.map(|(_, queue)| 1 + queue.customers.len()).sum()
    }
}

/// Makes room for one more entry by removing the one that was recorded first.
fn evict_oldest<K: Ord + Clone, V>(
    entries: &mut LiteMap<K, V>,
    recorded_at: impl Fn(&V) -> BootTime,
) {
    if entries.len() < MAX_REMEMBERED {
        return;
    }
    let oldest = entries.iter().min_by_key(|(_, entry)| recorded_at(entry));
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}

/// Returns the forecast for a run of whose kind nothing is known.
fn announced_forecast(announced: Duration, elapsed: Duration) -> Forecast {
    beyond(
        Forecast {
            likely: announced.saturating_sub(elapsed),
            late: announced.saturating_mul(2).saturating_sub(elapsed),
        },
        announced,
        elapsed,
    )
}

/// Bounds a forecast from below: a run that outlasts what was expected of it is taken to last half as
/// long again, and late as long again.
fn beyond(forecast: Forecast, expected: Duration, elapsed: Duration) -> Forecast {
    let (likely, late) = if elapsed >= expected {
        (elapsed / 2, elapsed)
    } else {
        (Duration::ZERO, Duration::ZERO)
    };
    let likely = forecast.likely.max(likely).max(MIN_FORECAST);
    Forecast {
        likely,
        late: forecast.late.max(late).max(likely),
    }
}

impl Observed {
    fn record(&mut self, announced: Duration, lasted: Duration, now: BootTime) {
        let announced_s = self.credible_s(announced);
        self.ratios.add(lasted.as_secs_f64() / announced_s);
        self.announced_s.add(announced.as_secs_f64());
        self.recorded_at = now;
    }

    /// Returns an announced estimate, in seconds, within what is usually announced.
    fn credible_s(&self, announced: Duration) -> f64 {
        let announced_s = announced.max(MIN_FORECAST).as_secs_f64();
        if self.announced_s.total < MIN_VALUES {
            return announced_s;
        }
        let (low, high) = CREDIBLE_SHARES;
        let low_s = self.announced_s.quantile_above(0.0, low);
        let high_s = self.announced_s.quantile_above(0.0, high);
        match (low_s, high_s) {
            (Some(low_s), Some(high_s)) => {
                // A value counts as the upper end of its bucket.
                let low_s = low_s / (1.0 / BUCKETS_PER_OCTAVE).exp2();
                announced_s.clamp(low_s, high_s.max(low_s))
            }
            _ => announced_s,
        }
    }

    fn forecast(&self, announced: Duration, elapsed: Duration) -> Forecast {
        let announced_s = self.credible_s(announced);
        let elapsed_s = elapsed.as_secs_f64();
        let remaining = |share| {
            let ratio = self.ratios.quantile_above(elapsed_s / announced_s, share)?;
            let total = Duration::try_from_secs_f64(ratio * announced_s).ok()?;
            Some(total.saturating_sub(elapsed))
        };
        match (remaining(LIKELY_SHARE), remaining(LATE_SHARE)) {
            (Some(likely), Some(late)) => beyond(Forecast { likely, late }, Duration::MAX, elapsed),
            _ => beyond(
                Forecast {
                    likely: Duration::ZERO,
                    late: Duration::ZERO,
                },
                Duration::ZERO,
                elapsed,
            ),
        }
    }
}

impl Default for Histogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl Histogram {
    fn add(&mut self, value: f64) {
        self.counts[bucket(value)] += 1;
        self.total += 1;
        if self.total >= MAX_VALUES {
            self.total = 0;
            for count in &mut self.counts {
                *count /= 2;
                self.total += u32::from(*count);
            }
        }
    }

    /// Returns the value below which this share of the values above `floor` lies, or `None` if none
    /// is above. A value counts as the upper end of its bucket.
    fn quantile_above(&self, floor: f64, share: f64) -> Option<f64> {
        let first = (0..BUCKETS).find(|index| upper_end(*index) > floor)?;
        let above: u32 = self.counts[first..]
            .iter()
            .map(|count| u32::from(*count))
            .sum();
        if above == 0 {
            return None;
        }
        let wanted = f64::from(above) * share;
        let mut seen = 0_u32;
        let index = (first..BUCKETS).find(|index| {
            seen += u32::from(self.counts[*index]);
            seen > 0 && f64::from(seen) >= wanted
        });
        index.map(upper_end)
    }
}

/// Returns the bucket of a value; values beyond the range are in the outermost ones.
fn bucket(value: f64) -> usize {
    let position = (value.max(f64::MIN_POSITIVE).log2() - MIN_LOG2) * BUCKETS_PER_OCTAVE;
    (position.max(0.0) as usize).min(BUCKETS - 1)
}

/// Returns the upper end of a bucket.
fn upper_end(index: usize) -> f64 {
    ((index + 1) as f64 / BUCKETS_PER_OCTAVE + MIN_LOG2).exp2()
}

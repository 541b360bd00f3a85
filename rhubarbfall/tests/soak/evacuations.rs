//! Availability zones that are evacuated and taken back while faults go on, and the check that nothing
//! starts there once a request is in force.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep_until};

use crate::stand_in::{Span, StandInSite};

/// The time after which a request is in force, in milliseconds; the entries' setting.
pub(crate) const EVACUATION_BOUND_MS: u64 = 5_000;

/// The mean time between two requests for the same zone.
const MEAN_PAUSE: Duration = Duration::from_millis(2_500);

/// The number of zones among which the workers are spread.
pub(crate) const ZONES: usize = 3;

/// A request that begins at `at`, measured from the start of the injection. Requests for a zone do not
/// overlap; those for several zones do.
#[derive(Debug, Clone)]
pub(crate) struct Evacuation {
    at: Duration,
    length: Duration,
    zone: usize,
}

/// A request that was stored, on the stand-in's clock.
#[derive(Debug, Clone, Copy)]
struct InForce {
    zone: usize,
    from_ms: u64,
    to_ms: Option<u64>,
}

/// The requests of one seed.
#[derive(Debug, Default)]
pub(crate) struct EvacuationLog {
    requests: Mutex<Vec<InForce>>,
}

/// Generates the requests of a seed, ordered by start. Some are withdrawn within a second, and all by
/// the end.
pub(crate) fn schedule(rng: &mut ChaCha8Rng, duration: Duration) -> Vec<Evacuation> {
    let mut evacuations = Vec::new();
    for zone in 0..ZONES {
        let mut at = Duration::from_millis(rng.random_range(1_000..4_000));
        while at < duration {
            let longest_ms = if rng.random_bool(0.3) { 1_000 } else { 9_000 };
            let length = Duration::from_millis(rng.random_range(100..longest_ms));
            let length = length.min(duration.saturating_sub(at));
            evacuations.push(Evacuation { at, length, zone });
            at += length + MEAN_PAUSE.mul_f64(rng.random_range(0.1..2.0));
        }
    }
    evacuations.sort_by_key(|evacuation| evacuation.at);
    evacuations
}

/// Writes and removes the requests at their times, until the last has been withdrawn.
pub(crate) async fn play(evacuations: &[Evacuation], site: &StandInSite, log: &EvacuationLog) {
    let started_at = Instant::now();
    let changes = evacuations.iter().flat_map(|evacuation| {
        let end = evacuation.at + evacuation.length;
        [
            (evacuation.at, evacuation.zone, true),
            (end, evacuation.zone, false),
        ]
    });
    let mut changes: Vec<(Duration, usize, bool)> = changes.collect();
    changes.sort_unstable();
    for (at, zone, is_requested) in changes {
        sleep_until(started_at + at).await;
        log.record(zone, is_requested, site);
    }
}

impl EvacuationLog {
    /// Writes or removes a request and records when. A start at the time of a removal counts as after
    /// it.
    fn record(&self, zone: usize, is_requested: bool, site: &StandInSite) {
        let now_ms = || site.clock_ms_at(std::time::Instant::now());
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        if is_requested {
            site.set_evacuated(zone, true);
            let (from_ms, to_ms) = (now_ms(), None);
            requests.push(InForce {
                zone,
                from_ms,
                to_ms,
            });
        } else {
            let last = requests
                .iter_mut()
                .rev()
                .find(|request| request.zone == zone);
            if let Some(request) = last {
                request.to_ms = Some(now_ms());
            }
            site.set_evacuated(zone, false);
        }
    }

    /// Returns whether a request that had been stored for longer than the bound was in force when a
    /// run began. Nothing excuses such a start but that the worker carried the order out late.
    pub(crate) fn forbids(&self, span: &Span) -> bool {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        !span.is_late
            && requests.iter().any(|request| {
                request.zone == span.worker % ZONES
                    && span.from_ms > request.from_ms + EVACUATION_BOUND_MS
                    && request.to_ms.is_none_or(|to_ms| span.from_ms < to_ms)
            })
    }
}

//! Workers that crash and start again under their identifiers, in series, and are cut off soon after:
//! calls that were meant for an earlier incarnation, beside the loss of owners.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rhubarbfall_testing::{Relay, RelayMode};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::fleet::Fleet;

/// The mean time between the starts of two series; several overlap.
const MEAN_SERIES_INTERVAL: Duration = Duration::from_millis(600);

/// Crashes of one worker that start at `at`, measured from the start of the injection.
#[derive(Debug, Clone)]
pub(crate) struct RestartSeries {
    at: Duration,
    worker: usize,
    crashes: Vec<Crash>,
    /// Whether calls that come while the worker is away wait and reach the next incarnation.
    is_silent: bool,
    /// For how long the worker is cut off after the last restart.
    cut: Option<Duration>,
    /// How long after its last start the worker writes its entry.
    entry_lag: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    /// How long the worker is away.
    away: Duration,
    /// How long it runs until the next crash or the cut.
    up: Duration,
}

/// Generates the series of a seed, ordered by start.
pub(crate) fn schedule(
    rng: &mut ChaCha8Rng,
    duration: Duration,
    workers: usize,
) -> Vec<RestartSeries> {
    let mut series = Vec::new();
    let mut at = Duration::from_secs(2);
    while at < duration {
        let mut millis = |range| Duration::from_millis(rng.random_range(range));
        let mut crash = || Crash {
            away: if millis(0..2) == Duration::ZERO {
                millis(50..600)
            } else {
                millis(50..3_000)
            },
            up: millis(20..2_500),
        };
        let crashes = [crash(), crash(), crash()];
        let (cut, entry_lag) = (millis(500..5_000), millis(0..1_500));
        let count = rng.random_range(1..=crashes.len());
        series.push(RestartSeries {
            at,
            worker: rng.random_range(0..workers),
            crashes: crashes[..count].to_vec(),
            is_silent: rng.random_bool(0.5),
            cut: rng.random_bool(0.6).then_some(cut),
            entry_lag,
        });
        at += MEAN_SERIES_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
    series
}

/// Carries out the series at their times, until the last has ended.
pub(crate) async fn play(series: &[RestartSeries], fleet: &Arc<Fleet>, relays: &[Relay]) {
    let started_at = Instant::now();
    let mut running = JoinSet::new();
    for series in series {
        sleep_until(started_at + series.at).await;
        let (series, fleet) = (series.clone(), Arc::clone(fleet));
        let relay = relays[series.worker].clone();
        running.spawn(async move { carry_out(&series, &fleet, &relay).await });
    }
    while running.join_next().await.is_some() {}
}

async fn carry_out(series: &RestartSeries, fleet: &Fleet, relay: &Relay) {
    if !fleet.begin_restarts(series.worker, series.length()) {
        return;
    }
    let site = fleet.site();
    for crash in &series.crashes {
        if series.is_silent {
            site.exit_worker_silently(series.worker);
        } else {
            site.exit_worker(series.worker);
        }
        sleep(crash.away).await;
        site.restart_worker(series.worker);
        sleep(crash.up).await;
    }
    if let Some(cut) = series.cut {
        relay.set_mode(RelayMode::Cut);
        sleep(cut).await;
        relay.set_mode(RelayMode::Pass);
    }
    sleep(series.entry_lag).await;
    site.list_worker(series.worker);
    fleet.end_restarts(series.worker);
}

impl RestartSeries {
    fn length(&self) -> Duration {
        let crashes = self.crashes.iter().map(|crash| crash.away + crash.up);
        crashes.sum::<Duration>() + self.cut.unwrap_or_default() + self.entry_lag
    }
}

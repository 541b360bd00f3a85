//! Counters and latency histograms.

use std::time::Duration;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use rhubarbfall_core::{AvailabilityZoneId, CellId};
use rhubarbfall_runs::scheduler::{ClearedJob, Held};

/// Upper bounds of the latency histograms, in seconds: from a call within one zone to the longest
/// time limit of a caller.
const LATENCY_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Installs the global metrics recorder. Returns `None` if that fails.
pub(crate) fn install() -> Option<PrometheusHandle> {
    PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &LATENCY_BUCKETS_S)
        .and_then(PrometheusBuilder::install_recorder)
        .inspect_err(|error| log::error!("event=metrics_unavailable error={error}"))
        .ok()
}

/// Counts a response to a caller and records its latency.
pub(crate) fn count_answer(call: &'static str, status: u16, took: Duration) {
    metrics::counter!("caller_answers_total", "call" => call, "status" => status.to_string())
        .increment(1);
    metrics::histogram!("caller_answer_seconds", "call" => call).record(took.as_secs_f64());
}

/// Counts a call to the store and records its latency.
pub(crate) fn count_store_call(call: &'static str, result: &'static str, took: Duration) {
    metrics::counter!("store_calls_total", "call" => call, "result" => result).increment(1);
    metrics::histogram!("store_call_seconds", "call" => call).record(took.as_secs_f64());
}

/// Records the time from the end of a job to the end of its last run.
pub(crate) fn record_cleared_job(job: &ClearedJob) {
    let state = job.state.to_string();
    metrics::histogram!("job_clearing_seconds", "state" => state).record(job.took.as_secs_f64());
}

/// Sets how many tasks of a cell an evacuated availability zone still runs.
pub(crate) fn set_zone_runs(cell: CellId, zone: &AvailabilityZoneId, runs: usize) {
    metrics::gauge!(
        "evacuated_zone_runs", "cell" => cell.to_string(), "zone" => zone.to_string()
    )
    .set(runs as f64);
}

/// Sets what the owner of a cell holds for submissions.
pub(crate) fn set_held(cell: CellId, held: Held) {
    metrics::gauge!("held_bytes", "cell" => cell.to_string()).set(held.bytes as f64);
    metrics::gauge!("held_steps", "cell" => cell.to_string()).set(held.steps as f64);
}

/// Counts an order to a worker as confirmed or unconfirmed.
pub(crate) fn count_worker_order(call: &'static str, is_confirmed: bool) {
    let result = if is_confirmed {
        "confirmed"
    } else {
        "unconfirmed"
    };
    count_worker_call(call, result);
}

/// Counts a call to a worker by its result.
pub(crate) fn count_worker_call(call: &'static str, result: &'static str) {
    metrics::counter!("worker_calls_total", "call" => call, "result" => result).increment(1);
}

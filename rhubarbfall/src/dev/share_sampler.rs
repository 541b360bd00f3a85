use std::time::{Duration, Instant};

use rhubarbfall_admission::{WeightedDemand, fair_shares};
use rhubarbfall_testing::upstream::{UpstreamLog, UpstreamReport};
use serde::Serialize;

use super::example::Example;
use super::outcomes::Outcomes;

/// The interval between samples of running and outstanding requests.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The demand, as a multiple of a service's slots, from which the service counts as saturated.
const SATURATION_FACTOR: f64 = 1.05;

/// A team's running slots against its fair share, averaged over the samples of saturated services.
#[derive(Debug, Clone, Serialize)]
pub(super) struct ShareReport {
    pub(super) team: &'static str,
    pub(super) mean_running_slots: f64,
    pub(super) mean_fair_slots: f64,
    pub(super) ratio: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ShareSum {
    running_slots: f64,
    fair_slots: f64,
    samples: u32,
}

/// Samples running slots and fair shares until `end` and returns the means of each team.
pub(super) async fn run(
    example: Example,
    upstream_log: UpstreamLog,
    outcomes: Outcomes,
    end: Instant,
) -> Vec<ShareReport> {
    let mut sums = vec![ShareSum::default(); example.teams.len()];
    while Instant::now() < end {
        tokio::time::sleep(SAMPLE_INTERVAL).await;
        let report = upstream_log.report();
        for service in example.services {
            sample(&example, &report, &outcomes, service, &mut sums);
        }
    }
    let reports = example.teams.iter().zip(&sums).map(|(team, sum)| {
        let samples = f64::from(sum.samples.max(1));
        ShareReport {
            team: team.name,
            mean_running_slots: sum.running_slots / samples,
            mean_fair_slots: sum.fair_slots / samples,
            ratio: sum.running_slots / sum.fair_slots.max(f64::MIN_POSITIVE),
        }
    });
    reports
        .filter(|report| report.mean_fair_slots > 0.0)
        .collect()
}

fn sample(
    example: &Example,
    report: &UpstreamReport,
    outcomes: &Outcomes,
    service: &str,
    sums: &mut [ShareSum],
) {
    let capacity_slots = f64::from(example.slots_per_service());
    let demands: Vec<WeightedDemand> = example
        .teams
        .iter()
        .map(|team| {
            let demand = outcomes.outstanding(service, team.name);
            WeightedDemand {
                weight: f64::from(team.share_weight),
                demand_slots: f64::from(demand.min(team.upper_limit_slots)),
            }
        })
        .collect();
    let demand_slots: f64 = demands.iter().map(|demand| demand.demand_slots).sum();
    if demand_slots < capacity_slots * SATURATION_FACTOR {
        return;
    }
    let shares = fair_shares(capacity_slots, &demands);
    let running = report.running_by_queue.get(service);
    for ((team, sum), fair_slots) in example.teams.iter().zip(sums).zip(shares) {
        let running = running.and_then(|teams| teams.get(team.name));
        sum.running_slots += f64::from(running.copied().unwrap_or(0));
        sum.fair_slots += fair_slots;
        sum.samples += 1;
    }
}

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rhubarbfall_testing::rig::{Caller, TestRequest};

use super::balancer::Balancer;
use super::example::{Example, team_key};
use super::outcomes::Outcomes;

/// A queue's mean demand, as a fraction of its service's capacity.
const MEAN_DEMAND_FRACTION: f64 = 0.25;

/// A queue's demand during its peak period, as a multiple of its mean demand.
const PEAK_FACTOR: f64 = 5.0;

/// A queue's demand outside its peak period, as a fraction of its mean demand.
const OFF_PEAK_FACTOR: f64 = 0.05;

/// The number of outstanding requests of a service from which no more are sent.
const MAX_OUTSTANDING_REQUESTS: u32 = 1_500;

/// The fraction of requests that are idempotent.
const IDEMPOTENT_FRACTION: f64 = 0.3;

/// The fraction of non-idempotent requests of which the balancer sends two copies.
const DUPLICATED_FRACTION: f64 = 0.02;

const DEADLINE_MS: &str = "15000";

/// What the load generators of all services share.
#[derive(Debug, Clone)]
pub(super) struct LoadContext {
    pub(super) example: Example,
    pub(super) caller: Caller,
    pub(super) balancer: Balancer,
    pub(super) outcomes: Outcomes,
}

/// Sends requests to one service until `end`; each service has one peak period, in turn.
pub(super) async fn run(context: LoadContext, service_index: usize, start: Instant, end: Instant) {
    let mut random = ChaCha8Rng::seed_from_u64(service_index as u64);
    let example = context.example;
    let services = example.services.len();
    let peak_period = end.duration_since(start) / services as u32;
    let slots = f64::from(example.slots_per_service());
    let capacity_per_second = slots / example.work_time.as_secs_f64();
    let mean_per_second = capacity_per_second * MEAN_DEMAND_FRACTION;
    let mut number = 0_u64;
    let mut next_at = start;
    while next_at < end {
        let period_index =
            (next_at.duration_since(start).as_secs_f64() / peak_period.as_secs_f64()) as usize;
        let factor = if period_index == service_index {
            PEAK_FACTOR
        } else {
            OFF_PEAK_FACTOR
        };
        let uniform: f64 = random.random();
        let gap_s = -(1.0 - uniform).ln() / (mean_per_second * factor);
        next_at += Duration::from_secs_f64(gap_s.min(peak_period.as_secs_f64() / 8.0));
        tokio::time::sleep_until(next_at.into()).await;
        number += 1;
        send_one(&context, service_index, number, &mut random);
    }
}

fn send_one(context: &LoadContext, service_index: usize, number: u64, random: &mut ChaCha8Rng) {
    let service = context.example.services[service_index];
    let team = pick_team(&context.example, random);
    let outstanding: u32 = context
        .example
        .teams
        .iter()
        .map(|team| context.outcomes.outstanding(service, team.name))
        .sum();
    if outstanding >= MAX_OUTSTANDING_REQUESTS {
        return;
    }
    let is_idempotent = random.random::<f64>() < IDEMPOTENT_FRACTION;
    let is_duplicated = !is_idempotent && random.random::<f64>() < DUPLICATED_FRACTION;
    let prefix = if is_duplicated { "twice" } else { "once" };
    let request_id: Arc<str> = Arc::from(format!("{prefix}-{service}-{number}"));
    let copies = if is_duplicated { 2 } else { 1 };
    for _ in 0..copies {
        let Some(address) = context.balancer.pick(random) else {
            return;
        };
        let request = TestRequest::to_queue(address, service, &request_id)
            .key(team_key(team))
            .header("x-rhubarbfall-deadline-ms", DEADLINE_MS)
            .header("x-rhubarbfall-idempotent", is_idempotent.to_string());
        tokio::spawn(send(
            context.clone(),
            service,
            team,
            Arc::clone(&request_id),
            request,
        ));
    }
}

async fn send(
    context: LoadContext,
    service: &'static str,
    team: &'static str,
    request_id: Arc<str>,
    request: TestRequest,
) {
    let address = request.address;
    context.outcomes.record_start(service, team);
    let sent_at = Instant::now();
    let result = context.caller.send(request).await;
    let elapsed = sent_at.elapsed();
    context
        .outcomes
        .record_end(service, team, address, &request_id, elapsed, &result);
}

fn pick_team(example: &Example, random: &mut ChaCha8Rng) -> &'static str {
    let total: u32 = example.teams.iter().map(|team| team.demand_weight).sum();
    let mut point = random.random_range(0..total);
    for team in example.teams {
        if point < team.demand_weight {
            return team.name;
        }
        point -= team.demand_weight;
    }
    example.teams[0].name
}

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::PrometheusBuilder;
use rhubarbfall_testing::rig::Caller;
use rhubarbfall_testing::upstream::UpstreamLog;
use tokio::task::JoinHandle;

use super::balancer::Balancer;
use super::checks::{Checks, Guarantee};
use super::dev_fleet::DevFleet;
use super::example::{Example, OPERATOR_KEY, team_key};
use super::load::{self, LoadContext};
use super::operator_client::{apply_first_document, is_ready};
use super::outcomes::{OutcomeReport, Outcomes};
use super::report::DevReport;
use super::{scripted_events, share_sampler, wave};

/// The time within which every entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The time after the end of the load in which outstanding requests may still be answered.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Options of the `dev` command.
#[derive(Debug, Clone)]
pub(crate) struct DevOptions {
    pub(crate) example: String,
    pub(crate) run_for: Option<Duration>,
    pub(crate) is_json: bool,
}

/// Runs a development fleet in this process until Ctrl-C, or with load for `run_for`.
pub(crate) fn run(options: &DevOptions) -> ExitCode {
    let Some(example) = Example::by_name(&options.example) else {
        eprintln!("unknown example {:?}", options.example);
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(run_example(example, options)));
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run_example(example: Example, options: &DevOptions) -> io::Result<bool> {
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let fleet = DevFleet::start(&example, metrics.as_ref()).await?;
    let caller = Caller::new();
    let first = fleet.entries[0].operator_address;
    if !apply_first_document(&caller, first, example.document()).await {
        return Err(io::Error::other(
            "the entry did not accept the first document",
        ));
    }
    wait_ready(&fleet, &caller).await?;
    let Some(run_for) = options.run_for else {
        print_addresses(&example, &fleet);
        tokio::signal::ctrl_c().await?;
        return Ok(true);
    };
    let report = run_load(example, fleet, caller, run_for).await;
    if options.is_json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        report.print_text();
    }
    Ok(report.is_clean())
}

async fn wait_ready(fleet: &DevFleet, caller: &Caller) -> io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for entry in &fleet.entries {
        while !is_ready(caller, entry.operator_address).await {
            if Instant::now() > deadline {
                let message = format!("{} did not become ready in time", entry.name);
                return Err(io::Error::other(message));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    // Entries read the VM list after the document, so they route only some time after they are
    // ready.
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(())
}

fn print_addresses(example: &Example, fleet: &DevFleet) {
    println!("platform {}", fleet.platform.address());
    for entry in &fleet.entries {
        println!(
            "{:<16} callers {}  operators {}",
            entry.name, entry.caller_address, entry.operator_address
        );
    }
    println!("operator key: {OPERATOR_KEY}");
    for team in example.teams {
        println!("key of {}: {}", team.name, team_key(team.name));
    }
    let entry = &fleet.entries[0];
    let team = example.teams[0].name;
    let service = example.services[0];
    println!(
        "\ntry:\n  curl -X POST -H 'x-request-id: r1' -H 'x-rhubarbfall-key: {}' http://{}/v1/queues/{service}\n  \
         curl http://{}/state\n  curl http://{}/metrics\n\nPress Ctrl-C to stop the fleet.",
        team_key(team),
        entry.caller_address,
        entry.operator_address,
        entry.operator_address,
    );
}

async fn run_load(
    example: Example,
    mut fleet: DevFleet,
    caller: Caller,
    run_for: Duration,
) -> DevReport {
    let checks = Checks::default();
    let outcomes = Outcomes::new();
    let balancer = Balancer::new(fleet.entries.iter().map(|entry| entry.caller_address));
    let start = Instant::now();
    let end = start + run_for;
    let context = LoadContext {
        example,
        caller: caller.clone(),
        balancer: balancer.clone(),
        outcomes: outcomes.clone(),
    };
    let mut tasks = Vec::new();
    for service_index in 0..example.services.len() {
        let load = load::run(context.clone(), service_index, start, end);
        tasks.push(tokio::spawn(load));
    }
    tasks.extend(spawn_fleet_changes(
        &example, &fleet, &caller, &checks, start, run_for,
    ));
    let entry_to_stop = fleet.entries.pop();
    let remaining: Vec<(SocketAddr, SocketAddr)> = fleet
        .entries
        .iter()
        .map(|entry| (entry.caller_address, entry.operator_address))
        .collect();
    tasks.push(tokio::spawn(scripted_events::withdraw_key(
        example,
        caller.clone(),
        remaining,
        checks.clone(),
        start + run_for / 4,
        end,
    )));
    if let Some(entry) = entry_to_stop {
        tasks.push(tokio::spawn(scripted_events::stop_entry(
            entry,
            caller,
            balancer,
            outcomes.clone(),
            checks.clone(),
            start + run_for / 2,
        )));
    }
    let shares =
        share_sampler::run(example, fleet.upstream_log.clone(), outcomes.clone(), end).await;
    for task in tasks {
        let _ = task.await;
    }
    tokio::time::sleep(RESPONSE_GRACE_PERIOD).await;
    let requests = outcomes.report();
    check_upstreams(&fleet.upstream_log, &requests, &checks);
    DevReport {
        example: example.name,
        run_for_s: run_for.as_secs(),
        requests,
        shares,
        guarantees: checks.report(),
    }
}

/// Spawns tasks that announce a maintenance wave, request the move of a VM and make an upstream
/// leave.
fn spawn_fleet_changes(
    example: &Example,
    fleet: &DevFleet,
    caller: &Caller,
    checks: &Checks,
    start: Instant,
    run_for: Duration,
) -> Vec<JoinHandle<()>> {
    let platform = &fleet.platform;
    let upstreams = || fleet.upstreams.clone();
    wave::watch_reboots(
        platform,
        upstreams(),
        fleet.upstream_log.clone(),
        checks.clone(),
    );
    let begin = start + run_for / 16;
    let wave = wave::announce(*example, platform.clone(), upstreams(), begin);
    let mut tasks = vec![tokio::spawn(wave)];
    if let Some(entry) = fleet.entries.first() {
        let at = start + run_for / 10;
        let moving = scripted_events::move_vm(*example, caller.clone(), entry.operator_address, at);
        tasks.push(tokio::spawn(moving));
    }
    if let Some(upstream) = fleet.upstreams.first() {
        let at = start + run_for / 8;
        // Not awaited: it may outlast the run, because the platform's VM list lags behind.
        tokio::spawn(scripted_events::announce_leaving(
            upstream.clone(),
            platform.clone(),
            at,
        ));
    }
    tasks
}

/// Checks the results that callers received against what the upstreams ran.
fn check_upstreams(log: &UpstreamLog, requests: &OutcomeReport, checks: &Checks) {
    let report = log.report();
    checks.add(
        Guarantee::UpperLimit,
        report.started,
        report.started_above_limit,
    );
    if report.queue_changes > 0 {
        checks.add(
            Guarantee::OnePoolPerVm,
            report.started,
            report.started_in_two_pools,
        );
    }
    checks.add(
        Guarantee::NonIdempotentAtMostOnce,
        report.started,
        report.repeated_non_idempotent,
    );
    checks.add(
        Guarantee::LeavingUpstream,
        report.started,
        report.started_after_leaving,
    );
    checks.add(
        Guarantee::WholeOwnAnswer,
        requests.completed,
        requests.wrong_answers,
    );
    for request in &requests.rejected_as_not_run {
        // The other copy of a request that was sent twice may have run.
        if !request.starts_with("twice-") {
            checks.check(Guarantee::NotRunIsTrue, log.starts_of(request) == 0);
        }
    }
}

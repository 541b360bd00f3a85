use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_platform::vms::VmState;
use rhubarbfall_testing::platform::StandInPlatform;
use rhubarbfall_testing::rig::{Caller, TestRequest};
use rhubarbfall_testing::upstream::UpstreamMode;

use super::balancer::Balancer;
use super::checks::{Checks, Guarantee};
use super::dev_fleet::{DevEntry, DevUpstream};
use super::example::{Example, second_key};
use super::operator_client::{apply_change, is_ready, request_move};
use super::outcomes::Outcomes;

/// The time for which a withdrawn key may still be accepted.
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// The time within which an accepted change must be in force at every entry.
const IN_FORCE_BOUND: Duration = Duration::from_secs(10);

/// The interval between requests with the withdrawn key to each entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// The interval at which readiness is polled, as a balancer polls it.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Withdraws a key while load runs, and sends requests with it to every entry until `end`.
pub(super) async fn withdraw_key(
    example: Example,
    caller: Caller,
    entries: Vec<(SocketAddr, SocketAddr)>,
    checks: Checks,
    at: Instant,
    end: Instant,
) {
    tokio::time::sleep_until(at.into()).await;
    let team = example.teams[0].name;
    let key = second_key(team);
    let change = format!("versions.keys = 1\n{}", example.keys(Some(&key)));
    let Some((_, operator_address)) = entries.first().copied() else {
        return;
    };
    if !apply_change(&caller, operator_address, "withdraw-key", change).await {
        return;
    }
    let accepted_at = Instant::now();
    let mut probes = Vec::new();
    for (index, (caller_address, _)) in entries.into_iter().enumerate() {
        let probe = WithdrawnKeyProbe {
            service: example.services[0],
            key: Arc::from(key.as_str()),
            caller_address,
            index,
        };
        let caller = caller.clone();
        let checks = checks.clone();
        probes.push(tokio::spawn(async move {
            probe.run(&caller, &checks, accepted_at, end).await;
        }));
    }
    for probe in probes {
        let _ = probe.await;
    }
}

/// Sends requests with a withdrawn key to one entry and checks how it answers them.
struct WithdrawnKeyProbe {
    service: &'static str,
    key: Arc<str>,
    caller_address: SocketAddr,
    index: usize,
}

impl WithdrawnKeyProbe {
    async fn run(&self, caller: &Caller, checks: &Checks, accepted_at: Instant, end: Instant) {
        let mut number = 0;
        let mut was_rejected = false;
        while Instant::now() < end {
            number += 1;
            let sent_after = accepted_at.elapsed();
            let id = format!("probe-{}-{number}", self.index);
            let request = TestRequest::to_queue(self.caller_address, self.service, &id)
                .key(Arc::clone(&self.key))
                .header("x-work-ms", "1");
            let Ok(answer) = caller.send(request).await else {
                return;
            };
            let is_rejected = answer.code() == Some(2003);
            let is_accepted = answer.code() == Some(1000);
            if is_rejected || is_accepted {
                checks.check(
                    Guarantee::WorkOnlyForItsKey,
                    is_rejected || sent_after < WITHDRAWAL_BOUND,
                );
                let is_reverted = was_rejected && is_accepted;
                let is_late = is_accepted && sent_after > IN_FORCE_BOUND;
                checks.check(Guarantee::ConfigurationInForce, !is_reverted && !is_late);
            }
            was_rejected |= is_rejected;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}

/// Requests the move of the second service's first VM to the fourth service's pool.
pub(super) async fn move_vm(
    example: Example,
    caller: Caller,
    operator_address: SocketAddr,
    at: Instant,
) {
    tokio::time::sleep_until(at.into()).await;
    let vm = format!("{}-0", example.services[1]);
    let pool = format!("{}-pool", example.services[3]);
    request_move(&caller, operator_address, &vm, &pool).await;
}

/// Makes an upstream announce that it leaves; the platform's VM list shows it only 30 s later.
pub(super) async fn announce_leaving(
    upstream: DevUpstream,
    platform: StandInPlatform,
    at: Instant,
) {
    tokio::time::sleep_until(at.into()).await;
    upstream.stand_in.set_mode(UpstreamMode::Leaving);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let mut record = upstream.record;
    record.state = VmState::Leaving;
    platform.put_vm(record);
}

/// Stops an entry while load runs and checks that no request to it fails; the balancer follows the
/// entry's readiness.
pub(super) async fn stop_entry(
    entry: DevEntry,
    caller: Caller,
    balancer: Balancer,
    outcomes: Outcomes,
    checks: Checks,
    at: Instant,
) {
    tokio::time::sleep_until(at.into()).await;
    let (answered_before, failed_before) = outcomes.entry_counts(entry.caller_address);
    let caller_address = entry.caller_address;
    log::info!("event=planned-stop entry={}", entry.name);
    entry.entry.stop();
    while is_ready(&caller, entry.operator_address).await {
        tokio::time::sleep(READINESS_POLL_INTERVAL).await;
    }
    balancer.set_ready(caller_address, false);
    let ended = tokio::task::spawn_blocking(move || entry.entry.wait()).await;
    let (answered, failed) = outcomes.entry_counts(caller_address);
    let failed = failed - failed_before;
    checks.add(
        Guarantee::GracefulStop,
        answered - answered_before + failed,
        failed,
    );
    checks.check(Guarantee::GracefulStop, matches!(ended, Ok(Ok(()))));
}

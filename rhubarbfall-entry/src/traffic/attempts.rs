use std::sync::Arc;
use std::time::{Duration, Instant};

use rhubarbfall_core::{Execution, ResultCode};
use rhubarbfall_routing::{FailedAttempt, RetryDecision};
use tokio::time::{sleep, timeout};

use super::exchange::{OutgoingRequest, UpstreamResponse, exchange};
use super::handler::authorize_now;
use crate::Shared;
use crate::dispatch::{DispatchRequest, Permit};
use crate::routing::ClaimGuard;

/// Maximum time that a request waits for a new health check of upstreams whose last one is too old.
const MAX_HEALTH_CHECK_WAIT: Duration = Duration::from_secs(2);

/// Interval at which such a request tries again to get a usable upstream.
const HEALTH_CHECK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sends a request to an upstream, and retries at another one if it certainly did not run or may
/// run again.
///
/// A non-idempotent request is claimed first and keeps its claim through all attempts.
pub(super) async fn send_with_retries(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest<'_>,
    mut request: DispatchRequest,
) -> Result<(Permit, UpstreamResponse), ResultCode> {
    let mut claim = claim(shared, outgoing, request.deadline).await?;
    let mut attempts = 0;
    loop {
        let permit = usable_permit(shared, &request).await?;
        // The key may have been revoked while the request waited.
        authorize_now(shared, outgoing.caller)?;
        if !claim.as_mut().is_none_or(ClaimGuard::start) {
            return Err(ResultCode::ClaimUnavailable);
        }
        attempts += 1;
        let sent_at = shared.clock.now();
        let result = exchange(shared, outgoing, &permit).await;
        let is_success = result.as_ref().is_ok_and(UpstreamResponse::is_success);
        let upstream = permit.upstream();
        let latency = shared.clock.now().duration_since(sent_at);
        shared
            .dispatcher
            .observe(&request.service, upstream, latency, is_success);
        shared
            .upstreams
            .on_attempt(&request.service, upstream, sent_at, is_success);
        let code = match result {
            Ok(response) => return Ok((permit, response)),
            Err(code) => code,
        };
        if let Some(claim) = &mut claim
            && code.execution() == Execution::NotRun
        {
            claim.set_not_run();
        }
        let failed = FailedAttempt {
            attempts,
            code,
            is_idempotent: outgoing.caller.is_idempotent,
            deadline: request.deadline,
        };
        let decision = shared.upstreams.decide(&request.service, failed);
        let RetryDecision::Retry(pause) = decision else {
            return Err(code);
        };
        metrics::counter!("rhubarbfall_repeats_total").increment(1);
        request.avoided.push(upstream.clone());
        drop(permit);
        sleep(pause).await;
    }
}

async fn claim(
    shared: &Arc<Shared>,
    outgoing: &OutgoingRequest<'_>,
    deadline: Instant,
) -> Result<Option<ClaimGuard>, ResultCode> {
    let caller = outgoing.caller;
    if caller.is_idempotent {
        return Ok(None);
    }
    let team = &outgoing.authorized.team;
    let remaining = deadline.saturating_duration_since(shared.clock.now());
    let claimed = timeout(remaining, shared.claims.claim(team, &caller.request_id)).await;
    claimed.unwrap_or(Err(ResultCode::ClaimUnchecked)).map(Some)
}

/// Waits for a permit whose upstream is usable now.
///
/// After a pause of this process no upstream is usable until its next health check; a request waits
/// up to [`MAX_HEALTH_CHECK_WAIT`] for one.
async fn usable_permit(
    shared: &Arc<Shared>,
    request: &DispatchRequest,
) -> Result<Permit, ResultCode> {
    let mut no_upstream_since = None;
    loop {
        let now = shared.clock.now();
        let acquired = shared.dispatcher.acquire(request.clone(), now).await;
        let now = shared.clock.now();
        let since = *no_upstream_since.get_or_insert(now);
        let is_late = now.duration_since(since) >= MAX_HEALTH_CHECK_WAIT;
        match acquired {
            Ok(permit) if shared.upstreams.is_usable(permit.upstream()) => return Ok(permit),
            Ok(_) if !is_late => {
                // Withdraws the upstream from the dispatcher; the next permit is for another one.
                shared.upstreams.update_dispatcher(shared);
                continue;
            }
            Err(ResultCode::NoUpstream) if !is_late => {}
            Ok(_) => return Err(ResultCode::NoUpstream),
            Err(code) => return Err(code),
        }
        if now >= request.deadline || !shared.upstreams.has_candidate(&request.service) {
            return Err(ResultCode::NoUpstream);
        }
        sleep(HEALTH_CHECK_POLL_INTERVAL).await;
        shared.upstreams.update_dispatcher(shared);
    }
}

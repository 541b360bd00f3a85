use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::RowVersion;
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use rhubarbfall_routing::{ClaimAction, ClaimLogBase, ClaimSegment, CommitOutcome};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::ClaimService;
use crate::Shared;

/// The base row of the claim log; every write to the log is conditional on its version.
const BASE_ROW: &str = "claim/base";

/// Number of segments that share a key prefix, so that one scan reads the end of the log.
const SEGMENTS_PER_BLOCK: u64 = 64;

/// Maximum number of blocks covered by one read.
const MAX_BLOCKS_PER_READ: u64 = 32;

/// Interval at which the ledger is polled without new claims: a wait may end or an append be due.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads and writes the claim log until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    tokio::join!(run_actions(&shared), expire(&shared));
}

async fn run_actions(shared: &Shared) {
    let claims = &shared.claims;
    loop {
        if let Some(action) = claims.next_action() {
            perform(shared, action).await;
            continue;
        }
        tokio::select! {
            () = claims.wait_for_work() => {}
            () = sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn expire(shared: &Shared) {
    loop {
        sleep(POLL_INTERVAL).await;
        let now = shared.clock.now();
        shared.claims.update(|ledger| ledger.expire(now));
    }
}

async fn perform(shared: &Shared, action: ClaimAction) {
    if let ClaimAction::Read { from } = action {
        let result = read(shared, from).await;
        let now = shared.clock.now();
        return shared.claims.update(|ledger| match result {
            Ok(log) => ledger.on_read(now, log.base, &log.segments, log.is_end),
            Err(error) => {
                log::warn!("event=claim-read error={error}");
                ledger.on_read_failed(now);
            }
        });
    }
    let Some(transaction) = transaction(&shared.claims, &action) else {
        return;
    };
    let outcome = match shared.table.commit(&transaction).await {
        Ok(_) => CommitOutcome::Committed,
        Err(PlatformError::ConditionFailed(..)) => CommitOutcome::Conflict,
        Err(error) => {
            log::warn!("event=claim-write error={error}");
            CommitOutcome::Unknown
        }
    };
    let now = shared.clock.now();
    shared
        .claims
        .update(|ledger| ledger.on_commit(now, outcome));
}

/// The result of one read of the claim log.
struct ClaimLogRead {
    base: Option<(RowVersion, ClaimLogBase)>,
    segments: Vec<ClaimSegment>,
    is_end: bool,
}

async fn read(shared: &Shared, from: Option<u64>) -> Result<ClaimLogRead, PlatformError> {
    let Some(row) = shared.table.read(BASE_ROW).await? else {
        return Ok(ClaimLogRead {
            base: None,
            segments: Vec::new(),
            is_end: true,
        });
    };
    let base: ClaimLogBase = row.parse()?;
    let first_block = from.map_or(base.first, |from| from.max(base.first)) / SEGMENTS_PER_BLOCK;
    let mut segments: Vec<ClaimSegment> = Vec::new();
    let mut is_end = false;
    for block in first_block..first_block + MAX_BLOCKS_PER_READ {
        for row in shared.table.scan(&block_prefix(block)).await? {
            segments.push(row.parse()?);
        }
        let last_of_block = (block + 1) * SEGMENTS_PER_BLOCK - 1;
        if segments
            .last()
            .is_none_or(|last| last.sequence != last_of_block)
        {
            is_end = true;
            break;
        }
    }
    Ok(ClaimLogRead {
        base: Some((row.version, base)),
        segments,
        is_end,
    })
}

fn block_prefix(block: u64) -> String {
    format!("claim/log/{block:012}/")
}

fn segment_key(sequence: u64) -> String {
    let prefix = block_prefix(sequence / SEGMENTS_PER_BLOCK);
    format!("{prefix}{sequence:015}")
}

fn transaction(claims: &ClaimService, action: &ClaimAction) -> Option<Transaction> {
    let (entry, incarnation) = claims.writer();
    let id = |kind: &str, number| {
        TransactionId::new(format_args!("{entry}-{kind}"), incarnation, number)
    };
    match action {
        ClaimAction::Read { .. } => None,
        ClaimAction::CreateBase => Some(
            Transaction::new(id("claim-base", 0))
                .expect(BASE_ROW, RowVersion::new(0))
                .put(BASE_ROW, base_value(1)),
        ),
        ClaimAction::Append {
            base_version,
            segment,
        } => {
            let key = segment_key(segment.sequence);
            Some(
                Transaction::new(id("claim", segment.append_number))
                    .expect(BASE_ROW, *base_version)
                    .expect(key.as_str(), RowVersion::new(0))
                    .put(key.as_str(), serde_json::to_value(segment).ok()?),
            )
        }
        ClaimAction::Trim {
            base_version,
            first,
            new_first,
        } => {
            let trim = Transaction::new(id("claim-trim", *new_first))
                .expect(BASE_ROW, *base_version)
                .put(BASE_ROW, base_value(*new_first));
            let old = *first..*new_first;
            Some(old.fold(trim, |trim, sequence| trim.delete(segment_key(sequence))))
        }
    }
}

fn base_value(first: u64) -> Value {
    json!(ClaimLogBase { first })
}

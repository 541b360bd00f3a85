//! Reports the state of waves to operators.
//!
//! A report is stored in place of the last one that is known, and only while the request stands that
//! it is about. A late copy of an earlier report thus changes nothing, and neither does one about an
//! earlier request.

use std::rc::Rc;
use std::time::Duration;

use litemap::LiteMap;
use rhubarbfall_core::{RowVersion, WaveId};
use rhubarbfall_runs::scheduler::WaveState;
use rhubarbfall_site::{
    CommitOutcome, OPERATOR_TABLE, RowKey, STATUS_TABLE, StoreError, Transaction,
    encode_wave_state, wave_key,
};

use super::Owner;
use crate::node::Node;

/// Interval at which the owner checks for wave states to report.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Pause after a report that was not stored because of a newer request or report, of which the owner
/// is about to learn.
const CONFLICT_PAUSE: Duration = Duration::from_secs(1);

/// The versions of the stored reports, as far as they are known; `None` for a wave without report.
type StoredReports = LiteMap<WaveId, Option<RowVersion>>;

/// Reports the state of waves until the ownership ends.
pub(super) async fn run(node: Rc<Node>, owner: Rc<Owner>) {
    let mut stored = StoredReports::new();
    while !owner.has_ended() {
        let pause = report_all(&node, &owner, &mut stored).await;
        tokio::time::sleep(pause).await;
    }
}

/// Stores the reports that are due, and returns the pause until the next ones.
async fn report_all(node: &Node, owner: &Owner, stored: &mut StoredReports) -> Duration {
    let mut pause = REPORT_INTERVAL;
    for (wave, state, requested) in due_reports(owner) {
        if !owner.is_active(node.now()) {
            break;
        }
        match report(node, &wave, state, requested, stored).await {
            Ok(CommitOutcome::Stored(version)) => {
                stored.insert(wave.clone(), Some(version));
                owner.with(|scheduler| scheduler.wave_reported(&wave, state));
            }
            Ok(CommitOutcome::Conflict(rows)) => {
                stored.remove(&wave);
                pause = CONFLICT_PAUSE;
                let versions: Vec<RowVersion> = rows.iter().map(|row| row.version).collect();
                log::info!("event=wave_report_conflict wave={wave} found={versions:?}");
            }
            Err(error) => {
                stored.remove(&wave);
                log::warn!("event=wave_report_failed wave={wave} error={error}");
            }
        }
    }
    pause
}

/// Returns the waves whose state is to be reported, with the version of the request that it is about.
fn due_reports(owner: &Owner) -> Vec<(WaveId, WaveState, Option<RowVersion>)> {
    let scheduler = owner.scheduler.borrow();
    let unreported = scheduler.unreported_waves().into_iter();
    let with_version = unreported.map(|(wave, state)| {
        let requested = scheduler.wave_version(&wave);
        (wave, state, requested)
    });
    with_version.collect()
}

/// Stores a report in place of the last one.
async fn report(
    node: &Node,
    wave: &WaveId,
    state: WaveState,
    requested: Option<RowVersion>,
    stored: &StoredReports,
) -> Result<CommitOutcome, StoreError> {
    let known = if let Some(version) = stored.get(wave) {
        *version
    } else {
        let key = wave_key(wave);
        let row = node.store.read_row(STATUS_TABLE, "", &key).await?;
        row.map(|row| row.version)
    };
    node.store
        .commit(&report_transaction(wave, state, requested, known))
        .await
}

/// Returns the transaction that stores a report about this version of a request, in place of this
/// version of a report.
fn report_transaction(
    wave: &WaveId,
    state: WaveState,
    requested: Option<RowVersion>,
    known: Option<RowVersion>,
) -> Transaction {
    let request = RowKey::new(OPERATOR_TABLE, "", wave_key(wave));
    let report = RowKey::new(STATUS_TABLE, "", wave_key(wave));
    Transaction {
        expected: vec![(request, requested), (report.clone(), known)],
        writes: vec![(report, encode_wave_state(state))],
        ..Transaction::default()
    }
}

#[cfg(test)]
mod tests;

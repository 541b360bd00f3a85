use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_membership::LeaseRequest;
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use tokio::time::sleep;

use super::membership_state::{MembershipState, parse_lease_row};
use crate::Shared;

/// Interval at which the lease is checked for a due request.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Acquires and renews the zone's lease, or polls it while another entry holds it.
pub(super) async fn run(shared: Arc<Shared>) {
    let key = format!("zone-lease/{}", shared.settings.entry.availability_zone);
    loop {
        let now = shared.clock.now();
        let request = shared
            .membership
            .update(now, |state| state.lease.next_request(now));
        match request.flatten() {
            Some(LeaseRequest::Read) => read_lease(&shared, &key).await,
            Some(LeaseRequest::Write { expected, row }) => {
                let id = TransactionId::new(&row.holder, row.incarnation.get(), row.renewal);
                let id = TransactionId::new(format_args!("lease:{id}"), expected.get(), 0);
                let value = serde_json::to_value(&row).unwrap_or_default();
                let transaction = Transaction::new(id)
                    .expect(key.as_str(), expected)
                    .put(key.as_str(), value);
                write_lease(&shared, &transaction).await;
            }
            None => sleep(CHECK_INTERVAL).await,
        }
    }
}

async fn read_lease(shared: &Shared, key: &str) {
    let result = shared.table.read(key).await;
    record_outcome(shared, |state, now| match result {
        Ok(row) => {
            let row = row.and_then(|row| Some((row.version, parse_lease_row(&row)?)));
            state.lease.observe_row(now, row);
        }
        Err(_) => state.lease.observe_no_answer(now),
    });
}

async fn write_lease(shared: &Shared, transaction: &Transaction) {
    let result = shared.table.commit(transaction).await;
    record_outcome(shared, |state, now| match result {
        Ok(committed) => {
            let version = committed.versions.first().copied().unwrap_or_default();
            state.lease.observe_written(now, version);
        }
        Err(PlatformError::ConditionFailed(..)) => state.lease.observe_conflict(now),
        Err(_) => state.lease.observe_no_answer(now),
    });
}

fn record_outcome(shared: &Shared, outcome: impl FnOnce(&mut MembershipState, std::time::Instant)) {
    let now = shared.clock.now();
    shared.membership.update(now, |state| outcome(state, now));
}

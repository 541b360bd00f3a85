use std::sync::Arc;
use std::time::UNIX_EPOCH;

use rhubarbfall_core::{FencingNumber, Incarnation, RowVersion};
use rhubarbfall_membership::{LeaseRequest, LeaseRow, ZoneLease};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};

use crate::Shared;

/// Keeps the lease of the entry's availability zone, or waits to take it over.
pub(super) struct LeaseKeeper {
    shared: Arc<Shared>,
    lease: ZoneLease,
    incarnation: Incarnation,
    key: String,
    sequence: u64,
}

impl LeaseKeeper {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let entry = &shared.settings.entry;
        let started = shared.clock.wall_time().duration_since(UNIX_EPOCH);
        let started_ms = started.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0));
        let incarnation = Incarnation::new(started_ms);
        let now = shared.clock.now();
        let config = shared.settings.fleet.lease_config();
        Self {
            lease: ZoneLease::new(config, entry.id.clone(), incarnation, now),
            key: format!("zone-lease/{}", entry.availability_zone),
            incarnation,
            sequence: 0,
            shared,
        }
    }

    /// Returns the fencing number while this process holds the lease.
    pub(super) fn fencing(&self) -> Option<FencingNumber> {
        self.lease.fencing(self.shared.clock.now())
    }

    /// Sends the requests that are due.
    pub(super) async fn step(&mut self) {
        while let Some(request) = self.lease.next_request(self.shared.clock.now()) {
            match request {
                LeaseRequest::Read => self.read().await,
                LeaseRequest::Write { expected, row } => self.write(expected, row).await,
            }
        }
    }

    async fn read(&mut self) {
        let row = self.shared.table.read(&self.key).await;
        let parsed = row.and_then(|row| {
            let parse = |row: rhubarbfall_platform::table::Row| {
                Ok::<_, PlatformError>((row.version, row.parse::<LeaseRow>()?))
            };
            row.map(parse).transpose()
        });
        let now = self.shared.clock.now();
        match parsed {
            Ok(row) => self.lease.observe_row(now, row),
            Err(_) => self.lease.observe_no_answer(now),
        }
    }

    async fn write(&mut self, expected: RowVersion, row: LeaseRow) {
        self.sequence += 1;
        let writer = format!("lease-{}", row.holder);
        let id = TransactionId::new(writer, self.incarnation.get(), self.sequence);
        let Ok(value) = serde_json::to_value(&row) else {
            return;
        };
        let transaction = Transaction::new(id)
            .expect(self.key.as_str(), expected)
            .put(self.key.as_str(), value);
        let result = self.shared.table.commit(&transaction).await;
        let now = self.shared.clock.now();
        match result {
            Ok(committed) => {
                let version = committed.versions.first().copied();
                self.lease.observe_written(now, version.unwrap_or_default());
            }
            Err(PlatformError::ConditionFailed(..)) => self.lease.observe_conflict(now),
            Err(_) => self.lease.observe_no_answer(now),
        }
    }
}

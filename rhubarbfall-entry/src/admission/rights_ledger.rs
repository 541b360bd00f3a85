use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rhubarbfall_admission::{LedgerRow, ReclaimWatch};
use rhubarbfall_core::{EntryId, RowVersion, TeamId};
use rhubarbfall_document::{HEAD_ROW_KEY, HeadRow};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Row, Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use rhubarbfall_wire::PeerNetwork;
use tokio::time::sleep;

use crate::Shared;

/// Key prefix of the rows that divide the teams' upper limits among entries.
const LEDGER_PREFIX: &str = "rights/";
/// Interval between reads of the ledger while a team at this entry needs slots.
const URGENT_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a failed table operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of rows written after one read of the ledger, to spread the writes.
const MAX_WRITES_PER_READ: usize = 16;
/// Delay after each write, per entry of the fleet, which bounds the write rate of all entries
/// together.
const WRITE_DELAY_PER_ENTRY: Duration = Duration::from_millis(40);
/// Number of consecutive reads without a write after which a team's need no longer shortens the
/// read interval.
const MAX_FREQUENT_READS: u32 = 10;

/// Maintains this process's grants in the ledger rows of the platform's table.
pub(super) struct RightsLedger {
    shared: Arc<Shared>,
    network: PeerNetwork,
    reclaim_watch: ReclaimWatch,
    /// Number of live entries that the platform lists.
    listed_entries: u32,
    next_transaction: u64,
    last_read_at: Option<Instant>,
    reads_without_write: u32,
    /// Interval until the next read while no team needs slots.
    read_interval: Duration,
}

impl RightsLedger {
    pub(super) fn new(shared: Arc<Shared>, network: PeerNetwork) -> Self {
        let delay = shared.settings.limits.rights_settings().reclaim_delay();
        Self {
            shared,
            network,
            reclaim_watch: ReclaimWatch::new(delay),
            listed_entries: 0,
            next_transaction: 1,
            last_read_at: None,
            reads_without_write: 0,
            read_interval: URGENT_READ_INTERVAL,
        }
    }

    /// Reads and updates the ledger whenever that is due, until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            self.record_entries().await;
            if self.is_due() {
                match self.update_rows().await {
                    Ok(None) => self.read_interval = RETRY_DELAY,
                    Ok(Some(0)) => {
                        self.reads_without_write = self.reads_without_write.saturating_add(1);
                        let interval = self.shared.settings.limits.ledger_poll_ms;
                        self.read_interval = Duration::from_millis(interval);
                    }
                    Ok(Some(writes)) => {
                        self.reads_without_write = 0;
                        let entries = self.network.peers().len() as u32 + 1;
                        self.read_interval = WRITE_DELAY_PER_ENTRY * entries * writes as u32;
                    }
                    Err(error) => {
                        log::warn!("event=ledger error={error}");
                        sleep(jittered(RETRY_DELAY)).await;
                    }
                }
            }
            sleep(jittered(URGENT_READ_INTERVAL)).await;
        }
    }

    fn is_due(&mut self) -> bool {
        let now = self.shared.clock.now();
        let is_needed = self
            .shared
            .dispatcher
            .with_admission(|admission| !admission.rights().teams_needing_ledger(now).is_empty());
        let uses_long_interval = !is_needed || self.reads_without_write >= MAX_FREQUENT_READS;
        let is_due = self.last_read_at.is_none_or(|at| {
            now >= at
                + if uses_long_interval {
                    jittered(self.read_interval)
                } else {
                    URGENT_READ_INTERVAL
                }
        });
        if is_due {
            self.last_read_at = Some(now);
        }
        is_due
    }

    /// Records successors of entry processes and entry VMs that are gone, as evidence that
    /// processes have ended.
    async fn record_entries(&mut self) {
        let now = self.shared.clock.now();
        let identity = self.network.identity();
        self.reclaim_watch
            .record_successor(now, &identity.entry, identity.incarnation);
        for peer in self.network.peers() {
            self.reclaim_watch
                .record_successor(now, &peer.entry, peer.incarnation);
        }
        let is_due = self.last_read_at.is_none_or(|at| now >= at + RETRY_DELAY);
        if !is_due {
            return;
        }
        if let Ok(vms) = self.shared.vm_list.list().await {
            let is_live = |vm: &&VmRecord| vm.kind == VmKind::Entry && vm.state == VmState::Live;
            self.listed_entries = vms.iter().filter(is_live).count() as u32;
            let gone = vms
                .iter()
                .filter(|vm| vm.kind == VmKind::Entry && vm.state == VmState::Gone);
            let gone: Vec<EntryId> = gone.filter_map(|vm| vm.id.as_str().parse().ok()).collect();
            self.reclaim_watch.record_gone(now, &gone);
        }
    }

    /// Reads the ledger once and writes the rows that this process should change.
    ///
    /// Returns the number of rows written, or `None` if the document in force is not the newest.
    async fn update_rows(&mut self) -> Result<Option<usize>, PlatformError> {
        let Some(document) = self.shared.document.load_full() else {
            return Ok(None);
        };
        let Some(head) = self.shared.table.read(HEAD_ROW_KEY).await? else {
            return Ok(None);
        };
        let rows = self.shared.table.scan(LEDGER_PREFIX).await?;
        // Slots may be acquired only under the newest document.
        if head.parse::<HeadRow>()?.revision != document.revision {
            return Ok(None);
        }
        let delay = self.shared.dispatcher.with_admission(|admission| {
            let settings = admission.rights().settings();
            settings.reclaim_delay()
        });
        self.reclaim_watch.set_delay(delay);
        let teams = document.fleet.teams.iter().map(|team| team.id.clone());
        let mut teams: Vec<TeamId> = teams.collect();
        let row_team = |row: &Row| row.key.strip_prefix(LEDGER_PREFIX)?.parse().ok();
        teams.extend(rows.iter().filter_map(row_team));
        teams.sort();
        teams.dedup();
        let mut writes = 0;
        for team in teams {
            let row = rows
                .iter()
                .find(|row| row_team(row).as_ref() == Some(&team));
            if writes < MAX_WRITES_PER_READ && self.update_row(&team, row, head.version).await? {
                writes += 1;
            }
        }
        Ok(Some(writes))
    }

    /// Writes one team's row if this process should change it; returns whether it did.
    async fn update_row(
        &mut self,
        team: &TeamId,
        row: Option<&Row>,
        head_version: RowVersion,
    ) -> Result<bool, PlatformError> {
        let now = self.shared.clock.now();
        let (current, version) = match row {
            Some(row) => (row.parse()?, row.version),
            None => (LedgerRow::default(), RowVersion::default()),
        };
        // At startup the list contains entries that are not known as peers yet; without them the
        // first entry would acquire the whole of each limit.
        let known_entries = self.network.peers().len() as u32 + 1;
        let entry_count = known_entries.max(self.listed_entries);
        let watch = &self.reclaim_watch;
        let next = self.shared.dispatcher.with_admission(|admission| {
            let rights = admission.rights_mut();
            let is_reclaimable =
                |entry: &EntryId, incarnation| watch.is_reclaimable(now, entry, incarnation);
            let next = rights.plan(team, &current, entry_count, &is_reclaimable, now)?;
            rights.begin_write(team, &next);
            Some(next)
        });
        let Some(next) = next else {
            return Ok(false);
        };
        let key = format!("{LEDGER_PREFIX}{team}");
        let value = serde_json::to_value(&next)
            .map_err(|error| PlatformError::Malformed(error.to_string().into()))?;
        let identity = self.network.identity();
        let writer = format!("rights-{}", identity.entry);
        let id = TransactionId::new(writer, identity.incarnation.get(), self.next_transaction);
        self.next_transaction += 1;
        let transaction = Transaction::new(id)
            .expect(HEAD_ROW_KEY, head_version)
            .expect(key.clone(), version)
            .put(key, value);
        let was_applied = self.commit(&transaction).await;
        self.shared.dispatcher.with_admission(|admission| {
            let rights = admission.rights_mut();
            rights.finish_write(team, was_applied);
            if was_applied {
                rights.observe_row(team, &next);
            }
        });
        Ok(was_applied)
    }

    /// Retries a transaction until its outcome is certain; returns whether it took effect.
    async fn commit(&self, transaction: &Transaction) -> bool {
        let mut may_have_taken_effect = false;
        loop {
            match self.shared.table.commit(transaction).await {
                Ok(_) => return true,
                Err(PlatformError::ConditionFailed(..)) => return false,
                Err(PlatformError::Unavailable(_)) if !may_have_taken_effect => return false,
                Err(error) => {
                    may_have_taken_effect |= error.may_have_taken_effect();
                    log::warn!("event=ledger-write id={} error={error}", transaction.id);
                    sleep(jittered(RETRY_DELAY)).await;
                }
            }
        }
    }
}

/// Releases this process's idle slots, for a planned stop.
///
/// Slots that are not released in time are reclaimed once the VM is listed as gone, or once a
/// successor runs on it.
pub(super) async fn hand_over(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let Some(network) = shared.membership.network() else {
        return Ok(());
    };
    let identity = network.identity();
    for (number, row) in shared
        .table
        .scan(LEDGER_PREFIX)
        .await?
        .into_iter()
        .enumerate()
    {
        let team = row
            .key
            .strip_prefix(LEDGER_PREFIX)
            .and_then(|id| id.parse().ok());
        let Some(team) = team else { continue };
        let current: LedgerRow = row.parse()?;
        let next = shared.dispatcher.with_admission(|admission| {
            let rights = admission.rights_mut();
            let next = rights.plan_hand_over(&team, &current)?;
            rights.begin_write(&team, &next);
            Some(next)
        });
        let Some(next) = next else { continue };
        let value = serde_json::to_value(&next)
            .map_err(|error| PlatformError::Malformed(error.to_string().into()))?;
        let writer = format!("hand-over-{}", identity.entry);
        let id = TransactionId::new(writer, identity.incarnation.get(), number as u64);
        let transaction = Transaction::new(id)
            .expect(Arc::clone(&row.key), row.version)
            .put(Arc::clone(&row.key), value);
        // The process is stopping and does not use released slots again, whatever the outcome.
        shared.table.commit(&transaction).await?;
    }
    Ok(())
}

fn jittered(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.5..1.5))
}

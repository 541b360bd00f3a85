use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rhubarbfall_admission::{LedgerRow, ReclaimWatch};
use rhubarbfall_core::{EntryId, RowVersion, TeamId};
use rhubarbfall_document::{HEAD_ROW_KEY, Head};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Row, Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmState};
use rhubarbfall_wire::PeerNetwork;
use tokio::time::sleep;

use crate::Shared;

/// The prefix of the rows that divide the limits of teams.
const LEDGER_PREFIX: &str = "rights/";
/// How soon the ledger is read when a team here needs slots.
const NEED_PAUSE: Duration = Duration::from_millis(100);
/// The pause after the table did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The most rows that one look at the ledger changes, to spread the writes.
const MAX_WRITES_PER_LOOK: usize = 16;
/// How many looks a need may cause without having led to a change, before they become rare.
const MAX_EAGER_LOOKS: u32 = 10;

/// Keeps this process's grants in the table's ledger.
pub(super) struct Ledger {
    shared: Arc<Shared>,
    network: PeerNetwork,
    watch: ReclaimWatch,
    next_transaction: u64,
    looked_at: Option<Instant>,
    fruitless_looks: u32,
}

impl Ledger {
    pub(super) fn new(shared: Arc<Shared>, network: PeerNetwork) -> Self {
        let delay = shared.settings.limits.rights().reclaim_delay();
        Self {
            shared,
            network,
            watch: ReclaimWatch::new(delay),
            next_transaction: 1,
            looked_at: None,
            fruitless_looks: 0,
        }
    }

    /// Looks at the ledger whenever it is due, until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            self.watch_entries().await;
            if self.is_due() {
                match self.look().await {
                    Ok(0) => self.fruitless_looks = self.fruitless_looks.saturating_add(1),
                    Ok(_) => self.fruitless_looks = 0,
                    Err(error) => {
                        log::warn!("event=ledger error={error}");
                        sleep(jittered(RETRY_PAUSE)).await;
                    }
                }
            }
            sleep(jittered(NEED_PAUSE)).await;
        }
    }

    fn is_due(&mut self) -> bool {
        let now = self.shared.clock.now();
        let needs = self
            .shared
            .dispatcher
            .change(|admission| !admission.rights().teams_in_need(now).is_empty());
        let interval = Duration::from_millis(self.shared.settings.limits.ledger_poll_ms);
        let is_rare = !needs || self.fruitless_looks >= MAX_EAGER_LOOKS;
        let is_due = self.looked_at.is_none_or(|at| {
            now >= at
                + if is_rare {
                    jittered(interval)
                } else {
                    NEED_PAUSE
                }
        });
        if is_due {
            self.looked_at = Some(now);
        }
        is_due
    }

    /// Notes which processes have surely ended.
    async fn watch_entries(&mut self) {
        let now = self.shared.clock.now();
        let identity = self.network.identity();
        self.watch
            .see_successor(now, &identity.entry, identity.incarnation);
        for peer in self.network.peers() {
            self.watch.see_successor(now, &peer.entry, peer.incarnation);
        }
        let is_due = self.looked_at.is_none_or(|at| now >= at + RETRY_PAUSE);
        if !is_due {
            return;
        }
        if let Ok(vms) = self.shared.vm_list.list().await {
            let gone = vms
                .iter()
                .filter(|vm| vm.kind == VmKind::Entry && vm.state == VmState::Gone);
            let gone: Vec<EntryId> = gone.filter_map(|vm| vm.id.as_str().parse().ok()).collect();
            self.watch.see_gone(now, &gone);
        }
    }

    /// Reads the ledger once and changes the rows that this process would change.
    async fn look(&mut self) -> Result<usize, PlatformError> {
        let Some(document) = self.shared.document.load_full() else {
            return Ok(0);
        };
        let Some(head) = self.shared.table.read(HEAD_ROW_KEY).await? else {
            return Ok(0);
        };
        let rows = self.shared.table.scan(LEDGER_PREFIX).await?;
        // Only under the newest document may slots be taken.
        if head.parse::<Head>()?.revision != document.revision {
            return Ok(0);
        }
        let delay = self.shared.dispatcher.change(|admission| {
            let settings = admission.rights().settings();
            settings.reclaim_delay()
        });
        self.watch.set_delay(delay);
        let teams = document.fleet.teams.iter().map(|team| team.id.clone());
        let mut teams: Vec<TeamId> = teams.collect();
        let of_row = |row: &Row| row.key.strip_prefix(LEDGER_PREFIX)?.parse().ok();
        teams.extend(rows.iter().filter_map(of_row));
        teams.sort();
        teams.dedup();
        let mut writes = 0;
        for team in teams {
            let row = rows.iter().find(|row| of_row(row).as_ref() == Some(&team));
            if writes < MAX_WRITES_PER_LOOK && self.update(&team, row, head.version).await? {
                writes += 1;
            }
        }
        Ok(writes)
    }

    /// Changes one team's row if this process would; returns whether it did.
    async fn update(
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
        let entry_count = self.network.peers().len() as u32 + 1;
        let watch = &self.watch;
        let next = self.shared.dispatcher.change(|admission| {
            let rights = admission.rights_mut();
            let is_reclaimable =
                |entry: &EntryId, incarnation| watch.is_reclaimable(now, entry, incarnation);
            let next = rights.plan(team, &current, entry_count, &is_reclaimable, now)?;
            rights.begin(team, &next);
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
        self.shared.dispatcher.change(|admission| {
            let rights = admission.rights_mut();
            rights.settle(team, was_applied);
            if was_applied {
                rights.observe(team, &next);
            }
        });
        Ok(was_applied)
    }

    /// Repeats a transaction until its result is certain.
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
                    sleep(jittered(RETRY_PAUSE)).await;
                }
            }
        }
    }
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

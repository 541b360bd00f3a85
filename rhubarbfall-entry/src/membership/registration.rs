use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use rand::RngExt;
use rhubarbfall_core::{EntryId, Incarnation, RowVersion};
use rhubarbfall_membership::Member;
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmState};
use tokio::time::sleep;

use crate::{Phase, Shared};

/// Prefix of the keys of entry rows.
const ENTRY_ROW_PREFIX: &str = "entry/";

/// Interval between attempts while the platform does not answer.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between scans of all entry rows; peers announce new entries sooner.
const SCAN_INTERVAL: Duration = Duration::from_secs(30);

/// Returns an incarnation greater than that of any earlier process on this VM.
///
/// Uses the wall clock while the table does not answer; the row corrects a clock that was set back.
pub(super) async fn choose_incarnation(shared: &Shared) -> Incarnation {
    let since_epoch = shared.clock.wall_time().duration_since(UNIX_EPOCH);
    let by_clock = since_epoch.map_or(1, |elapsed| elapsed.as_millis() as u64);
    let last = match own_row(shared).await {
        Ok(Some((_, member))) => member.incarnation.get(),
        _ => 0,
    };
    Incarnation::new(by_clock.max(last + 1))
}

/// Registers this entry, then scans the rows of all entries periodically.
pub(super) async fn run(shared: Arc<Shared>) {
    while let Err(error) = register(&shared).await {
        log::warn!("event=registration error={error}");
        sleep(jittered(RETRY_INTERVAL)).await;
    }
    loop {
        let interval = match read_members(&shared).await {
            Ok(()) => SCAN_INTERVAL,
            Err(error) => {
                log::warn!("event=member-scan error={error}");
                RETRY_INTERVAL
            }
        };
        sleep(jittered(interval)).await;
    }
}

fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.5..1.5))
}

async fn own_row(shared: &Shared) -> Result<Option<(RowVersion, Member)>, PlatformError> {
    let key = format!("{ENTRY_ROW_PREFIX}{}", shared.settings.entry.id);
    let row = shared.table.read(&key).await?;
    row.map(|row| Ok((row.version, row.parse()?))).transpose()
}

/// Writes this entry's row before the rows of the others are read, so that of two new entries at
/// least one sees the other.
async fn register(shared: &Shared) -> Result<(), PlatformError> {
    let Some(network) = shared.membership.network() else {
        return Ok(());
    };
    let identity = network.identity();
    let row = own_row(shared).await?;
    if let Some((_, member)) = &row
        && member.incarnation >= identity.incarnation
    {
        drain_if_superseded(shared, member.incarnation);
        return Ok(());
    }
    let version = row.map_or(RowVersion::default(), |(version, _)| version);
    let key = format!("{ENTRY_ROW_PREFIX}{}", identity.entry);
    let member = Member {
        zone: identity.zone.clone(),
        incarnation: identity.incarnation,
        address: identity.address,
    };
    let value = serde_json::to_value(&member)
        .map_err(|error| PlatformError::Malformed(Arc::from(error.to_string())))?;
    let id = TransactionId::new(
        format_args!("register:{}", identity.entry),
        identity.incarnation.get(),
        version.get(),
    );
    let transaction = Transaction::new(id)
        .expect(key.as_str(), version)
        .put(key.as_str(), value);
    shared.table.commit(&transaction).await.map(|_| ())
}

async fn read_members(shared: &Shared) -> Result<(), PlatformError> {
    let rows = shared.table.scan(ENTRY_ROW_PREFIX).await?;
    let vms = shared.vm_list.list().await?;
    let is_gone = |entry: &EntryId| {
        let mut vms = vms.iter().filter(|vm| vm.kind == VmKind::Entry);
        vms.any(|vm| vm.id.as_str() == entry.as_str() && vm.state == VmState::Gone)
    };
    let members = rows.iter().filter_map(|row| {
        let entry: EntryId = row.key.strip_prefix(ENTRY_ROW_PREFIX)?.parse().ok()?;
        Some((entry, row.parse::<Member>().ok()?))
    });
    let members: Vec<_> = members.collect();
    if let Some((_, own)) = members
        .iter()
        .find(|(entry, _)| *entry == shared.settings.entry.id)
    {
        drain_if_superseded(shared, own.incarnation);
    }
    let now = shared.clock.now();
    shared.membership.update(now, |state| {
        let (gone, present): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|(entry, _)| is_gone(entry));
        state.gossip.add_members(present);
        for (entry, _) in gone {
            state.gossip.remove_member(&entry);
        }
    });
    Ok(())
}

/// Begins a planned stop if a later process runs on this VM.
pub(super) fn drain_if_superseded(shared: &Shared, incarnation: Incarnation) {
    let now = shared.clock.now();
    let entry = &shared.settings.entry.id;
    let is_superseded = shared.membership.update(now, |state| {
        state.is_superseded |= state.gossip.is_superseded_by(entry, incarnation);
        state.is_superseded
    });
    if is_superseded == Some(true) {
        log::error!("event=superseded incarnation={incarnation}");
        shared.lifecycle.advance(Phase::Draining);
    }
}

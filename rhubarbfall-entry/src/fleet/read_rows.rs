use rhubarbfall_core::LiteMap;
use rhubarbfall_fleet::{Announcement, AnnouncementState, Rows, Versioned};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::maintenance::{self, MaintenanceRecord};
use rhubarbfall_platform::table::Row;
use serde::de::DeserializeOwned;

use super::EntryFleetRow;
use crate::Shared;

/// Reads the rows of pools, VMs and waves.
///
/// Pools are read first: a permit that is granted or released while the VMs are read changes the
/// pool's version, so that a transaction based on both fails its condition.
pub(super) async fn read_rows(shared: &Shared) -> Result<Rows, PlatformError> {
    let pools = shared.table.scan("pool/").await?;
    let vms = shared.table.scan("vm/").await?;
    let waves = shared.table.scan("wave/").await?;
    Ok(Rows {
        pools: parse(&pools, "pool/"),
        vms: parse(&vms, "vm/"),
        waves: parse(&waves, "wave/"),
    })
}

/// Reads the rows of all entries.
pub(super) async fn read_entries(shared: &Shared) -> Result<Vec<EntryFleetRow>, PlatformError> {
    let rows = shared.table.scan("fleet-entry/").await?;
    rows.iter().map(Row::parse).collect()
}

/// Reads the platform's maintenance announcements, sorted by VM and wave.
pub(super) async fn read_announcements(
    shared: &Shared,
) -> Result<Vec<Announcement>, PlatformError> {
    let records = shared.fleet.maintenance.list().await?;
    let mut list: Vec<Announcement> = records.into_iter().map(announcement).collect();
    list.sort_by(|a, b| (&a.vm, &a.wave).cmp(&(&b.vm, &b.wave)));
    Ok(list)
}

fn announcement(record: MaintenanceRecord) -> Announcement {
    Announcement {
        wave: record.wave,
        vm: record.vm,
        zone: record.availability_zone,
        rack: record.rack,
        due_at_unix_ms: record.due_at_unix_ms,
        state: match record.state {
            maintenance::MaintenanceState::Announced => AnnouncementState::Announced,
            maintenance::MaintenanceState::Permitted => AnnouncementState::Permitted,
            maintenance::MaintenanceState::Rebooting => AnnouncementState::Rebooting,
            maintenance::MaintenanceState::Done => AnnouncementState::Done,
        },
    }
}

fn parse<K, T>(rows: &[Row], prefix: &str) -> LiteMap<K, Versioned<T>>
where
    K: std::str::FromStr + Ord,
    T: DeserializeOwned,
{
    let parsed = rows.iter().filter_map(|row| {
        let id = row.key.strip_prefix(prefix)?.parse().ok()?;
        match row.parse() {
            Ok(value) => Some((id, Versioned::new(row.version, value))),
            Err(error) => {
                log::warn!("event=fleet-row error={error}");
                None
            }
        }
    });
    parsed.collect()
}

//! Lookups in the observation of a round.

use rhubarbfall_core::{AvailabilityZoneId, VmId, WaveId};

use crate::{Announcement, AnnouncementState, Observation, Purpose, VmRow, VmRowState};

pub(crate) fn zone_rows<'a, 'z>(
    observation: &'a Observation,
    zone: &'z AvailabilityZoneId,
) -> impl Iterator<Item = &'a VmRow> + use<'a, 'z> {
    let rows = observation.rows.vms.values().map(|row| &row.value);
    rows.filter(move |row| row.zone == *zone)
}

pub(crate) const fn wave_of_state(state: &VmRowState) -> Option<&WaveId> {
    match state {
        VmRowState::Draining {
            purpose: Purpose::Maintenance { wave },
        }
        | VmRowState::Rebooting { wave }
        | VmRowState::Proving { wave, .. } => Some(wave),
        VmRowState::Failed { wave } => wave.as_ref(),
        _ => None,
    }
}

pub(crate) fn find_announcement<'a>(
    observation: &'a Observation,
    vm: &VmId,
    wave: &WaveId,
) -> Option<&'a Announcement> {
    let list = observation.announcements.as_ref()?;
    let key = (vm, wave);
    let index = list.binary_search_by(|found| (&found.vm, &found.wave).cmp(&key));
    index.ok().map(|index| &list[index])
}

/// Returns the announcement of a reboot in `state` that had no permit, for a VM in service.
pub(crate) fn find_unpermitted_reboot<'a>(
    observation: &'a Observation,
    row: &VmRow,
    state: AnnouncementState,
) -> Option<&'a Announcement> {
    let list = observation.announcements.as_ref()?;
    let start = list.partition_point(|found| found.vm < row.vm);
    list[start..]
        .iter()
        .take_while(|found| found.vm == row.vm)
        .find(|found| found.state == state && row.last_wave.as_ref() != Some(&found.wave))
}

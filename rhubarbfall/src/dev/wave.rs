use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rhubarbfall_platform::maintenance::{MaintenanceRecord, MaintenanceState};
use rhubarbfall_testing::platform::{RebootEvent, StandInPlatform};
use rhubarbfall_testing::upstream::{UpstreamLog, UpstreamMode};

use super::checks::{Checks, Guarantee};
use super::dev_fleet::DevUpstream;
use super::example::{Example, MAX_UNAVAILABLE_VMS};

/// The identifier of the maintenance wave that a run announces.
const WAVE_ID: &str = "wave-1";

const REBOOT_TIME: Duration = Duration::from_millis(400);

/// The time from the announcement of the wave to its due time.
const TIME_UNTIL_DUE: Duration = Duration::from_hours(1);

/// Announces maintenance of every VM of the example's last service at the time `at`; the peak
/// period of that service is the last one of the run.
pub(super) async fn announce(
    example: Example,
    platform: StandInPlatform,
    upstreams: Vec<DevUpstream>,
    at: Instant,
) {
    platform.set_reboot_time(REBOOT_TIME);
    tokio::time::sleep_until(at.into()).await;
    let due = SystemTime::now() + TIME_UNTIL_DUE;
    let due = due.duration_since(UNIX_EPOCH).unwrap_or_default();
    let Ok(wave) = WAVE_ID.parse::<rhubarbfall_core::WaveId>() else {
        return;
    };
    for upstream in upstreams
        .iter()
        .filter(|up| belongs_to_last_service(&example, up))
    {
        platform.announce(MaintenanceRecord {
            wave: wave.clone(),
            vm: upstream.record.id.clone(),
            availability_zone: upstream.record.availability_zone.clone(),
            rack: upstream.record.rack.clone(),
            due_at_unix_ms: due.as_millis() as u64,
            state: MaintenanceState::Announced,
        });
    }
}

/// Makes upstreams refuse work while the platform reboots them. Checks at each reboot that no
/// request runs on the VM and that the availability budget holds.
pub(super) fn watch_reboots(
    platform: &StandInPlatform,
    upstreams: Vec<DevUpstream>,
    upstream_log: UpstreamLog,
    checks: Checks,
) {
    let down = AtomicU32::new(0);
    platform.on_reboot(move |vm, event| {
        let Some(upstream) = upstreams.iter().find(|up| up.record.id == *vm) else {
            return;
        };
        match event {
            RebootEvent::Down => {
                let running = upstream_log.report().running_by_upstream;
                let running = running.get(vm.as_str()).copied().unwrap_or(0);
                checks.check(Guarantee::GracefulStop, running == 0);
                let down_now = down.fetch_add(1, Ordering::SeqCst) + 1;
                let holds = down_now <= MAX_UNAVAILABLE_VMS;
                checks.check(Guarantee::AvailabilityBudget, holds);
                upstream.stand_in.set_mode(UpstreamMode::Refuse);
            }
            RebootEvent::Up => {
                down.fetch_sub(1, Ordering::SeqCst);
                upstream.stand_in.set_mode(UpstreamMode::Serve);
            }
        }
    });
}

fn belongs_to_last_service(example: &Example, upstream: &DevUpstream) -> bool {
    let name = upstream.record.id.as_str().rsplit_once('-');
    name.map(|(service, _)| service) == example.services.last().copied()
}

use rhubarbfall_routing::ClaimSettings;

use super::section_reader::SectionReader;
use super::{
    ControlSettings, EntrySettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings,
    QueueSettings, SecretSettings, SettingsError, StopSettings, TrafficSettings,
};
use crate::fleet::FleetSettings;

/// Rule for numbers that must not be zero.
const AT_LEAST_ONE: &str = "must be at least 1";

/// Settings of one process, by section.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity and location of the process.
    pub entry: EntrySettings,
    /// Addresses at which the process listens.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secrets that all processes of the fleet share.
    pub secrets: SecretSettings,
    /// Limits and timeouts of the request path.
    pub traffic: TrafficSettings,
    /// Intervals of the control thread, and the freshness bound.
    pub control: ControlSettings,
    /// Time limits of a planned stop.
    pub stop: StopSettings,
    /// Recording of claims for non-idempotent requests.
    pub claims: ClaimSettings,
    /// Loans of rights under the teams' upper limits.
    pub limits: LimitSettings,
    /// Limits of the queues.
    pub queues: QueueSettings,
    /// Maintenance waves and moves of VMs between pools.
    pub fleet: FleetSettings,
    /// Format and level of the log.
    pub log: LogSettings,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError::Syntax`] if the text is not valid TOML, and
    /// [`SettingsError::Invalid`] if the sections have faults. Both list every fault with its line,
    /// column and key.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let mut reader = SectionReader::new(text).map_err(SettingsError::Syntax)?;
        let entry = reader.required("entry");
        let listen = reader.required("listen");
        let platform = reader.required("platform");
        let secrets = reader.required("secrets");
        let traffic = reader.optional("traffic");
        let control = reader.optional("control");
        let stop = reader.optional("stop");
        let claims = reader.optional("claims");
        let limits = reader.optional("limits");
        let queues = reader.optional("queues");
        let fleet = reader.optional("fleet");
        let log = reader.optional("log");
        check_platform(platform.as_ref(), &mut reader);
        check_traffic(&traffic, &mut reader);
        check_control(&control, &mut reader);
        check_limits(&limits, &mut reader);
        check_fleet(&fleet, &mut reader);
        check_claims(&claims, &mut reader);
        check_log(&log, &mut reader);
        let faults = reader.finish();
        match (entry, listen, platform, secrets) {
            (Some(entry), Some(listen), Some(platform), Some(secrets)) if faults.is_empty() => {
                Ok(Self {
                    entry,
                    listen,
                    platform,
                    secrets,
                    traffic,
                    control,
                    stop,
                    claims,
                    limits,
                    queues,
                    fleet,
                    log,
                })
            }
            _ => Err(SettingsError::Invalid(faults)),
        }
    }
}

fn check_claims(claims: &ClaimSettings, reader: &mut SectionReader<'_>) {
    let numbers = [
        ("claims.window_ms", claims.window_ms),
        ("claims.max_wait_ms", claims.max_wait_ms),
        ("claims.append_interval_ms", claims.append_interval_ms),
        ("claims.append_burst", u64::from(claims.append_burst)),
        (
            "claims.max_claims_per_append",
            claims.max_claims_per_append as u64,
        ),
        (
            "claims.max_waiting_claims",
            claims.max_waiting_claims as u64,
        ),
    ];
    for (key, number) in numbers {
        reader.check_rule(key, number > 0, AT_LEAST_ONE);
    }
}

fn check_platform(platform: Option<&PlatformSettings>, reader: &mut SectionReader<'_>) {
    let timeout_ms = platform.map_or(1, |platform| platform.timeout_ms);
    reader.check_rule("platform.timeout_ms", timeout_ms > 0, AT_LEAST_ONE);
}

fn check_limits(limits: &LimitSettings, reader: &mut SectionReader<'_>) {
    reader.check_rule(
        "limits.loan_lease_ms",
        limits.loan_lease_ms > 0,
        AT_LEAST_ONE,
    );
    reader.check_rule(
        "limits.reserve_percent",
        limits.reserve_percent <= 100,
        "must be at most 100",
    );
}

fn check_traffic(traffic: &TrafficSettings, reader: &mut SectionReader<'_>) {
    let numbers = [
        ("traffic.threads", traffic.threads as u64),
        ("traffic.max_body_bytes", traffic.max_body_bytes as u64),
        (
            "traffic.max_buffered_bytes",
            traffic.max_buffered_bytes as u64,
        ),
        ("traffic.body_timeout_ms", traffic.body_timeout_ms),
        ("traffic.connect_timeout_ms", traffic.connect_timeout_ms),
        ("traffic.default_deadline_ms", traffic.default_deadline_ms),
    ];
    for (path, number) in numbers {
        reader.check_rule(path, number > 0, AT_LEAST_ONE);
    }
}

fn check_control(control: &ControlSettings, reader: &mut SectionReader<'_>) {
    let bound_ms = control.freshness_bound_ms;
    for (path, poll_ms) in [
        ("control.document_poll_ms", control.document_poll_ms),
        ("control.vm_list_poll_ms", control.vm_list_poll_ms),
    ] {
        reader.check_rule(path, poll_ms > 0, AT_LEAST_ONE);
        let rule = "must be below control.freshness_bound_ms";
        reader.check_rule(path, poll_ms < bound_ms, rule);
    }
}

fn check_fleet(fleet: &FleetSettings, reader: &mut SectionReader<'_>) {
    let numbers = [
        ("fleet.lease_ms", fleet.lease_ms),
        ("fleet.round_ms", fleet.round_ms),
        ("fleet.confirm_ms", fleet.confirm_ms),
        ("fleet.first_batch_vms", u64::from(fleet.first_batch_vms)),
    ];
    for (path, number) in numbers {
        reader.check_rule(path, number > 0, AT_LEAST_ONE);
    }
}

fn check_log(log: &LogSettings, reader: &mut SectionReader<'_>) {
    let is_level = log.level.parse::<log::LevelFilter>().is_ok();
    let rule = "must be off, error, warn, info, debug or trace";
    reader.check_rule("log.level", is_level, rule);
}

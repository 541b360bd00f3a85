use rhubarbfall_routing::ClaimSettings;

use super::section_reader::SectionReader;
use super::{
    ControlSettings, EntrySettings, ListenSettings, LogSettings, PlatformSettings, SecretSettings,
    SettingsError, StopSettings, TrafficSettings,
};

/// The rule of numbers that must not be zero.
const AT_LEAST_ONE: &str = "must be at least 1";

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who the process is and where it runs.
    pub entry: EntrySettings,
    /// Where it listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// The secrets that all processes of the fleet share.
    pub secrets: SecretSettings,
    /// Limits of the traffic side.
    pub traffic: TrafficSettings,
    /// Intervals of the control thread.
    pub control: ControlSettings,
    /// How a planned stop goes.
    pub stop: StopSettings,
    /// How non-idempotent requests are recorded.
    pub claims: ClaimSettings,
    /// What is logged and how.
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Syntax`] when the text is not TOML, [`SettingsError::Invalid`] when it is;
    /// each with every fault, its line, its column and its key.
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
        let log = reader.optional("log");
        check_platform(platform.as_ref(), &mut reader);
        check_traffic(&traffic, &mut reader);
        check_control(&control, &mut reader);
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
                    log,
                })
            }
            _ => Err(SettingsError::Invalid(faults)),
        }
    }
}

fn check_platform(platform: Option<&PlatformSettings>, reader: &mut SectionReader<'_>) {
    let timeout_ms = platform.map_or(1, |platform| platform.timeout_ms);
    reader.rule("platform.timeout_ms", timeout_ms > 0, AT_LEAST_ONE);
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
        reader.rule(path, number > 0, AT_LEAST_ONE);
    }
}

fn check_control(control: &ControlSettings, reader: &mut SectionReader<'_>) {
    let bound_ms = control.freshness_bound_ms;
    for (path, poll_ms) in [
        ("control.document_poll_ms", control.document_poll_ms),
        ("control.vm_list_poll_ms", control.vm_list_poll_ms),
    ] {
        reader.rule(path, poll_ms > 0, AT_LEAST_ONE);
        let rule = "must be below control.freshness_bound_ms";
        reader.rule(path, poll_ms < bound_ms, rule);
    }
}

fn check_log(log: &LogSettings, reader: &mut SectionReader<'_>) {
    let is_level = log.level.parse::<log::LevelFilter>().is_ok();
    let rule = "must be off, error, warn, info, debug or trace";
    reader.rule("log.level", is_level, rule);
}

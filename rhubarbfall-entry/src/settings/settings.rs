use std::sync::Arc;

use serde::Deserialize;

use crate::fleet::FleetSettings;

use super::{
    ControlSettings, EntrySettings, ListenSettings, LogSettings, PlatformSettings, SecretSettings,
    SettingsError, StopSettings, TrafficSettings,
};

/// The settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
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
    #[serde(default)]
    pub traffic: TrafficSettings,
    /// Intervals of the control thread.
    #[serde(default)]
    pub control: ControlSettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopSettings,
    /// How maintenance waves and moves go.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// What is logged and how.
    #[serde(default)]
    pub log: LogSettings,
}

impl Settings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError::Syntax`] with line and column, or [`SettingsError::Invalid`] with every
    /// rule that is broken.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| SettingsError::Syntax(Arc::from(error.to_string())))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let rules = [
            (
                self.traffic.threads > 0,
                "traffic.threads must be at least 1",
            ),
            (
                self.platform.timeout_ms > 0,
                "platform.timeout_ms must be at least 1",
            ),
            (
                self.control.document_poll_ms < self.control.freshness_bound_ms,
                "control.document_poll_ms must be below control.freshness_bound_ms",
            ),
            (
                self.log.level.parse::<log::LevelFilter>().is_ok(),
                "log.level must be off, error, warn, info, debug or trace",
            ),
        ];
        let faults: Vec<Arc<str>> = rules
            .iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, rule)| Arc::from(*rule))
            .collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(SettingsError::Invalid(faults))
        }
    }
}

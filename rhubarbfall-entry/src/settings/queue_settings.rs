use rhubarbfall_admission::AdmissionSettings;
use serde::Deserialize;

/// Limits of the queues at one entry.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Maximum number of requests that wait at the entry.
    pub max_waiting: u32,
    /// Maximum number of requests of one team that wait for one service.
    pub max_waiting_per_team: u32,
}

impl QueueSettings {
    /// Returns these settings in the form that the admission package uses.
    #[must_use]
    pub fn admission_settings(&self) -> AdmissionSettings {
        AdmissionSettings::default()
            .max_waiting(self.max_waiting)
            .max_waiting_per_team(self.max_waiting_per_team)
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        let bounds = AdmissionSettings::default();
        Self {
            max_waiting: bounds.max_waiting,
            max_waiting_per_team: bounds.max_waiting_per_team,
        }
    }
}

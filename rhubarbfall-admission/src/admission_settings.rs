/// Default for the maximum number of waiting requests at one entry, over all teams and services.
const DEFAULT_MAX_WAITING: u32 = 10_000;
/// Default for the maximum number of waiting requests of one team for one service at one entry.
const DEFAULT_MAX_WAITING_PER_TEAM: u32 = 2_000;

/// Bounds of the queues at one entry.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::AdmissionSettings;
///
/// let settings = AdmissionSettings::default().max_waiting(100);
/// assert_eq!(settings.max_waiting, 100);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The maximum number of waiting requests at this entry. Once it is reached, urgent requests
    /// displace batch requests, and batch requests are rejected.
    pub max_waiting: u32,
    /// The maximum number of waiting requests of one team for one service at this entry.
    pub max_waiting_per_team: u32,
}

impl AdmissionSettings {
    /// Sets the maximum number of waiting requests at this entry.
    #[must_use]
    pub const fn max_waiting(mut self, max_waiting: u32) -> Self {
        self.max_waiting = max_waiting;
        self
    }

    /// Sets the maximum number of waiting requests of one team for one service at this entry.
    #[must_use]
    pub const fn max_waiting_per_team(mut self, max_waiting_per_team: u32) -> Self {
        self.max_waiting_per_team = max_waiting_per_team;
        self
    }
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            max_waiting: DEFAULT_MAX_WAITING,
            max_waiting_per_team: DEFAULT_MAX_WAITING_PER_TEAM,
        }
    }
}

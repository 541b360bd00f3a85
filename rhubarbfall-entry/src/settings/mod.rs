//! Settings of one process: parsed from TOML and checked, with every fault reported at once.

mod limit_settings;
mod queue_settings;
mod section_reader;
mod sections;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod settings;
mod settings_error;

pub use limit_settings::LimitSettings;
pub use queue_settings::QueueSettings;
pub use sections::{
    ControlSettings, EntrySettings, ListenSettings, LogFormat, LogSettings, PlatformSettings,
    SecretSettings, StopSettings, TrafficSettings,
};
pub use settings::Settings;
pub use settings_error::SettingsError;

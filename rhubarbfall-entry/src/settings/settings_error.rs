use std::sync::Arc;

use quick_error::quick_error;
use rhubarbfall_core::ResultCode;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The text is not valid TOML, or has a key of the wrong name or type.
        Syntax(message: Arc<str>) {
            display("{message}")
        }
        /// Values break rules; each fault is one line.
        Invalid(faults: Vec<Arc<str>>) {
            display("{}", faults.join("\n"))
        }
    }
}

impl SettingsError {
    /// Returns the numbered result code.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Syntax(_) => ResultCode::SettingsSyntax,
            Self::Invalid(_) => ResultCode::SettingsInvalid,
        }
    }
}

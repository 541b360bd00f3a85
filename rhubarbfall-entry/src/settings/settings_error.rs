use quick_error::quick_error;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::TextFault;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The text is not valid TOML.
        Syntax(faults: Vec<TextFault>) {
            display("{}", lines(faults))
        }
        /// Keys are missing, unknown or of the wrong type, or values break rules.
        Invalid(faults: Vec<TextFault>) {
            display("{}", lines(faults))
        }
    }
}

fn lines(faults: &[TextFault]) -> String {
    let lines: Vec<String> = faults.iter().map(TextFault::to_string).collect();
    lines.join("\n")
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

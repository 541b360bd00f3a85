use quick_error::quick_error;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::TextFault;

quick_error! {
    /// Reason why settings cannot be used, with every fault.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SettingsError {
        /// The text is not valid TOML.
        Syntax(faults: Vec<TextFault>) {
            display("{}", join_lines(faults))
        }
        /// Keys are missing, unknown or of the wrong type, or values are out of range.
        Invalid(faults: Vec<TextFault>) {
            display("{}", join_lines(faults))
        }
    }
}

fn join_lines(faults: &[TextFault]) -> String {
    let lines: Vec<String> = faults.iter().map(TextFault::to_string).collect();
    lines.join("\n")
}

impl SettingsError {
    /// Returns the numbered result code for this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Syntax(_) => ResultCode::SettingsSyntax,
            Self::Invalid(_) => ResultCode::SettingsInvalid,
        }
    }
}

use std::process::ExitCode;

use rhubarbfall_core::{Execution, ResultCode};

/// What the command line's exit code tells a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The entry refused; nothing was changed.
    Refused = 1,
    /// The arguments, the settings or the document are wrong.
    Invalid = 2,
    /// The section has changed since the version that was edited.
    Conflict = 3,
    /// The key may not do this.
    Forbidden = 4,
    /// The change may have been made; a repeat with the same transaction id tells.
    UnknownOutcome = 5,
    /// No entry answered; nothing was changed.
    Unreachable = 6,
}

impl ExitStatus {
    /// Returns the status that stands for a result code.
    pub(crate) const fn from_result_code(code: ResultCode) -> Self {
        match code {
            ResultCode::SectionVersionConflict => Self::Conflict,
            ResultCode::DocumentSyntax | ResultCode::DocumentInvalid => Self::Invalid,
            ResultCode::SectionForbidden | ResultCode::OperatorKeyRefused => Self::Forbidden,
            _ => match code.execution() {
                Execution::Unknown => Self::UnknownOutcome,
                _ => Self::Refused,
            },
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

use std::process::ExitCode;

use rhubarbfall_core::{Execution, ResultCode};

/// Exit codes of failed commands, by kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The entry rejected the request and nothing was changed, or its response was malformed.
    Rejected = 1,
    /// The arguments, the settings, a file or the document are invalid.
    Invalid = 2,
    /// The section has changed since the version that was edited.
    Conflict = 3,
    /// The key does not permit the operation.
    Forbidden = 4,
    /// The change may have been made; a retry with the same transaction id gives its outcome.
    UnknownOutcome = 5,
    /// The entry could not be reached or did not respond. No change of the document was made; after
    /// a lost response, a change of a wave's status or a move of a VM may have been.
    Unreachable = 6,
}

impl ExitStatus {
    /// Returns the exit status for a result code.
    pub(crate) const fn from_result_code(code: ResultCode) -> Self {
        match code {
            ResultCode::SectionVersionConflict => Self::Conflict,
            ResultCode::DocumentSyntax | ResultCode::DocumentInvalid => Self::Invalid,
            ResultCode::SectionForbidden | ResultCode::OperatorKeyRefused => Self::Forbidden,
            _ => match code.execution() {
                Execution::Unknown => Self::UnknownOutcome,
                _ => Self::Rejected,
            },
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

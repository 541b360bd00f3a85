use rhubarbfall_core::ResultCode;

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is in the log, and only this process may run the request.
    Granted,
    /// The request was claimed before.
    Duplicate,
    /// The log could not be read or written in time; this process will not run the request.
    Unchecked,
}

impl ClaimVerdict {
    /// Returns the result code of a rejected claim, or `None` for a granted one.
    #[must_use]
    pub const fn rejection_code(self) -> Option<ResultCode> {
        match self {
            Self::Granted => None,
            Self::Duplicate => Some(ResultCode::DuplicateRequest),
            Self::Unchecked => Some(ResultCode::ClaimUnchecked),
        }
    }
}

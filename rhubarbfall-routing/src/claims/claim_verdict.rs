use rhubarbfall_core::ResultCode;

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The request is recorded, and this process alone may run it.
    Granted,
    /// The request was taken before.
    Duplicate,
    /// The log could not be read or written in time, and this process will not run the request.
    Unchecked,
}

impl ClaimVerdict {
    /// Returns the code of a refusal, or nothing for a granted claim.
    #[must_use]
    pub const fn rejection_code(self) -> Option<ResultCode> {
        match self {
            Self::Granted => None,
            Self::Duplicate => Some(ResultCode::DuplicateRequest),
            Self::Unchecked => Some(ResultCode::ClaimUnchecked),
        }
    }
}

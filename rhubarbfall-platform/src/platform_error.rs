use quick_error::quick_error;
use rhubarbfall_core::{ResultCode, RowVersion};
use std::sync::Arc;

quick_error! {
    /// Why a request to a service of the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The service could not be reached or responded with status 503; nothing took effect.
        Unavailable(reason: Arc<str>) {
            display("platform service unavailable: {reason}")
        }
        /// The request may have been sent and no complete response was received; it may have taken
        /// effect.
        ResponseLost(reason: Arc<str>) {
            display("no complete response from the platform service: {reason}")
        }
        /// A condition of the transaction does not hold: the row has the version `actual`. Nothing
        /// was written.
        ConditionFailed(key: Arc<str>, actual: RowVersion) {
            display("condition failed: row {key} is at version {actual}")
        }
        /// The response could not be decoded or has an unexpected HTTP status, or the request could
        /// not be encoded; a write may have taken effect.
        Malformed(reason: Arc<str>) {
            display("malformed response from the platform service: {reason}")
        }
    }
}

impl PlatformError {
    /// Returns the result code of this error.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unavailable(_) => ResultCode::PlatformUnavailable,
            Self::ResponseLost(_) => ResultCode::PlatformAnswerLost,
            Self::ConditionFailed(..) => ResultCode::ConditionFailed,
            Self::Malformed(_) => ResultCode::PlatformAnswerMalformed,
        }
    }

    /// Returns whether a write may have taken effect despite this error.
    #[must_use]
    pub const fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::ResponseLost(_) | Self::Malformed(_))
    }
}

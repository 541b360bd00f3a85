use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether an upstream executed a request.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::{Execution, ResultCode};
///
/// assert_eq!(ResultCode::QueueFull.execution(), Execution::NotRun);
/// assert_eq!(Execution::NotRun.to_string(), "not run");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Execution {
    /// No upstream has started the request, and none will.
    #[serde(rename = "not run")]
    NotRun,
    /// An upstream has executed the request to completion.
    Ran,
    /// An upstream may have started the request.
    Unknown,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

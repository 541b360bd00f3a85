use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::SubmissionId;

quick_error! {
    /// Why a text is not a valid task identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseTaskIdError {
        /// The text does not consist of four valid parts.
        Malformed(text: String) {
            display("{text:?} is not a task identifier, such as 5c0e7a21d94b36f8.0.1.17")
        }
    }
}

/// Identifies a task by submission, occurrence, step and index within the step.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::TaskId;
///
/// let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse()?;
/// assert_eq!((task.occurrence, task.step, task.index), (0, 1, 17));
/// assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
/// # Ok::<(), rhubarbfall_runs::ParseTaskIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The submission that the task belongs to.
    pub submission: SubmissionId,
    /// The number of the occurrence; 0 for a submission that runs once.
    pub occurrence: u32,
    /// The position of the step in the submission.
    pub step: u16,
    /// The index of the task within the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            submission,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{submission}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseTaskIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseTaskIdError::Malformed(text.to_owned());
        let (rest, index) = split_number(text).ok_or_else(malformed)?;
        let (rest, step) = split_number(rest).ok_or_else(malformed)?;
        let (submission, occurrence) = split_number(rest).ok_or_else(malformed)?;
        let submission = submission.parse().map_err(|_| malformed())?;
        Ok(Self {
            submission,
            occurrence,
            step,
            index,
        })
    }
}

/// Splits a text at its last dot, after which there must be a number.
fn split_number<T: FromStr>(text: &str) -> Option<(&str, T)> {
    let dot = text.bytes().rposition(|byte| byte == b'.')?;
    let number = text[dot + 1..].parse().ok()?;
    Some((&text[..dot], number))
}

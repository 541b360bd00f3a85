use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::SubmissionId;

use crate::TaskId;

quick_error! {
    /// Why a text is not a valid step identifier.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseStepIdError {
        /// The text does not consist of three valid parts.
        Malformed(text: String) {
            display("{text:?} is not a step identifier, such as 5c0e7a21d94b36f8.0.1")
        }
    }
}

/// Identifies a step in one occurrence of a submission.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::{StepId, TaskId};
///
/// let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse()?;
/// let step = StepId::of(&task);
/// assert_eq!(step.to_string(), "5c0e7a21d94b36f8.0.1");
/// assert_eq!("5c0e7a21d94b36f8.0.1".parse(), Ok(step));
/// # Ok::<(), rhubarbfall_runs::ParseTaskIdError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The submission that the step belongs to.
    pub submission: SubmissionId,
    /// The number of the occurrence; 0 for a submission that runs once.
    pub occurrence: u32,
    /// The position of the step in the submission.
    pub step: u16,
}

impl StepId {
    /// Returns the identifier of a task's step.
    #[must_use]
    pub fn of(task: &TaskId) -> Self {
        Self {
            submission: task.submission.clone(),
            occurrence: task.occurrence,
            step: task.step,
        }
    }

    /// Returns the identifier of the step's task with this index.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            submission: self.submission.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// Returns whether a task belongs to the step.
    #[must_use]
    pub fn contains(&self, task: &TaskId) -> bool {
        self.step == task.step
            && self.occurrence == task.occurrence
            && self.submission == task.submission
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.submission, self.occurrence, self.step)
    }
}

impl FromStr for StepId {
    type Err = ParseStepIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseStepIdError::Malformed(text.to_owned());
        // A step identifier is a task identifier without the index.
        let task: TaskId = format!("{text}.0").parse().map_err(|_| malformed())?;
        Ok(Self::of(&task))
    }
}

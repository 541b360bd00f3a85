use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use rhubarbfall_core::SubmissionId;

use crate::TaskId;

quick_error! {
    /// Why a text does not name a step.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum ParseStepIdError {
        /// The text does not have the three parts of a name.
        Malformed(text: String) {
            display("{text:?} is not a step's name, such as 5c0e7a21d94b36f8.0.1")
        }
    }
}

/// Names a step of one occurrence of a submission.
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
    /// The submission.
    pub submission: SubmissionId,
    /// The occurrence, 0 for a submission that runs once.
    pub occurrence: u32,
    /// The step.
    pub step: u16,
}

impl StepId {
    /// Returns the step of a task.
    #[must_use]
    pub fn of(task: &TaskId) -> Self {
        Self {
            submission: task.submission.clone(),
            occurrence: task.occurrence,
            step: task.step,
        }
    }

    /// Returns the task of the step with this index.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            submission: self.submission.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }

    /// Returns whether a task is one of the step.
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
        // A step's name is that of its tasks without their index.
        let task: TaskId = format!("{text}.0").parse().map_err(|_| malformed())?;
        Ok(Self::of(&task))
    }
}

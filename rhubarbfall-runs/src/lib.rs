//! Scheduling of submissions: the order in which tasks start, the worker and lease of each run, and
//! the state that a new owner takes over.
//!
//! The crate does no I/O: [`Scheduler`] takes events and the current time and returns actions to
//! carry out.

mod cell_layout;
mod done_tasks;
mod expected_ends;
mod fleet_config;
mod job;
pub mod lending;
mod occurrence_set;
mod progress;
mod record;
mod resources;
mod row_size;
pub mod scheduler;
mod stage_times;
mod step_id;
mod submission;
mod task;
mod task_id;
mod worker;
mod worker_events;

pub use cell_layout::{CellLayout, LayoutError, MAX_CELLS};
pub use done_tasks::{DoneTasks, TaskPosition, TaskRange};
pub use expected_ends::{ExpectedEnds, NEVER};
pub use fleet_config::{AdviceTiming, Customer, FleetConfig, Queue, Service};
pub use job::{Job, JobState, Occurrence, StepState};
pub use occurrence_set::OccurrenceSet;
pub use progress::{JobProgress, OpenTask, PlacedRun};
pub use record::{
    RecordError, decode_progress, decode_submission, decode_wave, encode_progress,
    encode_submission, encode_wave,
};
pub use resources::Resources;
pub use row_size::encode_progress_within;
pub use scheduler::Scheduler;
pub use stage_times::{Stage, StageTimes};
pub use step_id::{ParseStepIdError, StepId};
pub use submission::{Schedule, Step, Submission, SubmissionError};
pub use task::{Placement, RunState, Task, TaskPhase};
pub use task_id::{ParseTaskIdError, TaskId};
pub use worker::{Worker, WorkerState};
pub use worker_events::{
    ActiveRun, LeaseRenewalResponse, RunEnd, RunEndKind, StartOutcome, WorkerReport,
};

//! Encoding of submissions, job progress and wave progress as stored records.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use quick_error::quick_error;
use rhubarbfall_core::ParseIdError;

use crate::scheduler::{CalledVm, WaveProgress};
use crate::submission::MAX_ESTIMATE;
use crate::{
    JobProgress, JobState, OpenTask, PlacedRun, Resources, Schedule, Step, Submission,
    TaskPosition, TaskRange,
};

quick_error! {
    /// Why a stored record cannot be decoded.
    #[derive(Debug)]
    pub enum RecordError {
        /// The bytes are not a valid protobuf message of the expected type.
        Malformed(cause: prost::DecodeError) {
            from()
            display("malformed record: {cause}")
        }
        /// The record has no bytes, which an unreadable value is replaced by.
        Empty {
            display("empty record")
        }
        /// A name in the record is not a valid identifier.
        BadName(cause: ParseIdError) {
            from()
            display("invalid name in record: {cause}")
        }
        /// The record states more done tasks than a row can stand for.
        TooManyDone {
            display("too many done tasks in record")
        }
        /// The record contains a state number that this version does not know.
        UnknownState(number: u32) {
            display("unknown job state {number} in record")
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct SubmissionRecord {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(string, tag = "2")]
    queue: String,
    #[prost(string, optional, tag = "3")]
    customer: Option<String>,
    #[prost(string, tag = "4")]
    program: String,
    #[prost(message, repeated, tag = "5")]
    steps: Vec<StepRecord>,
    #[prost(message, optional, tag = "6")]
    schedule: Option<ScheduleRecord>,
    #[prost(uint64, tag = "7")]
    received_unix_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ScheduleRecord {
    #[prost(uint64, tag = "1")]
    first_due_unix_ms: u64,
    #[prost(uint64, tag = "2")]
    interval_ms: u64,
    #[prost(uint32, tag = "3")]
    occurrences: u32,
}

#[derive(Clone, PartialEq, Message)]
struct StepRecord {
    #[prost(uint32, tag = "1")]
    tasks: u32,
    #[prost(uint64, tag = "2")]
    cpu_millis: u64,
    #[prost(uint64, tag = "3")]
    memory_mb: u64,
    #[prost(uint64, tag = "4")]
    gpus: u64,
    #[prost(uint64, tag = "5")]
    estimate_ms: u64,
    #[prost(uint32, repeated, tag = "6")]
    after: Vec<u32>,
    #[prost(bool, tag = "7")]
    is_checkpointed: bool,
    #[prost(bool, tag = "8")]
    is_gang: bool,
    #[prost(bool, tag = "9")]
    wants_same_rack: bool,
    #[prost(string, optional, tag = "10")]
    required_label: Option<String>,
    #[prost(string, optional, tag = "11")]
    data_rack: Option<String>,
    #[prost(uint32, optional, tag = "12")]
    max_per_worker: Option<u32>,
    #[prost(bool, tag = "13")]
    is_speculative: bool,
    #[prost(bool, tag = "14")]
    is_long_running: bool,
    #[prost(string, optional, tag = "15")]
    image: Option<String>,
    #[prost(uint64, optional, tag = "16")]
    tail_latency_target_ms: Option<u64>,
    #[prost(bool, tag = "17")]
    is_best_effort: bool,
    #[prost(uint32, tag = "18")]
    max_unavailable: u32,
}

#[derive(Clone, PartialEq, Message)]
struct ProgressRecord {
    #[prost(uint32, tag = "1")]
    state: u32,
    #[prost(bool, tag = "2")]
    has_begun: bool,
    /// Occurrence, step and index of each done task, flattened.
    #[prost(uint32, repeated, tag = "3")]
    done: Vec<u32>,
    #[prost(message, repeated, tag = "4")]
    open: Vec<OpenTaskRecord>,
    #[prost(bool, tag = "5")]
    has_started: bool,
    /// The number of leading occurrences of which every task is done, with `done_ranges` only.
    #[prost(uint32, tag = "6")]
    done_occurrences: u32,
    /// In place of `done`: occurrence, step, first index and number of consecutive done tasks,
    /// flattened, for the occurrences after the leading ones.
    #[prost(uint32, repeated, tag = "7")]
    done_ranges: Vec<u32>,
}

/// The state number of an active job whose done tasks are stored as ranges. Earlier versions do not
/// know it: they show the job as failed instead of running its done tasks again.
const ACTIVE_WITH_RANGES: u32 = 4;

/// The maximum number of done tasks that the ranges of a record stand for. Earlier versions hold each
/// of them in memory.
pub(crate) const MAX_DONE_IN_RANGES: u64 = 1_000_000;

#[derive(Clone, PartialEq, Message)]
struct OpenTaskRecord {
    #[prost(uint32, repeated, tag = "1")]
    position: Vec<u32>,
    #[prost(uint32, tag = "2")]
    failures: u32,
    #[prost(uint64, tag = "3")]
    last_run: u64,
    #[prost(string, optional, tag = "4")]
    checkpoint: Option<String>,
    #[prost(string, optional, tag = "5")]
    worker: Option<String>,
    #[prost(uint64, tag = "6")]
    incarnation_unix_ms: u64,
    #[prost(uint64, tag = "7")]
    run: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WaveRecord {
    #[prost(uint64, tag = "1")]
    first_seen_unix_ms: u64,
    #[prost(message, repeated, tag = "2")]
    called: Vec<CalledRecord>,
    /// Digests of the VMs that are back from their maintenance, where their names do not fit.
    #[prost(fixed64, repeated, tag = "3")]
    returned_digests: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct CalledRecord {
    #[prost(string, tag = "1")]
    vm: String,
    #[prost(string, optional, tag = "2")]
    worker: Option<String>,
    #[prost(bool, tag = "3")]
    has_begun: bool,
}

/// Encodes the progress of a wave as a stored record.
#[must_use]
pub fn encode_wave(progress: &WaveProgress) -> Vec<u8> {
    let called = progress.called.iter().map(|called| CalledRecord {
        vm: called.vm.to_string(),
        worker: called.worker.as_ref().map(ToString::to_string),
        has_begun: called.has_begun,
    });
    let record = WaveRecord {
        first_seen_unix_ms: progress.first_seen_unix_ms,
        called: called.collect(),
        returned_digests: progress.returned_digests.clone(),
    };
    record.encode_to_vec()
}

/// Decodes the progress of a wave.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are not a valid wave record.
pub fn decode_wave(bytes: &[u8]) -> Result<WaveProgress, RecordError> {
    let record = WaveRecord::decode(bytes)?;
    let called = record.called.into_iter().map(|called| {
        Ok::<_, RecordError>(CalledVm {
            vm: called.vm.parse()?,
            worker: called.worker.map(|id| id.parse()).transpose()?,
            has_begun: called.has_begun,
        })
    });
    Ok(WaveProgress {
        first_seen_unix_ms: record.first_seen_unix_ms,
        called: called.collect::<Result<_, _>>()?,
        returned_digests: record.returned_digests,
    })
}

/// Encodes a submission as a stored record.
#[must_use]
pub fn encode_submission(submission: &Submission) -> Vec<u8> {
    let text = |value: &Option<Arc<str>>| value.as_deref().map(str::to_owned);
    let steps = submission.steps.iter().map(|step| StepRecord {
        tasks: step.tasks,
        cpu_millis: step.demand.cpu_millis,
        memory_mb: step.demand.memory_mb,
        gpus: step.demand.gpus,
        estimate_ms: step.estimate.as_millis() as u64,
        after: step
            .after
            .iter()
            .map(|earlier| u32::from(*earlier))
            .collect(),
        is_checkpointed: step.is_checkpointed,
        is_gang: step.is_gang,
        wants_same_rack: step.wants_same_rack,
        required_label: text(&step.required_label),
        data_rack: step.data_rack.as_ref().map(ToString::to_string),
        max_per_worker: step.max_per_worker,
        is_speculative: step.is_speculative,
        is_long_running: step.is_long_running,
        image: text(&step.image),
        tail_latency_target_ms: step
            .tail_latency_target
            .map(|target| target.as_millis() as u64),
        is_best_effort: step.is_best_effort,
        max_unavailable: step.max_unavailable,
    });
    let record = SubmissionRecord {
        id: submission.id.to_string(),
        queue: submission.queue.to_string(),
        customer: submission.customer.as_ref().map(ToString::to_string),
        program: submission.program.to_string(),
        steps: steps.collect(),
        schedule: submission.schedule.map(|schedule| ScheduleRecord {
            first_due_unix_ms: schedule.first_due_unix_ms,
            interval_ms: schedule.interval_ms,
            occurrences: schedule.occurrences,
        }),
        received_unix_ms: submission.received_unix_ms,
    };
    record.encode_to_vec()
}

/// Decodes a submission.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are not a valid submission record.
pub fn decode_submission(bytes: &[u8]) -> Result<Submission, RecordError> {
    let record = SubmissionRecord::decode(bytes)?;
    let steps = record.steps.into_iter().map(decode_step);
    Ok(Submission {
        id: record.id.parse()?,
        queue: record.queue.parse()?,
        customer: record.customer.map(|name| name.parse()).transpose()?,
        program: Arc::from(record.program),
        steps: steps.collect::<Result<_, _>>()?,
        schedule: record.schedule.map(|schedule| Schedule {
            first_due_unix_ms: schedule.first_due_unix_ms,
            interval_ms: schedule.interval_ms,
            occurrences: schedule.occurrences,
        }),
        received_unix_ms: record.received_unix_ms,
    })
}

fn decode_step(record: StepRecord) -> Result<Step, RecordError> {
    Ok(Step {
        tasks: record.tasks,
        demand: Resources {
            cpu_millis: record.cpu_millis,
            memory_mb: record.memory_mb,
            gpus: record.gpus,
        },
        estimate: Duration::from_millis(record.estimate_ms).min(MAX_ESTIMATE),
        after: record.after.into_iter().map(|step| step as u16).collect(),
        is_checkpointed: record.is_checkpointed,
        is_gang: record.is_gang,
        wants_same_rack: record.wants_same_rack,
        required_label: record.required_label.map(Arc::from),
        data_rack: record.data_rack.map(|rack| rack.parse()).transpose()?,
        max_per_worker: record.max_per_worker,
        is_speculative: record.is_speculative,
        is_long_running: record.is_long_running,
        image: record.image.map(Arc::from),
        tail_latency_target: record.tail_latency_target_ms.map(Duration::from_millis),
        is_best_effort: record.is_best_effort,
        max_unavailable: record.max_unavailable,
    })
}

/// Encodes the progress of a job as a stored record.
#[must_use]
pub fn encode_progress(progress: &JobProgress) -> Vec<u8> {
    let record = ProgressRecord {
        state: match progress.state {
            JobState::Active => 0,
            JobState::Completed => 1,
            JobState::Failed => 2,
            JobState::Cancelled => 3,
        },
        done: progress.done.positions().flat_map(flatten).collect(),
        ..progress_record(progress)
    };
    record.encode_to_vec()
}

/// Encodes the progress of an active job as a stored record in which the done tasks take little
/// space.
pub(crate) fn encode_progress_with_ranges(progress: &JobProgress) -> Vec<u8> {
    let leading = progress.done_occurrences;
    let ranges = progress.done.ranges().iter();
    let later = ranges.filter(|range| range.occurrence >= leading);
    let numbers = later.flat_map(|range| {
        let step = u32::from(range.step);
        [range.occurrence, step, range.first, range.count]
    });
    let record = ProgressRecord {
        state: ACTIVE_WITH_RANGES,
        done_occurrences: leading,
        done_ranges: numbers.collect(),
        ..progress_record(progress)
    };
    record.encode_to_vec()
}

fn flatten((occurrence, step, index): TaskPosition) -> [u32; 3] {
    [occurrence, u32::from(step), index]
}

/// Returns a record without the state and the done tasks.
fn progress_record(progress: &JobProgress) -> ProgressRecord {
    let open = progress.open.iter().map(|task| {
        let placed = task.placed.as_ref();
        OpenTaskRecord {
            position: flatten(task.position).to_vec(),
            failures: task.failures,
            last_run: task.last_run,
            checkpoint: task.checkpoint.as_deref().map(str::to_owned),
            worker: placed.map(|placed| placed.worker.to_string()),
            incarnation_unix_ms: placed.map_or(0, |placed| placed.incarnation_unix_ms),
            run: placed.map_or(0, |placed| placed.run),
        }
    });
    ProgressRecord {
        has_begun: progress.has_begun,
        has_started: progress.has_started,
        open: open.collect(),
        ..ProgressRecord::default()
    }
}

/// Decodes the progress of a job.
///
/// # Errors
///
/// Returns [`RecordError`] if the bytes are not a valid progress record. Progress is stored only once
/// a job has begun or ended, so that a valid record is never empty.
pub fn decode_progress(bytes: &[u8]) -> Result<JobProgress, RecordError> {
    if bytes.is_empty() {
        return Err(RecordError::Empty);
    }
    let record = ProgressRecord::decode(bytes)?;
    let state = match record.state {
        0 | ACTIVE_WITH_RANGES => JobState::Active,
        1 => JobState::Completed,
        2 => JobState::Failed,
        3 => JobState::Cancelled,
        other => return Err(RecordError::UnknownState(other)),
    };
    let open = record.open.into_iter().map(|task| {
        let (incarnation_unix_ms, run) = (task.incarnation_unix_ms, task.run);
        let placed = task.worker.map(|worker| {
            let worker = worker.parse()?;
            Ok::<_, ParseIdError>(PlacedRun {
                worker,
                incarnation_unix_ms,
                run,
            })
        });
        Ok::<_, RecordError>(OpenTask {
            position: decode_position(&task.position),
            failures: task.failures,
            last_run: task.last_run,
            checkpoint: task.checkpoint.map(Arc::from),
            placed: placed.transpose()?,
        })
    });
    let single = record.done.chunks_exact(3).map(decode_position);
    let done = single
        .map(TaskRange::from)
        .chain(decode_ranges(&record.done_ranges)?)
        .collect();
    Ok(JobProgress {
        state,
        has_begun: record.has_begun,
        has_started: record.has_started,
        done_occurrences: record.done_occurrences,
        done,
        open: open.collect::<Result<_, _>>()?,
    })
}

fn decode_ranges(
    numbers: &[u32],
) -> Result<impl Iterator<Item = TaskRange> + use<'_>, RecordError> {
    let ranges = numbers.as_chunks::<4>().0;
    let count: u64 = ranges.iter().map(|[.., count]| u64::from(*count)).sum();
    if count > MAX_DONE_IN_RANGES {
        return Err(RecordError::TooManyDone);
    }
    Ok(ranges
        .iter()
        .map(|[occurrence, step, first, count]| TaskRange {
            occurrence: *occurrence,
            step: *step as u16,
            first: *first,
            count: *count,
        }))
}

fn decode_position(numbers: &[u32]) -> TaskPosition {
    let number = |index: usize| numbers.get(index).copied().unwrap_or_default();
    (number(0), number(1) as u16, number(2))
}

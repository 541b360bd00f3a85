//! Keeps the rows of jobs and waves within the size that the store accepts. A job whose progress
//! would not fit starts its tasks a part at a time: an open task takes many times the space of one
//! that is done.

use rhubarbfall_core::VmId;

use crate::record::{encode_progress, encode_progress_with_ranges, encode_wave};
use crate::scheduler::WaveProgress;
use crate::{DoneTasks, Job, JobProgress, Step, TaskPhase};

/// The space of an open task in bytes, without its checkpoint and the name of its worker: the
/// longest encoding of its numbers.
const OPEN_TASK_BYTES: usize = 48;

/// The least space of a done task in bytes: its occurrence, step and index.
const MIN_DONE_TASK_BYTES: u64 = 3;

/// The longest name of a worker in bytes.
const MAX_WORKER_NAME_BYTES: usize = 128;

/// The space of the other fields of a progress row in bytes.
const FIXED_BYTES: usize = 32;

/// The space that a checkpoint takes besides its text, in bytes.
const CHECKPOINT_FIELD_BYTES: usize = 8;

/// Encodes the progress of a job within `max_bytes`. Done tasks are stored as ranges if they would
/// not fit otherwise. Checkpoints that do not fit are left out: their tasks begin anew at the next
/// owner.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::{JobProgress, decode_progress, encode_progress_within};
///
/// let progress = JobProgress {
///     has_begun: true,
///     done: (0..5_000).map(|index| (0, 0, index)).collect(),
///     ..JobProgress::default()
/// };
/// let row = encode_progress_within(&progress, 1_024);
/// assert!(row.len() <= 1_024);
/// assert_eq!(decode_progress(&row).unwrap().done, progress.done);
/// ```
#[must_use]
pub fn encode_progress_within(progress: &JobProgress, max_bytes: usize) -> Vec<u8> {
    if let Some(whole) = encode_whole_within(progress, max_bytes) {
        return whole;
    }
    let mut reduced = progress.clone();
    if reduced.state.is_final() {
        reduced.done = DoneTasks::default();
        reduced.open.retain(|task| task.placed.is_some());
    }
    let checkpoints: Vec<_> = reduced
        .open
        .iter_mut()
        .map(|task| task.checkpoint.take())
        .collect();
    let is_whole = reduced.state.is_final() || encode_whole_within(&reduced, max_bytes).is_some();
    let encode = if is_whole {
        encode_progress
    } else {
        encode_progress_with_ranges
    };
    let mut free = max_bytes.saturating_sub(encode(&reduced).len());
    let mut omitted = 0;
    for (task, checkpoint) in reduced.open.iter_mut().zip(checkpoints) {
        let bytes = checkpoint
            .as_ref()
            .map_or(0, |text| text.len() + CHECKPOINT_FIELD_BYTES);
        if bytes <= free {
            free -= bytes;
            task.checkpoint = checkpoint;
        } else {
            omitted += 1;
        }
    }
    if omitted > 0 {
        log::warn!("event=checkpoints_not_stored tasks={omitted} max_bytes={max_bytes}");
    }
    encode(&reduced)
}

/// Encodes the progress of a job without ranges if that fits into `max_bytes`. A record without
/// ranges states the done tasks of the leading occurrences, too.
fn encode_whole_within(progress: &JobProgress, max_bytes: usize) -> Option<Vec<u8>> {
    let first = progress.done.ranges().first();
    let states_leading = first.is_some_and(|range| range.occurrence == 0);
    let needs_ranges =
        progress.done_occurrences > 0 && !states_leading && !progress.state.is_final();
    let min_bytes = progress.done.count().saturating_mul(MIN_DONE_TASK_BYTES);
    if needs_ranges || min_bytes > max_bytes as u64 {
        return None;
    }
    let whole = encode_progress(progress);
    (whole.len() <= max_bytes).then_some(whole)
}

/// Returns whether the progress row of a job fits into `max_bytes` whatever its workers are called,
/// which holds for all but large jobs.
pub(crate) fn always_fits(job: &Job, max_bytes: usize) -> bool {
    let open_bytes = OPEN_TASK_BYTES + MAX_WORKER_NAME_BYTES;
    FIXED_BYTES + bytes_after_gap(job) + job.begun_tasks() * open_bytes <= max_bytes
}

/// Returns the space of the done occurrences that follow one which is not done.
fn bytes_after_gap(job: &Job) -> usize {
    let steps = || job.submission.steps.iter().enumerate();
    let of_occurrence = |occurrence: u32| {
        let of_step = |(number, step): (usize, &Step)| {
            range_bytes(occurrence, number, 0, step.tasks as usize)
        };
        steps().map(of_step).sum::<usize>()
    };
    job.done.after_gap().map(of_occurrence).sum()
}

/// Returns how many tasks that were never placed a job may place now, so that its progress row fits
/// into `max_bytes`, with workers' names of at most `worker_name_bytes`.
///
/// A task that ends frees space: a range of done tasks is shorter than an open task.
pub(crate) fn room_for_new_tasks(job: &Job, max_bytes: usize, worker_name_bytes: usize) -> usize {
    let open_bytes = OPEN_TASK_BYTES + worker_name_bytes;
    let mut used = FIXED_BYTES + bytes_after_gap(job);
    let room = max_bytes.saturating_sub(used) / open_bytes;
    let begun = job.begun_tasks();
    if begun <= room {
        return begun;
    }
    for occurrence in &job.occurrences {
        for (number, step) in occurrence.steps.iter().enumerate() {
            let mut first_done = None;
            for (index, task) in step.tasks.iter().enumerate() {
                if task.phase == TaskPhase::Done {
                    first_done.get_or_insert(index);
                    continue;
                }
                if let Some(first) = first_done.take() {
                    used += range_bytes(occurrence.number, number, first, index - first);
                }
                if task.last_run > 0 {
                    let own = task
                        .placement()
                        .map_or(0, |placed| placed.worker.as_str().len());
                    used += OPEN_TASK_BYTES + own.max(worker_name_bytes);
                }
            }
            if let Some(first) = first_done {
                let count = step.tasks.len() - first;
                used += range_bytes(occurrence.number, number, first, count);
            }
        }
    }
    max_bytes.saturating_sub(used) / open_bytes
}

/// Encodes the progress of a wave within `max_bytes`. VMs that are back from their maintenance are
/// stored as digests if their names would not fit. An earlier version does not know the digests and
/// calls for these VMs again, which the VM service answers without another maintenance.
pub(crate) fn encode_wave_within(
    progress: &WaveProgress,
    is_returned: impl Fn(&VmId) -> bool,
    max_bytes: usize,
) -> Vec<u8> {
    let whole = encode_wave(progress);
    if whole.len() <= max_bytes {
        return whole;
    }
    let (returned, called): (Vec<_>, Vec<_>) = progress
        .called
        .iter()
        .cloned()
        .partition(|called| called.has_begun && is_returned(&called.vm));
    encode_wave(&WaveProgress {
        first_seen_unix_ms: progress.first_seen_unix_ms,
        called,
        returned_digests: returned
            .iter()
            .map(|called| vm_digest(&called.vm))
            .collect(),
    })
}

/// Returns the FNV-1a hash of a VM's name, which is the same for every version and machine.
pub(crate) fn vm_digest(vm: &VmId) -> u64 {
    let bytes = vm.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

fn range_bytes(occurrence: u32, step: usize, first: usize, count: usize) -> usize {
    let numbers = [occurrence as usize, step, first, count];
    numbers.iter().map(|number| varint_bytes(*number)).sum()
}

/// Returns the length of a number in a record, which holds seven bits a byte.
const fn varint_bytes(number: usize) -> usize {
    let bits = usize::BITS - (number | 1).leading_zeros();
    bits.div_ceil(7) as usize
}

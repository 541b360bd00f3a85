//! Decides how many VMs of a maintenance wave are drained now.
//!
//! The load: a wave over half of the VMs is requested together with a turn of a queue that needs most
//! of them. VMs in maintenance do no work for seconds. A wave spreads its VMs evenly over the time that
//! it has, and takes only VMs that no pool needs or is about to need. It takes others when its VMs
//! would otherwise not fit any more into what is left of its time. A part of that time is kept for an
//! owner that is lost and a store that is out of reach, since both hold up all calls.

use std::time::Duration;

/// How long no call may be possible while an owner is replaced and the store is out of reach.
const OUTAGE_MARGIN: Duration = Duration::from_secs(8);

/// The part of a wave's time that the margin takes at the most.
const MAX_MARGIN_SHARE: f64 = 0.4;

/// How long a VM is taken to be out of service before one of the wave has come back: twice what
/// maintenance takes.
const INITIAL_CYCLE: Duration = Duration::from_secs(4);

/// The weight of [`INITIAL_CYCLE`] in the mean, in VMs.
const INITIAL_CYCLE_WEIGHT: u32 = 2;

/// The time that a wave without any counts as having.
const MIN_USABLE_TIME: Duration = Duration::from_millis(1);

/// How many VMs of a small wave may be ahead of the even pace, and in progress together.
const MIN_STEP_VMS: usize = 2;

/// How long the VMs of a wave are out of service, from their drain to their return.
#[derive(Debug, Clone, Copy, Default)]
pub struct VmCycle {
    total: Duration,
    vms: u32,
}

impl VmCycle {
    /// Adds a VM that has come back.
    pub fn add(&mut self, took: Duration) {
        self.total += took;
        self.vms += 1;
    }

    /// Returns the mean, starting from a value that is longer than usual.
    #[must_use]
    pub fn mean(&self) -> Duration {
        (self.total + INITIAL_CYCLE * INITIAL_CYCLE_WEIGHT) / (self.vms + INITIAL_CYCLE_WEIGHT)
    }
}

/// A wave, and what is left of it.
#[derive(Debug, Clone, Copy)]
pub struct WaveLoad {
    /// The number of VMs of the wave.
    pub vms: usize,
    /// The VMs whose maintenance has not begun, with those that are being drained.
    pub not_begun: usize,
    /// The VMs that are neither drained nor called for.
    pub waiting: usize,
    /// The VMs that are being drained or are away, without those that long-running tasks have yet
    /// to leave.
    pub in_progress: usize,
    /// How many VMs may be away at the same time.
    pub max_down: usize,
    /// The time since the wave was requested.
    pub elapsed: Duration,
    /// The time that the wave may take.
    pub duration: Duration,
    /// How long a VM is out of service.
    pub cycle: Duration,
    /// The VMs that exist beyond what pools need or are about to need.
    pub room: usize,
}

/// Why a wave goes as fast as it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceReason {
    /// It is spread evenly over its time.
    Even,
    /// Pools need the VMs, and there is time.
    Yields,
    /// What is left just fits into the time.
    Deadline,
    /// Its time, without the margin, is over.
    Overdue,
}

/// How many more VMs of a wave may be drained now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WavePace {
    /// How many in all.
    pub more: usize,
    /// How many of them may be VMs that pools count on.
    pub more_in_service: usize,
    /// What decided.
    pub reason: PaceReason,
}

/// Returns how many more VMs of a wave may be drained now.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use rhubarbfall_runs::scheduler::{PaceReason, WaveLoad, wave_pace};
///
/// let begins = WaveLoad {
///     vms: 100,
///     not_begun: 100,
///     waiting: 100,
///     in_progress: 0,
///     max_down: 40,
///     elapsed: Duration::from_secs(1),
///     duration: Duration::from_secs(28),
///     cycle: Duration::from_secs(2),
///     room: 0,
/// };
/// let pace = wave_pace(&begins);
/// assert_eq!((pace.more_in_service, pace.reason), (0, PaceReason::Yields));
/// let later = WaveLoad { elapsed: Duration::from_secs(15), ..begins };
/// assert_eq!(wave_pace(&later).reason, PaceReason::Deadline);
/// ```
#[must_use]
pub fn wave_pace(load: &WaveLoad) -> WavePace {
    let time_left = usable_time(load.duration).saturating_sub(load.elapsed);
    let free_places = |limit: usize| limit.saturating_sub(load.in_progress).min(load.waiting);
    let urgent = |limit: usize, reason| WavePace {
        more: free_places(limit),
        more_in_service: free_places(limit),
        reason,
    };
    if time_left.is_zero() {
        return urgent(load.max_down, PaceReason::Overdue);
    }
    let needed = load.not_begun as f64 * load.cycle.div_duration_f64(time_left);
    let limit = (needed.ceil() as usize)
        .max(MIN_STEP_VMS)
        .min(load.max_down);
    if is_pressing(load.not_begun, load.max_down, load.cycle, time_left) {
        return urgent(limit, PaceReason::Deadline);
    }
    let passed = load.elapsed.div_duration_f64(usable_time(load.duration));
    let due = (load.vms as f64 * passed).ceil() as usize + MIN_STEP_VMS;
    let begun = load.vms - load.waiting;
    let more = free_places(limit).min(due.saturating_sub(begun));
    let more_in_service = more.min(load.room);
    let reason = if more_in_service < more {
        PaceReason::Yields
    } else {
        PaceReason::Even
    };
    WavePace {
        more,
        more_in_service,
        reason,
    }
}

/// Returns whether a wave is so late that it does not wait for tasks to end: fewer of its VMs have begun
/// than the even pace asks for, and what is left does not fit into its time with half of the margin.
/// The other half is left for tasks to end after the wave has begun to press.
#[must_use]
pub(super) fn is_too_late_to_wait(load: &WaveLoad) -> bool {
    let usable = usable_time(load.duration);
    let passed = load.elapsed.div_duration_f64(usable.max(MIN_USABLE_TIME));
    let begun = load.vms - load.not_begun + load.max_down;
    let is_behind = passed > begun as f64 / load.vms.max(1) as f64;
    let last_time = usable + load.duration.saturating_sub(usable) / 2;
    let time_left = last_time.saturating_sub(load.elapsed);
    is_behind && is_pressing(load.not_begun, load.max_down, load.cycle, time_left)
}

/// Returns whether what is left of a wave takes the time that is left, with as many VMs away as may
/// be.
fn is_pressing(not_begun: usize, max_down: usize, cycle: Duration, time_left: Duration) -> bool {
    let rounds = not_begun.div_ceil(max_down.max(1));
    cycle.mul_f64(rounds as f64) >= time_left
}

/// Returns the time in which a wave is to be done, without the margin.
fn usable_time(duration: Duration) -> Duration {
    duration.saturating_sub(OUTAGE_MARGIN.min(duration.mul_f64(MAX_MARGIN_SHARE)))
}

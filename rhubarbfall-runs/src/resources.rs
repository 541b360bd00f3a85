use std::fmt;
use std::ops::{Add, AddAssign, SubAssign};

/// An amount of CPU, memory and GPUs: the demand of a task or the capacity of a worker.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::Resources;
///
/// let task = Resources { cpu_millis: 500, memory_mb: 256, gpus: 0 };
/// let worker = Resources { cpu_millis: 4_000, memory_mb: 8_192, gpus: 1 };
/// assert!(task.fits_in(worker));
/// assert_eq!(worker.saturating_sub(task).cpu_millis, 3_500);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Resources {
    /// CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of GPUs.
    pub gpus: u64,
}

impl Resources {
    /// Returns whether no component exceeds that of `available`.
    #[must_use]
    pub const fn fits_in(self, available: Self) -> bool {
        self.cpu_millis <= available.cpu_millis
            && self.memory_mb <= available.memory_mb
            && self.gpus <= available.gpus
    }

    /// Subtracts each component, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }

    /// Multiplies each component by `factor`, saturating at the largest number.
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(factor),
            memory_mb: self.memory_mb.saturating_mul(factor),
            gpus: self.gpus.saturating_mul(factor),
        }
    }

    /// Returns the component-wise maximum.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the component-wise minimum.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns the largest ratio of a component to that of `whole`; components that are zero in
    /// `whole` are ignored.
    #[must_use]
    pub fn fraction_of(self, whole: Self) -> f64 {
        let share = |part: u64, whole: u64| {
            if whole == 0 {
                0.0
            } else {
                part as f64 / whole as f64
            }
        };
        share(self.cpu_millis, whole.cpu_millis)
            .max(share(self.memory_mb, whole.memory_mb))
            .max(share(self.gpus, whole.gpus))
    }

    /// Returns whether no component exceeds that of `limit`, where zero means no limit.
    #[must_use]
    pub const fn is_within_limit(self, limit: Self) -> bool {
        (limit.cpu_millis == 0 || self.cpu_millis <= limit.cpu_millis)
            && (limit.memory_mb == 0 || self.memory_mb <= limit.memory_mb)
            && (limit.gpus == 0 || self.gpus <= limit.gpus)
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = self.saturating_sub(other);
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}mcpu/{}MB/{}gpu",
            self.cpu_millis, self.memory_mb, self.gpus
        )
    }
}

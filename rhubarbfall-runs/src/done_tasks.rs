//! The tasks of a job that are done, as they are stored.

/// The occurrence, step and index of a task.
pub type TaskPosition = (u32, u16, u32);

/// A set of done tasks as sorted ranges, whose size does not depend on the number of tasks.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::DoneTasks;
///
/// let done: DoneTasks = (0..5_000).map(|index| (0, 1, index)).collect();
/// assert_eq!(done.ranges().len(), 1);
/// assert!(done.contains(&(0, 1, 4_999)));
/// assert!(!done.contains(&(0, 0, 0)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DoneTasks {
    ranges: Vec<TaskRange>,
}

/// Tasks of one step with consecutive indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskRange {
    /// The number of the occurrence.
    pub occurrence: u32,
    /// The position of the step.
    pub step: u16,
    /// The index of the first task.
    pub first: u32,
    /// The number of tasks.
    pub count: u32,
}

impl TaskRange {
    /// Returns the index after the last task.
    #[must_use]
    pub const fn end(&self) -> u32 {
        self.first.saturating_add(self.count)
    }

    /// Returns the positions of the tasks.
    pub fn positions(self) -> impl Iterator<Item = TaskPosition> {
        (self.first..self.end()).map(move |index| (self.occurrence, self.step, index))
    }

    /// Returns whether a range that follows in the order overlaps with this one or begins at its
    /// end.
    fn touches(&self, next: &Self) -> bool {
        (self.occurrence, self.step) == (next.occurrence, next.step) && next.first <= self.end()
    }
}

impl DoneTasks {
    /// Returns the ranges, sorted and without overlaps.
    #[must_use]
    pub fn ranges(&self) -> &[TaskRange] {
        &self.ranges
    }

    /// Returns whether no task is done.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of tasks.
    #[must_use]
    pub fn count(&self) -> u64 {
        let counts = self.ranges.iter().map(|range| u64::from(range.count));
        counts.sum()
    }

    /// Returns whether a task is done.
    #[must_use]
    pub fn contains(&self, (occurrence, step, index): &TaskPosition) -> bool {
        let key = (*occurrence, *step, *index);
        let later = self
            .ranges
            .partition_point(|range| (range.occurrence, range.step, range.first) <= key);
        later.checked_sub(1).is_some_and(|last| {
            let range = &self.ranges[last];
            (range.occurrence, range.step) == (*occurrence, *step) && *index < range.end()
        })
    }

    /// Returns the positions of the tasks, in order.
    pub fn positions(&self) -> impl Iterator<Item = TaskPosition> {
        self.ranges.iter().flat_map(|range| range.positions())
    }
}

impl FromIterator<TaskRange> for DoneTasks {
    fn from_iter<T: IntoIterator<Item = TaskRange>>(ranges: T) -> Self {
        let mut merged: Vec<TaskRange> = Vec::new();
        let mut is_sorted = true;
        for range in ranges {
            match merged.last_mut() {
                Some(last) if last.touches(&range) && *last <= range => {
                    last.count = last.end().max(range.end()) - last.first;
                }
                last => {
                    is_sorted &= last.is_none_or(|last| *last <= range);
                    merged.push(range);
                }
            }
        }
        if !is_sorted {
            merged.sort_unstable();
            return merged.into_iter().collect();
        }
        Self { ranges: merged }
    }
}

impl FromIterator<TaskPosition> for DoneTasks {
    fn from_iter<T: IntoIterator<Item = TaskPosition>>(positions: T) -> Self {
        positions.into_iter().map(TaskRange::from).collect()
    }
}

impl From<TaskPosition> for TaskRange {
    fn from((occurrence, step, first): TaskPosition) -> Self {
        Self {
            occurrence,
            step,
            first,
            count: 1,
        }
    }
}

//! A set of occurrences of a submission, by number.

use std::ops::Range;

/// A set of numbers of occurrences as sorted ranges: occurrences are done about in their order, so
/// that a few ranges stand for all of them.
///
/// # Examples
///
/// ```
/// use rhubarbfall_runs::OccurrenceSet;
///
/// let mut done = OccurrenceSet::default();
/// done.insert(0);
/// done.insert(2);
/// assert_eq!((done.leading(), done.first_missing(0)), (1, 1));
/// done.insert(1);
/// assert_eq!((done.leading(), done.len()), (3, 3));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OccurrenceSet {
    /// The ranges, neither empty nor adjacent.
    ranges: Vec<Range<u32>>,
}

impl OccurrenceSet {
    /// Returns a set of the first `count` numbers.
    #[must_use]
    pub fn first(count: u32) -> Self {
        let ranges = if count > 0 {
            vec![Range {
                start: 0,
                end: count,
            }]
        } else {
            Vec::new()
        };
        Self { ranges }
    }

    /// Returns the index of the first range that ends after `number`.
    fn index_after(&self, number: u32) -> usize {
        self.ranges.partition_point(|range| range.end <= number)
    }

    /// Returns whether the set contains a number.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        let range = self.ranges.get(self.index_after(number));
        range.is_some_and(|range| range.contains(&number))
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        let index = self.index_after(number);
        if self.contains(number) {
            return;
        }
        let end = number.saturating_add(1);
        let joins_earlier = index > 0 && self.ranges[index - 1].end == number;
        let joins_later = self
            .ranges
            .get(index)
            .is_some_and(|later| later.start == end);
        match (joins_earlier, joins_later) {
            (true, true) => {
                self.ranges[index - 1].end = self.ranges[index].end;
                self.ranges.remove(index);
            }
            (true, false) => self.ranges[index - 1].end = end,
            (false, true) => self.ranges[index].start = number,
            (false, false) => self.ranges.insert(index, number..end),
        }
    }

    /// Returns how many numbers from 0 on the set contains without a gap.
    #[must_use]
    pub fn leading(&self) -> u32 {
        self.first_missing(0)
    }

    /// Returns the first number from `number` on that the set does not contain.
    #[must_use]
    pub fn first_missing(&self, number: u32) -> u32 {
        match self.ranges.get(self.index_after(number)) {
            Some(range) if range.contains(&number) => range.end,
            _ => number,
        }
    }

    /// Returns the number of numbers.
    #[must_use]
    pub fn len(&self) -> u64 {
        let lengths = self.ranges.iter().map(ExactSizeIterator::len);
        lengths.map(|length| length as u64).sum()
    }

    /// Returns whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the numbers after the first gap, in order.
    pub fn after_gap(&self) -> impl Iterator<Item = u32> {
        let leading = self.leading();
        let ranges = self
            .ranges
            .iter()
            .filter(move |range| range.start >= leading);
        ranges.cloned().flatten()
    }
}

use rhubarbfall_core::QueueId;

use super::{SubQueue, Ticket, WorkClass};

/// While both classes have waiting requests, one start in this many goes to a batch request.
const BATCH_PERIOD_STARTS: u32 = 8;

/// The waiting requests of one team for one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamQueue {
    /// Sorted by queue identifier.
    sub_queues: Vec<SubQueue>,
    consecutive_urgent_starts: u32,
}

impl TeamQueue {
    pub(crate) fn waiting(&self, class: WorkClass) -> usize {
        self.sub_queues
            .iter()
            .map(|sub_queue| sub_queue.waiting(class))
            .sum()
    }

    pub(crate) fn waiting_in(&self, queue: &QueueId) -> usize {
        self.find(queue).map_or(0, |index| {
            let sub_queue = &self.sub_queues[index];
            sub_queue.waiting(WorkClass::Urgent) + sub_queue.waiting(WorkClass::Batch)
        })
    }

    pub(crate) fn push(&mut self, queue: &QueueId, weight: f64, class: WorkClass, ticket: Ticket) {
        let index = self.find(queue).unwrap_or_else(|index| {
            self.sub_queues
                .insert(index, SubQueue::new(queue.clone(), weight));
            index
        });
        let is_idle = self.waiting_in(queue) == 0;
        let min_virtual_time = self.min_virtual_time();
        let sub_queue = &mut self.sub_queues[index];
        sub_queue.weight = weight;
        // A sub-queue that was idle gets no credit for the time in which it was empty.
        if let (true, Some(virtual_time)) = (is_idle, min_virtual_time) {
            sub_queue.virtual_time = sub_queue.virtual_time.max(virtual_time);
        }
        sub_queue.push(class, ticket);
    }

    fn min_virtual_time(&self) -> Option<f64> {
        let busy =
            |sub: &&SubQueue| sub.waiting(WorkClass::Urgent) + sub.waiting(WorkClass::Batch) > 0;
        let virtual_times = self
            .sub_queues
            .iter()
            .filter(busy)
            .map(|sub_queue| sub_queue.virtual_time);
        virtual_times.min_by(f64::total_cmp)
    }

    /// Removes and returns the request that starts next.
    ///
    /// Urgent requests go first, but batch requests get every eighth start. Among queues, the one
    /// with the lowest virtual time goes first.
    pub(crate) fn pop(&mut self, is_waiting: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let has_urgent = self.waiting(WorkClass::Urgent) > 0;
        let has_batch = self.waiting(WorkClass::Batch) > 0;
        let is_batch_turn = has_batch && self.consecutive_urgent_starts + 1 >= BATCH_PERIOD_STARTS;
        let class = if has_urgent && !is_batch_turn {
            WorkClass::Urgent
        } else {
            WorkClass::Batch
        };
        self.consecutive_urgent_starts = if class == WorkClass::Urgent && has_batch {
            self.consecutive_urgent_starts + 1
        } else {
            0
        };
        let sub_queue = self
            .sub_queues
            .iter_mut()
            .filter(|sub_queue| sub_queue.waiting(class) > 0)
            .min_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time))?;
        sub_queue.virtual_time += 1.0 / sub_queue.weight.max(f64::MIN_POSITIVE);
        sub_queue.pop(class, is_waiting)
    }

    /// Returns the newest batch request of the sub-queue with the most batch requests: the first to
    /// be shed.
    pub(crate) fn newest_batch(&self, is_waiting: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let sub_queue = self
            .sub_queues
            .iter()
            .max_by_key(|sub_queue| sub_queue.waiting(WorkClass::Batch))?;
        sub_queue.newest(WorkClass::Batch, is_waiting)
    }

    pub(crate) fn remove(
        &mut self,
        queue: &QueueId,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) {
        if let Ok(index) = self.find(queue) {
            self.sub_queues[index].remove(class, is_waiting);
        }
    }

    fn find(&self, queue: &QueueId) -> Result<usize, usize> {
        self.sub_queues
            .binary_search_by(|sub_queue| sub_queue.queue.cmp(queue))
    }
}

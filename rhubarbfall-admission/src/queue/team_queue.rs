use rhubarbfall_core::QueueId;

use super::{Lane, Ticket, WorkClass};

/// While both classes wait, one request of this many is a batch request.
const BATCH_PERIOD: u32 = 8;

/// The waiting requests of one team for one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct TeamQueue {
    /// Sorted by queue.
    lanes: Vec<Lane>,
    urgent_in_a_row: u32,
}

impl TeamQueue {
    pub(crate) fn waiting(&self, class: WorkClass) -> usize {
        self.lanes.iter().map(|lane| lane.waiting(class)).sum()
    }

    pub(crate) fn waiting_in(&self, queue: &QueueId) -> usize {
        self.find(queue).map_or(0, |index| {
            let lane = &self.lanes[index];
            lane.waiting(WorkClass::Urgent) + lane.waiting(WorkClass::Batch)
        })
    }

    pub(crate) fn push(&mut self, queue: &QueueId, weight: f64, class: WorkClass, ticket: Ticket) {
        let index = self.find(queue).unwrap_or_else(|index| {
            self.lanes.insert(index, Lane::new(queue.clone(), weight));
            index
        });
        let is_idle = self.waiting_in(queue) == 0;
        let least_served = self.least_served();
        let lane = &mut self.lanes[index];
        lane.weight = weight;
        // A lane that was idle has no claim on the time in which nothing waited in it.
        if let (true, Some(served)) = (is_idle, least_served) {
            lane.served = lane.served.max(served);
        }
        lane.push(class, ticket);
    }

    fn least_served(&self) -> Option<f64> {
        let busy =
            |lane: &&Lane| lane.waiting(WorkClass::Urgent) + lane.waiting(WorkClass::Batch) > 0;
        let served = self.lanes.iter().filter(busy).map(|lane| lane.served);
        served.min_by(f64::total_cmp)
    }

    /// Takes the request that starts next.
    ///
    /// Urgent requests go first, but batch requests get every eighth start. Among queues the one
    /// that has been served least for its weight goes first.
    pub(crate) fn pop(&mut self, is_waiting: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let has_urgent = self.waiting(WorkClass::Urgent) > 0;
        let has_batch = self.waiting(WorkClass::Batch) > 0;
        let is_batch_turn = has_batch && self.urgent_in_a_row + 1 >= BATCH_PERIOD;
        let class = if has_urgent && !is_batch_turn {
            WorkClass::Urgent
        } else {
            WorkClass::Batch
        };
        self.urgent_in_a_row = if class == WorkClass::Urgent && has_batch {
            self.urgent_in_a_row + 1
        } else {
            0
        };
        let lane = self
            .lanes
            .iter_mut()
            .filter(|lane| lane.waiting(class) > 0)
            .min_by(|a, b| a.served.total_cmp(&b.served))?;
        lane.served += 1.0 / lane.weight.max(f64::MIN_POSITIVE);
        lane.pop(class, is_waiting)
    }

    /// Returns the newest batch request, which is the first to be shed.
    pub(crate) fn newest_batch(&self, is_waiting: impl Fn(Ticket) -> bool) -> Option<Ticket> {
        let lane = self
            .lanes
            .iter()
            .max_by_key(|lane| lane.waiting(WorkClass::Batch))?;
        lane.newest(WorkClass::Batch, is_waiting)
    }

    pub(crate) fn remove(
        &mut self,
        queue: &QueueId,
        class: WorkClass,
        is_waiting: impl Fn(Ticket) -> bool,
    ) {
        if let Ok(index) = self.find(queue) {
            self.lanes[index].remove(class, is_waiting);
        }
    }

    fn find(&self, queue: &QueueId) -> Result<usize, usize> {
        self.lanes.binary_search_by(|lane| lane.queue.cmp(queue))
    }
}

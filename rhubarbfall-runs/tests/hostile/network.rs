//! Calls to workers, with the loops and timeouts of the real owner.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rhubarbfall_core::{BootTime, WorkerId};
use rhubarbfall_runs::scheduler::{LeaseRenewalRequest, StartOrder, StopOrder};
use rhubarbfall_runs::{LeaseRenewalResponse, StartOutcome};

use super::faults::{Fate, Trouble};
use super::worker::{MAX_STOP, Parked, ProcessRun};
use super::{Event, FORGOTTEN_END, RowChange, World};

/// The timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

/// The time for which a worker with runs may hold a lease renewal.
const BUSY_WAIT: Duration = Duration::from_millis(700);

/// The time for which a worker without runs may hold a lease renewal.
const IDLE_WAIT: Duration = Duration::from_millis(900);

/// The time for which a worker with unconfirmed starts may hold a lease renewal.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(100);

/// Added to the wait of a lease renewal to get its timeout.
const WAIT_MARGIN: Duration = Duration::from_millis(450);

/// The pause after a failed lease renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The pause between two lease renewals.
const CALL_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Clone)]
pub(super) enum Message {
    Start(StartOrder),
    Stop(StopOrder),
    Renew {
        request: LeaseRenewalRequest,
        wait: Duration,
        /// The loop that sent the call.
        from: usize,
    },
}

#[derive(Debug, Clone)]
pub(super) struct SentCall {
    fence: u64,
    to: SocketAddr,
    worker: WorkerId,
    message: Message,
    sent_at: BootTime,
}

#[derive(Debug, Clone)]
pub(super) enum Reply {
    Start(StartOutcome),
    Stop(bool),
    Renewal(LeaseRenewalResponse),
    OtherWorker,
    NotSent,
}

/// A loop that renews a worker's leases at one address.
#[derive(Debug, Clone)]
pub(super) struct RenewalLoop {
    worker: WorkerId,
    address: SocketAddr,
}

impl World {
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(id, call, reply) => self.deliver(id, &call, reply),
            Event::Answer(id, reply) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.answered(&call, reply);
                }
            }
            Event::Timeout(id) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.unanswered(&call);
                }
            }
            Event::Wake(epoch, index) if epoch == self.epoch => self.renew(index),
            Event::BatchStored(epoch, batch) if epoch == self.epoch => {
                self.is_batch_in_flight = false;
                self.has_stored = true;
                let version = self.apply_batch(&batch);
                self.scheduler.batch_stored(&batch, version, self.now);
            }
            Event::Row(epoch, row) if epoch == self.epoch => self.row_changed(row),
            Event::VmList(epoch, rows, asked_at) if epoch == self.epoch => {
                self.scheduler.vms_listed(rows, asked_at, self.now);
            }
            Event::VmCall(epoch, vm, operation, is_answered) => {
                self.carry_out_vm_call(epoch, &vm, &operation, is_answered);
            }
            Event::VmAnswer(epoch, vm, is_done) if epoch == self.epoch => {
                let vm = vm.parse().expect("valid VM name");
                self.scheduler.vm_answered(&vm, is_done, self.now);
            }
            Event::Zones(view, is_answered) => self.zones_viewed(view, is_answered),
            _ => {}
        }
    }

    fn row_changed(&mut self, row: RowChange) {
        match row {
            RowChange::Listed(report) => {
                let (worker, address) = (report.id.clone(), report.address);
                if self.scheduler.worker_listed(report, self.now) {
                    self.loops.push(RenewalLoop {
                        worker: worker.clone(),
                        address,
                    });
                    let index = self.loops.len() - 1;
                    self.order_clients.insert(worker, index);
                    self.at(self.now, Event::Wake(self.epoch, index));
                }
            }
            RowChange::Removed(id) => self.scheduler.worker_unlisted(&id),
        }
    }

    fn renew(&mut self, index: usize) {
        let RenewalLoop { worker, address } = self.loops[index].clone();
        let order = self.scheduler.lease_renewal_request(&worker, self.now);
        let Some(order) = order.filter(|order| order.address == address) else {
            if self.order_clients.get(&worker) == Some(&index) {
                self.order_clients.remove(&worker);
            }
            return;
        };
        let is_clock_known = self
            .scheduler
            .worker(&worker)
            .is_some_and(|worker| worker.clock.is_some());
        let wait = match (is_clock_known, order.is_busy) {
            (false, _) => Duration::ZERO,
            (true, _) if order.has_unconfirmed_starts => UNCONFIRMED_WAIT,
            (true, true) => BUSY_WAIT,
            (true, false) => IDLE_WAIT,
        };
        let message = Message::Renew {
            request: order,
            wait,
            from: index,
        };
        self.send(worker, address, message, wait + WAIT_MARGIN);
    }

    pub(super) fn send_order(&mut self, worker: &WorkerId, message: Message) {
        let Some(index) = self.order_clients.get(worker) else {
            if let Message::Start(order) = &message {
                self.start_not_sent(order);
            }
            return;
        };
        let address = self.loops[*index].address;
        self.send(worker.clone(), address, message, ORDER_TIMEOUT);
    }

    pub(super) fn start_not_sent(&mut self, order: &StartOrder) {
        self.scheduler.start_answered(
            &order.task,
            &order.worker,
            order.run,
            StartOutcome::NotSent,
            self.now,
        );
    }

    fn send(&mut self, worker: WorkerId, to: SocketAddr, message: Message, timeout: Duration) {
        let call = SentCall {
            fence: self.epoch,
            to,
            worker,
            message,
            sent_at: self.now,
        };
        self.next_event += 1;
        let id = self.next_event;
        self.at(self.now + timeout, Event::Timeout(id));
        let fate = Fate::sample(self.has_now(Trouble::Calls), &mut self.rng);
        if let Some(delay) = fate.delivered_after {
            let event = Event::Deliver(id, call.clone(), fate.answered_after);
            self.at(self.now + delay, event);
        }
        self.calls.insert(id, call);
    }

    fn deliver(&mut self, id: u64, call: &SentCall, reply_delay: Option<Duration>) {
        let now = self.now;
        let found = self
            .processes
            .iter()
            .position(|process| process.report.address == call.to);
        let reply = match found {
            None => Some(Reply::NotSent),
            Some(index) if self.processes[index].cut_until > now => return,
            Some(index) if self.processes[index].report.id != call.worker => {
                Some(Reply::OtherWorker)
            }
            Some(index) => self.carry_out(index, id, call, reply_delay),
        };
        if let (Some(reply), Some(delay)) = (reply, reply_delay) {
            self.at(now + delay, Event::Answer(id, reply));
        }
    }

    fn carry_out(
        &mut self,
        index: usize,
        id: u64,
        call: &SentCall,
        reply_delay: Option<Duration>,
    ) -> Option<Reply> {
        let now = self.now;
        let stop_takes = self.rng.random_range(0..MAX_STOP.as_millis() as u64);
        let fails = self.has(Trouble::Failures) && self.rng.random_bool(0.15);
        let is_refused = self.has_now(Trouble::Failures) && self.rng.random_bool(0.1);
        let process = &mut self.processes[index];
        let incarnation = process.report.incarnation_unix_ms;
        match &call.message {
            // A call for one incarnation goes out on its connections only.
            Message::Start(order) if order.incarnation_unix_ms != incarnation => {
                Some(Reply::Start(StartOutcome::OtherIncarnation))
            }
            Message::Start(_) if is_refused => Some(Reply::Start(StartOutcome::Refused)),
            Message::Start(order) => {
                self.starts += 1;
                let client = self
                    .clients
                    .iter()
                    .find(|client| client.submission.id == order.task.submission)?;
                let step = &client.submission.steps[usize::from(order.task.step)];
                let run = ProcessRun {
                    task: order.task.clone(),
                    run: order.run,
                    started_at: now,
                    remaining: client.duration,
                    fails,
                    is_gang: step.is_gang,
                    stops_at: None,
                };
                let (runs, vm) = (process.runs.len(), process.vm);
                let outcome = process.start(order, call.fence, run, now);
                if process.runs.len() > runs {
                    self.check_zone(&order.worker, vm, &order.task.to_string());
                }
                Some(Reply::Start(outcome))
            }
            Message::Stop(order) => {
                let takes = Duration::from_millis(stop_takes);
                Some(Reply::Stop(process.stop(order, call.fence, takes, now)))
            }
            Message::Renew { request, wait, .. } => {
                let is_meant = request.incarnation_unix_ms == incarnation;
                let deadline_ms = request.lease_deadline_ms.filter(|_| is_meant);
                let acknowledged = if is_meant { request.acknowledged } else { 0 };
                let Some(discarded) = process.renew(deadline_ms, acknowledged, call.fence, now)
                else {
                    return Some(Reply::NotSent);
                };
                if let Some(text) = discarded.iter().find_map(|end| self.forgotten_end(end)) {
                    self.violation(FORGOTTEN_END, &text);
                }
                let wait = if is_meant { *wait } else { Duration::ZERO };
                let process = &mut self.processes[index];
                process.parked.push(Parked {
                    call: id,
                    until: now + wait,
                    reply_delay,
                });
                None
            }
        }
    }

    fn answered(&mut self, call: &SentCall, reply: Reply) {
        let now = self.now;
        match (&call.message, reply) {
            (Message::Start(order), reply) => {
                let outcome = match reply {
                    Reply::Start(outcome) => outcome,
                    Reply::OtherWorker => StartOutcome::OtherWorker,
                    _ => StartOutcome::NotSent,
                };
                self.scheduler
                    .start_answered(&order.task, &order.worker, order.run, outcome, now);
            }
            (Message::Stop(order), reply) => {
                let is_confirmed = matches!(reply, Reply::Stop(true));
                self.scheduler.stop_answered(order, is_confirmed, now);
            }
            (Message::Renew { from, .. }, Reply::Renewal(response)) => {
                self.scheduler
                    .lease_renewal_answered(&call.worker, call.sent_at, &response, now);
                self.at(now + CALL_PAUSE, Event::Wake(self.epoch, *from));
            }
            (Message::Renew { from, .. }, reply) => {
                if matches!(reply, Reply::OtherWorker) {
                    self.scheduler.worker_unlisted(&call.worker);
                }
                self.at(now + RETRY_PAUSE, Event::Wake(self.epoch, *from));
            }
        }
    }

    fn unanswered(&mut self, call: &SentCall) {
        let now = self.now;
        match &call.message {
            Message::Start(order) => {
                let outcome = StartOutcome::Unknown;
                self.scheduler
                    .start_answered(&order.task, &order.worker, order.run, outcome, now);
            }
            Message::Stop(order) => {
                self.scheduler.stop_answered(order, false, now);
            }
            Message::Renew { from, .. } => {
                self.at(now + RETRY_PAUSE, Event::Wake(self.epoch, *from));
            }
        }
    }
}

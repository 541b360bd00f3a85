//! A simulation of entries, the table, the network and upstreams in virtual time.

mod model_table;

use std::time::{Duration, Instant};

use model_table::{ModelTable, Transaction};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_admission::{LoanReply, LoanRequest, ReclaimWatch, Rights, RightsSettings};
use rhubarbfall_core::{EntryId, Incarnation, Revision, Slots, TeamId};

const STEP: Duration = Duration::from_millis(100);
const LONGEST_REQUEST_STEPS: u32 = 30;
const LIST_LAG_STEPS: u32 = 20;

/// A fault, with the index of the entry and the number of steps that it lasts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    Crash(usize),
    ReplaceSameVm(usize),
    ReplaceOtherVm(usize),
    Pause(usize, u16),
    CutOff(usize, u16),
    TableOutage(u16),
    SetLimit(u32),
    WithdrawTeam,
}

#[derive(Debug, Clone)]
enum Payload {
    Request(LoanRequest),
    Reply(LoanReply),
}

#[derive(Debug, Clone)]
struct Message {
    from: (EntryId, Incarnation),
    to: EntryId,
    payload: Payload,
    arrives_at: u32,
}

#[derive(Debug)]
struct Entry {
    id: EntryId,
    incarnation: Incarnation,
    rights: Rights,
    watch: ReclaimWatch,
    is_alive: bool,
    paused_until: u32,
    cut_until: u32,
    known_revision: Revision,
    pending: Option<Transaction>,
    /// End steps of the requests whose responses this process awaits.
    work: Vec<u32>,
}

pub(crate) struct Model {
    rng: ChaCha8Rng,
    start: Instant,
    step: u32,
    entries: Vec<Entry>,
    table: ModelTable,
    messages: Vec<Message>,
    /// End steps of all requests at the upstreams; they keep running when their entry dies.
    upstream_work: Vec<u32>,
    gone: Vec<(EntryId, u32)>,
    next_incarnation: u64,
    next_transaction: u64,
    has_random_faults: bool,
    only_entry_with_demand: Option<usize>,
    highest_granted: u32,
}

fn team() -> TeamId {
    "house-a".parse().expect("the identifier is valid")
}

fn settings() -> RightsSettings {
    RightsSettings::default()
        .loan_lease(Duration::from_secs(3))
        .longest_request(STEP * LONGEST_REQUEST_STEPS)
        .min_reclaim_delay(Duration::from_secs(8))
}

impl Model {
    pub(crate) fn new(seed: u64, limit: u32) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            step: 0,
            entries: Vec::new(),
            table: ModelTable::new(limit),
            messages: Vec::new(),
            upstream_work: Vec::new(),
            gone: Vec::new(),
            next_incarnation: 1,
            next_transaction: 1,
            has_random_faults: true,
            only_entry_with_demand: None,
            highest_granted: 0,
        };
        for index in 0..4 {
            let entry = model.new_entry(&format!("entry-{index}-0"));
            model.entries.push(entry);
        }
        model
    }

    fn new_entry(&mut self, id: &str) -> Entry {
        let incarnation = Incarnation::new(self.next_incarnation);
        self.next_incarnation += 1;
        let id: EntryId = id.parse().expect("the identifier is valid");
        let mut watch = ReclaimWatch::new(settings().reclaim_delay());
        watch.record_successor(self.now(), &id, incarnation);
        Entry {
            rights: Rights::new(id.clone(), incarnation, settings()),
            id,
            incarnation,
            watch,
            is_alive: true,
            paused_until: 0,
            cut_until: 0,
            known_revision: Revision::default(),
            pending: None,
            work: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        let step = self.step;
        match fault {
            Fault::Crash(index) => self.entries[index].is_alive = false,
            Fault::ReplaceSameVm(index) => {
                let id = self.entries[index].id.to_string();
                self.entries[index] = self.new_entry(&id);
            }
            Fault::ReplaceOtherVm(index) => {
                let old = self.entries[index].id.clone();
                self.gone.push((old, step + LIST_LAG_STEPS));
                self.entries[index] = self.new_entry(&format!("entry-{index}-{step}"));
            }
            Fault::Pause(index, steps) => {
                self.entries[index].paused_until = step + u32::from(steps);
            }
            Fault::CutOff(index, steps) => self.entries[index].cut_until = step + u32::from(steps),
            Fault::TableOutage(steps) => self.table.down_until = step + u32::from(steps),
            Fault::SetLimit(limit) => self.table.set_limit(limit),
            Fault::WithdrawTeam => self.table.set_limit(0),
        }
    }

    /// Ends all faults, restores the initial limit and replaces dead entries.
    pub(crate) fn heal(&mut self) {
        self.has_random_faults = false;
        self.table.down_until = 0;
        self.table.set_limit(9);
        for index in 0..self.entries.len() {
            self.entries[index].paused_until = 0;
            self.entries[index].cut_until = 0;
            if !self.entries[index].is_alive {
                self.inject(Fault::ReplaceSameVm(index));
            }
        }
        self.only_entry_with_demand = Some(2);
    }

    pub(crate) fn highest_running(&mut self, steps: u16) -> Result<usize, TestCaseError> {
        let mut highest = 0;
        for _ in 0..steps {
            self.run(1)?;
            highest = highest.max(self.upstream_work.len());
        }
        Ok(highest)
    }

    pub(crate) fn run(&mut self, steps: u16) -> Result<(), TestCaseError> {
        for _ in 0..steps {
            self.step += 1;
            let step = self.step;
            self.upstream_work.retain(|end| *end > step);
            self.table.deliver(step);
            for index in 0..self.entries.len() {
                let entry = &self.entries[index];
                if entry.is_alive && entry.paused_until <= step {
                    self.run_entry(index);
                    self.check()?;
                }
            }
        }
        Ok(())
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        let running = self.upstream_work.len() as u32;
        let granted = self.table.row.granted_slots();
        prop_assert!(
            running <= granted,
            "{running} requests run on {granted} granted slots"
        );
        let bound = self.table.limit.max(self.highest_granted);
        prop_assert!(
            granted <= bound,
            "{granted} granted slots exceed the bound {bound}"
        );
        self.highest_granted = granted;
        Ok(())
    }

    fn run_entry(&mut self, index: usize) {
        // A process that resumes after a pause may start work before it reads its messages.
        if self.rng.random_bool(0.5) {
            self.start_work(index);
        }
        self.read_document(index);
        self.receive(index);
        self.end_work(index);
        self.start_work(index);
        self.request_loans(index);
        self.update_ledger(index);
    }

    fn read_document(&mut self, index: usize) {
        let is_late = self.has_random_faults && self.rng.random_bool(0.9);
        let step = self.step;
        let now = self.now();
        let gone: Vec<EntryId> = self
            .gone
            .iter()
            .filter(|(_, listed_at)| *listed_at <= step)
            .map(|(id, _)| id.clone())
            .collect();
        let entry = &mut self.entries[index];
        entry.watch.record_gone(now, &gone);
        if !is_late && entry.cut_until <= step && entry.known_revision < self.table.revision {
            entry.known_revision = self.table.revision;
            let limits = (self.table.limit > 0).then(|| (team(), Slots::new(self.table.limit)));
            entry.rights.set_limits(limits, self.table.revision);
        }
    }

    fn receive(&mut self, index: usize) {
        let (step, now) = (self.step, self.now());
        let id = self.entries[index].id.clone();
        let is_due = |message: &Message| message.to == id && message.arrives_at <= step;
        let due: Vec<Message> = self
            .messages
            .iter()
            .filter(|m| is_due(m))
            .cloned()
            .collect();
        self.messages.retain(|message| !is_due(message));
        if self.entries[index].cut_until > step {
            return;
        }
        for Message { from, payload, .. } in due {
            let rights = &mut self.entries[index].rights;
            match payload {
                Payload::Request(request) => {
                    if let Some(reply) = rights.lend(now, &from.0, from.1, &team(), &request) {
                        self.send(index, &from.0, &Payload::Reply(reply));
                    }
                }
                Payload::Reply(reply) => rights.handle_reply(&from.0, &team(), &reply),
            }
        }
    }

    fn send(&mut self, index: usize, to: &EntryId, payload: &Payload) {
        let from = (
            self.entries[index].id.clone(),
            self.entries[index].incarnation,
        );
        if self.entries[index].cut_until > self.step {
            return;
        }
        let copies = if self.has_random_faults {
            self.rng.random_range(0..3)
        } else {
            1
        };
        for _ in 0..copies {
            let is_slow = self.has_random_faults && self.rng.random_bool(0.1);
            let delay = if is_slow {
                self.rng.random_range(1..80)
            } else {
                1
            };
            self.messages.push(Message {
                from: from.clone(),
                to: to.clone(),
                payload: payload.clone(),
                arrives_at: self.step + delay,
            });
        }
    }

    fn end_work(&mut self, index: usize) {
        let (step, now) = (self.step, self.now());
        let entry = &mut self.entries[index];
        let ended = entry.work.iter().filter(|end| **end <= step).count();
        entry.work.retain(|end| *end > step);
        for _ in 0..ended {
            entry.rights.release(now, &team());
        }
    }

    fn start_work(&mut self, index: usize) {
        let (step, now) = (self.step, self.now());
        let waiting = match self.only_entry_with_demand {
            Some(only) if only == index => 20,
            Some(_) => 0,
            None => self.rng.random_range(0..8),
        };
        let rng = &mut self.rng;
        let entry = &mut self.entries[index];
        entry.rights.set_waiting(&team(), waiting);
        for _ in 0..waiting {
            if !entry.rights.try_acquire(now, &team()) {
                break;
            }
            let end = step + rng.random_range(1..LONGEST_REQUEST_STEPS);
            self.upstream_work.push(end);
            if self.has_random_faults && rng.random_bool(0.1) {
                entry.rights.release_later(now, &team());
            } else {
                entry.work.push(end);
            }
        }
    }

    fn request_loans(&mut self, index: usize) {
        let now = self.now();
        for outgoing in self.entries[index].rights.tick(now) {
            self.send(index, &outgoing.lender, &Payload::Request(outgoing.request));
        }
    }

    fn update_ledger(&mut self, index: usize) {
        let (step, now) = (self.step, self.now());
        let entry = &mut self.entries[index];
        if entry.cut_until > step || self.table.down_until > step {
            return;
        }
        if let Some(transaction) = entry.pending.clone() {
            let arrives_late = self.has_random_faults && self.rng.random_bool(0.2);
            let is_answer_lost = self.has_random_faults && self.rng.random_bool(0.3);
            if arrives_late {
                let delay = self.rng.random_range(1..60);
                self.table.delayed.push((step + delay, transaction));
                return;
            }
            let was_applied = self.table.commit(&transaction);
            if !is_answer_lost {
                entry.rights.finish_write(&team(), was_applied);
                entry.pending = None;
            }
            return;
        }
        if entry.known_revision != self.table.revision {
            return;
        }
        let watch = &entry.watch;
        let is_reclaimable = |id: &EntryId, incarnation| watch.is_reclaimable(now, id, incarnation);
        let row = self.table.row.clone();
        if let Some(next) = entry.rights.plan(&team(), &row, 4, &is_reclaimable, now) {
            entry.rights.begin_write(&team(), &next);
            entry.pending = Some(Transaction {
                id: self.next_transaction,
                row_version: self.table.row_version,
                revision: self.table.revision,
                next,
            });
            self.next_transaction += 1;
        }
    }
}

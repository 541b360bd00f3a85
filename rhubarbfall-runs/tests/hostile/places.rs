//! VMs, the processes on them, and the lists that the platform keeps of both.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rhubarbfall_core::{BootTime, VmId, WorkerId};
use rhubarbfall_runs::WorkerReport;
use rhubarbfall_runs::scheduler::{VmOperation, VmRow, VmState};

use super::faults::Trouble;
use super::worker::Process;
use super::zones::zone_of;
use super::{Event, RowChange, World};
use crate::model::WORKER_CAPACITY;

/// The interval between two polls of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(400);

/// How long an entry of a silent worker stays in the list.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_500);

/// The pool whose VMs are switched off.
const SPARE: &str = "spare";

#[derive(Debug, Clone)]
pub(super) struct Vm {
    pub(super) pool: String,
    state: VmState,
    returns_at: Option<BootTime>,
    /// The worker name and the address of the next process, where it keeps them.
    name: Option<WorkerId>,
    address: Option<SocketAddr>,
    maintained: Vec<String>,
}

impl World {
    pub(super) fn add_vm(&mut self, pool: &str, is_up: bool) {
        self.vms.push(Vm {
            pool: pool.to_owned(),
            state: VmState::Up,
            returns_at: None,
            name: None,
            address: None,
            maintained: Vec::new(),
        });
        if is_up {
            self.spawn_process(self.vms.len() - 1);
        } else {
            SPARE.clone_into(&mut self.vms.last_mut().expect("VM was just added").pool);
        }
    }

    fn spawn_process(&mut self, vm: usize) {
        let name = self.vms[vm].name.take().unwrap_or_else(|| {
            self.next_id += 1;
            format!("w-{}", self.next_id)
                .parse()
                .expect("valid worker name")
        });
        let address = self.vms[vm].address.take().unwrap_or_else(|| {
            self.next_port += 1;
            SocketAddr::from(([127, 0, 0, 1], self.next_port))
        });
        let report = WorkerReport {
            id: name,
            address,
            service: self.vms[vm].pool.parse().expect("valid service name"),
            vm: None,
            availability_zone: zone_of(vm),
            capacity: WORKER_CAPACITY,
            labels: vec!["a".into(), "r1".into()],
            rack: Some("r1".parse().expect("valid rack name")),
            is_draining: false,
            incarnation_unix_ms: self.now.as_millis(),
        };
        let clock_rate = self.rng.random_range(0.98..1.0);
        let process = Process::new(report.clone(), vm, self.now, clock_rate);
        self.processes.push(process);
        self.publish(RowChange::Listed(report));
    }

    /// Ends a process; its VM returns later with another one.
    pub(super) fn end_process(&mut self, index: usize, is_graceful: bool) {
        let process = self.processes.swap_remove(index);
        let mut away = self.millis(200..4_000);
        if !is_graceful && self.rng.random_bool(0.4) {
            away = self.millis(10..200);
        }
        let keeps_name = self.rng.random_bool(if is_graceful { 0.2 } else { 0.6 });
        let keeps_address = self.rng.random_bool(0.6);
        let vm = &mut self.vms[process.vm];
        vm.state = VmState::Down;
        vm.returns_at = Some(self.now + away);
        vm.name = keeps_name.then(|| process.report.id.clone());
        vm.address = keeps_address.then_some(process.report.address);
        self.expire_row(process.report.id, is_graceful);
    }

    /// Ends a process, which starts again soon with the same name and address.
    pub(super) fn restart_process(&mut self, index: usize) {
        let process = self.processes.swap_remove(index);
        let returns_at = self.now + self.millis(10..600);
        let vm = &mut self.vms[process.vm];
        vm.state = VmState::Down;
        vm.returns_at = Some(returns_at);
        vm.name = Some(process.report.id);
        vm.address = Some(process.report.address);
    }

    /// Removes a row of the worker list once the platform knows that the worker has gone.
    fn expire_row(&mut self, id: WorkerId, is_graceful: bool) {
        if self.vms.iter().any(|vm| vm.name.as_ref() == Some(&id)) && self.rng.random_bool(0.5) {
            // The worker returns under its name before its entry expires.
            return;
        }
        let after = if is_graceful {
            self.millis(50..600)
        } else {
            ENTRY_EXPIRY
        };
        self.schedule_row(after, RowChange::Removed(id));
    }

    /// Passes a change of the worker list to the owner, in order and with the delay of the feed.
    pub(super) fn publish(&mut self, row: RowChange) {
        let mut delay = self.millis(20..250);
        if self.has_now(Trouble::List) && self.rng.random_bool(0.3) {
            delay = self.millis(200..3_000);
        }
        self.schedule_row(delay, row);
    }

    fn schedule_row(&mut self, delay: Duration, row: RowChange) {
        // Rows of workers that are there again are not removed late.
        self.rows_until = self.rows_until.max(self.now + delay);
        self.at(self.rows_until, Event::Row(self.epoch, row));
    }

    /// Passes the whole worker list to the owner.
    pub(super) fn publish_all(&mut self) {
        self.events
            .retain(|_, event| !matches!(event, Event::Row(..)));
        self.rows_until = self.now;
        let is_gone = |id: &WorkerId| !self.processes.iter().any(|one| one.report.id == *id);
        let gone: Vec<WorkerId> = self
            .scheduler
            .workers()
            .map(|worker| worker.report.id.clone())
            .filter(is_gone)
            .collect();
        for id in gone {
            self.publish(RowChange::Removed(id));
        }
        let reports: Vec<WorkerReport> = self
            .processes
            .iter()
            .map(|process| process.report.clone())
            .collect();
        for report in reports {
            self.publish(RowChange::Listed(report));
        }
    }

    pub(super) fn list_vms(&mut self) {
        let now = self.now;
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if vm.returns_at.is_some_and(|at| at <= now) {
                vm.returns_at = None;
                vm.state = VmState::Up;
                if vm.pool != SPARE {
                    self.spawn_process(index);
                }
            }
        }
        if !self.has(Trouble::Vms) || now.since(self.vms_listed_at) < VM_LIST_INTERVAL {
            return;
        }
        self.vms_listed_at = now;
        let rows = self.vms.iter().enumerate().map(|(index, vm)| VmRow {
            vm: vm_name(index),
            pool: vm.pool.parse().expect("valid service name"),
            state: vm.state,
            worker: self
                .processes
                .iter()
                .find(|process| process.vm == index)
                .map(|process| process.report.id.clone()),
            availability_zone: Some(zone_of(index)),
            capacity: WORKER_CAPACITY,
            labels: Vec::new(),
        });
        let rows = rows.collect();
        let mut delay = Duration::from_millis(10);
        if !self.is_calm && self.rng.random_bool(0.3) {
            delay = self.millis(100..2_500);
        }
        self.at(now + delay, Event::VmList(self.epoch, rows, now));
    }

    pub(super) fn call_vm(&mut self, vm: &VmId, operation: VmOperation, is_active: bool) {
        let mut delay = self.millis(5..15);
        if !is_active {
            self.scheduler.vm_answered(vm, Some(false), self.now);
            return;
        }
        let mut is_answered = true;
        if !self.is_calm {
            is_answered = self.rng.random_bool(0.7);
            if self.rng.random_bool(0.3) {
                delay = self.millis(100..2_000);
            }
        }
        let event = Event::VmCall(self.epoch, vm.to_string(), operation, is_answered);
        self.at(self.now + delay, event);
    }

    pub(super) fn carry_out_vm_call(
        &mut self,
        epoch: u64,
        name: &str,
        operation: &VmOperation,
        is_answered: bool,
    ) {
        let index = vm_index(name);
        let is_done_already = match operation {
            VmOperation::Move(to) => self.vms[index].pool == to.as_str(),
            VmOperation::Maintain(wave) => {
                let maintained = &self.vms[index].maintained;
                maintained.iter().any(|done| done == wave.as_str())
            }
        };
        let process = self.processes.iter().position(|one| one.vm == index);
        let is_leaving = process.is_some_and(|at| self.processes[at].report.is_draining);
        let is_busy = self.vms[index].state != VmState::Up || is_leaving;
        let is_done = is_done_already || (!is_busy && epoch == self.epoch);
        if is_done && !is_done_already {
            let (keeps_name, keeps_address) =
                (self.rng.random_bool(0.5), self.rng.random_bool(0.5));
            let away = self.millis(1_400..2_100);
            let ended = process.map(|at| self.processes.swap_remove(at).report);
            let vm = &mut self.vms[index];
            vm.returns_at = Some(self.now + away);
            match operation {
                VmOperation::Move(to) => {
                    vm.pool = to.to_string();
                    vm.state = VmState::Moving;
                }
                VmOperation::Maintain(wave) => {
                    vm.maintained.push(wave.to_string());
                    vm.state = VmState::Maintenance;
                }
            }
            if let Some(report) = ended {
                vm.name = keeps_name.then(|| report.id.clone());
                vm.address = keeps_address.then_some(report.address);
                self.expire_row(report.id, true);
            }
        }
        let (delay, answer) = if is_answered {
            (self.millis(1..20), Some(is_done))
        } else {
            (self.millis(600..1_500), None)
        };
        let event = Event::VmAnswer(epoch, name.to_owned(), answer);
        self.at(self.now + delay, event);
    }
}

pub(super) fn vm_name(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn vm_index(name: &str) -> usize {
    name.trim_start_matches("vm-")
        .parse()
        .expect("VM name with a number")
}

use std::net::SocketAddr;
use std::sync::Arc;

use rhubarbfall_core::{VmId, WorkerId};

use super::vm_operations::VmOperation;
use crate::{StepId, TaskId};

/// An action that the owner must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the speed of a best-effort run.
    Pace(PaceOrder),
    /// Ask the advice service which workers may run a step.
    Advise {
        /// The step to be run.
        step: StepId,
        /// The candidate workers.
        workers: Vec<WorkerId>,
    },
    /// Move a VM, or begin its maintenance.
    Vm {
        /// The VM to move or maintain.
        vm: VmId,
        /// The operation to carry out.
        operation: VmOperation,
    },
}

/// A command to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The worker to run the task.
    pub worker: WorkerId,
    /// The worker's incarnation that the order is meant for; no other one may receive it.
    pub incarnation_unix_ms: u64,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The task to start.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// The program to run.
    pub program: Arc<str>,
    /// The checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// The end of the lease, in milliseconds on the worker's clock.
    pub lease_deadline_ms: u64,
    /// The ticket of the advice service, if the queue requires one.
    pub ticket: Option<Arc<str>>,
}

/// A command to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StopOrder {
    /// The worker that has the run.
    pub worker: WorkerId,
    /// The worker's incarnation for which the order is meant; its confirmation says nothing about a
    /// later one.
    pub incarnation_unix_ms: u64,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The task of the run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
}

/// A command to set the speed of a best-effort run.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceOrder {
    /// The worker that has the run.
    pub worker: WorkerId,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The task of the run.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// The speed in percent, from 0 to 100.
    pub percent: u8,
}

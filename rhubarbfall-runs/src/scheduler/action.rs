use std::net::SocketAddr;
use std::sync::Arc;

use rhubarbfall_core::{VmId, WorkerId};

use super::vm_operations::VmOperation;
use crate::{StepId, TaskId};

/// Something that the owner has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the share at which a filler works.
    Pace(PaceOrder),
    /// Ask which workers may run a step.
    Advise {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerId>,
    },
    /// Move a VM, or begin its maintenance.
    Vm {
        /// The VM.
        vm: VmId,
        /// What is to be done with it.
        operation: VmOperation,
    },
}

/// An order to start a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// What the worker runs.
    pub program: Arc<str>,
    /// Where to go on from.
    pub checkpoint: Option<Arc<str>>,
    /// The end of the lease on the worker's clock.
    pub lease_deadline_ms: u64,
    /// What the worker asks for where the queue has an advice service.
    pub ticket: Option<Arc<str>>,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
}

/// An order to let a filler work at a share of its speed.
#[derive(Debug, Clone, PartialEq)]
pub struct PaceOrder {
    /// The worker.
    pub worker: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The share in percent.
    pub percent: u8,
}

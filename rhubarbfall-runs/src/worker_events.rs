use std::net::SocketAddr;
use std::sync::Arc;

use rhubarbfall_core::{AvailabilityZoneId, RackId, ServiceId, VmId, WorkerId};

use crate::{Resources, TaskId};

/// A worker's entry in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// The identifier of the worker.
    pub id: WorkerId,
    /// The address at which the worker accepts calls.
    pub address: SocketAddr,
    /// The service that the worker belongs to.
    pub service: ServiceId,
    /// The VM that the worker runs on, if the worker names it.
    pub vm: Option<VmId>,
    /// The availability zone of the worker.
    pub availability_zone: AvailabilityZoneId,
    /// The total resources of the worker.
    pub capacity: Resources,
    /// The worker's labels: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// The worker's rack, which is the label that is not its kind.
    pub rack: Option<RackId>,
    /// Whether the worker is about to leave the fleet.
    pub is_draining: bool,
    /// When the worker's incarnation started, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
}

/// A worker's response to a lease renewal.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseRenewalResponse {
    /// The worker's monotonic clock in milliseconds when it answered.
    pub clock_ms: u64,
    /// When the worker's incarnation started, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// The runs in progress on the worker.
    pub running: Vec<ActiveRun>,
    /// The runs that have ended on the worker and are not acknowledged yet.
    pub ended: Vec<RunEnd>,
    /// Whether more runs may have ended than the response lists; a worker lists the first ones, up to
    /// the platform's limit, until they are acknowledged.
    pub may_have_more_ends: bool,
}

/// A run in progress on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// The task that the run executes.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// The progress in percent; 100 for a long-running task that is available.
    pub percent: u8,
    /// The tail latency in milliseconds of a task with a latency target, otherwise the CPU use in
    /// thousandths of a core.
    pub tail_ms_or_cpu_millis: Option<u64>,
}

/// The end of a run on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEnd {
    /// The number of the end, counted within this incarnation of the worker.
    pub number: u64,
    /// The task that the run executed.
    pub task: TaskId,
    /// The number of the run.
    pub run: u64,
    /// How the run ended.
    pub kind: RunEndKind,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEndKind {
    /// The run completed the task.
    Done,
    /// The task or its worker failed.
    Failed,
    /// The run was stopped on request.
    Stopped,
    /// The run's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    GangBroken,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// The outcome of a call to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker accepted the start.
    Accepted,
    /// The worker has seen a higher fencing number.
    Fenced,
    /// The run's number is not higher than that of a run that already ended on the worker.
    RunTooOld,
    /// The lease in the call had expired.
    LeaseTooOld,
    /// The worker has too little free capacity.
    NoRoom,
    /// Another worker listens at the address.
    OtherWorker,
    /// The worker has started again since the start was decided; the start was not sent.
    OtherIncarnation,
    /// The worker refused the ticket or requires one.
    TicketRefused,
    /// The worker refused the start for another reason.
    Refused,
    /// No connection could be made.
    NotSent,
    /// No answer arrived; the worker may still carry out the start.
    Unknown,
}

impl StartOutcome {
    /// Returns the name of the outcome in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::RunTooOld => "run_too_old",
            Self::LeaseTooOld => "lease_too_old",
            Self::NoRoom => "no_room",
            Self::OtherWorker => "other_worker",
            Self::OtherIncarnation => "other_incarnation",
            Self::TicketRefused => "ticket_refused",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

use std::net::SocketAddr;
use std::sync::Arc;

use rhubarbfall_core::{AvailabilityZoneId, RackId, ServiceId, WorkerId};

use crate::{Resources, TaskId};

/// What a worker says of itself in the platform's list.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerReport {
    /// The worker.
    pub id: WorkerId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneId,
    /// What it has room for.
    pub capacity: Resources,
    /// Its labels: its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Its rack, the label that is not its kind.
    pub rack: Option<RackId>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// When this life of it began, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
}

/// An answer to a call that holds a worker's leases.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LeaseRenewalResponse {
    /// The worker's own steady clock when it answered.
    pub clock_ms: u64,
    /// When this life of the worker began, in milliseconds since 1970.
    pub incarnation_unix_ms: u64,
    /// What runs there.
    pub running: Vec<ActiveRun>,
    /// What has ended there and is not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// A run in progress on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct ActiveRun {
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
    /// The progress in percent; 100 for a lasting task that is at work.
    pub percent: u8,
    /// The tail latency in milliseconds of a serving task, else its processor use in thousandths
    /// of a core.
    pub tail_ms_or_cpu_millis: Option<u64>,
}

/// The end of a run on a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct RunEnd {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run's number.
    pub run: u64,
    /// How it ended.
    pub kind: RunEndKind,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEndKind {
    /// The task is done.
    Done,
    /// The task or its worker failed.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come in time.
    GangIncomplete,
}

/// What became of the order to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has it.
    Accepted,
    /// The worker has seen a higher fencing number.
    Fenced,
    /// The run's number is not above one that ended there.
    RunTooOld,
    /// The lease that came with it had run out.
    LeaseTooOld,
    /// The worker has no room.
    NoRoom,
    /// Another worker listens at the address.
    OtherWorker,
    /// The worker does not take the ticket, or misses one.
    TicketRefused,
    /// The worker did not take it, for a reason of its own.
    Refused,
    /// No connection could be made.
    NotSent,
    /// No answer came; it may still be carried out.
    Unknown,
}

impl StartOutcome {
    /// Returns a short name for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::RunTooOld => "run_too_old",
            Self::LeaseTooOld => "lease_too_old",
            Self::NoRoom => "no_room",
            Self::OtherWorker => "other_worker",
            Self::TicketRefused => "ticket_refused",
            Self::Refused => "refused",
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
        }
    }
}

//! Queues of requests that wait for a slot, by team, queue and class.

mod sub_queue;
mod submit_outcome;
mod team_queue;
mod work_request;
mod work_slab;

pub(crate) use sub_queue::SubQueue;
pub use submit_outcome::{Rejection, SubmitOutcome};
pub(crate) use team_queue::TeamQueue;
pub use work_request::{Ticket, WorkClass, WorkRequest};
pub(crate) use work_slab::{WorkSlab, WorkState};

//! Pools, disruption permits, maintenance waves and moves.
//!
//! The process that holds an availability zone's lease runs [`ZoneFleet::round`] on the rows read
//! from the table and on the observed state of the zone's VMs. Rounds are level-triggered: all
//! durable state is in the rows, so the next lease holder continues where the previous one stopped.

mod announcement;
pub mod api;
mod apply;
mod budget;
mod demand;
mod drain;
mod drain_start;
mod fleet_command;
mod health;
mod lookup;
mod move_request;
mod observation;
mod plan_input;
mod planned_vm;
mod pool_row;
mod pool_sizer;
mod reason;
mod reason_log;
mod round;
mod routing_view;
mod rows;
mod sizer_policy;
mod staged_rows;
mod timings;
mod transaction;
mod vm_row;
mod vm_step;
mod wave_candidates;
mod wave_order;
mod wave_planner;
mod wave_policy;
mod wave_row;
mod zone_fleet;

pub use announcement::{Announcement, AnnouncementState};
pub use budget::{Budget, BudgetRefusal};
pub use demand::PoolDemand;
pub use drain::{DrainConfirmation, DrainProgress};
pub use fleet_command::FleetCommand;
pub use health::Health;
pub use move_request::MoveRequest;
pub use observation::Observation;
pub use plan_input::PlanInput;
pub use planned_vm::PlannedVm;
pub use pool_row::{Outage, Permit, PermitLedger, Purpose};
pub use pool_sizer::{PoolSizer, SizeInput};
pub use reason::{Reason, Subject};
pub use reason_log::{Decision, ReasonLog};
pub use round::Round;
pub use routing_view::RoutingView;
pub use rows::{RowKey, RowValue, Rows, Versioned};
pub use sizer_policy::SizerPolicy;
pub use timings::FleetTimings;
pub use transaction::FleetTransaction;
pub use vm_row::{VmRow, VmRowState};
pub use wave_planner::WavePlanner;
pub use wave_policy::WavePolicy;
pub use wave_row::{StopReason, WaveRow, WaveStatus};
pub use zone_fleet::ZoneFleet;

//! The `dev` command: runs a complete fleet in one process on loopback, applies load and faults,
//! and reports which guarantees held.

mod balancer;
mod checks;
mod dev_command;
mod dev_fleet;
mod example;
mod load;
mod operator_client;
mod outcomes;
mod report;
mod scripted_events;
mod share_sampler;
mod wave;

pub(crate) use dev_command::{DevOptions, run};

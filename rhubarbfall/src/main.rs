//! The program that runs on every entry VM, with commands for development and tests.

mod cli;
mod commands;
mod dev;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}

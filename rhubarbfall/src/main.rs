//! The process that runs on every entry VM.

mod cli;
mod commands;
mod dev;
mod logging;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}

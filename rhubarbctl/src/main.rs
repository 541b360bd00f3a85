//! The operators' command line.
//!
//! Every command talks to the operators' HTTP interface of one entry. Results go to standard
//! output, as tables or as JSON; errors go to standard error, and the exit code tells their kind.

mod arguments;
mod client;
mod commands;
mod ctl_error;
mod exit_status;
mod printer;
mod settings;
mod text_table;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = arguments::command().get_matches();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the system has resources for one thread");
    match runtime.block_on(commands::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarbctl: {error}");
            error.exit_status().into()
        }
    }
}

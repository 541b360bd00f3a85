//! Command line for operating a fleet through the operators' HTTP interface of one entry.
//!
//! Results go to standard output, as text or as JSON. Errors go to standard error, and the exit
//! code gives their kind.

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
        .expect("the async runtime can be created");
    match runtime.block_on(commands::run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rhubarbctl: {error}");
            error.exit_status().into()
        }
    }
}

//! Stand-ins of the users' platform for the cases of review/REPORT-3.md: the store, the list of
//! machines, minions, consumers, and the supervision of processes (memory limit, restarts). It starts
//! the entries with the command of the deploy file and judges what clients, minions and the platform
//! have seen. It uses the standard library alone.

mod cases;
mod fleet;
mod http;
mod json;
mod minion;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand-in CASE RECORD-FILE");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    ExitCode::from(cases::run(case, record, is_troubled))
}

//! Stand-ins of the platform, of minions and of consumers, and the cases that run entries of the
//! project against them. The first argument names the case, the second the folder for its record.
//! `TROUBLE=0` in the environment leaves the disruption out.

mod cases;
mod cloud;
mod consumers;
mod http;
mod json;
mod minion;
mod site;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// A script may run for 120 seconds.
const LONGEST_RUN: Duration = Duration::from_secs(118);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let temporary = arguments.next().unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Some(run) = cases::find(&case) else {
        eprintln!("no such case: {case}");
        exit(2);
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let _ = sender.send(run(PathBuf::from(temporary), has_trouble));
    });
    match receiver.recv_timeout(LONGEST_RUN) {
        Ok(result) => {
            let record = PathBuf::from(folder).join("record.txt");
            std::fs::write(record, result.record).expect("the record is written");
            println!("{}", result.summary);
            exit(result.code);
        }
        Err(_) => {
            eprintln!("the case could not run to its end");
            exit(2);
        }
    }
}

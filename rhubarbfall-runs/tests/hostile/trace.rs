//! Prints the scheduler's log lines, to follow one seed.

use log::{LevelFilter, Log, Metadata, Record};

struct Printer;

impl Log for Printer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        println!("{}", record.args());
    }

    fn flush(&self) {}
}

/// Prints log lines from now on.
pub(crate) fn print_logs() {
    if log::set_logger(&Printer).is_ok() {
        log::set_max_level(LevelFilter::Debug);
    }
}

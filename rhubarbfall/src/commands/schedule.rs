use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use rhubarbfall_scheduler::{read_settings, run};

use super::EXIT_BAD_SETTINGS;

/// Accepts submissions and runs them on the platform's workers until SIGTERM, or until `run_for`
/// has passed.
pub(crate) fn schedule(path: &Path, run_for: Option<Duration>) -> ExitCode {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run(settings, run_for) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=start error={error}");
            ExitCode::FAILURE
        }
    }
}

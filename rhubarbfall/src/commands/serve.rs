use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use metrics_exporter_prometheus::PrometheusBuilder;
use rhubarbfall_core::{SharedClock, SystemClock};
use rhubarbfall_entry::Entry;

use super::{EXIT_BAD_SETTINGS, read_settings};
use crate::logging;

/// Serves callers until SIGTERM starts a planned stop, and exits once the stop is complete.
///
/// The first line on the standard output is a JSON object of the addresses that it listens on.
pub(crate) fn serve(path: &Path) -> ExitCode {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    let clock: SharedClock = Arc::new(SystemClock::new());
    if let Err(error) = logging::start(&settings.log, Arc::clone(&clock)) {
        eprintln!("cannot start the log: {error}");
    }
    let metrics = PrometheusBuilder::new().install_recorder().ok();
    let entry = match Entry::start(settings, clock, metrics, true) {
        Ok(entry) => entry,
        Err(error) => {
            log::error!("event=start error={error}");
            return ExitCode::FAILURE;
        }
    };
    let addresses = serde_json::to_string(&entry.addresses()).unwrap_or_default();
    println!("{addresses}");
    match entry.wait() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("event=stop error={error}");
            ExitCode::FAILURE
        }
    }
}

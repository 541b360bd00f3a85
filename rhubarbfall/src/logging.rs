use std::sync::Arc;

use log::{LevelFilter, SetLoggerError};
use rhubarbfall_core::{Clock, SharedClock};
use rhubarbfall_entry::settings::{LogFormat, LogSettings};
use serde_json::json;

/// Installs the global logger, which writes one line per event to the standard error stream.
pub(crate) fn start(settings: &LogSettings, clock: SharedClock) -> Result<(), SetLoggerError> {
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let format = settings.format;
    fern::Dispatch::new()
        .level(level)
        .level_for("xitca_web", LevelFilter::Warn)
        .format(move |out, message, record| {
            let time_ms = wall_time_ms(&clock);
            let level = record.level();
            let target = record.target();
            match format {
                LogFormat::Text => {
                    out.finish(format_args!("{time_ms} {level} {target} {message}"));
                }
                LogFormat::Json => {
                    let line = json!({
                        "time_ms": time_ms,
                        "level": level.as_str(),
                        "target": target,
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()
}

fn wall_time_ms(clock: &Arc<dyn Clock>) -> u64 {
    clock
        .wall_time()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

use std::fs;
use std::path::Path;
use std::process::ExitCode;

use rhubarbfall_entry::Settings;

/// The exit code for settings that cannot be read or are invalid.
pub(crate) const EXIT_BAD_SETTINGS: u8 = 2;

/// Checks a settings file and prints every fault.
pub(crate) fn check_settings(path: &Path) -> ExitCode {
    match read_settings(path) {
        Ok(_) => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

/// Reads and checks a settings file; the error lists every fault.
pub(crate) fn read_settings(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Settings::parse(&text).map_err(|error| format!("{}: {error}", error.code()))
}

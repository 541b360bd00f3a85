use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use rhubarbfall_document::AccessKey;
use serde::Deserialize;

use crate::ctl_error::CtlError;

/// Address of the entry and the key to authenticate with.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionSettings {
    /// Address of the entry's operators' interface.
    pub(crate) endpoint: SocketAddr,
    /// Key of an operator or a team.
    pub(crate) key: Option<AccessKey>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct SettingsFile {
    endpoint: Option<SocketAddr>,
    key: Option<String>,
}

impl ConnectionSettings {
    /// Reads the settings from the flags and the `--config` file; flags take precedence.
    pub(crate) fn from_matches(matches: &ArgMatches) -> Result<Self, CtlError> {
        let file = match matches.get_one::<PathBuf>("config") {
            Some(path) => read_file(path)?,
            None => SettingsFile::default(),
        };
        let endpoint = matches.get_one::<SocketAddr>("endpoint").copied();
        let endpoint = endpoint.or(file.endpoint);
        let endpoint =
            endpoint.ok_or_else(|| usage_error("no entry given: set --endpoint or --config"))?;
        let key = matches.get_one::<AccessKey>("key").cloned();
        let key_from_file = file.key.map(|text| text.parse()).transpose();
        let key_from_file = key_from_file
            .map_err(|error| usage_error(format!("key in the --config file: {error}")))?;
        Ok(Self {
            endpoint,
            key: key.or(key_from_file),
        })
    }
}

fn read_file(path: &Path) -> Result<SettingsFile, CtlError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| CtlError::File(path.to_owned(), error))?;
    toml::from_str(&text).map_err(|error| usage_error(format!("{}: {error}", path.display())))
}

/// Returns the error for invalid arguments or settings.
pub(crate) fn usage_error(message: impl Into<String>) -> CtlError {
    CtlError::Usage(message.into())
}

use std::io::{self, Write};

use serde::Serialize;

use crate::ctl_error::CtlError;

/// Prints the result of a command as text for people or as JSON for programs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Printer {
    is_json: bool,
}

impl Printer {
    pub(crate) const fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Prints a value as JSON, or the text that `text` returns for it.
    pub(crate) fn print<T: Serialize>(
        self,
        value: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<(), CtlError> {
        let text = if self.is_json {
            let json = serde_json::to_string_pretty(value);
            json.map_err(|error| CtlError::MalformedResponse(error.to_string()))? + "\n"
        } else {
            text(value)
        };
        match io::stdout().write_all(text.as_bytes()) {
            Ok(()) => Ok(()),
            // A reader that closes the pipe early, such as `head`, is not an error.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            Err(error) => Err(CtlError::File("standard output".into(), error)),
        }
    }
}

//! Commands that look at one process and change nothing.

use rhubarbfall_document::api::{EntryStatus, StatusView};

use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::text_table::TextTable;

/// Prints the entries: all of `status`, or only the list.
pub(super) async fn status(
    client: &Client,
    command: &str,
    printer: Printer,
) -> Result<(), CtlError> {
    let view = client.status().await?;
    if command == "entry" {
        return printer.print(&view.entries, |entries| entries_table(entries).to_string());
    }
    printer.print(&view, |view| {
        format!(
            "{}\n{}",
            newest_revision_line(view),
            entries_table(&view.entries)
        )
    })
}

/// Prints the whole state of the process; it is JSON either way.
pub(super) async fn state(client: &Client, printer: Printer) -> Result<(), CtlError> {
    let state = client.state().await?;
    printer.print(&state, |state| format!("{state:#}\n"))
}

fn newest_revision_line(view: &StatusView) -> String {
    match view.newest {
        Some(revision) => format!(
            "newest revision {revision}, as entry {} knows it",
            view.entry
        ),
        None => format!("entry {} cannot read the table", view.entry),
    }
}

fn entries_table(entries: &[EntryStatus]) -> TextTable {
    let headings = ["availability zone", "entry", "revision", "age"];
    entries
        .iter()
        .fold(TextTable::new(&headings), |table, entry| {
            let revision = entry.revision.map(|revision| revision.to_string());
            let age = entry.age_ms.map(|age_ms| format!("{age_ms} ms"));
            table.row([
                entry.availability_zone.to_string(),
                entry.entry.to_string(),
                revision.unwrap_or_else(|| "-".to_owned()),
                age.unwrap_or_else(|| "-".to_owned()),
            ])
        })
}

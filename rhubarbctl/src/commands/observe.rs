//! Read-only commands about the entries: `entry list`, `status` and `state`.

use rhubarbfall_document::api::{EntryStatus, StatusView};

use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::text_table::TextTable;

/// Prints the table of entries, preceded by the newest revision for `status`.
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

/// Prints the full state of the entry process, as JSON also without `--json`.
pub(super) async fn state(client: &Client, printer: Printer) -> Result<(), CtlError> {
    let state = client.state().await?;
    printer.print(&state, |state| format!("{state:#}\n"))
}

fn newest_revision_line(view: &StatusView) -> String {
    match view.newest {
        Some(revision) => format!(
            "newest revision {revision}, as seen by entry {}",
            view.entry
        ),
        None => format!(
            "newest revision unknown: entry {} cannot read the platform's table",
            view.entry
        ),
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

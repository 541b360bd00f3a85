use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

use clap::ArgMatches;
use rhubarbfall_core::{Revision, SectionVersion};
use rhubarbfall_document::api::{ChangeResponse, DocumentView, ViewSource};
use rhubarbfall_document::{
    Document, DocumentDraft, HistoryRecord, SectionChange, SectionDifference, SectionId, diff,
};

use super::section_edit::table_unavailable_error;
use super::transaction_id;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::settings::usage_error;
use crate::text_table::TextTable;

/// Latest time that is displayed, 9999-12-31T23:59:59Z; an HTTP date has a four-digit year.
const MAX_HTTP_DATE_UNIX_MS: u64 = 253_402_300_799_000;

/// Returns whether the command runs without contacting an entry.
pub(super) fn needs_no_entry(matches: &ArgMatches) -> bool {
    matches!(matches.subcommand(), Some(("check", check)) if check.get_flag("whole"))
}

/// Checks a file as a complete document, without contacting an entry.
pub(super) fn check_complete_document(
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (_, matches) = matches.subcommand().expect("a subcommand is required");
    let (path, text) = read_file(matches)?;
    match Document::parse(&text) {
        Ok(document) => printer.print(&document.section_ids(), |_| "valid document\n".to_owned()),
        Err(error) => Err(CtlError::Document(path, error)),
    }
}

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "show" => show(client, matches, printer).await,
        "edit" => edit(client, matches, printer).await,
        "apply" => apply(client, matches, printer).await,
        "check" => check(client, matches, printer).await,
        "diff" => match matches.get_one::<Revision>("from") {
            Some(from) => diff_revisions(client, *from, matches, printer).await,
            None => diff_file(client, matches, printer).await,
        },
        _ => history(client, matches, printer).await,
    }
}

async fn show(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let view = client.document().await?;
    let sections = selected_or_all_sections(matches, &view);
    let expected = matches.get_one::<SectionVersion>("version");
    if let (Some(expected), [section]) = (expected, sections.as_slice()) {
        require_version(client, &view, section, *expected).await?;
    }
    let view = restrict_to_sections(&view, &sections);
    printer.print(&view, |view| view_to_toml(view, &sections))
}

async fn require_version(
    client: &Client,
    view: &DocumentView,
    section: &SectionId,
    expected: SectionVersion,
) -> Result<(), CtlError> {
    let current = view.versions.get(section).copied().unwrap_or_default();
    if current == expected {
        return Ok(());
    }
    let later_records = client.history(Revision::new(expected.get())).await?;
    let changes = history_text(&later_records, std::slice::from_ref(section));
    Err(usage_error(format!(
        "section {section} has version {current}, not {expected}; changes since then:\n{changes}"
    )))
}

async fn edit(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("the file is required");
    if path.exists() && !matches.get_flag("force") {
        let message = format!(
            "{} already exists; use --force to overwrite it",
            path.display()
        );
        return Err(usage_error(message));
    }
    let view = client.document().await?;
    if view.source == ViewSource::InForce {
        return Err(table_unavailable_error());
    }
    let sections = selected_or_all_sections(matches, &view);
    let text = view_to_toml(&restrict_to_sections(&view, &sections), &sections);
    fs::write(path, text).map_err(|error| CtlError::File(path.clone(), error))?;
    let names: Vec<String> = sections.iter().map(SectionId::to_string).collect();
    printer.print(&names, |names| {
        let file = path.display();
        let names = names.join(", ");
        format!("wrote {names} to {file}; edit it, then run: rhubarbctl document apply {file}\n")
    })
}

async fn apply(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let response = client.apply(&text, &transaction_id(matches)).await?;
    printer.print(&response, change_summary)
}

async fn check(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let response = client.check(&text).await?;
    printer.print(&response, |response| match response.changes.as_slice() {
        [] => "valid; nothing would change\n".to_owned(),
        _ => format!("valid; would be {}", change_summary(response)),
    })
}

async fn diff_file(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    let draft = DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let view = client.document().await?;
    let mut after = view.document.clone();
    for (id, section) in draft.sections() {
        after.set_section(id, section.clone());
    }
    let mut sections = diff(&view.document, &after.sorted());
    retain_selected_sections(matches, &mut sections);
    printer.print(&sections, |sections| {
        sections.iter().map(ToString::to_string).collect()
    })
}

async fn diff_revisions(
    client: &Client,
    from: Revision,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let mut records = client.history(from).await?;
    if let Some(to) = matches.get_one::<Revision>("to") {
        records.retain(|record| record.revision <= *to);
    }
    let first = records.first().map(|record| record.revision);
    if first.is_some_and(|first| first != from.next()) {
        return Err(usage_error(
            "the history no longer contains all revisions after --from",
        ));
    }
    let sections = selected_sections(matches);
    printer.print(&records, |records| history_text(records, &sections))
}

async fn history(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let since = matches.get_one::<Revision>("since").copied();
    let mut records = client.history(since.unwrap_or_default()).await?;
    let sections = selected_sections(matches);
    records.retain(|record| {
        let mut changed = record.changes.iter().map(|change| &change.section);
        sections.is_empty() || changed.any(|section| sections.contains(section))
    });
    printer.print(&records, |records| {
        let table = TextTable::new(&["revision", "accepted", "author", "sections"]);
        records.iter().fold(table, add_record_row).to_string()
    })
}

fn add_record_row(table: TextTable, record: &HistoryRecord) -> TextTable {
    let sections = record
        .changes
        .iter()
        .map(|change| change.section.to_string());
    table.row([
        record.revision.to_string(),
        format_utc(record.accepted_unix_ms),
        record.author.to_string(),
        sections.collect::<Vec<_>>().join(", "),
    ])
}

/// Formats a Unix time as an HTTP date in UTC.
fn format_utc(unix_ms: u64) -> String {
    let accepted_at = UNIX_EPOCH + Duration::from_millis(unix_ms.min(MAX_HTTP_DATE_UNIX_MS));
    httpdate::fmt_http_date(accepted_at)
}

fn history_text(records: &[HistoryRecord], sections: &[SectionId]) -> String {
    let texts = records.iter().map(|record| record_text(record, sections));
    texts.collect()
}

fn record_text(record: &HistoryRecord, sections: &[SectionId]) -> String {
    let (revision, author) = (record.revision, &record.author);
    let when = format_utc(record.accepted_unix_ms);
    let is_selected =
        |change: &&SectionChange| sections.is_empty() || sections.contains(&change.section);
    let changes = record
        .changes
        .iter()
        .filter(is_selected)
        .map(change_to_text);
    let changes: String = changes.collect();
    format!("revision {revision} by {author} at {when}\n{changes}")
}

fn change_to_text(change: &SectionChange) -> String {
    let difference = SectionDifference {
        section: change.section.clone(),
        differences: change.differences.clone(),
    };
    match change.omitted_differences {
        0 => difference.to_string(),
        omitted => format!("{difference}  and {omitted} more\n"),
    }
}

/// Returns one line with the revision and the sections of a change.
pub(super) fn change_summary(response: &ChangeResponse) -> String {
    let sections = response
        .changes
        .iter()
        .map(|change| change.section.to_string());
    let sections: Vec<String> = sections.collect();
    if sections.is_empty() {
        return format!("revision {}: nothing changed\n", response.revision);
    }
    format!("revision {}: {}\n", response.revision, sections.join(", "))
}

fn selected_sections(matches: &ArgMatches) -> Vec<SectionId> {
    let sections = matches.get_many::<SectionId>("section");
    sections.unwrap_or_default().cloned().collect()
}

fn selected_or_all_sections(matches: &ArgMatches, view: &DocumentView) -> Vec<SectionId> {
    let sections = selected_sections(matches);
    if sections.is_empty() {
        return view.document.section_ids();
    }
    sections
}

fn retain_selected_sections(matches: &ArgMatches, sections: &mut Vec<SectionDifference>) {
    let selected = selected_sections(matches);
    sections.retain(|difference| selected.is_empty() || selected.contains(&difference.section));
}

fn restrict_to_sections(view: &DocumentView, sections: &[SectionId]) -> DocumentView {
    let mut restricted = DocumentView {
        document: Document::default(),
        ..view.clone()
    };
    restricted.document.revision = view.revision;
    for section in sections {
        restricted
            .document
            .set_section(section, view.document.section(section));
    }
    restricted
        .versions
        .retain(|section, _| sections.contains(section));
    restricted
}

fn view_to_toml(view: &DocumentView, sections: &[SectionId]) -> String {
    let revision = view.revision;
    let body = view.document.sections_to_toml(sections);
    if view.source == ViewSource::InForce {
        let note = "in force at this entry; the platform's table is unavailable";
        return format!("# revision {revision}, {note}\n\n{body}");
    }
    let version_line = |section: &SectionId| {
        let version = view.versions.get(section).copied().unwrap_or_default();
        format!("\"{section}\" = {version}")
    };
    let versions: Vec<String> = sections.iter().map(version_line).collect();
    let versions = versions.join("\n");
    format!("# revision {revision}\n[versions]\n{versions}\n\n{body}")
}

fn read_file(matches: &ArgMatches) -> Result<(PathBuf, String), CtlError> {
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("the file is required");
    let text = read_text(path)?;
    Ok((path.clone(), text))
}

fn read_text(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|error| CtlError::File(path.to_owned(), error))
}

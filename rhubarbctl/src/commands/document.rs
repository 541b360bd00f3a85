use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, UNIX_EPOCH};

use clap::ArgMatches;
use rhubarbfall_core::{Revision, SectionVersion};
use rhubarbfall_document::api::{ChangeAnswer, DocumentView, ViewSource};
use rhubarbfall_document::{
    Document, DocumentDraft, HistoryRecord, SectionChange, SectionDifference, SectionId, diff,
};

use super::fleet_edit::table_unavailable;
use super::transaction_id;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::report::Report;
use crate::settings::usage;
use crate::text_table::TextTable;

/// The last time that has a date with a year of four digits.
const LATEST_UNIX_MS: u64 = 253_402_300_799_000;

/// Returns whether the command works without an entry.
pub(super) fn needs_no_entry(matches: &ArgMatches) -> bool {
    matches!(matches.subcommand(), Some(("check", check)) if check.get_flag("whole"))
}

/// Checks a file as a whole document.
pub(super) fn check_whole(matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let (_, matches) = matches.subcommand().expect("a subcommand is required");
    let (path, text) = read_file(matches)?;
    match Document::parse(&text) {
        Ok(document) => report.print(&document.section_ids(), |_| "no faults\n".to_owned()),
        Err(error) => Err(CtlError::Document(path, error)),
    }
}

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    report: Report,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "show" => show(client, matches, report).await,
        "edit" => edit(client, matches, report).await,
        "apply" => apply(client, matches, report).await,
        "check" => check(client, matches, report).await,
        "diff" => match matches.get_one::<Revision>("from") {
            Some(from) => diff_revisions(client, *from, matches, report).await,
            None => diff_file(client, matches, report).await,
        },
        _ => history(client, matches, report).await,
    }
}

async fn show(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let view = client.document().await?;
    let sections = selected(matches, &view);
    let wanted = matches.get_one::<SectionVersion>("version");
    if let (Some(wanted), [section]) = (wanted, sections.as_slice()) {
        check_version(client, &view, section, *wanted).await?;
    }
    let part = part_of(&view, &sections);
    report.print(&part, |part| text_of(part, &sections))
}

async fn check_version(
    client: &Client,
    view: &DocumentView,
    section: &SectionId,
    wanted: SectionVersion,
) -> Result<(), CtlError> {
    let current = view.versions.get(section).copied().unwrap_or_default();
    if current == wanted {
        return Ok(());
    }
    let since = client.history(Revision::new(wanted.get())).await?;
    let changes = history_text(&since, std::slice::from_ref(section));
    Err(usage(format!(
        "section {section} has version {current}, not {wanted}; since then:\n{changes}"
    )))
}

async fn edit(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("the file is required");
    if path.exists() && !matches.get_flag("force") {
        let message = format!("{} exists; --force overwrites it", path.display());
        return Err(usage(message));
    }
    let view = client.document().await?;
    if view.source == ViewSource::InForce {
        return Err(table_unavailable());
    }
    let sections = selected(matches, &view);
    let text = text_of(&part_of(&view, &sections), &sections);
    fs::write(path, text).map_err(|error| CtlError::File(path.clone(), error))?;
    let names: Vec<String> = sections.iter().map(SectionId::to_string).collect();
    report.print(&names, |names| {
        let file = path.display();
        let names = names.join(", ");
        format!("wrote {names} to {file}; change it, then: rhubarbctl document apply {file}\n")
    })
}

async fn apply(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let answer = client.apply(&text, &transaction_id(matches)).await?;
    report.print(&answer, change_text)
}

async fn check(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let answer = client.check(&text).await?;
    report.print(&answer, |answer| match answer.changes.as_slice() {
        [] => "no faults; it changes nothing\n".to_owned(),
        _ => format!("no faults; it would be {}", change_text(answer)),
    })
}

async fn diff_file(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let (path, text) = read_file(matches)?;
    let draft = DocumentDraft::parse(&text).map_err(|error| CtlError::Document(path, error))?;
    let view = client.document().await?;
    let mut after = view.document.clone();
    for (id, section) in draft.sections() {
        after.set_section(id, section.clone());
    }
    let mut sections = diff(&view.document, &after.sorted());
    retain_selected(matches, &mut sections);
    report.print(&sections, |sections| {
        sections.iter().map(ToString::to_string).collect()
    })
}

async fn diff_revisions(
    client: &Client,
    from: Revision,
    matches: &ArgMatches,
    report: Report,
) -> Result<(), CtlError> {
    let mut records = client.history(from).await?;
    if let Some(to) = matches.get_one::<Revision>("to") {
        records.retain(|record| record.revision <= *to);
    }
    let first = records.first().map(|record| record.revision);
    if first.is_some_and(|first| first != from.next()) {
        return Err(usage("the history does not go back that far"));
    }
    let sections = selected_sections(matches);
    report.print(&records, |records| history_text(records, &sections))
}

async fn history(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let since = matches.get_one::<Revision>("since").copied();
    let mut records = client.history(since.unwrap_or_default()).await?;
    let sections = selected_sections(matches);
    records.retain(|record| {
        let mut changed = record.changes.iter().map(|change| &change.section);
        sections.is_empty() || changed.any(|section| sections.contains(section))
    });
    report.print(&records, |records| {
        let table = TextTable::new(&["revision", "accepted", "author", "sections"]);
        records.iter().fold(table, add_record).to_string()
    })
}

fn add_record(table: TextTable, record: &HistoryRecord) -> TextTable {
    let sections = record
        .changes
        .iter()
        .map(|change| change.section.to_string());
    table.row([
        record.revision.to_string(),
        utc(record.accepted_unix_ms),
        record.author.to_string(),
        sections.collect::<Vec<_>>().join(", "),
    ])
}

/// Writes a time of day for people, in UTC.
fn utc(unix_ms: u64) -> String {
    let accepted_at = UNIX_EPOCH + Duration::from_millis(unix_ms.min(LATEST_UNIX_MS));
    httpdate::fmt_http_date(accepted_at)
}

fn history_text(records: &[HistoryRecord], sections: &[SectionId]) -> String {
    let texts = records.iter().map(|record| record_text(record, sections));
    texts.collect()
}

fn record_text(record: &HistoryRecord, sections: &[SectionId]) -> String {
    let (revision, author) = (record.revision, &record.author);
    let when = utc(record.accepted_unix_ms);
    let is_wanted =
        |change: &&SectionChange| sections.is_empty() || sections.contains(&change.section);
    let changes = record.changes.iter().filter(is_wanted).map(change_lines);
    let changes: String = changes.collect();
    format!("revision {revision} by {author} at {when}\n{changes}")
}

fn change_lines(change: &SectionChange) -> String {
    let difference = SectionDifference {
        section: change.section.clone(),
        differences: change.differences.clone(),
    };
    match change.omitted_differences {
        0 => difference.to_string(),
        omitted => format!("{difference}  and {omitted} more\n"),
    }
}

/// Says what became of a change.
pub(super) fn change_text(answer: &ChangeAnswer) -> String {
    let sections = answer
        .changes
        .iter()
        .map(|change| change.section.to_string());
    let sections: Vec<String> = sections.collect();
    if sections.is_empty() {
        return format!("revision {}: nothing changed\n", answer.revision);
    }
    format!("revision {}: {}\n", answer.revision, sections.join(", "))
}

fn selected_sections(matches: &ArgMatches) -> Vec<SectionId> {
    let sections = matches.get_many::<SectionId>("section");
    sections.unwrap_or_default().cloned().collect()
}

fn selected(matches: &ArgMatches, view: &DocumentView) -> Vec<SectionId> {
    let sections = selected_sections(matches);
    if sections.is_empty() {
        return view.document.section_ids();
    }
    sections
}

fn retain_selected(matches: &ArgMatches, sections: &mut Vec<SectionDifference>) {
    let wanted = selected_sections(matches);
    sections.retain(|difference| wanted.is_empty() || wanted.contains(&difference.section));
}

fn part_of(view: &DocumentView, sections: &[SectionId]) -> DocumentView {
    let mut part = DocumentView {
        document: Document::default(),
        ..view.clone()
    };
    part.document.revision = view.revision;
    for section in sections {
        part.document
            .set_section(section, view.document.section(section));
    }
    part.versions
        .retain(|section, _| sections.contains(section));
    part
}

fn text_of(view: &DocumentView, sections: &[SectionId]) -> String {
    let revision = view.revision;
    let body = view.document.sections_to_toml(sections);
    if view.source == ViewSource::InForce {
        let note = "in force at this entry; the table does not answer";
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

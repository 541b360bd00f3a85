//! Decides whether a change becomes the next revision.

use std::sync::Arc;

use rhubarbfall_core::{QueueId, Revision, SectionVersion, TeamId};
use serde::Serialize;
use serde_json::Value;

use crate::change_error::{ChangeError, SectionConflict};
use crate::check::check;
use crate::difference::diff_sections;
use crate::document_error::DocumentError;
use crate::document_state::SectionRow;
use crate::head_row::{MAX_RECENT_CHANGES, MAX_RECENT_SECTIONS};
use crate::parse::with_violations;
use crate::planned_transaction::{
    HEAD_ROW_KEY, HISTORY_ROW_PREFIX, PlannedCondition, PlannedTransaction, PlannedWrite,
    section_row_key,
};
use crate::{
    Document, DocumentChange, DocumentDraft, DocumentState, HeadRow, HistoryRecord, KeyOwner,
    RecentChange, SectionChange, SectionId,
};

/// Number of revisions kept in the history.
const MAX_HISTORY_RECORDS: u64 = 100;

/// The result of a change that was not rejected.
#[derive(Debug, Clone)]
pub enum ChangeOutcome {
    /// The change becomes the next revision once the transaction is committed.
    Next(Box<NextRevision>),
    /// The same change was already recorded, as this revision.
    AlreadyAccepted(Revision),
    /// The sections already have the requested contents, at this revision.
    Unchanged(Revision),
}

/// The state after a change, and the transaction that records it.
#[derive(Debug, Clone)]
pub struct NextRevision {
    /// State once the transaction is committed.
    pub state: DocumentState,
    /// History record of the change.
    pub record: HistoryRecord,
    /// Transaction that records the change.
    pub transaction: PlannedTransaction,
}

/// Decides whether a change becomes the next revision.
///
/// # Errors
///
/// Returns [`ChangeError::Forbidden`], [`ChangeError::Conflict`] or [`ChangeError::Invalid`]. The
/// checks run in this order, and each error lists everything that its check found.
///
/// # Examples
///
/// ```
/// use rhubarbfall_document::{
///     ChangeOutcome, DocumentChange, DocumentDraft, DocumentState, KeyOwner, accept,
/// };
///
/// let change = DocumentChange {
///     owner: KeyOwner::Operator("ann".into()),
///     transaction_id: "t-1".into(),
///     draft: DocumentDraft::parse(
///         "versions.fleet = 0\n[[fleet.pool]]\nid = 'a'\nmax_unavailable_vms = 1",
///     )?,
///     now_unix_ms: 0,
/// };
/// let ChangeOutcome::Next(next) = accept(&DocumentState::default(), &change)? else {
///     unreachable!("the fleet section changes");
/// };
/// assert_eq!(next.state.document.revision.get(), 1);
/// assert!(matches!(accept(&next.state, &change)?, ChangeOutcome::AlreadyAccepted(_)));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn accept(
    state: &DocumentState,
    change: &DocumentChange,
) -> Result<ChangeOutcome, ChangeError> {
    if let Some(revision) = recorded_revision(state, &qualified_transaction_id(change)) {
        return Ok(ChangeOutcome::AlreadyAccepted(revision));
    }
    check_permission(change)?;
    check_base_versions(state, &change.draft)?;
    let document = merge(&state.document, &change.draft);
    let faults = with_violations(&change.draft, Vec::new(), check(&document));
    if !faults.is_empty() {
        return Err(ChangeError::Invalid(DocumentError::new(false, faults)));
    }
    let next = next_revision(state, document.sorted(), change);
    if next.record.changes.is_empty() {
        return Ok(ChangeOutcome::Unchanged(state.document.revision));
    }
    Ok(ChangeOutcome::Next(Box::new(next)))
}

/// Decides whether a change becomes the first revision of a fleet whose table has no document yet.
///
/// The first document is submitted as a whole, including the sections of teams, by an operator
/// whose key the document itself grants. Base versions are not checked.
///
/// # Errors
///
/// Returns [`ChangeError::Conflict`] with every section if a document exists,
/// [`ChangeError::Forbidden`] if the author is not an operator, and [`ChangeError::Invalid`] if the
/// document breaks a rule.
pub fn accept_first(
    state: &DocumentState,
    change: &DocumentChange,
) -> Result<ChangeOutcome, ChangeError> {
    if let Some(revision) = recorded_revision(state, &qualified_transaction_id(change)) {
        return Ok(ChangeOutcome::AlreadyAccepted(revision));
    }
    if state.head.revision > Revision::default() {
        let ids = state.document.section_ids();
        let conflicts = ids
            .iter()
            .map(|id| section_conflict(state, &change.draft, id));
        return Err(ChangeError::Conflict(conflicts.collect()));
    }
    if !matches!(change.owner, KeyOwner::Operator(_)) {
        let sections = change.draft.sections().map(|(id, _)| id.clone());
        return Err(ChangeError::Forbidden(sections.collect()));
    }
    let document = change.draft.to_document();
    let faults = with_violations(&change.draft, Vec::new(), check(&document));
    if !faults.is_empty() {
        return Err(ChangeError::Invalid(DocumentError::new(false, faults)));
    }
    let next = next_revision(state, document.sorted(), change);
    Ok(ChangeOutcome::Next(Box::new(next)))
}

/// Prefixes the identifier with its author, so that authors can choose identifiers independently.
fn qualified_transaction_id(change: &DocumentChange) -> String {
    format!("{}:{}", change.owner, change.transaction_id)
}

fn recorded_revision(state: &DocumentState, transaction_id: &str) -> Option<Revision> {
    let mut history = state.history.iter();
    let record = history.find(|record| &*record.transaction_id == transaction_id)?;
    Some(record.revision)
}

fn check_permission(change: &DocumentChange) -> Result<(), ChangeError> {
    let sections = change.draft.sections().map(|(id, _)| id);
    let forbidden: Vec<SectionId> = sections
        .filter(|id| !change.owner.may_edit(id))
        .cloned()
        .collect();
    if forbidden.is_empty() {
        Ok(())
    } else {
        Err(ChangeError::Forbidden(forbidden))
    }
}

fn check_base_versions(state: &DocumentState, draft: &DocumentDraft) -> Result<(), ChangeError> {
    let is_stale = |id: &SectionId| draft.base_version(id) != Some(state.version(id));
    let conflicts: Vec<_> = draft
        .sections()
        .filter(|(id, _)| is_stale(id))
        .map(|(id, _)| section_conflict(state, draft, id))
        .collect();
    if conflicts.is_empty() {
        Ok(())
    } else {
        Err(ChangeError::Conflict(conflicts))
    }
}

fn section_conflict(
    state: &DocumentState,
    draft: &DocumentDraft,
    section: &SectionId,
) -> SectionConflict {
    let base_version = draft.base_version(section);
    let current_version = state.version(section);
    SectionConflict {
        section: section.clone(),
        base_version,
        current_version,
        changed_since: section_history(state, section, base_version.unwrap_or(current_version)),
    }
}

/// Returns the history of one section after a given version of it.
fn section_history(
    state: &DocumentState,
    section: &SectionId,
    version: SectionVersion,
) -> Vec<HistoryRecord> {
    let records = state.changes_since(Revision::new(version.get())).iter();
    let only_section = |record: &HistoryRecord| HistoryRecord {
        changes: record
            .changes
            .iter()
            .filter(|change| change.section == *section)
            .cloned()
            .collect(),
        ..record.clone()
    };
    records
        .map(only_section)
        .filter(|record| !record.changes.is_empty())
        .collect()
}

/// Applies the edited sections to the document.
///
/// Also removes the sections of teams and the weights of queues that the fleet section no longer
/// has: operators cannot edit a team's section, but must be able to remove the team and the queues
/// that it names.
fn merge(current: &Document, draft: &DocumentDraft) -> Document {
    let mut next = current.clone();
    for (id, section) in draft.sections() {
        next.set_section(id, section.clone());
    }
    let mut teams: Vec<&TeamId> = next.fleet.teams.iter().map(|team| &team.id).collect();
    let mut queues: Vec<&QueueId> = next.fleet.queues.iter().map(|queue| &queue.id).collect();
    teams.sort();
    queues.sort();
    let is_edited = |team: &TeamId| draft.sections.contains_key(&SectionId::Team(team.clone()));
    next.teams
        .retain(|team, _| is_edited(team) || teams.binary_search(&team).is_ok());
    for (team, section) in next.teams.iter_mut() {
        if !is_edited(team) {
            let queue_weights = &mut section.queue_weights;
            queue_weights.retain(|queue, _| queues.binary_search(&queue).is_ok());
        }
    }
    next
}

fn next_revision(
    state: &DocumentState,
    mut document: Document,
    change: &DocumentChange,
) -> NextRevision {
    let revision = state.document.revision.next();
    document.revision = revision;
    let record = HistoryRecord {
        revision,
        accepted_unix_ms: change.now_unix_ms,
        author: Arc::from(change.owner.to_string()),
        transaction_id: Arc::from(qualified_transaction_id(change)),
        changes: section_changes(&state.document, &document),
    };
    let head = next_head(&state.head, &record);
    let transaction = plan_transaction(state, &document, &head, &record);
    let mut next = DocumentState {
        document,
        versions: state.versions.clone(),
        head,
        head_row_version: state.head_row_version.next(),
        history: state.history.clone(),
    };
    for change in &record.changes {
        if is_removed(&next.document, &change.section) {
            next.versions.remove(&change.section);
        } else {
            next.versions.insert(change.section.clone(), change.version);
        }
    }
    let dropped = dropped_revision(revision);
    next.history.retain(|record| record.revision > dropped);
    next.history.push(record.clone());
    NextRevision {
        state: next,
        record,
        transaction,
    }
}

fn section_changes(before: &Document, after: &Document) -> Vec<SectionChange> {
    let version = SectionVersion::new(after.revision.get());
    let mut sections = before.section_ids();
    sections.extend(after.section_ids());
    sections.sort();
    sections.dedup();
    let changed = |section: SectionId| {
        let (old, new) = (before.section(&section), after.section(&section));
        let differences = || diff_sections(&old, &new);
        (old != new).then(|| SectionChange::new(section, version, differences()))
    };
    sections.into_iter().filter_map(changed).collect()
}

fn next_head(head: &HeadRow, record: &HistoryRecord) -> HeadRow {
    let revision = record.revision;
    let sections = record.changes.iter().map(|change| change.section.clone());
    let sections: Vec<SectionId> = sections.collect();
    if sections.len() > MAX_RECENT_SECTIONS {
        // Too many sections to list: readers of an older revision read the whole document.
        let recent = Vec::new();
        return HeadRow { revision, recent };
    }
    let kept = head.recent.len().min(MAX_RECENT_CHANGES - 1);
    let mut recent = head.recent[head.recent.len() - kept..].to_vec();
    recent.push(RecentChange { revision, sections });
    HeadRow { revision, recent }
}

fn plan_transaction(
    state: &DocumentState,
    document: &Document,
    head: &HeadRow,
    record: &HistoryRecord,
) -> PlannedTransaction {
    let mut writes = vec![planned_write(HEAD_ROW_KEY, Some(to_value(head)))];
    for change in &record.changes {
        let key = section_row_key(&change.section);
        let row = SectionRow {
            version: change.version,
            body: document.section(&change.section),
        };
        writes.push(planned_write(
            &key,
            (!is_removed(document, &change.section)).then(|| to_value(&row)),
        ));
    }
    writes.push(planned_write(
        &history_row_key(record.revision),
        Some(to_value(record)),
    ));
    let dropped = dropped_revision(record.revision);
    if dropped > Revision::default() {
        writes.push(planned_write(&history_row_key(dropped), None));
    }
    let condition = PlannedCondition {
        key: Arc::from(HEAD_ROW_KEY),
        version: state.head_row_version,
    };
    PlannedTransaction {
        id: Arc::from(format!(
            "document:{}:{}",
            record.transaction_id, record.revision
        )),
        conditions: vec![condition],
        writes,
    }
}

fn is_removed(document: &Document, section: &SectionId) -> bool {
    matches!(section, SectionId::Team(team) if !document.teams.contains_key(team))
}

const fn dropped_revision(newest: Revision) -> Revision {
    Revision::new(newest.get().saturating_sub(MAX_HISTORY_RECORDS))
}

/// Pads the revision with zeros, so that rows sort by revision.
fn history_row_key(revision: Revision) -> String {
    format!("{HISTORY_ROW_PREFIX}{revision:020}")
}

fn planned_write(key: &str, value: Option<Value>) -> PlannedWrite {
    PlannedWrite {
        key: Arc::from(key),
        value,
    }
}

fn to_value(content: &impl Serialize) -> Value {
    serde_json::to_value(content).expect("serializing a row to JSON succeeds")
}

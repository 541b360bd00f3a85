use std::sync::Arc;

use rhubarbfall_document::{
    Document, DocumentState, HEAD_ROW_KEY, HeadRow, PlannedTransaction, ROW_KEY_PREFIX, RowsError,
    TableRow, section_row_key,
};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Row, TableClient, Transaction};

/// How often rows that belong to different revisions are read again.
const MAX_TORN_READS: u32 = 3;

/// How many changed sections are read one by one; more are cheaper in one scan.
const MAX_SECTION_READS: usize = 8;

/// Reads the row that names the newest revision; nothing when no document was ever accepted.
pub(crate) async fn read_head(table: &TableClient) -> Result<Option<HeadRow>, PlatformError> {
    let row = table.read(HEAD_ROW_KEY).await?;
    row.map(|row| row.parse()).transpose()
}

/// Reads the newest state with its versions and its history.
pub(crate) async fn read_state(table: &TableClient) -> Result<DocumentState, PlatformError> {
    let mut torn_reads = 0;
    loop {
        let rows = table.scan(ROW_KEY_PREFIX).await?;
        match DocumentState::from_rows(rows.into_iter().map(to_table_row)) {
            Err(RowsError::RevisionMismatch(_)) if torn_reads < MAX_TORN_READS => torn_reads += 1,
            result => return result.map_err(|error| malformed(&error)),
        }
    }
}

/// Reads the document of a newer head than the one in force; only what has changed, when the head
/// still names it.
pub(crate) async fn read_newer(
    table: &TableClient,
    in_force: Option<&Document>,
    head: &HeadRow,
) -> Result<Document, PlatformError> {
    if let Some(document) = in_force
        && let Some(sections) = head.changed_since(document.revision)
        && sections.len() <= MAX_SECTION_READS
    {
        let mut rows = Vec::new();
        for section in sections {
            let row = table.read(&section_row_key(&section)).await?;
            rows.push((section, row.map(to_table_row)));
        }
        // A row that is newer than the head is no fault: the scan reads both anew.
        if let Ok(document) = DocumentState::catch_up(document, head, rows) {
            return Ok(document);
        }
    }
    Ok(read_state(table).await?.document)
}

/// Makes the table's transaction of a plan.
pub(super) fn to_transaction(plan: &PlannedTransaction) -> Transaction {
    let id = plan.id.parse().unwrap_or_else(|never| match never {});
    let mut transaction = Transaction::new(id);
    for condition in &plan.conditions {
        transaction = transaction.expect(Arc::clone(&condition.key), condition.version);
    }
    for write in &plan.writes {
        let key = Arc::clone(&write.key);
        transaction = match &write.value {
            Some(value) => transaction.put(key, value.clone()),
            None => transaction.delete(key),
        };
    }
    transaction
}

fn to_table_row(row: Row) -> TableRow {
    TableRow {
        key: row.key,
        version: row.version,
        value: row.value,
    }
}

fn malformed(error: &RowsError) -> PlatformError {
    PlatformError::Malformed(Arc::from(error.to_string()))
}

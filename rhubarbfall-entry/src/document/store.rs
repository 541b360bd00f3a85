use std::sync::Arc;

use rhubarbfall_document::{
    Document, DocumentState, HEAD_ROW_KEY, HeadRow, PlannedTransaction, ROW_KEY_PREFIX, RowsError,
    TableRow, section_row_key,
};
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::table::{Row, TableClient, Transaction};

/// Maximum number of repeated reads when the rows come from different revisions.
const MAX_MISMATCHES: u32 = 3;

/// Maximum number of changed sections that are read one by one; more are cheaper in one scan.
const MAX_SECTION_READS: usize = 8;

/// Reads the head row, which names the newest revision; returns `None` if no document was ever
/// accepted.
pub(crate) async fn read_head(table: &TableClient) -> Result<Option<HeadRow>, PlatformError> {
    let row = table.read(HEAD_ROW_KEY).await?;
    row.map(|row| row.parse()).transpose()
}

/// Reads the newest state, with its row versions and its history.
pub(crate) async fn read_state(table: &TableClient) -> Result<DocumentState, PlatformError> {
    let mut mismatches = 0;
    loop {
        let rows = table.scan(ROW_KEY_PREFIX).await?;
        match DocumentState::from_rows(rows.into_iter().map(to_table_row)) {
            Err(RowsError::RevisionMismatch(_)) if mismatches < MAX_MISMATCHES => mismatches += 1,
            result => return result.map_err(|error| malformed(&error)),
        }
    }
}

/// Reads the document at the revision of `head`, which is newer than the one in force.
///
/// Reads only the changed sections if the head row still lists the changes since `in_force`.
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
        // A row may be newer than the head row; the scan below then reads both again.
        if let Ok(document) = DocumentState::catch_up(document, head, rows) {
            return Ok(document);
        }
    }
    Ok(read_state(table).await?.document)
}

/// Converts a planned transaction to one of the platform's table.
pub(super) fn to_transaction(planned: &PlannedTransaction) -> Transaction {
    let id = planned.id.parse().unwrap_or_else(|never| match never {});
    let mut transaction = Transaction::new(id);
    for condition in &planned.conditions {
        transaction = transaction.expect(Arc::clone(&condition.key), condition.version);
    }
    for write in &planned.writes {
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

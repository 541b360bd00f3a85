//! Read-modify-write changes of one section of the document.

use clap::ArgMatches;
use rhubarbfall_core::ResultCode;
use rhubarbfall_document::api::{ChangeResponse, OperatorErrorResponse, ViewSource};
use rhubarbfall_document::{Document, SectionId};

use super::transaction_id;
use crate::client::Client;
use crate::ctl_error::CtlError;

/// Maximum number of retries on a newer version of the section.
const MAX_CONFLICT_RETRIES: u32 = 5;

/// Changes a section, and retries on the newest version after a conflict with another change.
pub(super) async fn edit_section(
    client: &Client,
    matches: &ArgMatches,
    section: &SectionId,
    change: impl Fn(&mut Document) -> Result<(), CtlError>,
) -> Result<ChangeResponse, CtlError> {
    let transaction_id = transaction_id(matches);
    let mut conflicts = 0;
    loop {
        let view = client.document().await?;
        if view.source == ViewSource::InForce {
            return Err(table_unavailable_error());
        }
        let mut document = view.document;
        change(&mut document)?;
        let version = view.versions.get(section).copied().unwrap_or_default();
        let sections = document.sections_to_toml(std::slice::from_ref(section));
        let text = format!("[versions]\n\"{section}\" = {version}\n\n{sections}");
        let result = client.apply(&text, &transaction_id).await;
        let is_conflict = matches!(&result, Err(CtlError::Rejected(response))
            if response.code == ResultCode::SectionVersionConflict);
        if !is_conflict || conflicts == MAX_CONFLICT_RETRIES {
            return result;
        }
        conflicts += 1;
    }
}

/// Returns the error for a change while the platform's table is unavailable: the versions of the
/// sections are unknown then, and nothing can be changed.
pub(super) fn table_unavailable_error() -> CtlError {
    CtlError::Rejected(Box::new(OperatorErrorResponse::new(
        ResultCode::PlatformUnavailable,
    )))
}

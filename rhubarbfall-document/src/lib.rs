//! The operators' document: its sections, rules, revisions and access keys.
//!
//! The document is edited by section: operators own the `fleet` and `keys` sections, and each team
//! owns the section `team.<id>`. A [`Document`] is the state of every section at one revision.
//! [`accept`] decides whether a change becomes the next revision. It does no I/O and reads no
//! clock; it returns the transaction to commit to the platform's table.

mod accept;
mod access_key;
pub mod api;
mod change_error;
mod check;
mod difference;
mod document;
mod document_change;
mod document_draft;
mod document_error;
mod document_state;
mod fleet_section;
mod head_row;
mod history_record;
mod key_digest;
mod key_owner;
mod key_spec;
mod keys_section;
mod limits;
mod line_index;
mod parse;
mod pepper;
mod planned_transaction;
mod pool_spec;
mod queue_access;
mod queue_spec;
mod read;
mod section;
mod section_id;
mod service_spec;
mod table_reader;
mod team_section;
mod team_spec;
mod text_fault;

pub use accept::{ChangeOutcome, NextRevision, accept, accept_first};
pub use access_key::{AccessKey, MAX_KEY_BYTES, ParseAccessKeyError};
pub use change_error::{ChangeError, SectionConflict};
pub use difference::{Difference, SectionDifference, diff};
pub use document::Document;
pub use document_change::DocumentChange;
pub use document_draft::DocumentDraft;
pub use document_error::DocumentError;
pub use document_state::{DocumentState, RowsError};
pub use fleet_section::FleetSection;
pub use head_row::{HeadRow, RecentChange};
pub use history_record::{HistoryRecord, SectionChange};
pub use key_digest::{KeyDigest, ParseKeyDigestError};
pub use key_owner::KeyOwner;
pub use key_spec::KeySpec;
pub use keys_section::KeysSection;
pub use limits::MAX_DOCUMENT_BYTES;
pub use pepper::{ParsePepperError, Pepper, digest_key};
pub use planned_transaction::{
    HEAD_ROW_KEY, PlannedCondition, PlannedTransaction, PlannedWrite, ROW_KEY_PREFIX, TableRow,
    section_row_key,
};
pub use pool_spec::PoolSpec;
pub use queue_access::QueueAccess;
pub use queue_spec::QueueSpec;
pub use section::Section;
pub use section_id::{ParseSectionIdError, SectionId};
pub use service_spec::ServiceSpec;
pub use team_section::TeamSection;
pub use team_spec::TeamSpec;
pub use text_fault::{Position, TextFault};

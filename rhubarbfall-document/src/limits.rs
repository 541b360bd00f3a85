//! The bounds that keep a document within the memory of the smallest entry.

use std::ops::RangeInclusive;

/// The largest document text, in bytes; larger ones are refused before they are parsed.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// The most items in one list of the document.
pub(crate) const MAX_LIST_ITEMS: usize = 10_000;

/// The longest label or contact, in bytes, so that a table's line stays readable.
pub(crate) const MAX_LABEL_BYTES: usize = 128;

/// The weights that shares and queues may have; zero would mean never.
pub(crate) const SHARE_WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// The slots that one upstream may have.
pub(crate) const UPSTREAM_SLOTS_RANGE: RangeInclusive<u64> = 1..=10_000;

/// The connections that one upstream may take.
pub(crate) const UPSTREAM_CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=100_000;

/// The largest upper limit of a team; zero stops the team's work.
pub(crate) const UPPER_LIMIT_SLOTS_RANGE: RangeInclusive<u64> = 0..=10_000_000;

/// The requests of one team that may wait at one entry; each holds memory there.
pub(crate) const WAITING_REQUESTS_RANGE: RangeInclusive<u64> = 1..=100_000;

/// The time that an upstream may take for an answer, up to a day.
pub(crate) const ANSWER_TIMEOUT_MS_RANGE: RangeInclusive<u64> = 1..=86_400_000;

/// The VMs that a pool's budget and smallest size may name.
pub(crate) const POOL_VMS_RANGE: RangeInclusive<u64> = 0..=1_000_000;

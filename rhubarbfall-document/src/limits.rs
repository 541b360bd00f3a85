//! Limits that keep a document within the memory of the smallest entry.

use std::ops::RangeInclusive;

/// Maximum size of a document text in bytes; larger texts are rejected before parsing.
pub const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of items in one list of the document.
pub(crate) const MAX_LIST_ITEMS: usize = 10_000;

/// Maximum length of a label, contact or operator name in bytes, so that the rows of printed tables
/// stay readable.
pub(crate) const MAX_LABEL_BYTES: usize = 128;

/// Allowed weights of teams and queues; with weight 0, their work would never run.
pub(crate) const SHARE_WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// Allowed number of slots per upstream.
pub(crate) const UPSTREAM_SLOTS_RANGE: RangeInclusive<u64> = 1..=10_000;

/// Allowed number of connections per upstream.
pub(crate) const UPSTREAM_CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=100_000;

/// Allowed upper limits of a team in slots; 0 stops the team's work.
pub(crate) const UPPER_LIMIT_SLOTS_RANGE: RangeInclusive<u64> = 0..=10_000_000;

/// Allowed limits on a team's waiting requests at one entry; each waiting request holds memory.
pub(crate) const WAITING_REQUESTS_RANGE: RangeInclusive<u64> = 1..=100_000;

/// Allowed answer timeouts of an upstream in milliseconds, up to one day.
pub(crate) const ANSWER_TIMEOUT_MS_RANGE: RangeInclusive<u64> = 1..=86_400_000;

/// Allowed availability budgets and minimum sizes of a pool in VMs.
pub(crate) const POOL_VMS_RANGE: RangeInclusive<u64> = 0..=1_000_000;

use super::ClaimKey;

/// Number of key bits that select a bucket; short buckets keep insertions cheap.
const BUCKET_BITS: u32 = 10;

/// The process that holds a claim in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimHolder {
    /// Another process.
    Other,
    /// This process; it has run the request or may still run it.
    Own,
    /// This process; it is certain that it has not run the request and will not run it.
    OwnNotRun,
}

/// A claim in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndexedClaim {
    key: ClaimKey,
    /// Sequence number of the segment that holds the claim.
    pub(crate) sequence: u64,
    pub(crate) holder: ClaimHolder,
}

/// Claims in the log by key, in buckets of sorted vectors.
#[derive(Debug)]
pub(crate) struct ClaimIndex {
    buckets: Vec<Vec<IndexedClaim>>,
    length: usize,
}

impl ClaimIndex {
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![Vec::new(); 1 << BUCKET_BITS],
            length: 0,
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::new();
    }

    pub(crate) fn get(&self, key: ClaimKey) -> Option<IndexedClaim> {
        let bucket = &self.buckets[key.prefix(BUCKET_BITS)];
        let position = bucket.binary_search_by_key(&key, |claim| claim.key).ok()?;
        Some(bucket[position])
    }

    /// Adds a claim unless the key is already claimed; returns whether it was added.
    pub(crate) fn insert(&mut self, key: ClaimKey, sequence: u64, holder: ClaimHolder) -> bool {
        let bucket = &mut self.buckets[key.prefix(BUCKET_BITS)];
        let Err(position) = bucket.binary_search_by_key(&key, |claim| claim.key) else {
            return false;
        };
        let claim = IndexedClaim {
            key,
            sequence,
            holder,
        };
        bucket.insert(position, claim);
        self.length += 1;
        true
    }

    pub(crate) fn set_holder(&mut self, key: ClaimKey, holder: ClaimHolder) {
        let bucket = &mut self.buckets[key.prefix(BUCKET_BITS)];
        if let Ok(position) = bucket.binary_search_by_key(&key, |claim| claim.key) {
            bucket[position].holder = holder;
        }
    }

    /// Removes the claim of a key; if a sequence number is given, only if that segment holds it.
    pub(crate) fn remove(&mut self, key: ClaimKey, sequence: Option<u64>) {
        let bucket = &mut self.buckets[key.prefix(BUCKET_BITS)];
        let Ok(position) = bucket.binary_search_by_key(&key, |claim| claim.key) else {
            return;
        };
        if sequence.is_none_or(|sequence| bucket[position].sequence == sequence) {
            bucket.remove(position);
            self.length -= 1;
        }
    }
}

use super::ClaimKey;

/// How many bits of a key pick its bucket; short buckets keep an insertion cheap.
const BUCKET_BITS: u32 = 10;

/// Who holds a claim that is in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClaimHolder {
    /// Another process.
    Other,
    /// This process, which has run the request or may still do so.
    Own,
    /// This process, which surely has not run the request and will not.
    OwnNotRun,
}

/// A claim that is in the log.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IndexedClaim {
    key: ClaimKey,
    /// The segment that holds the claim.
    pub(crate) sequence: u64,
    /// Who holds the claim.
    pub(crate) holder: ClaimHolder,
}

/// The claims in the log by key, in buckets of sorted vectors.
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

    /// Adds a claim unless the key is taken; returns whether it was added.
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

    /// Removes the key if the given segment holds its claim.
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

use rhubarbfall_admission::LedgerRow;
use rhubarbfall_core::Revision;

/// A conditional write of the ledger row.
#[derive(Debug, Clone)]
pub(crate) struct Transaction {
    pub(crate) id: u64,
    pub(crate) row_version: u64,
    pub(crate) revision: Revision,
    pub(crate) next: LedgerRow,
}

/// A simulated table with the document's revision and one ledger row.
pub(crate) struct ModelTable {
    pub(crate) row: LedgerRow,
    pub(crate) row_version: u64,
    pub(crate) revision: Revision,
    pub(crate) limit: u32,
    pub(crate) down_until: u32,
    /// Delayed transactions, with the steps at which they arrive.
    pub(crate) delayed: Vec<(u32, Transaction)>,
    results: Vec<(u64, bool)>,
}

impl ModelTable {
    pub(crate) fn new(limit: u32) -> Self {
        Self {
            row: LedgerRow::default(),
            row_version: 0,
            revision: Revision::new(1),
            limit,
            down_until: 0,
            delayed: Vec::new(),
            results: Vec::new(),
        }
    }

    pub(crate) fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
        self.revision = self.revision.next();
    }

    pub(crate) fn deliver(&mut self, step: u32) {
        let is_due = |(arrives_at, _): &(u32, Transaction)| *arrives_at <= step;
        let due: Vec<_> = self.delayed.iter().filter(|t| is_due(t)).cloned().collect();
        self.delayed.retain(|transaction| !is_due(transaction));
        for (_, transaction) in due {
            self.commit(&transaction);
        }
    }

    /// Applies a transaction at most once; a repeated one returns its first result.
    pub(crate) fn commit(&mut self, transaction: &Transaction) -> bool {
        if let Some((_, result)) = self.results.iter().find(|(id, _)| *id == transaction.id) {
            return *result;
        }
        let is_current =
            transaction.row_version == self.row_version && transaction.revision == self.revision;
        if is_current {
            self.row = transaction.next.clone();
            self.row_version += 1;
        }
        self.results.push((transaction.id, is_current));
        is_current
    }
}

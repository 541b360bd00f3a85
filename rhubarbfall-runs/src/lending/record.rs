//! Encoding of grants and reports as stored records.

use litemap::LiteMap;
use prost::Message;
use quick_error::quick_error;
use rhubarbfall_core::{ParseIdError, RowVersion};

use super::{
    Account, AccountGrants, AccountUse, CellReport, CompletedWave, Grant, Grants, ParseAccountError,
};

quick_error! {
    /// Why a stored record of shares cannot be used.
    #[derive(Debug)]
    pub enum LendingRecordError {
        /// The bytes are not a valid protobuf message of the expected type.
        Malformed(cause: prost::DecodeError) {
            from()
            display("malformed record: {cause}")
        }
        /// An account in the record is not known.
        BadAccount(cause: ParseAccountError) {
            from()
            display("{cause}")
        }
        /// The name of a wave is not a valid identifier.
        BadWave(cause: ParseIdError) {
            from()
            display("invalid wave in record: {cause}")
        }
    }
}

#[derive(Clone, PartialEq, Message)]
struct GrantsRecord {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(message, repeated, tag = "2")]
    accounts: Vec<AccountRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct AccountRecord {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(uint64, tag = "2")]
    limit: u64,
    #[prost(message, repeated, tag = "3")]
    cells: Vec<GrantRecord>,
    #[prost(uint64, tag = "4")]
    withdrawn_in: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct GrantRecord {
    #[prost(uint64, tag = "1")]
    granted: u64,
    #[prost(uint64, tag = "2")]
    ceiling: u64,
    #[prost(uint64, tag = "3")]
    changed_in: u64,
}

#[derive(Clone, PartialEq, Message)]
struct ReportRecord {
    #[prost(uint64, tag = "1")]
    follows: u64,
    #[prost(message, repeated, tag = "2")]
    uses: Vec<UseRecord>,
    #[prost(string, repeated, tag = "3")]
    completed_waves: Vec<String>,
    /// The versions of the requests for the completed waves, in the same order. Earlier versions do not
    /// state them, and their reports complete no wave.
    #[prost(uint64, repeated, tag = "4")]
    completed_versions: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct UseRecord {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(uint64, tag = "2")]
    used: u64,
    #[prost(uint64, tag = "3")]
    wanted: u64,
    #[prost(bool, tag = "4")]
    is_unsettled: bool,
    #[prost(uint64, tag = "5")]
    unit: u64,
}

impl Grants {
    /// Encodes the grants as a stored record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let grant = |grant: &Grant| GrantRecord {
            granted: grant.granted,
            ceiling: grant.ceiling,
            changed_in: grant.changed_in,
        };
        let accounts = self
            .accounts
            .iter()
            .map(|(account, of_account)| AccountRecord {
                account: account.to_string(),
                limit: of_account.limit,
                cells: of_account.cells.iter().map(grant).collect(),
                withdrawn_in: of_account.withdrawn_in,
            });
        let record = GrantsRecord {
            revision: self.revision,
            accounts: accounts.collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns a [`LendingRecordError`] if the record is malformed or names an unknown account.
    pub fn decode(bytes: &[u8]) -> Result<Self, LendingRecordError> {
        let record = GrantsRecord::decode(bytes)?;
        let mut accounts = LiteMap::new();
        for of_account in record.accounts {
            let grant = |grant: &GrantRecord| Grant {
                granted: grant.granted,
                ceiling: grant.ceiling,
                changed_in: grant.changed_in,
            };
            let account: Account = of_account.account.parse()?;
            accounts.insert(
                account,
                AccountGrants {
                    limit: of_account.limit,
                    cells: of_account.cells.iter().map(grant).collect(),
                    withdrawn_in: of_account.withdrawn_in,
                },
            );
        }
        Ok(Self {
            revision: record.revision,
            accounts,
        })
    }
}

impl CellReport {
    /// Encodes the report as a stored record.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let uses = self.uses.iter().map(|(account, of_account)| UseRecord {
            account: account.to_string(),
            used: of_account.used,
            wanted: of_account.wanted,
            is_unsettled: of_account.is_unsettled,
            unit: of_account.unit,
        });
        let record = ReportRecord {
            follows: self.follows,
            uses: uses.collect(),
            completed_waves: self
                .completed_waves
                .iter()
                .map(|completed| completed.id.to_string())
                .collect(),
            completed_versions: self
                .completed_waves
                .iter()
                .map(|completed| completed.version.get())
                .collect(),
        };
        record.encode_to_vec()
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns a [`LendingRecordError`] if the record is malformed or names an unknown account.
    pub fn decode(bytes: &[u8]) -> Result<Self, LendingRecordError> {
        let record = ReportRecord::decode(bytes)?;
        let mut uses = LiteMap::new();
        for of_account in record.uses {
            let account: Account = of_account.account.parse()?;
            uses.insert(
                account,
                AccountUse {
                    used: of_account.used,
                    wanted: of_account.wanted,
                    is_unsettled: of_account.is_unsettled,
                    unit: of_account.unit,
                },
            );
        }
        let completed = record
            .completed_waves
            .iter()
            .zip(&record.completed_versions);
        let waves = completed.map(|(wave, version)| {
            let id = wave.parse()?;
            let version = RowVersion::new(*version);
            Ok::<_, ParseIdError>(CompletedWave { id, version })
        });
        Ok(Self {
            follows: record.follows,
            uses,
            completed_waves: waves.collect::<Result<_, _>>()?,
        })
    }
}

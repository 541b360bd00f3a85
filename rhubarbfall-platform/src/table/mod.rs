//! Client of the transactional table: versioned rows, written by conditional transactions.

mod row;
mod table_client;
mod transaction;

pub use row::Row;
pub use table_client::TableClient;
pub use transaction::{Committed, Condition, Transaction, TransactionId, Write};

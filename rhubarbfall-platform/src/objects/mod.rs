//! The object store: whole objects by key.

mod object_client;

pub use object_client::ObjectClient;

//! Client of the object store, which stores and returns whole objects by key.

mod object_client;

pub use object_client::ObjectClient;

//! Client of the platform's list of VMs, which lags behind the actual state of the VMs.

mod vm_list_client;
mod vm_record;

pub use vm_list_client::VmListClient;
pub use vm_record::{VmKind, VmRecord, VmState};

//! Settings of the entries that tests start as separate processes.

use std::net::SocketAddr;

use rhubarbfall_testing::rig::free_address;

/// The addresses that an entry listens on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryAddresses {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    /// The address that an entry binds last.
    pub(crate) metrics: SocketAddr,
}

impl EntryAddresses {
    /// Picks unused addresses.
    pub(crate) fn allocate() -> Self {
        Self {
            callers: free_address(),
            readiness: free_address(),
            peers: free_address(),
            metrics: free_address(),
        }
    }

    /// Returns the settings of an entry with this name as TOML.
    pub(crate) fn settings(
        &self,
        name: &str,
        seeds: &[SocketAddr],
        store: SocketAddr,
        vm_service: SocketAddr,
    ) -> String {
        let Self {
            callers,
            readiness,
            peers,
            metrics,
        } = self;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let seeds = seeds.join(", ");
        format!(
            "entry = \"{name}\"\navailability_zone = \"zone-a\"\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{peers}\"\nmetrics = \"{metrics}\"\n\
             seeds = [{seeds}]\nstore = \"{store}\"\nvm_service = \"{vm_service}\"\n\
             max_lease_ms = 10000\nstop_grace_s = 6\n"
        )
    }
}

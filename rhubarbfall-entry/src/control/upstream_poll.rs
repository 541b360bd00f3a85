use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::UpstreamId;
use rhubarbfall_platform::PlatformError;
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use tokio::time::sleep;

use crate::Shared;
use crate::fleet::FleetState;

/// Polls the VM list, and updates the upstreams of each service with the live VMs of this zone.
pub(super) async fn run(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.control.vm_list_poll_ms);
    loop {
        if let Err(error) = poll(&shared).await {
            log::warn!("event=vm-poll error={error}");
        }
        sleep(interval).await;
    }
}

async fn poll(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let Some(document) = shared.document.load_full() else {
        return Ok(());
    };
    if !shared.fleet.is_registered() {
        return Ok(());
    }
    let vms = shared.vm_list.list().await?;
    let rows = FleetState::parse_vms(&shared.table.scan("vm/").await?);
    let pools = shared.fleet.routable_pools(&rows);
    for service in &document.fleet.services {
        let upstreams: Vec<(UpstreamId, SocketAddr)> = vms
            .iter()
            .filter(|vm| is_routable(shared, vm) && pools.get(&vm.id) == Some(&service.pool))
            .filter_map(|vm| Some((vm.id.as_str().parse().ok()?, vm.address)))
            .collect();
        shared.upstreams.set_listed(&service.id, &upstreams);
    }
    shared.fleet.set_applied(rows);
    Ok(())
}

fn is_routable(shared: &Shared, vm: &VmRecord) -> bool {
    vm.kind == VmKind::Worker
        && vm.state == VmState::Live
        && vm.availability_zone == shared.settings.entry.availability_zone
}

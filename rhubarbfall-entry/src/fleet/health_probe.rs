use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, StatusCode};
use rhubarbfall_core::{AvailabilityZoneId, LiteMap, VmId};
use rhubarbfall_fleet::Health;
use rhubarbfall_platform::HttpClient;
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};

/// Time limit for the response to a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks the health of the zone's workers.
#[derive(Debug)]
pub(super) struct HealthProbe {
    zone: AvailabilityZoneId,
    clients: LiteMap<VmId, (SocketAddr, HttpClient)>,
    health: LiteMap<VmId, Health>,
}

impl HealthProbe {
    pub(super) const fn new(zone: AvailabilityZoneId) -> Self {
        Self {
            zone,
            clients: LiteMap::new(),
            health: LiteMap::new(),
        }
    }

    /// Checks every listed worker of the zone once; a VM that is gone counts as unhealthy.
    pub(super) async fn check(&mut self, vms: &[VmRecord], now: Instant) {
        let zone = self.zone.clone();
        let own = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Worker && vm.availability_zone == zone);
        let mut checks = Vec::new();
        for vm in own {
            let client = self.client(vm);
            let is_gone = vm.state == VmState::Gone;
            checks.push(async move { (vm.id.clone(), !is_gone && is_healthy(&client).await) });
        }
        for (vm, is_healthy) in join_all(checks).await {
            self.observe(vm, is_healthy, now);
        }
    }

    pub(super) const fn health(&self) -> &LiteMap<VmId, Health> {
        &self.health
    }

    fn client(&mut self, vm: &VmRecord) -> HttpClient {
        if let Some((address, client)) = self.clients.get(&vm.id)
            && *address == vm.address
        {
            return client.clone();
        }
        let client = HttpClient::new(vm.address, self.zone.clone(), CHECK_TIMEOUT);
        let known = (vm.address, client.clone());
        self.clients.insert(vm.id.clone(), known);
        client
    }

    fn observe(&mut self, vm: VmId, is_healthy: bool, now: Instant) {
        let known = self.health.get(&vm);
        if known.is_none_or(|known| known.is_healthy != is_healthy) {
            let since = now;
            self.health.insert(vm, Health { is_healthy, since });
        }
    }
}

async fn is_healthy(client: &HttpClient) -> bool {
    let response = client.send(Method::GET, "/health", Bytes::new()).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

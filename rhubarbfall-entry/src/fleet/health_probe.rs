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

    /// Checks every listed worker of the zone once; a VM listed as gone counts as unhealthy and is
    /// not called.
    pub(super) async fn check(&mut self, vms: &[VmRecord], now: Instant) {
        let zone = self.zone.clone();
        let zone_workers = vms
            .iter()
            .filter(|vm| vm.kind == VmKind::Worker && vm.availability_zone == zone);
        let mut checks = Vec::new();
        for vm in zone_workers {
            let client = self.client(vm);
            let is_gone = vm.state == VmState::Gone;
            checks.push(async move { (vm.id.clone(), !is_gone && is_healthy(&client).await) });
        }
        for (vm, is_healthy) in join_all(checks).await {
            self.record_result(vm, is_healthy, now);
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
        let address_and_client = (vm.address, client.clone());
        self.clients.insert(vm.id.clone(), address_and_client);
        client
    }

    fn record_result(&mut self, vm: VmId, is_healthy: bool, now: Instant) {
        let previous = self.health.get(&vm);
        if previous.is_none_or(|previous| previous.is_healthy != is_healthy) {
            let since = now;
            self.health.insert(vm, Health { is_healthy, since });
        }
    }
}

async fn is_healthy(client: &HttpClient) -> bool {
    let response = client.send(Method::GET, "/health", Bytes::new()).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

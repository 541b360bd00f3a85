use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use rhubarbfall_core::{SharedClock, SystemClock};
use rhubarbfall_entry::{Entry, Settings};
use rhubarbfall_platform::table::{TableClient, Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use rhubarbfall_testing::platform::{StandInPlatform, entry_record};
use rhubarbfall_testing::upstream::{StandInUpstream, UpstreamLog};
use serde_json::json;

use super::example::{Example, FLEET_KEY, KEY_PEPPER};

/// The number of VMs of a pool in one rack.
const VMS_PER_RACK: usize = 4;

/// The stand-in platform, the stand-in upstreams and the entries of a development fleet.
#[derive(Debug)]
pub(super) struct DevFleet {
    pub(super) platform: StandInPlatform,
    pub(super) upstreams: Vec<DevUpstream>,
    pub(super) upstream_log: UpstreamLog,
    pub(super) entries: Vec<DevEntry>,
}

/// A stand-in upstream with its record in the platform's VM list.
#[derive(Debug, Clone)]
pub(super) struct DevUpstream {
    pub(super) stand_in: StandInUpstream,
    pub(super) record: VmRecord,
}

/// An entry that runs in this process.
#[derive(Debug)]
pub(super) struct DevEntry {
    pub(super) name: String,
    pub(super) entry: Entry,
    pub(super) caller_address: SocketAddr,
    pub(super) operator_address: SocketAddr,
}

impl DevFleet {
    /// Starts the platform, the upstreams and the entries on the current runtime.
    pub(super) async fn start(
        example: &Example,
        metrics: Option<&PrometheusHandle>,
    ) -> io::Result<Self> {
        let platform = StandInPlatform::start(loopback()).await?;
        let upstream_log = UpstreamLog::new();
        for team in example.teams {
            upstream_log.set_limit(team.name, team.upper_limit_slots);
        }
        let mut fleet = Self {
            platform,
            upstreams: Vec::new(),
            upstream_log,
            entries: Vec::new(),
        };
        for service in example.services {
            for index in 0..example.upstreams_per_service {
                fleet.start_upstream(example, service, index).await?;
            }
        }
        for zone in example.zones {
            for index in 0..example.entries_per_zone {
                fleet.start_entry(zone, index, metrics.cloned())?;
            }
        }
        Ok(fleet)
    }

    async fn start_upstream(
        &mut self,
        example: &Example,
        service: &str,
        index: usize,
    ) -> io::Result<()> {
        let zone = example.zones[index % example.zones.len()];
        let id = format!("{service}-{index}");
        let upstream_id = id.parse().map_err(io::Error::other)?;
        let upstream_log = self.upstream_log.clone();
        let stand_in =
            StandInUpstream::start(upstream_id, loopback(), upstream_log, example.work_time)
                .await?;
        let rack = index / example.zones.len() / VMS_PER_RACK;
        let record = VmRecord {
            id: id.parse().map_err(io::Error::other)?,
            kind: VmKind::Worker,
            availability_zone: zone.parse().map_err(io::Error::other)?,
            region: "west".parse().map_err(io::Error::other)?,
            rack: format!("{zone}-{service}-rack-{rack}")
                .parse()
                .map_err(io::Error::other)?,
            address: stand_in.address(),
            state: VmState::Live,
        };
        self.platform.put_vm(record.clone());
        self.insert_vm_row(service, &record).await?;
        self.upstreams.push(DevUpstream { stand_in, record });
        Ok(())
    }

    async fn insert_vm_row(&self, service: &str, record: &VmRecord) -> io::Result<()> {
        let zone = "development".parse().map_err(io::Error::other)?;
        let table = TableClient::new(self.platform.address(), zone, Duration::from_secs(5));
        let row = json!({
            "vm": record.id,
            "zone": record.availability_zone,
            "rack": record.rack,
            "pool": format!("{service}-pool"),
            "state": { "step": "in-service" },
            "generation": 1,
            "fence": 0,
        });
        let vm = &record.id;
        let id = TransactionId::new(format!("seed-{vm}"), 0, 0);
        let transaction = Transaction::new(id).put(format!("vm/{vm}"), row);
        table.commit(&transaction).await.map_err(io::Error::other)?;
        Ok(())
    }

    fn start_entry(
        &mut self,
        zone: &str,
        index: usize,
        metrics: Option<PrometheusHandle>,
    ) -> io::Result<()> {
        let name = format!("{zone}-entry-{index}");
        let settings = entry_settings(&name, zone, self.platform.address());
        let settings = Settings::parse(&settings).map_err(io::Error::other)?;
        let clock: SharedClock = Arc::new(SystemClock::new());
        let entry = Entry::start(settings, clock, metrics, false).map_err(io::Error::other)?;
        let addresses = entry.addresses();
        self.platform
            .put_vm(entry_record(&name, zone, addresses.callers)?);
        self.entries.push(DevEntry {
            name,
            entry,
            caller_address: addresses.callers,
            operator_address: addresses.operators,
        });
        Ok(())
    }
}

fn entry_settings(name: &str, zone: &str, platform: SocketAddr) -> String {
    let any = loopback();
    format!(
        "entry = {{ id = \"{name}\", availability_zone = \"{zone}\", region = \"west\", \
         rack = \"{zone}-entries\" }}\n\
         listen = {{ callers = \"{any}\", operators = \"{any}\", peers = \"{any}\" }}\n\
         platform = {{ table = \"{platform}\", objects = \"{platform}\", vms = \"{platform}\" }}\n\
         secrets = {{ fleet_key = \"{FLEET_KEY}\", key_pepper = \"{KEY_PEPPER}\" }}\n\
         traffic = {{ threads = 1 }}\n\
         fleet = {{ lease_ms = 3000, round_ms = 150, confirm_ms = 100, prove_ms = 300, \
         prove_limit_ms = 5000, reboot_limit_ms = 3000, outage_after_ms = 400 }}\n",
    )
}

/// Returns a loopback address with port 0, for which the operating system chooses a free port.
fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

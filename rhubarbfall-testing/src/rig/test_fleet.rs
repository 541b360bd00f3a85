use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use rhubarbfall_core::{AvailabilityZoneId, LiteMap};
use rhubarbfall_platform::HttpClient;
use rhubarbfall_platform::table::{TableClient, Transaction, TransactionId};
use rhubarbfall_platform::vms::{VmKind, VmRecord, VmState};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::runtime::Runtime;

use super::{Caller, CallerError, Process, TestRequest, TestResponse, wait_until};
use crate::Relay;
use crate::platform::{StandInPlatform, entry_record};
use crate::upstream::{StandInUpstream, UpstreamLog};

/// How long an entry may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Every address of a test is on loopback, on a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// The document that a test fleet starts with, before its keys.
pub const TEST_DOCUMENT: &str = include_str!("test_document.toml");

/// The shape of a test fleet.
#[derive(Debug, Clone)]
pub struct TestFleetConfig {
    zones: Vec<&'static str>,
    entries_per_zone: usize,
    upstreams_per_zone: usize,
    work_time: Duration,
    document: String,
    extra_settings: String,
}

impl TestFleetConfig {
    /// Creates the shape of two zones with two entries and two upstreams each.
    #[must_use]
    pub fn new() -> Self {
        Self {
            zones: vec!["zone-a", "zone-b"],
            entries_per_zone: 2,
            upstreams_per_zone: 2,
            work_time: Duration::from_millis(20),
            document: TEST_DOCUMENT.to_owned(),
            extra_settings: String::new(),
        }
    }

    /// Sets the availability zones.
    #[must_use]
    pub fn zones(mut self, zones: impl Into<Vec<&'static str>>) -> Self {
        self.zones = zones.into();
        self
    }

    /// Sets the number of entries in each zone.
    #[must_use]
    pub const fn entries_per_zone(mut self, entries_per_zone: usize) -> Self {
        self.entries_per_zone = entries_per_zone;
        self
    }

    /// Sets the number of upstreams in each zone.
    #[must_use]
    pub const fn upstreams_per_zone(mut self, upstreams_per_zone: usize) -> Self {
        self.upstreams_per_zone = upstreams_per_zone;
        self
    }

    /// Sets how long an upstream takes for a request.
    #[must_use]
    pub const fn work_time(mut self, work_time: Duration) -> Self {
        self.work_time = work_time;
        self
    }

    /// Sets the document.
    #[must_use]
    pub fn document(mut self, document: impl Into<String>) -> Self {
        self.document = document.into();
        self
    }

    /// Adds TOML to the settings of every entry.
    #[must_use]
    pub fn extra_settings(mut self, extra_settings: impl Into<String>) -> Self {
        self.extra_settings = extra_settings.into();
        self
    }
}

impl Default for TestFleetConfig {
    fn default() -> Self {
        Self::new()
    }
}

/// One entry process of a test fleet.
#[derive(Debug)]
pub struct EntryProcess {
    /// The entry's identifier.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// The process.
    pub process: Process,
}

impl EntryProcess {
    /// Returns where callers connect.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.process.address("callers")
    }

    /// Returns where operators connect.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.process.address("operators")
    }
}

/// Entries as separate processes, with stand-ins for the platform and the upstreams.
#[derive(Debug)]
pub struct TestFleet {
    /// The platform's stand-in.
    pub platform: StandInPlatform,
    /// The relay between each zone and the platform.
    pub platform_relays: LiteMap<String, Relay>,
    /// The relay in front of each entry's address for its peers.
    pub peer_relays: LiteMap<String, Relay>,
    /// The upstreams.
    pub upstreams: Vec<StandInUpstream>,
    /// What all upstreams together have run.
    pub upstream_log: UpstreamLog,
    /// The entries.
    pub entries: Vec<EntryProcess>,
    /// Sends requests.
    pub caller: Caller,
    config: TestFleetConfig,
    program: PathBuf,
    directory: TempDir,
    runtime: Runtime,
}

impl TestFleet {
    /// Starts a fleet and waits until every entry is ready.
    ///
    /// `program` is the path of the `rhubarbfall` binary.
    ///
    /// # Errors
    ///
    /// Any error of the system.
    pub fn start(program: impl AsRef<Path>, config: TestFleetConfig) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        let any_port: SocketAddr = ANY_PORT.parse().map_err(io::Error::other)?;
        let platform = runtime.block_on(StandInPlatform::start(any_port))?;
        let mut fleet = Self {
            platform,
            platform_relays: LiteMap::new(),
            peer_relays: LiteMap::new(),
            upstreams: Vec::new(),
            upstream_log: UpstreamLog::new(),
            entries: Vec::new(),
            caller: Caller::new(),
            program: program.as_ref().to_owned(),
            directory: TempDir::new()?,
            config,
            runtime,
        };
        fleet.start_upstreams()?;
        fleet.start_entries()?;
        fleet.apply_first_document();
        fleet.wait_ready();
        Ok(fleet)
    }

    fn start_upstreams(&mut self) -> io::Result<()> {
        for zone in self.config.zones.clone() {
            for index in 0..self.config.upstreams_per_zone {
                self.add_upstream(zone, index)?;
            }
        }
        Ok(())
    }

    fn add_upstream(&mut self, zone: &str, index: usize) -> io::Result<()> {
        let id = format!("{zone}-labels-{index}");
        let any_port: SocketAddr = ANY_PORT.parse().map_err(io::Error::other)?;
        let upstream = self.runtime.block_on(StandInUpstream::start(
            id.parse().map_err(io::Error::other)?,
            any_port,
            self.upstream_log.clone(),
            self.config.work_time,
        ))?;
        self.platform.put_vm(VmRecord {
            id: id.parse().map_err(io::Error::other)?,
            kind: VmKind::Worker,
            availability_zone: zone.parse().map_err(io::Error::other)?,
            region: "west".parse().map_err(io::Error::other)?,
            rack: format!("{zone}-rack-{}", index / 4)
                .parse()
                .map_err(io::Error::other)?,
            address: upstream.address(),
            state: VmState::Live,
        });
        self.seed_row(
            &format!("vm/{id}"),
            json!({
                "vm": id,
                "zone": zone,
                "rack": format!("{zone}-rack-{}", index / 4),
                "pool": "labels-pool",
                "state": { "step": "in-service" },
                "generation": 1,
                "fence": 0,
            }),
        );
        self.upstreams.push(upstream);
        Ok(())
    }

    /// Writes a row of the table as it stood before the test.
    ///
    /// # Panics
    ///
    /// When the row exists, or the stand-in does not answer.
    pub fn seed_row(&self, key: &str, value: Value) {
        let zone: AvailabilityZoneId = "test".parse().expect("the zone's name is valid");
        let timeout = Duration::from_secs(5);
        let table = TableClient::new(self.platform.address(), zone, timeout);
        let id = TransactionId::new(format!("seed-{key}"), 0, 0);
        let transaction = Transaction::new(id).put(key, value);
        self.runtime
            .block_on(table.commit(&transaction))
            .expect("the stand-in takes the row");
    }

    fn start_entries(&mut self) -> io::Result<()> {
        for zone in self.config.zones.clone() {
            let relay = Relay::start(self.platform.address());
            let relay = self.runtime.block_on(relay)?;
            self.platform_relays.insert(zone.to_owned(), relay);
            for index in 0..self.config.entries_per_zone {
                let peer_relay = self
                    .runtime
                    .block_on(Relay::start(self.platform.address()))?;
                self.peer_relays
                    .insert(format!("{zone}-entry-{index}"), peer_relay);
                let entry = self.start_entry(zone, index)?;
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    /// Starts an entry process, or a replacement of one that has ended.
    ///
    /// # Errors
    ///
    /// Any error of the system.
    pub fn start_entry(&self, zone: &str, index: usize) -> io::Result<EntryProcess> {
        let id = format!("{zone}-entry-{index}");
        let path = self.directory.path().join(format!("{id}.toml"));
        fs::write(&path, self.settings(&id, zone))?;
        let arguments = ["serve".into(), "--settings".into(), path.into_os_string()];
        let process = Process::start(&self.program, arguments)?;
        if let Some(relay) = self.peer_relays.get(&id) {
            relay.set_target(process.address("peers"));
        }
        self.platform
            .put_vm(entry_record(&id, zone, process.address("callers"))?);
        Ok(EntryProcess {
            id,
            zone: zone.to_owned(),
            process,
        })
    }

    fn settings(&self, id: &str, zone: &str) -> String {
        let platform = self
            .platform_relays
            .get(zone)
            .map_or(self.platform.address(), Relay::address);
        let peer_address = self.peer_relays.get(id).map(Relay::address);
        let advertised = peer_address.map_or_else(String::new, |address| {
            format!(", peers_advertised = \"{address}\"")
        });
        let mut text = format!(
            "entry = {{ id = \"{id}\", availability_zone = \"{zone}\", region = \"west\", \
             rack = \"{zone}-entries\" }}\n\
             listen = {{ callers = \"{ANY_PORT}\", operators = \"{ANY_PORT}\", peers = \"{ANY_PORT}\"{advertised} }}\n\
             platform = {{ table = \"{platform}\", objects = \"{platform}\", vms = \"{platform}\" }}\n\
             secrets = {{ fleet_key = \"{FLEET_KEY}\", key_pepper = \"{KEY_PEPPER}\" }}\n",
        );
        let _ = write!(text, "{}", self.config.extra_settings);
        text
    }

    fn apply_first_document(&self) {
        let request = TestRequest::new(
            Method::PUT,
            self.entries[0].operator_address(),
            "/v1/document",
        )
        .key("operator-key")
        .header("x-transaction-id", "first-document")
        .body(Bytes::from(self.config.document.clone()));
        let response = self.send(request).expect("the entry answers");
        assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    }

    /// Waits until every entry is ready.
    ///
    /// # Panics
    ///
    /// When one is not ready in time.
    pub fn wait_ready(&self) {
        for entry in &self.entries {
            let description = format!("{} is ready", entry.id);
            wait_until(&description, READY_TIMEOUT, || {
                let request = TestRequest::new(Method::GET, entry.operator_address(), "/ready");
                let is_ready = self
                    .send(request)
                    .is_ok_and(|response| response.status == StatusCode::OK);
                let dump = self.state(entry);
                let upstreams = dump["dispatch"]["upstreams"].as_array().map_or(0, Vec::len);
                is_ready && upstreams >= self.config.upstreams_per_zone
            });
        }
    }

    /// Returns an entry's state dump.
    #[must_use]
    pub fn state(&self, entry: &EntryProcess) -> Value {
        let request = TestRequest::new(Method::GET, entry.operator_address(), "/state");
        let response = self.send(request);
        response.map_or(Value::Null, |response| {
            serde_json::from_slice(&response.body).unwrap_or(Value::Null)
        })
    }

    /// Sends one request and waits for the answer.
    ///
    /// # Errors
    ///
    /// [`CallerError`] when no whole answer came.
    pub fn send(&self, request: TestRequest) -> Result<TestResponse, CallerError> {
        self.runtime.block_on(self.caller.send(request))
    }

    /// Sends requests at once and returns the answers in their order.
    #[must_use]
    pub fn send_all(&self, requests: Vec<TestRequest>) -> Vec<Result<TestResponse, CallerError>> {
        let tasks: Vec<_> = requests
            .into_iter()
            .map(|request| {
                let caller = self.caller.clone();
                self.runtime
                    .spawn(async move { caller.send(request).await })
            })
            .collect();
        self.runtime.block_on(async {
            let mut responses = Vec::new();
            for task in tasks {
                responses.push(task.await.unwrap_or(Err(CallerError::Broken)));
            }
            responses
        })
    }

    /// Runs a future on the fleet's runtime.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Starts a task on the fleet's runtime, for load in the background.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        self.runtime.spawn(future)
    }

    /// Returns a client of the platform as if from a zone, for reads by the test.
    #[must_use]
    pub fn platform_client(&self) -> HttpClient {
        let zone = "test".parse().expect("the zone's name is valid");
        HttpClient::new(self.platform.address(), zone, Duration::from_secs(5))
    }
}

/// The fleet key of every test fleet.
pub const FLEET_KEY: &str = "test-fleet-key-0123456789";

/// The pepper with which the keys of the test document are digested.
pub const KEY_PEPPER: &str = "test-pepper-0123456789abcdef";

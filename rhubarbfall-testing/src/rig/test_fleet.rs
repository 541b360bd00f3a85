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

/// Time within which an entry must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback address on a port that the operating system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Default document of a test fleet; the comment at its head lists the keys.
pub const TEST_DOCUMENT: &str = include_str!("test_document.toml");

/// Size, document and settings of a test fleet.
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
    /// Creates a configuration of two zones with two entries and two upstreams each, with
    /// [`TEST_DOCUMENT`]; an upstream takes 20 ms for a request.
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

    /// Sets how long an upstream takes for a request that has no header `x-work-ms`.
    #[must_use]
    pub const fn work_time(mut self, work_time: Duration) -> Self {
        self.work_time = work_time;
        self
    }

    /// Sets the document that the fleet starts with.
    #[must_use]
    pub fn document(mut self, document: impl Into<String>) -> Self {
        self.document = document.into();
        self
    }

    /// Sets the TOML to append to the settings of every entry.
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

/// Entry process of a test fleet.
#[derive(Debug)]
pub struct EntryProcess {
    /// Identifier of the entry, as `zone-a-entry-0`.
    pub id: String,
    /// Availability zone of the entry.
    pub zone: String,
    /// Process that runs the entry.
    pub process: Process,
}

impl EntryProcess {
    /// Returns the address that callers connect to.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.process.address("callers")
    }

    /// Returns the address that operators connect to.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.process.address("operators")
    }
}

/// Fleet of entries in separate processes, with stand-ins for the platform and the upstreams.
#[derive(Debug)]
pub struct TestFleet {
    /// Stand-in for the platform.
    pub platform: StandInPlatform,
    /// Relay between the entries of each availability zone and the platform, by zone.
    pub platform_relays: LiteMap<String, Relay>,
    /// Relay in front of the peer address of each entry, by the entry's identifier.
    pub peer_relays: LiteMap<String, Relay>,
    /// Stand-ins for the upstreams, in the order of the zones.
    pub upstreams: Vec<StandInUpstream>,
    /// Requests that all upstreams together have run.
    pub upstream_log: UpstreamLog,
    /// Entry processes, in the order of the zones.
    pub entries: Vec<EntryProcess>,
    /// Client of [`Self::send`] and [`Self::send_all`].
    pub caller: Caller,
    config: TestFleetConfig,
    program: PathBuf,
    directory: TempDir,
    runtime: Runtime,
}

impl TestFleet {
    /// Starts a fleet, applies its document and waits until every entry is ready.
    ///
    /// `program` is the path of the `rhubarbfall` binary.
    ///
    /// # Errors
    ///
    /// Any I/O error, or an error if a zone or an identifier is malformed.
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

    /// Writes a row to the table directly, as the state before the test.
    ///
    /// # Panics
    ///
    /// Panics if the commit fails.
    pub fn seed_row(&self, key: &str, value: Value) {
        let zone: AvailabilityZoneId = "test".parse().expect("`test` is a valid zone name");
        let timeout = Duration::from_secs(5);
        let table = TableClient::new(self.platform.address(), zone, timeout);
        let id = TransactionId::new(format!("seed-{key}"), 0, 0);
        let transaction = Transaction::new(id).put(key, value);
        self.runtime
            .block_on(table.commit(&transaction))
            .expect("the stand-in commits the row");
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

    /// Starts an entry process, or restarts one that has ended, and lists its VM.
    ///
    /// # Errors
    ///
    /// Any I/O error, or an error if the zone is malformed.
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
        let response = self.send(request).expect("the first entry responds");
        assert_eq!(response.status, StatusCode::OK, "{:?}", response.body);
    }

    /// Waits until every entry is ready and lists at least as many upstreams as a zone has.
    ///
    /// # Panics
    ///
    /// Panics if an entry is not ready within 20 s.
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

    /// Returns an entry's state dump; `null` if it cannot be read.
    #[must_use]
    pub fn state(&self, entry: &EntryProcess) -> Value {
        let request = TestRequest::new(Method::GET, entry.operator_address(), "/state");
        let response = self.send(request);
        response.map_or(Value::Null, |response| {
            serde_json::from_slice(&response.body).unwrap_or(Value::Null)
        })
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// [`CallerError`] if no complete response was received.
    pub fn send(&self, request: TestRequest) -> Result<TestResponse, CallerError> {
        self.runtime.block_on(self.caller.send(request))
    }

    /// Sends requests concurrently and returns their responses in the order of the requests.
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

    /// Runs a future on the fleet's runtime and returns its output.
    pub fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }

    /// Spawns a task on the fleet's runtime, such as background load.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> tokio::task::JoinHandle<T> {
        self.runtime.spawn(future)
    }

    /// Returns a client of the platform with the zone `test`, which bypasses the relays.
    #[must_use]
    pub fn platform_client(&self) -> HttpClient {
        let zone = "test".parse().expect("`test` is a valid zone name");
        HttpClient::new(self.platform.address(), zone, Duration::from_secs(5))
    }
}

/// Fleet key of every test fleet.
pub const FLEET_KEY: &str = "test-fleet-key-0123456789";

/// Pepper of the key digests in the test document.
pub const KEY_PEPPER: &str = "test-pepper-0123456789abcdef";

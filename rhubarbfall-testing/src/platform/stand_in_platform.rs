use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use rhubarbfall_core::{LiteMap, VmId, WaveId};
use rhubarbfall_platform::maintenance::{MaintenancePermit, MaintenanceRecord};
use rhubarbfall_platform::table::Row;
use rhubarbfall_platform::vms::VmRecord;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use super::maintenance::Maintenance;
use super::table_state::TableState;
use super::vm_history::VmHistory;
use super::{Fault, FaultMode, PlatformService, RebootEvent, RebootOutcome};
use crate::{Body, ConnectionDropped, json_response, serve_http, text_response};

/// Number of requests that the stand-in has processed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions of the table, failed ones included.
    pub table_transactions: u64,
    /// Reads of the VM list.
    pub vm_list_reads: u64,
}

/// Stand-in for the platform: table, object store, VM list and maintenance on one address.
///
/// Tests set faults, VMs and maintenance by these methods, or over HTTP under `/control/`.
#[derive(Debug, Clone)]
pub struct StandInPlatform {
    address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Debug)]
struct PlatformState {
    table: TableState,
    objects: LiteMap<Arc<str>, Bytes>,
    vms: VmHistory,
    maintenance: Maintenance,
    faults: Vec<Fault>,
    counters: PlatformCounters,
}

impl StandInPlatform {
    /// Starts the stand-in on the current runtime.
    ///
    /// # Errors
    ///
    /// Any I/O error if the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(PlatformState {
            table: TableState::default(),
            objects: LiteMap::new(),
            vms: VmHistory::new(Instant::now()),
            maintenance: Maintenance::default(),
            faults: Vec::new(),
            counters: PlatformCounters::default(),
        }));
        let handler_state = Arc::clone(&state);
        let handler = move |request| handle(Arc::clone(&handler_state), request);
        tokio::spawn(serve_http(listener, handler));
        Ok(Self { address, state })
    }

    /// Returns the address on which all services listen.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a VM to the list, or replaces its record.
    pub fn put_vm(&self, vm: VmRecord) {
        self.state.lock().vms.put(Instant::now(), vm);
    }

    /// Makes the VM list show the state of this long ago.
    pub fn set_vm_list_lag(&self, lag: Duration) {
        self.state.lock().vms.lag = lag;
    }

    /// Adds a fault; the first one that applies to a request takes effect.
    pub fn add_fault(&self, fault: Fault) {
        self.state.lock().faults.push(fault);
    }

    /// Removes all faults.
    pub fn clear_faults(&self) {
        self.state.lock().faults.clear();
    }

    /// Adds or replaces a maintenance record, which announces the reboot of a VM.
    pub fn announce(&self, record: MaintenanceRecord) {
        self.state.lock().maintenance.announce(record);
    }

    /// Starts the reboot of an announced VM without a permit; other VMs are not affected.
    pub fn reboot_without_permit(&self, wave: &WaveId, vm: &VmId) {
        let now = Instant::now();
        self.state.lock().maintenance.reboot(wave, vm, now);
    }

    /// Sets how long reboots that start from now on take; initially zero.
    pub fn set_reboot_time(&self, time: Duration) {
        self.state.lock().maintenance.set_reboot_time(time);
    }

    /// Sets the outcome of a VM's reboots; unset means [`RebootOutcome::Completes`].
    pub fn set_reboot_outcome(&self, vm: VmId, outcome: RebootOutcome) {
        self.state.lock().maintenance.set_outcome(vm, outcome);
    }

    /// Sets the hook to call when a VM goes down and when it is up again.
    ///
    /// The hook runs under the stand-in's lock: a call to the stand-in from it deadlocks.
    pub fn on_reboot(&self, hook: impl Fn(&VmId, RebootEvent) + Send + Sync + 'static) {
        self.state.lock().maintenance.set_hook(hook);
    }

    /// Returns the maintenance records in their current states.
    #[must_use]
    pub fn maintenance(&self) -> Vec<MaintenanceRecord> {
        self.state.lock().maintenance.list(Instant::now())
    }

    /// Returns the number of reboot permits received, repeated ones included.
    #[must_use]
    pub fn reboot_permits(&self) -> u64 {
        self.state.lock().maintenance.permits()
    }

    /// Returns the rows whose keys start with `prefix`, in key order.
    #[must_use]
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state.lock().table.scan(prefix)
    }

    /// Returns the number of requests processed so far, by kind.
    #[must_use]
    pub fn counters(&self) -> PlatformCounters {
        self.state.lock().counters
    }
}

impl PlatformState {
    fn take_fault(
        &mut self,
        service: PlatformService,
        zone: &str,
        is_write: bool,
    ) -> Option<FaultMode> {
        let fault = self
            .faults
            .iter_mut()
            .find(|fault| fault.applies_to(service, zone, is_write))?;
        if let Some(remaining) = &mut fault.remaining {
            *remaining -= 1;
        }
        Some(fault.mode)
    }
}

async fn handle(
    state: Arc<Mutex<PlatformState>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ConnectionDropped> {
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ConnectionDropped)?
        .to_bytes();
    let path = parts.uri.path().to_owned();
    if let Some(rest) = path.strip_prefix("/control/") {
        return Ok(handle_control(&state, rest, &parts.method, &body));
    }
    let zone = parts
        .headers
        .get("x-availability-zone")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let service = match path.as_str() {
        "/v1/vms" | "/v1/maintenance" | "/v1/maintenance/permits" => PlatformService::Vms,
        other if other.starts_with("/v1/objects/") => PlatformService::Objects,
        _ => PlatformService::Table,
    };
    let is_write = parts.method != Method::GET;
    let fault = state.lock().take_fault(service, zone, is_write);
    match fault {
        Some(FaultMode::Down) => Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, "down")),
        Some(FaultMode::DropRequest) => Err(ConnectionDropped),
        Some(FaultMode::DropResponse) => {
            let _ = respond(&state, &parts, &body);
            Err(ConnectionDropped)
        }
        Some(FaultMode::Slow { delay_ms }) => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            Ok(respond(&state, &parts, &body))
        }
        None => Ok(respond(&state, &parts, &body)),
    }
}

fn respond(
    state: &Mutex<PlatformState>,
    parts: &http::request::Parts,
    body: &Bytes,
) -> Response<Body> {
    let path = parts.uri.path();
    let mut state = state.lock();
    if path == "/v1/vms" {
        state.counters.vm_list_reads += 1;
        return json_response(StatusCode::OK, &state.vms.list(Instant::now()));
    }
    if path == "/v1/maintenance" {
        let list = state.maintenance.list(Instant::now());
        return json_response(StatusCode::OK, &list);
    }
    if path == "/v1/maintenance/permits" {
        return handle_permit(&mut state, body);
    }
    if let Some(key) = path.strip_prefix("/v1/objects/") {
        return handle_object(&mut state, &parts.method, key, body);
    }
    if path == "/v1/transactions" {
        return handle_transaction(&mut state, body);
    }
    state.counters.table_reads += 1;
    if path == "/v1/scan" {
        let query = parts.uri.query().unwrap_or_default();
        let prefix = query.strip_prefix("prefix=").unwrap_or_default();
        return json_response(StatusCode::OK, &state.table.scan(prefix));
    }
    let key = path.strip_prefix("/v1/rows/").unwrap_or_default();
    match state.table.read(key) {
        Some(row) => json_response(StatusCode::OK, &row),
        None => text_response(StatusCode::NOT_FOUND, "absent"),
    }
}

fn handle_permit(state: &mut PlatformState, body: &Bytes) -> Response<Body> {
    match serde_json::from_slice::<MaintenancePermit>(body) {
        Ok(permit) => {
            let now = Instant::now();
            state.maintenance.permit(&permit.wave, &permit.vm, now);
            text_response(StatusCode::OK, "")
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn handle_transaction(state: &mut PlatformState, body: &Bytes) -> Response<Body> {
    state.counters.table_transactions += 1;
    match serde_json::from_slice(body) {
        Ok(transaction) => match state.table.apply(&transaction) {
            Ok(committed) => json_response(StatusCode::OK, &committed),
            Err(condition) => json_response(StatusCode::CONFLICT, &condition),
        },
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

fn handle_object(
    state: &mut PlatformState,
    method: &Method,
    key: &str,
    body: &Bytes,
) -> Response<Body> {
    if *method == Method::PUT {
        state.objects.insert(Arc::from(key), body.clone());
        return text_response(StatusCode::OK, "");
    }
    match state.objects.get(key) {
        Some(content) => text_response(StatusCode::OK, content.clone()),
        None => text_response(StatusCode::NOT_FOUND, "absent"),
    }
}

fn handle_control(
    state: &Mutex<PlatformState>,
    path: &str,
    method: &Method,
    body: &Bytes,
) -> Response<Body> {
    let mut state = state.lock();
    let result = match (path, method.as_str()) {
        ("vms", "PUT") => serde_json::from_slice(body).map(|vm| state.vms.put(Instant::now(), vm)),
        ("vm-list-lag-ms", "PUT") => {
            serde_json::from_slice(body).map(|lag_ms| state.vms.lag = Duration::from_millis(lag_ms))
        }
        ("maintenance", "POST") => {
            serde_json::from_slice(body).map(|record| state.maintenance.announce(record))
        }
        ("reboot-time-ms", "PUT") => serde_json::from_slice(body)
            .map(Duration::from_millis)
            .map(|time| state.maintenance.set_reboot_time(time)),
        ("faults", "POST") => serde_json::from_slice(body).map(|fault| state.faults.push(fault)),
        ("faults", "DELETE") => {
            state.faults.clear();
            Ok(())
        }
        ("counters", "GET") => return json_response(StatusCode::OK, &state.counters),
        _ => return text_response(StatusCode::NOT_FOUND, "no such control"),
    };
    match result {
        Ok(()) => text_response(StatusCode::OK, "done"),
        Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

//! Entries read the configuration from the store, and from each other only without it.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use prost::Message;
use rhubarbfall_testing::{Relay, RelayMode};
use scheduler_process::{WAIT_TIMEOUT, call, start_entry_with_store};
use stand_in::StandInSite;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The version in a request for a peer's status that asks for no configuration.
const NO_CONFIG_WANTED: u64 = u64::MAX;

/// A request for a peer's status.
#[derive(Clone, PartialEq, Message)]
struct StatusRequest {
    #[prost(uint64, tag = "1")]
    config_version: u64,
}

/// Accepts requests for a peer's status on a connection each, and records the versions that they
/// name.
async fn record_versions(listener: TcpListener, versions: Arc<Mutex<Vec<u64>>>) {
    while let Ok((mut connection, _)) = listener.accept().await {
        let mut request = Vec::new();
        let mut buffer = [0; 4_096];
        while let Ok(read) = connection.read(&mut buffer).await {
            request.extend_from_slice(&buffer[..read]);
            let head = request.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            let body = head.map_or(&[][..], |head| &request[head + 4..]);
            if read == 0 || !body.is_empty() {
                if let Ok(status) = StatusRequest::decode(body) {
                    let mut versions = versions.lock().expect("no holder panicked");
                    versions.push(status.config_version);
                }
                break;
            }
        }
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        // The entry may have given up on its request.
        let _ = connection.write_all(answer).await;
    }
}

async fn wait_for(versions: &Mutex<Vec<u64>>, wanted: impl Fn(u64) -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let last = versions.lock().expect("no holder panicked").last().copied();
        if last.is_some_and(&wanted) {
            return;
        }
        assert!(Instant::now() < deadline, "last version: {last:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A configuration is large, and an owner with a small link would send each change to every entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_asks_its_peers_for_a_configuration_only_without_the_store() {
    let site = StandInSite::start(1, WAIT_TIMEOUT).await;
    let store = Relay::start(site.store).await.expect("the relay starts");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = listener.local_addr().expect("a bound port");
    let versions = Arc::new(Mutex::new(Vec::new()));
    tokio::spawn(record_versions(listener, Arc::clone(&versions)));
    let entry = start_entry_with_store(&site, store.address(), "entry-1", &[peer]);
    wait_for(&versions, |version| version == NO_CONFIG_WANTED).await;
    let known = call(&entry, Method::GET, "/print/", "").await;
    assert!(known.is_some());
    versions.lock().expect("no holder panicked").clear();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let asked = versions.lock().expect("no holder panicked").clone();
    assert!(
        asked.iter().all(|version| *version == NO_CONFIG_WANTED),
        "{asked:?}"
    );
    store.set_mode(RelayMode::Silent);
    wait_for(&versions, |version| version != NO_CONFIG_WANTED).await;
    store.set_mode(RelayMode::Pass);
    wait_for(&versions, |version| version == NO_CONFIG_WANTED).await;
}

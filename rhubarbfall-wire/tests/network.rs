//! The peer network over loopback: delivery, unauthenticated and unresponsive connections, full
//! queues and messages from earlier incarnations.

use std::net::SocketAddr;
use std::time::Duration;

use rhubarbfall_core::{EntryId, Incarnation};
use rhubarbfall_wire::{FleetKey, Peer, PeerIdentity, PeerNetwork, PeerNetworkConfig, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;

const MESSAGE_KIND: u32 = 19;
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

fn id(name: &str) -> EntryId {
    name.parse().expect("valid identifier")
}

fn peer(name: &str, address: SocketAddr) -> Peer {
    Peer {
        entry: id(name),
        zone: "zone-a".parse().expect("valid identifier"),
        incarnation: Incarnation::new(1),
        address,
        is_live: true,
    }
}

async fn network(name: &str, key: &str, incarnation: u64) -> (PeerNetwork, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding to loopback succeeds");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let identity = PeerIdentity {
        entry: id(name),
        zone: "zone-a".parse().expect("valid identifier"),
        incarnation: Incarnation::new(incarnation),
        address,
    };
    let config = PeerNetworkConfig::new(identity, FleetKey::new(key)).queue_messages(8);
    (
        PeerNetwork::start(config, listener, &Handle::current()),
        address,
    )
}

fn inbox(network: &PeerNetwork) -> mpsc::UnboundedReceiver<Vec<u8>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    network.register(MESSAGE_KIND, move |received| {
        let _ = sender.send(received.payload.to_vec());
    });
    receiver
}

async fn next(inbox: &mut mpsc::UnboundedReceiver<Vec<u8>>) -> Vec<u8> {
    let message = timeout(RECEIVE_TIMEOUT, inbox.recv())
        .await
        .expect("a message arrives within 10 s");
    message.expect("the handler is registered")
}

/// Resends every 100 ms until a message arrives, as callers of the network must.
async fn send_until_received(
    from: &PeerNetwork,
    to: &str,
    inbox: &mut mpsc::UnboundedReceiver<Vec<u8>>,
) {
    let attempt = async {
        loop {
            let _ = from.send(&id(to), MESSAGE_KIND, &b"again"[..]);
            let pause = Duration::from_millis(100);
            if timeout(pause, inbox.recv()).await.is_ok() {
                return;
            }
        }
    };
    timeout(RECEIVE_TIMEOUT, attempt)
        .await
        .expect("a message arrives within 10 s");
}

#[tokio::test]
async fn messages_arrive_in_order_and_unknown_peers_are_refused() {
    let (first, _) = network("entry-1", "secret", 1).await;
    let (second, address) = network("entry-2", "secret", 1).await;
    let mut inbox = inbox(&second);
    first.set_peers([peer("entry-2", address)]);
    for number in 0..5_u8 {
        first
            .send(&id("entry-2"), MESSAGE_KIND, vec![number])
            .expect("the queue has room");
    }
    for number in 0..5_u8 {
        assert_eq!(next(&mut inbox).await, [number]);
    }
    assert_eq!(
        first.send(&id("entry-9"), MESSAGE_KIND, vec![]),
        Err(SendError::UnknownPeer(id("entry-9")))
    );
    assert_eq!(first.broadcast_all(MESSAGE_KIND, vec![9]), 1);
    assert_eq!(next(&mut inbox).await, [9]);
}

#[tokio::test]
async fn unauthenticated_connections_are_closed_without_affecting_peers() {
    let (first, _) = network("entry-1", "secret", 1).await;
    let (unauthenticated, _) = network("entry-3", "other", 1).await;
    let (second, address) = network("entry-2", "secret", 1).await;
    let mut inbox = inbox(&second);
    first.set_peers([peer("entry-2", address)]);
    unauthenticated.set_peers([peer("entry-2", address)]);
    unauthenticated
        .send(&id("entry-2"), MESSAGE_KIND, vec![66])
        .expect("the queue has room");
    let mut raw = TcpStream::connect(address)
        .await
        .expect("connecting over loopback succeeds");
    raw.write_all(&[255; 64])
        .await
        .expect("the bytes are written");
    let mut rest = Vec::new();
    let _ = timeout(RECEIVE_TIMEOUT, raw.read_to_end(&mut rest))
        .await
        .expect("the connection is closed within 10 s");
    first
        .send(&id("entry-2"), MESSAGE_KIND, vec![1])
        .expect("the queue has room");
    assert_eq!(next(&mut inbox).await, [1]);
    assert!(inbox.try_recv().is_err());
}

#[tokio::test]
async fn send_queues_are_bounded() {
    let (first, _) = network("entry-1", "secret", 1).await;
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding to loopback succeeds");
    first.set_peers([peer(
        "entry-2",
        listener
            .local_addr()
            .expect("a bound listener has an address"),
    )]);
    let outcomes: Vec<_> = (0..32)
        .map(|_| first.send(&id("entry-2"), MESSAGE_KIND, vec![0; 64]))
        .collect();
    assert!(outcomes.contains(&Err(SendError::QueueFull(id("entry-2")))));
}

/// Forwards connections to `target`. After a message on `silent`, it keeps the first connection
/// open and discards what it reads, so that no acknowledgement arrives.
async fn relay(listener: TcpListener, target: SocketAddr, mut silent: mpsc::Receiver<()>) {
    let mut is_first = true;
    while let Ok((mut near, _)) = listener.accept().await {
        let mut far = TcpStream::connect(target)
            .await
            .expect("connecting over loopback succeeds");
        if std::mem::take(&mut is_first) {
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                _ = silent.recv() => { tokio::spawn(async move {
                    let _held = far;
                    let mut sink = [0; 1024];
                    while near.read(&mut sink).await.is_ok_and(|length| length > 0) {}
                }); }
            }
        } else {
            tokio::spawn(async move { tokio::io::copy_bidirectional(&mut near, &mut far).await });
        }
    }
}

#[tokio::test]
async fn unresponsive_connections_are_replaced() {
    let (first, _) = network("entry-1", "secret", 1).await;
    let (second, address) = network("entry-2", "secret", 1).await;
    let mut inbox = inbox(&second);
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("binding to loopback succeeds");
    let (silence, silent) = mpsc::channel(1);
    first.set_peers([peer(
        "entry-2",
        listener
            .local_addr()
            .expect("a bound listener has an address"),
    )]);
    tokio::spawn(relay(listener, address, silent));
    first
        .send(&id("entry-2"), MESSAGE_KIND, vec![1])
        .expect("the queue has room");
    assert_eq!(next(&mut inbox).await, [1]);
    silence.send(()).await.expect("the relay is running");
    send_until_received(&first, "entry-2", &mut inbox).await;
}

#[tokio::test]
async fn messages_from_an_earlier_incarnation_are_dropped() {
    let (second, address) = network("entry-2", "secret", 1).await;
    let mut inbox = inbox(&second);
    let (old, _) = network("entry-1", "secret", 1).await;
    let (new, _) = network("entry-1", "secret", 2).await;
    old.set_peers([peer("entry-2", address)]);
    new.set_peers([peer("entry-2", address)]);
    old.send(&id("entry-2"), MESSAGE_KIND, vec![1])
        .expect("the queue has room");
    assert_eq!(next(&mut inbox).await, [1]);
    new.send(&id("entry-2"), MESSAGE_KIND, vec![2])
        .expect("the queue has room");
    assert_eq!(next(&mut inbox).await, [2]);
    old.send(&id("entry-2"), MESSAGE_KIND, vec![3])
        .expect("the queue has room");
    new.send(&id("entry-2"), MESSAGE_KIND, vec![4])
        .expect("the queue has room");
    assert_eq!(next(&mut inbox).await, [4]);
    assert!(
        timeout(Duration::from_millis(300), inbox.recv())
            .await
            .is_err()
    );
}

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Buffer size of each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// How a relay treats the bytes that it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards everything.
    Pass,
    /// Closes open connections and closes new ones at once.
    Cut,
    /// Keeps connections open and discards what they send, new connections included.
    Silent,
    /// Forwards everything after a delay.
    Delay(Duration),
    /// Forwards requests and discards responses.
    DropAnswers,
    /// Open connections become silent until they are closed; new ones are forwarded.
    ForgetOpen,
}

/// TCP relay that injects faults between two processes.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<RelayState>,
}

#[derive(Debug)]
struct RelayState {
    target: Mutex<SocketAddr>,
    mode: watch::Sender<(u64, RelayMode)>,
}

impl Relay {
    /// Starts a relay to `target` on a loopback port that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Any I/O error if the port cannot be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (mode, _) = watch::channel((0, RelayMode::Pass));
        let shared = Arc::new(RelayState {
            target: Mutex::new(target),
            mode,
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self { address, shared })
    }

    /// Returns the address that clients connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode, for open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.shared.mode.send_modify(|(epoch, current)| {
            *epoch += 1;
            *current = mode;
        });
    }

    /// Sets the address to which new connections are relayed; open ones keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock() = target;
    }
}

async fn accept(listener: TcpListener, shared: Arc<RelayState>) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let (epoch, mode) = *shared.mode.borrow();
        if mode == RelayMode::Cut {
            continue;
        }
        let target = *shared.target.lock();
        let mode = shared.mode.subscribe();
        tokio::spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let _ = client.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            let opened_at_epoch = epoch;
            tokio::join!(
                copy(
                    client_read,
                    server_write,
                    mode.clone(),
                    opened_at_epoch,
                    false
                ),
                copy(server_read, client_write, mode, opened_at_epoch, true),
            );
        });
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<(u64, RelayMode)>,
    opened_at_epoch: u64,
    is_response: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silenced = false;
    loop {
        let length = tokio::select! {
            read = from.read(&mut buffer) => match read {
                Ok(length) if length > 0 => length,
                _ => break,
            },
            changed = mode.changed() => {
                let (epoch, current) = *mode.borrow_and_update();
                is_silenced |= current == RelayMode::ForgetOpen && epoch > opened_at_epoch;
                if changed.is_err() || current == RelayMode::Cut {
                    break;
                }
                continue;
            }
        };
        let (epoch, current) = *mode.borrow();
        is_silenced |= current == RelayMode::ForgetOpen && epoch > opened_at_epoch;
        if is_silenced {
            continue;
        }
        match current {
            RelayMode::Cut => break,
            RelayMode::Silent => continue,
            RelayMode::DropAnswers if is_response => continue,
            RelayMode::Delay(delay) => tokio::time::sleep(delay).await,
            RelayMode::Pass | RelayMode::ForgetOpen | RelayMode::DropAnswers => {}
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

use std::time::Duration;

use crate::{FleetKey, MAX_FRAME_BYTES, PeerIdentity};

/// The configuration of a [`PeerNetwork`](crate::PeerNetwork).
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::Incarnation;
/// use rhubarbfall_wire::{FleetKey, PeerIdentity, PeerNetworkConfig};
///
/// let identity = PeerIdentity {
///     entry: "entry-1".parse()?,
///     zone: "zone-a".parse()?,
///     incarnation: Incarnation::new(1),
///     address: ([127, 0, 0, 1], 7000).into(),
/// };
/// let config = PeerNetworkConfig::new(identity, FleetKey::new("secret")).queue_messages(16);
/// assert_eq!(config.queue_messages, 16);
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct PeerNetworkConfig {
    /// The identity of this process.
    pub identity: PeerIdentity,
    /// The shared secret of the fleet.
    pub fleet_key: FleetKey,
    /// The maximum size of a frame in either direction, in bytes.
    pub max_frame_bytes: usize,
    /// The maximum number of messages that wait for one peer.
    pub queue_messages: usize,
    /// The maximum number of concurrent inbound connections; further ones are closed.
    pub max_inbound_connections: usize,
    /// The timeout for opening a TCP connection to a peer.
    pub connect_timeout: Duration,
    /// How long a peer may take to acknowledge a message, and a send to complete, before the
    /// connection is replaced.
    pub silence_timeout: Duration,
    /// The delay between a received message and its acknowledgement, which covers all messages that
    /// arrive in between.
    pub acknowledgement_delay: Duration,
    /// The back-off after the first failure of a connection.
    pub min_backoff: Duration,
    /// The maximum back-off; each failed attempt doubles it up to this value, before jitter.
    pub max_backoff: Duration,
    /// How long a connection stays open without messages; the receiving side waits twice as long.
    pub idle_timeout: Duration,
}

impl PeerNetworkConfig {
    /// Creates a configuration with the default limits and timeouts.
    #[must_use]
    pub const fn new(identity: PeerIdentity, fleet_key: FleetKey) -> Self {
        Self {
            identity,
            fleet_key,
            max_frame_bytes: MAX_FRAME_BYTES,
            queue_messages: 256,
            max_inbound_connections: 1024,
            connect_timeout: Duration::from_secs(1),
            silence_timeout: Duration::from_millis(2500),
            acknowledgement_delay: Duration::from_millis(1200),
            min_backoff: Duration::from_millis(100),
            max_backoff: Duration::from_secs(2),
            idle_timeout: Duration::from_mins(1),
        }
    }

    /// Sets the maximum number of messages that wait for one peer.
    #[must_use]
    pub const fn queue_messages(mut self, queue_messages: usize) -> Self {
        self.queue_messages = queue_messages;
        self
    }

    /// Sets the maximum size of a frame in either direction, in bytes.
    #[must_use]
    pub const fn max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }
}

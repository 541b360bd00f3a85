use std::time::Duration;

use crate::{FleetKey, MAX_FRAME_BYTES, PeerIdentity};

/// What a [`PeerNetwork`](crate::PeerNetwork) needs to know.
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
    /// This process.
    pub identity: PeerIdentity,
    /// The secret of the fleet.
    pub fleet_key: FleetKey,
    /// The largest frame that is sent or taken.
    pub max_frame_bytes: usize,
    /// How many messages may wait for one peer.
    pub queue_messages: usize,
    /// How many connections of peers are taken at once.
    pub max_inbound_connections: usize,
    /// How long a connection may take to open.
    pub connect_timeout: Duration,
    /// How long a peer may stay silent after a message before the connection is replaced.
    pub silence_timeout: Duration,
    /// How long a receiver waits before it tells the sender that messages arrive.
    pub acknowledgement_delay: Duration,
    /// The first pause after a connection failed.
    pub min_backoff: Duration,
    /// The longest pause after a connection failed.
    pub max_backoff: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl PeerNetworkConfig {
    /// Creates a configuration with the usual bounds.
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

    /// Sets how many messages may wait for one peer.
    #[must_use]
    pub const fn queue_messages(mut self, queue_messages: usize) -> Self {
        self.queue_messages = queue_messages;
        self
    }

    /// Sets the largest frame that is sent or taken.
    #[must_use]
    pub const fn max_frame_bytes(mut self, max_frame_bytes: usize) -> Self {
        self.max_frame_bytes = max_frame_bytes;
        self
    }
}

use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prost::Message;
use rhubarbfall_membership::{DeltaLog, Gossip, Member, MembershipConfig, TablePoll, ZoneLease};
use rhubarbfall_wire::messages::membership::{
    HEARTBEAT_KIND, INTENT_REQUEST_KIND, IntentReference,
};
use rhubarbfall_wire::{FleetKey, Peer, PeerIdentity, PeerNetwork, PeerNetworkConfig};
use tokio::runtime::Handle;
use tokio::time::sleep;

use super::membership_state::{MembershipState, StartedMembership};
use super::{handlers, lease, registration};
use crate::{Shared, control, operator};

/// Interval at which the control thread checks for due heartbeats and table reads.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the membership tasks until the process ends: registration, lease, table polls and
/// heartbeats.
pub async fn run(shared: Arc<Shared>, listener: TcpListener, runtime: Handle) {
    let config = membership_config(&shared);
    if let Err(error) = start(&shared, config, listener, &runtime).await {
        log::error!("event=peer-network error={error}");
        return;
    }
    tokio::task::spawn_local(registration::run(Arc::clone(&shared)));
    tokio::task::spawn_local(lease::run(Arc::clone(&shared)));
    tokio::task::spawn_local(poll_table(Arc::clone(&shared), config));
    loop {
        send_heartbeats(&shared);
        sleep(CHECK_INTERVAL).await;
    }
}

fn membership_config(shared: &Shared) -> MembershipConfig {
    let control = &shared.settings.control;
    let mut config = MembershipConfig::new();
    config.max_evidence_age = Duration::from_millis(control.freshness_bound_ms);
    config.max_read_age = Duration::from_millis(control.document_poll_ms);
    config
}

async fn start(
    shared: &Arc<Shared>,
    config: MembershipConfig,
    listener: TcpListener,
    runtime: &Handle,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listening = listener.local_addr()?;
    let advertised = shared.settings.listen.peers_advertised;
    let address = advertised.unwrap_or(listening);
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let settings = &shared.settings.entry;
    let incarnation = registration::choose_incarnation(shared).await;
    let identity = PeerIdentity {
        entry: settings.id.clone(),
        zone: settings.availability_zone.clone(),
        incarnation,
        address,
    };
    let own = Member {
        zone: identity.zone.clone(),
        incarnation,
        address,
    };
    let now = shared.clock.now();
    let entry = identity.entry.clone();
    let key = FleetKey::new(shared.settings.secrets.fleet_key.reveal());
    let network = PeerNetwork::start(PeerNetworkConfig::new(identity, key), listener, runtime);
    handlers::register(shared, &network);
    operator::register_status(shared, &network);
    let state = MembershipState {
        gossip: Gossip::new(config, entry.clone(), own, now),
        lease: ZoneLease::new(
            shared.settings.fleet.lease_config(),
            entry,
            incarnation,
            now,
        ),
        announcements: Vec::new(),
        next_intent_number: 0,
        behind_since: None,
        deltas: DeltaLog::default(),
        is_superseded: false,
    };
    let started = StartedMembership {
        network,
        state: Mutex::new(state),
    };
    let _ = shared.membership.started.set(started);
    if let Some(document) = shared.document.load_full() {
        shared.membership.put_in_force(now, None, &document);
    }
    Ok(())
}

/// Sends the due heartbeats, and requests the intents that other entries hold and this one lacks.
fn send_heartbeats(shared: &Shared) {
    let now = shared.clock.now();
    let due = shared.membership.update(now, |state| {
        let outgoing = state.gossip.tick(now);
        let missing_intents = if outgoing.is_empty() {
            Vec::new()
        } else {
            state.gossip.freshness().missing_intents()
        };
        (outgoing, missing_intents, peers_of(&state.gossip, now))
    });
    let (Some(network), Some((outgoing, missing_intents, peers))) =
        (shared.membership.network(), due)
    else {
        return;
    };
    if network.peers() != peers {
        network.set_peers(peers);
    }
    for message in outgoing {
        let _ = network.send(
            &message.to,
            HEARTBEAT_KIND,
            message.heartbeat.encode_to_vec(),
        );
    }
    for (holder, id) in missing_intents {
        let reference = IntentReference::from(&id);
        let _ = network.send(&holder, INTENT_REQUEST_KIND, reference.encode_to_vec());
    }
}

fn peers_of(gossip: &Gossip, now: Instant) -> Vec<Peer> {
    let members = gossip.members();
    let peers = members.map(|(entry, member)| Peer {
        entry: entry.clone(),
        zone: member.zone.clone(),
        incarnation: member.incarnation,
        address: member.address,
        is_live: gossip.is_live(entry, now),
    });
    peers.collect()
}

/// Reads the newest revision whenever no entry of the fleet has done so recently.
async fn poll_table(shared: Arc<Shared>, config: MembershipConfig) {
    let seed = rand::random();
    let mut poll = TablePoll::new(config, seed, shared.clock.now());
    loop {
        let now = shared.clock.now();
        let newest = shared.membership.update(now, |state| {
            let read = state.gossip.freshness().newest_read();
            read.map(|(read_started_at, _)| read_started_at)
        });
        if poll.is_due(now, newest.flatten()) {
            poll.begin();
            match control::poll_document(&shared).await {
                Ok(()) => poll.succeed(),
                Err(error) => {
                    log::warn!("event=document-poll error={error}");
                    poll.fail(shared.clock.now());
                }
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

//! Simulates the heartbeats of a whole fleet in virtual time, with a table that can fail, and
//! counts messages, bytes and table reads.

#![allow(dead_code, unreachable_pub)]

use std::time::{Duration, Instant};

use prost::Message;
use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, LiteMap, Revision};
use rhubarbfall_membership::{Gossip, Member, MembershipConfig, TablePoll};
use rhubarbfall_wire::messages::membership::{HEARTBEAT_KIND, Heartbeat};
use rhubarbfall_wire::{Envelope, FRAME_OVERHEAD_BYTES};

/// Step of the virtual time; a message takes one step.
pub const STEP: Duration = Duration::from_millis(25);

/// Headers that IP and TCP add to each segment.
pub const SEGMENT_HEADER_BYTES: usize = 52;

/// Delay of acknowledgements; each covers all messages before it.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(1200);

/// State of the simulated table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    Up,
    Down,
    Slow(Duration),
}

/// One simulated entry with its counters.
pub struct Node {
    pub entry: EntryId,
    pub gossip: Gossip,
    pub poll: TablePoll,
    pub is_alive: bool,
    pub zone_index: usize,
    pub incarnation: u64,
    pub messages: usize,
    pub frame_bytes: usize,
    pub wire_bytes: usize,
    reading_since: Option<Instant>,
}

pub struct Fleet {
    pub now: Instant,
    pub start: Instant,
    pub nodes: Vec<Node>,
    pub table: Table,
    pub revision: Revision,
    /// Zones without connection to other zones and the table.
    pub cut_zones: Vec<usize>,
    /// Zones without connection to the table.
    pub table_cut_zones: Vec<usize>,
    /// Pairs of zones of which the first cannot send to the second.
    pub cut_links: Vec<(usize, usize)>,
    pub table_reads: usize,
    /// Table reads in each second since the start.
    pub reads_by_second: Vec<usize>,
    in_flight: Vec<(usize, usize, Heartbeat)>,
    /// Time until which the last acknowledgement of a link covers its messages.
    acknowledged_until: LiteMap<(usize, usize), Instant>,
}

pub fn entry_id(zone: usize, index: usize) -> EntryId {
    format!("zone-{zone:02}-entry-{index:02}")
        .parse()
        .expect("valid identifier")
}

fn member(zone: usize, index: usize, incarnation: u64) -> Member {
    let zone_id: AvailabilityZoneId = format!("zone-{zone:02}").parse().expect("valid identifier");
    Member {
        zone: zone_id,
        incarnation: Incarnation::new(incarnation),
        address: ([10, 0, zone as u8, index as u8], 7000).into(),
    }
}

impl Fleet {
    /// Creates `zones` zones with `entries` entries each, which all know each other.
    pub fn new(zones: usize, entries: usize) -> Self {
        let start = Instant::now();
        let config = MembershipConfig::new();
        let places = (0..zones).flat_map(|zone| (0..entries).map(move |index| (zone, index)));
        let places: Vec<_> = places.collect();
        let mut nodes = Vec::new();
        for (node_index, &(zone, index)) in places.iter().enumerate() {
            let entry = entry_id(zone, index);
            let mut gossip = Gossip::new(config, entry.clone(), member(zone, index, 1), start);
            let all = places
                .iter()
                .map(|&(zone, index)| (entry_id(zone, index), member(zone, index, 1)));
            gossip.add_members(all);
            nodes.push(Node {
                entry,
                gossip,
                poll: TablePoll::new(config, node_index as u64, start),
                is_alive: true,
                zone_index: zone,
                incarnation: 1,
                messages: 0,
                frame_bytes: 0,
                wire_bytes: 0,
                reading_since: None,
            });
        }
        Self {
            now: start,
            start,
            nodes,
            table: Table::Up,
            revision: Revision::new(1),
            cut_zones: Vec::new(),
            table_cut_zones: Vec::new(),
            cut_links: Vec::new(),
            table_reads: 0,
            reads_by_second: Vec::new(),
            in_flight: Vec::new(),
            acknowledged_until: LiteMap::new(),
        }
    }

    /// Puts the next revision in force at an entry, as its acceptor.
    pub fn accept(&mut self, node_index: usize) {
        self.revision = self.revision.next();
        let gossip = &mut self.nodes[node_index].gossip;
        gossip.freshness_mut().put_in_force(self.revision);
        gossip.expedite_heartbeats(self.now);
    }

    /// Replaces an entry by a new process that knows only the roster of a peer.
    pub fn restart(&mut self, node_index: usize, incarnation: u64) {
        let now = self.now;
        let config = MembershipConfig::new();
        let zone = self.nodes[node_index].zone_index;
        let index = node_index % (self.nodes.len() / self.zones());
        let peer = self
            .nodes
            .iter()
            .position(|node| node.is_alive && node.entry != self.nodes[node_index].entry);
        let roster = self.nodes[peer.expect("another entry is alive")]
            .gossip
            .roster();
        let entry = self.nodes[node_index].entry.clone();
        let mut gossip = Gossip::new(config, entry, member(zone, index, incarnation), now);
        gossip.receive_roster(&roster);
        let node = &mut self.nodes[node_index];
        node.gossip = gossip;
        node.poll = TablePoll::new(config, node_index as u64 + 1000, now);
        node.is_alive = true;
        node.incarnation = incarnation;
        node.reading_since = None;
    }

    fn zones(&self) -> usize {
        self.nodes
            .iter()
            .map(|node| node.zone_index)
            .max()
            .map_or(0, |last| last + 1)
    }

    pub fn run(&mut self, duration: Duration) {
        self.run_while(duration, |_| {});
    }

    /// Runs for `duration` of virtual time and calls `check` ten times per second.
    pub fn run_while(&mut self, duration: Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + duration;
        while self.now < end {
            for _ in 0..4 {
                self.step();
            }
            check(self);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for node_index in 0..self.nodes.len() {
            if self.nodes[node_index].is_alive {
                self.poll_table(node_index);
                self.send_heartbeats(node_index);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (from, to, heartbeat) in std::mem::take(&mut self.in_flight) {
            if !self.is_connected(from, to) {
                continue;
            }
            let sender = self.nodes[from].entry.clone();
            let incarnation = self.nodes[from].incarnation;
            let node = &mut self.nodes[to];
            let outcome =
                node.gossip
                    .receive(now, &sender, Incarnation::new(incarnation), &heartbeat);
            if outcome.has_newer_document {
                let newest = node.gossip.freshness().highest_seen();
                node.gossip.freshness_mut().put_in_force(newest);
                node.gossip.expedite_heartbeats(now);
            }
            if outcome.needs_roster {
                let roster = self.nodes[from].gossip.roster();
                self.nodes[to].gossip.receive_roster(&roster);
                let roster = self.nodes[to].gossip.roster();
                self.nodes[from].gossip.receive_roster(&roster);
            }
        }
    }

    pub fn is_connected(&self, from: usize, to: usize) -> bool {
        let (near, far) = (&self.nodes[from], &self.nodes[to]);
        let is_cut = |zone| self.cut_zones.contains(&zone);
        let is_link_cut = self.cut_links.contains(&(near.zone_index, far.zone_index));
        let is_same = near.zone_index == far.zone_index;
        near.is_alive
            && far.is_alive
            && !is_link_cut
            && (is_same || !(is_cut(near.zone_index) || is_cut(far.zone_index)))
    }

    fn poll_table(&mut self, node_index: usize) {
        let now = self.now;
        let zone = self.nodes[node_index].zone_index;
        let is_cut = self.cut_zones.contains(&zone) || self.table_cut_zones.contains(&zone);
        let node = &mut self.nodes[node_index];
        if let Some(began) = node.reading_since {
            let timeout = Duration::from_secs(1);
            let outcome = match self.table {
                _ if is_cut => (now >= began + timeout).then_some(false),
                Table::Up => Some(true),
                Table::Down => (now >= began + timeout).then_some(false),
                Table::Slow(delay) => {
                    (now >= began + delay.min(timeout)).then_some(delay < timeout)
                }
            };
            match outcome {
                Some(true) => {
                    node.reading_since = None;
                    node.poll.succeed();
                    node.gossip
                        .freshness_mut()
                        .observe_read(began, self.revision);
                    node.gossip.freshness_mut().put_in_force(self.revision);
                }
                Some(false) => {
                    node.reading_since = None;
                    node.poll.fail(now);
                }
                None => {}
            }
        }
        let newest = node
            .gossip
            .freshness()
            .newest_read()
            .map(|(began, _)| began);
        if node.reading_since.is_none() && node.poll.is_due(now, newest) {
            node.poll.begin();
            node.reading_since = Some(now);
            if !is_cut {
                self.count_read();
            }
        }
    }

    fn count_read(&mut self) {
        self.table_reads += 1;
        let second = (self.now - self.start).as_secs() as usize;
        if self.reads_by_second.len() <= second {
            self.reads_by_second.resize(second + 1, 0);
        }
        self.reads_by_second[second] += 1;
    }

    fn send_heartbeats(&mut self, node_index: usize) {
        let outgoing = self.nodes[node_index].gossip.tick(self.now);
        for message in outgoing {
            let Some(to) = self
                .nodes
                .binary_search_by(|node| node.entry.cmp(&message.to))
                .ok()
            else {
                continue;
            };
            self.count_bytes(
                node_index,
                to,
                frame_bytes(HEARTBEAT_KIND, message.heartbeat.encode_to_vec()),
            );
            let due = self.acknowledged_until.get(&(node_index, to));
            if due.is_none_or(|due| *due <= self.now) {
                self.acknowledged_until
                    .insert((node_index, to), self.now + ACKNOWLEDGEMENT_DELAY);
                self.count_bytes(node_index, to, frame_bytes(1, Vec::new()));
            }
            self.nodes[node_index].messages += 1;
            self.nodes[to].messages += 1;
            self.in_flight.push((node_index, to, message.heartbeat));
        }
    }

    fn count_bytes(&mut self, from: usize, to: usize, frame_bytes: usize) {
        for end in [from, to] {
            self.nodes[end].frame_bytes += frame_bytes;
            self.nodes[end].wire_bytes += frame_bytes + SEGMENT_HEADER_BYTES;
        }
    }

    pub fn reset_counts(&mut self) {
        self.table_reads = 0;
        self.reads_by_second.clear();
        for node in &mut self.nodes {
            (node.messages, node.frame_bytes, node.wire_bytes) = (0, 0, 0);
        }
    }

    /// Returns the number of entries in each zone that admit keyed work.
    pub fn admitting_by_zone(&self) -> Vec<usize> {
        let mut zones = vec![0; self.zones()];
        for node in &self.nodes {
            let valid = node.gossip.freshness().valid_until(self.now);
            zones[node.zone_index] += usize::from(node.is_alive && valid.is_some());
        }
        zones
    }

    pub fn admitting(&self) -> usize {
        let nodes = self.nodes.iter().filter(|node| node.is_alive);
        nodes
            .filter(|node| node.gossip.freshness().valid_until(self.now).is_some())
            .count()
    }
}

fn frame_bytes(kind: u32, payload: Vec<u8>) -> usize {
    let mut envelope = Envelope::new(kind, payload);
    // This sequence number takes three bytes, as after a few hours on one connection.
    envelope.sequence = 100_000;
    envelope.encoded_len() + FRAME_OVERHEAD_BYTES
}

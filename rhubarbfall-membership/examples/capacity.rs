//! Measures the control traffic and the document's size by fleet size, for `docs/CAPACITY.md`.
//!
//! Run with `cargo run --release -p rhubarbfall-membership --example capacity`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use prost::Message;
use rhubarbfall_core::{Revision, ShareWeight, Slots, VmCount};
use rhubarbfall_document::{
    Document, KeyDigest, KeyOwner, KeySpec, PoolSpec, QueueAccess, QueueSpec, TeamSpec,
};
use rhubarbfall_membership::{DeltaLog, Revocations};
use support::{Fleet, Table};

/// Zones and entries per zone of an eighth, a quarter, a half and the whole of the fleet.
const SIZES: [(usize, usize); 4] = [(3, 4), (5, 5), (8, 6), (11, 9)];

const TEAMS: usize = 560;
const POOLS: usize = 68;
const KEYS_PER_TEAM: usize = 3;
const CHANGES_PER_DAY: usize = 8_400;
const SECONDS_PER_DAY: usize = 86_400;
const WARM_UP: Duration = Duration::from_secs(30);
const WINDOW: Duration = Duration::from_mins(1);

fn main() {
    println!("## Heartbeats, both directions, bytes per second and node");
    println!(
        "| entries | zones | table | ordinary B/s | speaker B/s | speaker B/s with TCP/IP | messages/s speaker | table reads/s mean | most in 1 s | processor us/s and node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (zones, entries) in SIZES {
        for table in [Table::Up, Table::Down] {
            gossip_row(zones, entries, table);
        }
    }
    println!("\n## Document");
    println!(
        "| teams | keys | JSON bytes | decode us | bytes of one change as a step \
         | whole document a change, B/s and node | steps, B/s and node \
         | intent bytes of one withdrawal |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for divisor in [8, 4, 2, 1] {
        document_row(TEAMS / divisor, POOLS / divisor);
    }
}

fn gossip_row(zones: usize, entries: usize, table: Table) {
    let mut fleet = Fleet::new(zones, entries);
    fleet.run(WARM_UP);
    fleet.table = table;
    fleet.run(WARM_UP);
    fleet.reset_counts();
    let began = Instant::now();
    fleet.run(WINDOW);
    let elapsed = began.elapsed();
    let seconds = WINDOW.as_secs() as usize;
    let (mut speakers, mut others) = (Vec::new(), Vec::new());
    for node in &fleet.nodes {
        let group = if node.gossip.is_speaker(fleet.now) {
            &mut speakers
        } else {
            &mut others
        };
        group.push((
            node.frame_bytes / seconds,
            node.wire_bytes / seconds,
            node.messages / seconds,
        ));
    }
    let ordinary_bytes = others
        .iter()
        .map(|counts| counts.0)
        .max()
        .unwrap_or_default();
    let speaker_bytes = speakers
        .iter()
        .map(|counts| counts.0)
        .max()
        .unwrap_or_default();
    let speaker_wire_bytes = speakers
        .iter()
        .map(|counts| counts.1)
        .max()
        .unwrap_or_default();
    let speaker_messages = speakers
        .iter()
        .map(|counts| counts.2)
        .max()
        .unwrap_or_default();
    let reads = fleet.table_reads as f64 / seconds as f64;
    let max_reads = fleet
        .reads_by_second
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    let cpu_us = elapsed.as_micros() as usize / seconds / fleet.nodes.len();
    println!(
        "| {} | {zones} | {table:?} | {ordinary_bytes} | {speaker_bytes} | {speaker_wire_bytes} | {speaker_messages} | {reads:.1} | {max_reads} | {cpu_us} |",
        fleet.nodes.len(),
    );
}

fn document_row(teams: usize, pools: usize) {
    let document = document(teams, pools);
    let json = serde_json::to_vec(&document).expect("a document can be encoded as JSON");
    let began = Instant::now();
    let decoded: Document =
        serde_json::from_slice(&json).expect("the encoded document can be decoded");
    let decode_us = began.elapsed().as_micros();
    let mut after = decoded.clone();
    after.keys.keys.remove(0);
    let intent = Revocations::between(&decoded, &after).encode();
    let message = rhubarbfall_wire::messages::membership::IntentMessage {
        reference: None,
        revision: 1_000_000,
        change: intent.into(),
    };
    after.revision = decoded.revision.next();
    let mut log = DeltaLog::default();
    log.record(&decoded, &after);
    let deltas = log
        .since(decoded.revision)
        .expect("the delta is in the log");
    let delta_bytes = serde_json::to_vec(&deltas)
        .expect("deltas can be encoded as JSON")
        .len();
    let per_second = |bytes: usize| bytes * CHANGES_PER_DAY / SECONDS_PER_DAY;
    println!(
        "| {teams} | {} | {} | {decode_us} | {delta_bytes} | {} | {} | {} |",
        document.keys.keys.len(),
        json.len(),
        per_second(json.len()),
        per_second(delta_bytes),
        message.encoded_len(),
    );
}

fn document(teams: usize, pools: usize) -> Document {
    let team = |index: usize| format!("team-{index:04}").parse().expect("valid team id");
    let mut document = Document {
        revision: Revision::new(1_000_000),
        ..Document::default()
    };
    for index in 0..pools {
        document.fleet.pools.push(PoolSpec {
            id: format!("pool-{index:03}")
                .parse()
                .expect("valid identifier"),
            max_unavailable_vms: VmCount::new(1),
            min_vms: VmCount::new(8),
        });
    }
    for index in 0..teams {
        document.fleet.teams.push(TeamSpec {
            id: team(index),
            upper_limit_slots: Slots::new(64),
            share_weight: ShareWeight::new(10),
        });
        document.fleet.queues.push(QueueSpec {
            id: format!("queue-{index:04}")
                .parse()
                .expect("valid identifier"),
            access: QueueAccess::Teams(vec![team(index)]),
            service: "labels".parse().expect("valid identifier"),
            max_waiting_per_team: 1000,
        });
        for number in 0..KEYS_PER_TEAM {
            let mut digest = [0; 32];
            digest[..8].copy_from_slice(&((index * KEYS_PER_TEAM + number) as u64).to_be_bytes());
            document.keys.keys.push(KeySpec {
                digest: KeyDigest::new(digest),
                owner: KeyOwner::Team(team(index)),
                label: format!("key {number} of team {index}").into(),
            });
        }
    }
    document.sorted()
}

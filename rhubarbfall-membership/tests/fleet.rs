//! A whole fleet in virtual time: what goes on through outages, and what the table sees.

mod support;

use std::time::Duration;

use support::{Fleet, Table};

const ZONES: usize = 11;
const ENTRIES: usize = 9;
const SETTLING: Duration = Duration::from_secs(30);

/// What a node may spend on control, in both directions.
const MAX_BYTES_PER_SECOND: usize = 8 * 1024;

/// A tenth of the reads that the table gives.
const MAX_READS_PER_SECOND: usize = 200;

fn settled() -> Fleet {
    let mut fleet = Fleet::new(ZONES, ENTRIES);
    fleet.run(SETTLING);
    assert_eq!(fleet.admitting(), ZONES * ENTRIES);
    fleet
}

#[test]
fn an_outage_of_the_table_stops_no_keyed_work_and_recovery_spreads() {
    let mut fleet = settled();
    fleet.clear_counts();
    fleet.table = Table::Down;
    let mut fewest = usize::MAX;
    fleet.run_while(Duration::from_mins(2), |fleet| {
        fewest = fewest.min(fleet.admitting());
    });
    fleet.table = Table::Up;
    fleet.run(Duration::from_mins(1));
    let most = fleet
        .reads_by_second
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    assert_eq!(fewest, ZONES * ENTRIES);
    assert!(most <= MAX_READS_PER_SECOND, "{most} reads in one second");
}

#[test]
fn accepted_revision_is_in_force_everywhere_within_the_bound_without_the_table() {
    let mut fleet = settled();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(10));
    // A burst of 20 changes a second for 5 s, at entries of different zones.
    for change in 0..100 {
        fleet.accept(change % (ZONES * ENTRIES));
        fleet.run(Duration::from_millis(50));
    }
    let accepted = fleet.now;
    while fleet
        .nodes
        .iter()
        .any(|node| node.gossip.freshness().in_force() < Some(fleet.revision))
    {
        fleet.run(Duration::from_millis(100));
        assert!(fleet.now < accepted + Duration::from_secs(10));
    }
}

#[test]
fn bytes_of_heartbeats_stay_within_the_budget_of_a_node() {
    let mut fleet = settled();
    for table in [Table::Up, Table::Down] {
        fleet.table = table;
        fleet.run(Duration::from_secs(10));
        fleet.clear_counts();
        fleet.run(Duration::from_secs(20));
        let most = fleet.nodes.iter().map(|node| node.frame_bytes / 20).max();
        assert!(most <= Some(MAX_BYTES_PER_SECOND), "{table:?}: {most:?}");
    }
}

#[test]
fn a_slow_table_stops_no_keyed_work() {
    let mut fleet = settled();
    fleet.table = Table::Slow(Duration::from_secs(5));
    fleet.run_while(Duration::from_mins(2), |fleet| {
        assert_eq!(fleet.admitting(), ZONES * ENTRIES);
    });
}

#[test]
fn a_zone_cut_off_from_all_stops_within_the_bound_and_the_others_go_on() {
    let mut fleet = settled();
    fleet.cut_zones = vec![3];
    fleet.run(Duration::from_secs(5));
    fleet.run_while(Duration::from_mins(1), |fleet| {
        assert_eq!(fleet.admitting(), (ZONES - 1) * ENTRIES);
    });
    fleet.cut_zones.clear();
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.admitting(), ZONES * ENTRIES);
}

#[test]
fn deaths_of_entries_and_of_a_speaker_during_the_outage_stop_no_keyed_work() {
    let mut fleet = settled();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(20));
    for dead in [0, 1] {
        fleet.nodes[dead].is_alive = false;
        let expected = fleet.admitting();
        let mut fewest = usize::MAX;
        fleet.run_while(Duration::from_secs(30), |fleet| {
            fewest = fewest.min(fleet.admitting());
        });
        assert_eq!(fewest, expected, "after the death of entry {dead}");
    }
}

#[test]
fn a_replacement_during_the_outage_takes_keyed_work() {
    let mut fleet = settled();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(20));
    fleet.nodes[4].is_alive = false;
    fleet.run(Duration::from_secs(3));
    fleet.restart(4, 2);
    let mut fewest = usize::MAX;
    fleet.run_while(Duration::from_secs(10), |fleet| {
        let others = fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != 4);
        let valid =
            others.filter(|(_, node)| node.gossip.freshness().valid_until(fleet.now).is_some());
        fewest = fewest.min(valid.count());
    });
    assert_eq!(fewest, ZONES * ENTRIES - 1);
    assert_eq!(fleet.admitting(), ZONES * ENTRIES);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.nodes[4].gossip.is_admitted());
    assert!(fleet.nodes[4].gossip.freshness().is_settled());
}

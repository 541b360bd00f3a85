//! A whole fleet in virtual time. Outages of the table, isolated zones and failed entries must not
//! stop keyed work elsewhere, and the load on the table and the network stays within its budget.

mod support;

use std::time::Duration;

use support::{Fleet, Table};

const ZONES: usize = 11;
const ENTRIES_PER_ZONE: usize = 9;
const WARM_UP: Duration = Duration::from_secs(30);

/// Budget of one node for control traffic, in both directions.
const MAX_BYTES_PER_SECOND: usize = 8 * 1024;

/// A tenth of the reads that the table can serve.
const MAX_READS_PER_SECOND: usize = 200;

fn settled_fleet() -> Fleet {
    let mut fleet = Fleet::new(ZONES, ENTRIES_PER_ZONE);
    fleet.run(WARM_UP);
    assert_eq!(fleet.admitting(), ZONES * ENTRIES_PER_ZONE);
    fleet
}

#[test]
fn table_outage_stops_no_keyed_work_and_recovery_reads_are_spread() {
    let mut fleet = settled_fleet();
    fleet.reset_counts();
    fleet.table = Table::Down;
    let mut min_admitting = usize::MAX;
    fleet.run_while(Duration::from_mins(2), |fleet| {
        min_admitting = min_admitting.min(fleet.admitting());
    });
    fleet.table = Table::Up;
    fleet.run(Duration::from_mins(1));
    let max_reads = fleet
        .reads_by_second
        .iter()
        .max()
        .copied()
        .unwrap_or_default();
    assert_eq!(min_admitting, ZONES * ENTRIES_PER_ZONE);
    assert!(
        max_reads <= MAX_READS_PER_SECOND,
        "{max_reads} reads in one second"
    );
}

#[test]
fn accepted_revision_reaches_every_entry_within_10_s_without_the_table() {
    let mut fleet = settled_fleet();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(10));
    // A burst of 20 changes per second for 5 s, at entries of different zones.
    for change in 0..100 {
        fleet.accept(change % (ZONES * ENTRIES_PER_ZONE));
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
fn newly_started_entries_are_admitted_before_they_are_settled() {
    let mut fleet = Fleet::new(ZONES, ENTRIES_PER_ZONE);
    fleet.run(Duration::from_secs(8));
    assert!(fleet.nodes.iter().all(|node| node.gossip.is_admitted()));
}

#[test]
fn heartbeat_bytes_stay_within_the_budget_per_entry() {
    let mut fleet = settled_fleet();
    for table in [Table::Up, Table::Down] {
        fleet.table = table;
        fleet.run(Duration::from_secs(10));
        fleet.reset_counts();
        fleet.run(Duration::from_secs(20));
        let max_bytes = fleet.nodes.iter().map(|node| node.frame_bytes / 20).max();
        assert!(
            max_bytes <= Some(MAX_BYTES_PER_SECOND),
            "{table:?}: {max_bytes:?}"
        );
    }
}

#[test]
fn a_slow_table_stops_no_keyed_work() {
    let mut fleet = settled_fleet();
    fleet.table = Table::Slow(Duration::from_secs(5));
    fleet.run_while(Duration::from_mins(2), |fleet| {
        assert_eq!(fleet.admitting(), ZONES * ENTRIES_PER_ZONE);
    });
}

#[test]
fn isolated_zone_stops_within_the_bound_and_other_zones_continue() {
    let mut fleet = settled_fleet();
    fleet.cut_zones = vec![3];
    fleet.run(Duration::from_secs(5));
    fleet.run_while(Duration::from_mins(1), |fleet| {
        assert_eq!(fleet.admitting(), (ZONES - 1) * ENTRIES_PER_ZONE);
    });
    fleet.cut_zones.clear();
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.admitting(), ZONES * ENTRIES_PER_ZONE);
}

#[test]
fn failures_of_an_entry_and_a_speaker_during_a_table_outage_stop_no_keyed_work() {
    let mut fleet = settled_fleet();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(20));
    for dead in [0, 1] {
        fleet.nodes[dead].is_alive = false;
        let expected = fleet.admitting();
        let mut min_admitting = usize::MAX;
        fleet.run_while(Duration::from_secs(30), |fleet| {
            min_admitting = min_admitting.min(fleet.admitting());
        });
        assert_eq!(min_admitting, expected, "after the failure of entry {dead}");
    }
}

#[test]
fn entry_restarted_during_a_table_outage_takes_keyed_work() {
    let mut fleet = settled_fleet();
    fleet.table = Table::Down;
    fleet.run(Duration::from_secs(20));
    fleet.nodes[4].is_alive = false;
    fleet.run(Duration::from_secs(3));
    fleet.restart(4, 2);
    let mut min_admitting = usize::MAX;
    fleet.run_while(Duration::from_secs(10), |fleet| {
        let others = fleet
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != 4);
        let valid =
            others.filter(|(_, node)| node.gossip.freshness().valid_until(fleet.now).is_some());
        min_admitting = min_admitting.min(valid.count());
    });
    assert_eq!(min_admitting, ZONES * ENTRIES_PER_ZONE - 1);
    assert_eq!(fleet.admitting(), ZONES * ENTRIES_PER_ZONE);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.nodes[4].gossip.is_admitted());
    assert!(fleet.nodes[4].gossip.freshness().is_settled());
}

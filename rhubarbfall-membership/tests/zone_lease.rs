//! The zone lease under pauses, lost answers, a slow table and several claimants. Two holders at
//! once, or a fencing number that falls, would let an earlier holder overwrite its successor.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::{EntryId, Incarnation, RowVersion};
use rhubarbfall_membership::{LeaseRequest, LeaseRow, ZoneLease, ZoneLeaseConfig};

const SECOND: Duration = Duration::from_secs(1);

/// The lease row as stored by the table; a write that expects another version is rejected.
#[derive(Default)]
struct TableRow {
    version: RowVersion,
    row: Option<LeaseRow>,
}

impl TableRow {
    fn read(&self) -> Option<(RowVersion, LeaseRow)> {
        self.row.clone().map(|row| (self.version, row))
    }

    fn write(&mut self, expected: RowVersion, row: LeaseRow) -> Option<RowVersion> {
        if expected != self.version {
            return None;
        }
        self.version = self.version.next();
        self.row = Some(row);
        Some(self.version)
    }
}

fn lease(name: &str, now: Instant) -> ZoneLease {
    let entry: EntryId = name.parse().expect("valid identifier");
    ZoneLease::new(ZoneLeaseConfig::new(), entry, Incarnation::new(1), now)
}

/// Executes one entry's due request; `is_answer_lost` loses the answer after it took effect.
fn step(
    lease: &mut ZoneLease,
    table: &mut TableRow,
    sent: Instant,
    answered: Instant,
    is_answer_lost: bool,
) {
    let Some(request) = lease.next_request(sent) else {
        return;
    };
    let written = match request {
        LeaseRequest::Read => None,
        LeaseRequest::Write { expected, row } => Some(table.write(expected, row)),
    };
    match written {
        _ if is_answer_lost => lease.observe_no_answer(answered),
        None => lease.observe_row(answered, table.read()),
        Some(Some(version)) => lease.observe_written(answered, version),
        Some(None) => lease.observe_conflict(answered),
    }
}

fn run(lease: &mut ZoneLease, table: &mut TableRow, now: Instant) {
    for _ in 0..3 {
        step(lease, table, now, now, false);
    }
}

#[test]
fn lease_of_a_paused_holder_expires_before_a_claimant_acquires_it() {
    let start = Instant::now();
    let (mut first, mut second, mut table) = (
        lease("a-1", start),
        lease("a-2", start),
        TableRow::default(),
    );
    run(&mut first, &mut table, start);
    run(&mut second, &mut table, start);
    let fencing = first
        .fencing(start)
        .expect("the first claimant holds the lease");
    assert_eq!(second.fencing(start), None);
    run(&mut second, &mut table, start + SECOND * 15);
    assert_eq!(
        second.fencing(start + SECOND * 15),
        None,
        "the drift margin has not passed"
    );
    let later = start + SECOND * 16;
    run(&mut second, &mut table, later);
    assert_eq!(first.fencing(later), None);
    assert!(second.fencing(later) > Some(fencing));
}

#[test]
fn lease_duration_counts_from_before_a_slow_write() {
    let start = Instant::now();
    let (mut first, mut table) = (lease("a-1", start), TableRow::default());
    step(&mut first, &mut table, start, start, false);
    step(&mut first, &mut table, start, start + SECOND * 5, false);
    assert!(first.fencing(start + SECOND * 14).is_some());
    assert_eq!(first.fencing(start + SECOND * 15), None);
}

#[test]
fn write_with_a_lost_answer_is_read_back_and_not_repeated() {
    let start = Instant::now();
    let (mut first, mut table) = (lease("a-1", start), TableRow::default());
    step(&mut first, &mut table, start, start, false);
    step(&mut first, &mut table, start, start + SECOND, true);
    assert_eq!(first.fencing(start + SECOND), None);
    step(
        &mut first,
        &mut table,
        start + SECOND * 3,
        start + SECOND * 3,
        false,
    );
    assert!(first.fencing(start + SECOND * 3).is_some());
    assert_eq!(table.version, RowVersion::new(1));
    assert_eq!(
        first.fencing(start + SECOND * 15),
        None,
        "the duration counts from the write whose answer was lost"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn at_most_one_holder_and_fencing_never_decreases(
        events in proptest::collection::vec((0_usize..3, 0_u64..4000, 0_u64..6000, any::<bool>()), 1..200),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut table = TableRow::default();
        let mut leases = ["a-1", "a-2", "a-3"].map(|name| lease(name, start));
        let mut highest = None;
        for (claimant, pause_ms, delay_ms, is_answer_lost) in events {
            now += Duration::from_millis(pause_ms);
            let answered = now + Duration::from_millis(delay_ms);
            step(&mut leases[claimant], &mut table, now, answered, is_answer_lost);
            now = answered;
            let held: Vec<_> = leases.iter().filter_map(|lease| lease.fencing(now)).collect();
            prop_assert!(held.len() <= 1, "{held:?}");
            if let Some(fencing) = held.first() {
                prop_assert!(highest <= Some(*fencing));
                highest = Some(*fencing);
            }
        }
    }
}

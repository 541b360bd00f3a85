//! The upper limit under random faults.
//!
//! Guards against more requests running at the upstreams than the ledger grants, and against rights
//! that are lost permanently after crashes, pauses, partitions, table outages and limit changes.

mod rights_model;

use std::time::Instant;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_admission::{LedgerRow, LoanRequest, Rights, RightsSettings};
use rhubarbfall_core::{EntryId, Incarnation, Revision, Slots, TeamId};
use rights_model::{Fault, Model};

fn faults() -> impl Strategy<Value = Vec<(u16, Fault)>> {
    let fault = prop_oneof![
        (0..4_usize).prop_map(Fault::Crash),
        (0..4_usize).prop_map(Fault::ReplaceSameVm),
        (0..4_usize).prop_map(Fault::ReplaceOtherVm),
        (0..4_usize, 5..150_u16).prop_map(|(entry, steps)| Fault::Pause(entry, steps)),
        (0..4_usize, 5..150_u16).prop_map(|(entry, steps)| Fault::CutOff(entry, steps)),
        (5..200_u16).prop_map(Fault::TableOutage),
        (0..14_u32).prop_map(Fault::SetLimit),
        Just(Fault::WithdrawTeam),
    ];
    prop::collection::vec((5..60_u16, fault), 0..30)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn running_work_never_exceeds_the_limit_and_no_right_is_lost(seed: u64, faults in faults()) {
        let mut model = Model::new(seed, 9);
        model.run(100)?;
        for (steps, fault) in faults {
            model.inject(fault);
            model.run(steps)?;
        }
        model.heal();
        model.run(500)?;
        let reached = model.highest_running(200)?;
        prop_assert_eq!(reached, 9, "one entry can use the whole limit after recovery");
    }
}

#[test]
fn reserve_is_the_part_of_its_own_slots_that_an_owner_never_lends() {
    let now = Instant::now();
    let team: TeamId = "house-a".parse().expect("the identifier is valid");
    let (owner, borrower): (EntryId, EntryId) = (
        "entry-1".parse().expect("the identifier is valid"),
        "entry-2".parse().expect("the identifier is valid"),
    );
    let lent_slots = [0, 25, 50, 100].map(|reserve_percent| {
        let settings = RightsSettings::default().reserve_percent(reserve_percent);
        let mut rights = Rights::new(owner.clone(), Incarnation::new(1), settings);
        rights.set_limits([(team.clone(), Slots::new(10))], Revision::new(1));
        rights.set_waiting(&team, 1);
        let next = rights.plan(&team, &LedgerRow::default(), 1, &|_, _| false, now);
        rights.begin_write(&team, &next.expect("the plan acquires slots"));
        rights.finish_write(&team, true);
        rights.set_waiting(&team, 0);
        let request = LoanRequest {
            sequence: 1,
            held_slots: 0,
            wanted_slots: 20,
        };
        let reply = rights.lend(now, &borrower, Incarnation::new(1), &team, &request);
        reply.expect("the lender replies").granted_slots
    });
    assert_eq!(lent_slots, [10, 7, 5, 0]);
}

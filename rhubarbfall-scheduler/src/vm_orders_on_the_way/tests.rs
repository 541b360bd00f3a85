//! A new owner that gives orders too early is overtaken by its predecessor's; one that waits without
//! need moves no VMs while work waits for them.

use std::time::Duration;

use rhubarbfall_core::BootTime;

use super::{PredecessorEnd, VmOrdersOnTheWay, inherited_order_time};

const ORDER_TIME: Duration = Duration::from_secs(3);
const LEASE: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> BootTime {
    BootTime::new(Duration::from_secs(seconds))
}

#[test]
fn silent_owner_gives_orders_until_its_ownership_lease_ends() {
    let silent = PredecessorEnd::Silent(LEASE);
    assert_eq!(
        inherited_order_time(silent, Some(Duration::ZERO), ORDER_TIME),
        LEASE + ORDER_TIME
    );
}

#[test]
fn owner_that_has_ended_leaves_only_what_its_row_states() {
    for end in [PredecessorEnd::Released, PredecessorEnd::EarlierProcess] {
        let stated = Some(Duration::from_secs(2));
        assert_eq!(
            inherited_order_time(end, stated, ORDER_TIME),
            Duration::from_secs(2)
        );
        // A row written by an earlier version states nothing.
        assert_eq!(inherited_order_time(end, None, ORDER_TIME), ORDER_TIME);
    }
}

#[test]
fn nothing_is_waited_for_where_late_orders_are_refused() {
    let silent = PredecessorEnd::Silent(LEASE);
    assert_eq!(
        inherited_order_time(silent, None, Duration::ZERO),
        Duration::ZERO
    );
}

#[test]
fn answered_orders_leave_nothing_on_the_way() {
    let orders = VmOrdersOnTheWay::new(ORDER_TIME, at(0));
    orders.begin(at(10));
    assert_eq!(orders.remaining(at(10)), ORDER_TIME);
    orders.end(true, at(11));
    assert_eq!(orders.remaining(at(11)), Duration::ZERO);
}

#[test]
fn unanswered_order_is_on_its_way_for_a_while() {
    let orders = VmOrdersOnTheWay::new(ORDER_TIME, at(0));
    orders.begin(at(10));
    orders.end(false, at(11));
    assert_eq!(orders.remaining(at(12)), Duration::from_secs(2));
    assert_eq!(orders.remaining(at(14)), Duration::ZERO);
}

#[test]
fn orders_of_earlier_owners_are_passed_on() {
    let orders = VmOrdersOnTheWay::new(ORDER_TIME, at(20));
    assert_eq!(orders.remaining(at(18)), Duration::from_secs(2));
}

/// An owner that was short of processor time may lose its ownership while it and its successor both
/// reach the VM service.
#[test]
fn owners_in_service_take_no_turns_within_the_order_time() {
    let orders = VmOrdersOnTheWay::new(ORDER_TIME, at(0));
    orders.begin(at(10));
    orders.end(true, at(10));
    orders.end_ownership(false);
    let left = orders.remaining_for_successor(at(11));
    assert_eq!(left, Duration::from_secs(2));
    orders.end_ownership(true);
    assert_eq!(orders.remaining_for_successor(at(11)), Duration::ZERO);
}

/// A predecessor may answer after the gap has passed, when this owner has given orders of its own.
#[test]
fn late_answer_of_the_predecessor_hides_no_order_of_this_owner() {
    let orders = VmOrdersOnTheWay::new(ORDER_TIME, at(10));
    orders.begin(at(11));
    orders.end(false, at(12));
    orders.inherit(at(12));
    assert_eq!(orders.remaining(at(12)), ORDER_TIME);
}

//! Guards against a retry storm: with a fixed timeout, a store that becomes slow receives the same
//! transaction repeatedly and falls further behind. The timeout must also shrink again, so that a
//! lost answer is noticed soon.

use std::time::Duration;

use super::RoundTripEstimate;

const SLOW_TRANSACTION: Duration = Duration::from_millis(546);

/// Simulates a store that handles one transaction at a time in `transaction_time`, and returns how
/// many attempts it takes until one is answered within its timeout.
fn attempts_until_answered(mut round_trip: RoundTripEstimate, transaction_time: Duration) -> usize {
    let mut queued = Duration::ZERO;
    for attempt in 1..100 {
        queued += transaction_time;
        let timeout = round_trip.timeout();
        round_trip.add(queued.min(timeout));
        if queued <= timeout {
            return attempt;
        }
        queued = queued.saturating_sub(timeout);
    }
    100
}

#[test]
fn slow_store_gets_at_most_one_repeated_transaction() {
    let mut round_trip = RoundTripEstimate::default();
    for _ in 0..10 {
        round_trip.add(Duration::from_millis(8));
    }
    assert_eq!(round_trip.timeout(), Duration::from_millis(400));
    assert_eq!(attempts_until_answered(round_trip, SLOW_TRANSACTION), 2);
}

#[test]
fn timeout_returns_to_the_minimum_after_normal_round_trips() {
    let mut round_trip = RoundTripEstimate::default();
    round_trip.add(Duration::from_millis(400));
    assert_eq!(round_trip.timeout(), Duration::from_millis(800));
    for _ in 0..3 {
        round_trip.add(Duration::from_millis(8));
    }
    assert_eq!(round_trip.timeout(), Duration::from_millis(400));
}

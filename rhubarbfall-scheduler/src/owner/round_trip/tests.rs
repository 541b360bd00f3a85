use std::time::Duration;

use super::RoundTrip;

const SLOW: Duration = Duration::from_millis(546);

/// Sends one transaction after the other to a store that takes `takes` for each, one at a time, and
/// returns how many of them it is sent until one is answered in time.
fn attempts_until_answered(mut round_trip: RoundTrip, takes: Duration) -> usize {
    let mut queued = Duration::ZERO;
    for attempt in 1..100 {
        queued += takes;
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
fn a_store_that_turns_slow_is_not_sent_the_same_again_and_again() {
    let mut usual = RoundTrip::default();
    for _ in 0..10 {
        usual.add(Duration::from_millis(8));
    }
    assert_eq!(usual.timeout(), Duration::from_millis(400));
    assert_eq!(attempts_until_answered(usual, SLOW), 2);
}

#[test]
fn a_lost_answer_is_noticed_soon_again_after_usual_ones() {
    let mut round_trip = RoundTrip::default();
    round_trip.add(Duration::from_millis(400));
    assert_eq!(round_trip.timeout(), Duration::from_millis(800));
    for _ in 0..3 {
        round_trip.add(Duration::from_millis(8));
    }
    assert_eq!(round_trip.timeout(), Duration::from_millis(400));
}

use std::time::Duration;

use super::PollPace;

/// The age up to which a view of the operators' requests allows starts, for a bound of 5 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(3_400);

const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Polls a store that takes `latency` for an answer and has no changes, and returns the highest age of
/// the view from the second view on.
fn highest_view_age(latency: Duration) -> Option<Duration> {
    let mut pace = PollPace::default();
    let (mut now, mut viewed_at, mut ages) = (Duration::ZERO, None, Vec::new());
    for _ in 0..40 {
        let sent_at = now;
        if latency > pace.answer_time {
            now += pace.wait + pace.answer_time + RETRY_PAUSE;
            pace = pace.after_failure();
            continue;
        }
        now += pace.wait + latency;
        pace = pace.after_answer(now.saturating_sub(sent_at));
        if let Some(before) = viewed_at.replace(sent_at) {
            ages.push(now.saturating_sub(before));
        }
    }
    // The first view after a change of the latency follows a poll of the usual length.
    ages.into_iter().skip(1).max()
}

/// A store that takes longer than the usual time limit of a poll: no poll would succeed, and the owner
/// would start nothing for as long as the store is slow, although it stores its batches.
#[test]
fn a_slow_store_leaves_the_view_recent_enough_to_start_tasks() {
    for latency_ms in [5, 100, 240, 260, 500, 800, 1_200, 1_500] {
        let age = highest_view_age(Duration::from_millis(latency_ms));
        assert!(
            age.is_some_and(|age| age <= MAX_VIEW_AGE),
            "{latency_ms} ms: {age:?}"
        );
    }
}

#[test]
fn polls_are_long_again_once_the_store_is_fast() {
    let slow = PollPace::default().after_failure().after_failure();
    assert_ne!(slow, PollPace::default());
    assert_eq!(
        slow.after_answer(Duration::from_millis(110)),
        PollPace::default()
    );
}

//! Rows that the store refuses, seen by callers of a real entry: what belongs to one submission must
//! not hold up the others.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use http::Method;
use scheduler_process::{
    SchedulerEntry, WAIT_TIMEOUT, call, call_within, start_entry, status_of, submit,
};
use stand_in::StandInSite;

const TASK_TIME: Duration = Duration::from_millis(300);

async fn wait_until_completed(entry: &SchedulerEntry, id: &str, limit: Duration) {
    let deadline = Instant::now() + limit;
    loop {
        let answer = call(entry, Method::GET, &format!("/print/{id}"), "").await;
        let state = answer.map(|(_, body)| body).unwrap_or_default();
        if state.contains("completed") {
            return;
        }
        assert!(Instant::now() < deadline, "{id} is still {state}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn body(count: u32, spec_bytes: usize) -> String {
    let spec = "x".repeat(spec_bytes);
    format!(
        r#"{{"spec":"{spec}","steps":[{{"count":{count},"cpu":10,"mem_mb":10,"estimate_ms":300}}]}}"#
    )
}

/// The progress row of 2,500 tasks at work is longer than the store accepts. The transaction was
/// repeated without end, and nothing of anybody was stored any more.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_submission_completes_and_holds_up_no_other() {
    let site = StandInSite::start(4, TASK_TIME).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000a1").await;
    let accepted = status_of(&entry, Method::POST, "00000000000000a2", &body(2_500, 10)).await;
    assert_eq!(accepted, 200);
    submit(&[&entry], "00000000000000a3").await;
    wait_until_completed(&entry, "00000000000000a3", WAIT_TIMEOUT).await;
    wait_until_completed(&entry, "00000000000000a2", Duration::from_mins(1)).await;
    assert_eq!(
        site.done()
            .iter()
            .filter(|task| task.contains("a2."))
            .count(),
        2_500
    );
}

/// The store refuses the rows of one submission, for whatever reason. Its caller is told that it
/// never runs, and the others are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_that_the_store_refuses_holds_up_no_other() {
    let site = StandInSite::start(2, TASK_TIME).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000b1").await;
    site.refuse_writes_of("00000000000000b2");
    let (body, entries) = (body(3, 10), [&entry]);
    let (refused, accepted) = tokio::join!(
        status_of(&entry, Method::POST, "00000000000000b2", &body),
        submit(&entries, "00000000000000b3"),
    );
    assert_eq!((refused, accepted), (503, ()));
    wait_until_completed(&entry, "00000000000000b3", WAIT_TIMEOUT).await;
    let started = site.started();
    assert!(
        !started.iter().any(|(task, _)| task.contains("b2")),
        "{started:?}"
    );
}

/// A submission that no row can hold is refused at once, with the limit that it exceeds.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_longer_than_a_row_is_refused_with_the_limit() {
    let site = StandInSite::start(1, TASK_TIME).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000c1").await;
    let long = body(1, 50_000);
    let answer = call_within(
        &entry,
        Method::POST,
        "/print/00000000000000c2",
        &long,
        3_000,
    )
    .await;
    let (status, text) = answer.expect("an answer");
    assert_eq!(status.as_u16(), 400);
    assert!(
        text.contains("2026") && text.contains("at most 49152"),
        "{text}"
    );
}

//! Odd values in rows and requests must cost what they belong to, and nothing else: a process that
//! ends, or that stops following a list, because of one value fails everybody.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use http::Method;
use scheduler_process::{
    SETTLING_TIME, SchedulerEntry, WAIT_TIMEOUT, call, start_entry, starts_of, submit,
};
use serde_json::{Value, json};
use stand_in::StandInSite;

/// Numbers beyond what a duration, an amount or a port holds.
const ODD_NUMBERS: [&str; 8] = [
    "1e300",
    "1.8e22",
    "1e19",
    "18446744073709551615",
    "9223372036854775808",
    "-1",
    "1e400",
    "70000",
];

/// Nesting beyond the depth that a recursive parser can follow on its stack.
const DEPTH: usize = 10_000;

fn deeply_nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

async fn wait_completed(entry: &SchedulerEntry, id: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut last = None;
    while Instant::now() < deadline {
        last = call(entry, Method::GET, &format!("/print/{id}"), "").await;
        if matches!(&last, Some((_, body)) if body.contains("completed")) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{id} was not completed in time; last response: {last:?}");
}

fn assert_no_panic(entry: &SchedulerEntry) {
    let panics = entry.event_names(&["event=task_panicked"]);
    assert!(panics.is_empty(), "{panics:?}");
}

/// Every owner loads what is stored: a stored submission that ends the owner's loops would end those
/// of each successor.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_with_odd_numbers_do_not_stop_the_owner() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000a1").await;
    let mut number = 0;
    for value in ODD_NUMBERS {
        for field in ["estimate_ms", "cpu", "mem_mb", "target_ms", "count"] {
            number += 1;
            let mut step = json!({"count": 2, "cpu": 100, "mem_mb": 10, "estimate_ms": 100});
            step[field] = json!("ODD");
            let body = json!({"spec": "print", "steps": [step], "max_runs": 1});
            let body = body.to_string().replace("\"ODD\"", value);
            let path = format!("/print/{number:016x}");
            call(&entry, Method::POST, &path, &body).await;
        }
        number += 1;
        let body = format!(
            r#"{{"spec":"print","steps":[{{"count":1,"cpu":100}}],"first_run_ms":{value},
                "interval_ms":{value},"max_runs":3}}"#
        );
        let path = format!("/print/{number:016x}");
        call(&entry, Method::POST, &path, &body).await;
    }
    let nested = format!(
        r#"{{"spec":"print","steps":[{{"count":1}}],"x":{}}}"#,
        deeply_nested()
    );
    call(&entry, Method::POST, "/print/00000000000000b0", &nested).await;
    submit(&[&entry], "00000000000000a2").await;
    wait_completed(&entry, "00000000000000a2").await;
    assert_no_panic(&entry);
}

/// Returns a worker's entry as other writers might leave it.
fn odd_worker_entries(valid: &Value) -> Vec<String> {
    let mut odd: Vec<String> = vec![
        String::new(),
        "\u{0}\u{1}".to_owned(),
        "null".to_owned(),
        deeply_nested(),
        "x".repeat(60_000),
        valid.to_string().replace('}', ""),
    ];
    for field in [
        "service", "address", "zone", "state", "capacity", "labels", "born", "seq",
    ] {
        let replaced = |value: &str| {
            let mut entry = valid.clone();
            entry[field] = json!("ODD");
            entry.to_string().replace("\"ODD\"", value)
        };
        odd.extend(ODD_NUMBERS.map(replaced));
        odd.push(replaced(&deeply_nested()));
        odd.push(replaced("\"127.0.0.1:70000\""));
        odd.push(replaced("\"127.0.0.1:0\""));
        odd.push(replaced("{\"cpu\":18446744073709551615,\"mem_mb\":1e300}"));
        odd.push(replaced(
            "{\"cpu\":18446744073709551615,\"mem_mb\":18446744073709551615}",
        ));
    }
    odd
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_among_the_workers_do_not_end_the_following_of_the_list() {
    let site = StandInSite::start(2, Duration::from_millis(100)).await;
    site.unlist_worker(&site.worker_id(1));
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000c1").await;
    wait_completed(&entry, "00000000000000c1").await;
    let valid = json!({"service": "labels", "address": "127.0.0.1:9", "zone": "zone-a",
        "state": "ready", "capacity": {"cpu": 1, "mem_mb": 1}, "labels": ["a", "r1"],
        "born": 1, "seq": 1});
    for (number, value) in odd_worker_entries(&valid).iter().enumerate() {
        site.write_text("servers", &format!("odd-{number}"), value);
    }
    tokio::time::sleep(SETTLING_TIME).await;
    // A worker that is listed afterwards is used, and one that leaves is not.
    site.list_worker(1);
    site.unlist_worker(&site.worker_id(0));
    tokio::time::sleep(SETTLING_TIME).await;
    submit(&[&entry], "00000000000000c2").await;
    wait_completed(&entry, "00000000000000c2").await;
    assert!(starts_of(&site, "00000000000000c2") >= 5);
    assert_no_panic(&entry);
}

/// The store takes only valid configurations, but their numbers have no stated limit.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_of_operators_do_not_end_the_following_of_the_configuration() {
    let site = StandInSite::start(1, Duration::from_millis(100)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000d1").await;
    for value in ODD_NUMBERS {
        let wave = format!(r#"{{"wave":1,"machines":["m-1"],"duration_s":{value},"cap":1}}"#);
        site.write_text("op", "wave/1", &wave);
        tokio::time::sleep(Duration::from_millis(150)).await;
        let config = format!(
            r#"{{"version":8,"routes":[{{"name":"r-1","host":"odd.example","path_prefix":"/x/",
            "kind":"unsafe","timeout_ms":{value},"latency_slo_ms":{value},"service":"s-1",
            "max_attempts":2,"stretch":{value}}}],"services":[{{"name":"s-1"}}],"tenants":[]}}"#
        );
        site.write_text("op", "config", &config);
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    site.write_text("op", "config", &deeply_nested());
    tokio::time::sleep(SETTLING_TIME).await;
    site.configure(9);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while entry
        .event_names(&["event=config_accepted", "version=9"])
        .is_empty()
    {
        assert!(Instant::now() < deadline, "version 9 was not accepted");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    submit(&[&entry], "00000000000000d2").await;
    wait_completed(&entry, "00000000000000d2").await;
    assert_no_panic(&entry);
}

/// A configuration read before the present one can arrive after it, also from a peer: with it, a key
/// that was withdrawn would be accepted again.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_with_a_lower_version_is_not_accepted() {
    let site = StandInSite::start(1, Duration::from_millis(100)).await;
    let entry = start_entry(&site, "entry-1", &[]);
    submit(&[&entry], "00000000000000e1").await;
    site.configure(9);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let accepted = |version: &str| entry.event_names(&["event=config_accepted", version]);
    while accepted("version=9 ").is_empty() {
        assert!(Instant::now() < deadline, "version 9 was not accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    site.configure(8);
    tokio::time::sleep(SETTLING_TIME).await;
    assert_eq!(accepted("version=8 "), Vec::<String>::new());
}

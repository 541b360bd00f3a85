//! Scenarios of upstreams that leave, stop responding, fail and return to service.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use rhubarbfall_core::{ServiceId, UpstreamId};
use rhubarbfall_routing::{HealthReport, UpstreamWatch};

fn service() -> ServiceId {
    "labels".parse().expect("valid service id")
}

/// Runs one command of a scenario file.
fn run_line(watch: &mut UpstreamWatch, now: Instant, line: &str) {
    let mut words = line.split_whitespace();
    let command = words.next().unwrap_or_default();
    let ids: Vec<UpstreamId> = words
        .map(|word| word.parse().expect("valid upstream id"))
        .collect();
    match command {
        "list" => {
            let listed: Vec<_> = ids
                .into_iter()
                .map(|id| (id, ([127, 0, 0, 1], 1000).into()))
                .collect();
            watch.set_listed(&service(), &listed);
        }
        "notice" => ids.iter().for_each(|id| watch.on_leaving_notice(now, id)),
        "close" => ids.iter().for_each(|id| watch.on_leaving_response(now, id)),
        "serving" => report(watch, now, &ids, HealthReport::Serving),
        "leaving" => report(watch, now, &ids, HealthReport::Leaving),
        "silent" => report(watch, now, &ids, HealthReport::Silent),
        "answer" => ids
            .iter()
            .for_each(|id| watch.on_attempt(now, id, now, true)),
        "fail" => ids
            .iter()
            .for_each(|id| watch.on_attempt(now, id, now, false)),
        other => panic!("unknown scenario command: {other}"),
    }
}

fn report(watch: &mut UpstreamWatch, now: Instant, ids: &[UpstreamId], report: HealthReport) {
    for id in ids {
        watch.on_health(now, id, now, report);
    }
}

#[test]
fn scenarios() {
    datadriven::walk("tests/scenarios", |file| {
        let start = Instant::now();
        let mut watch = UpstreamWatch::new();
        file.run(|test| {
            let mut output = String::new();
            for line in test.input.lines() {
                let (at_ms, rest) = line
                    .split_once(' ')
                    .expect("line holds a time and a command");
                let now =
                    start + Duration::from_millis(at_ms.parse().expect("time in milliseconds"));
                if rest != "show" {
                    run_line(&mut watch, now, rest);
                    continue;
                }
                let usable: Vec<String> = watch
                    .usable(now, &service())
                    .into_iter()
                    .map(|(id, _)| id.to_string())
                    .collect();
                let _ = writeln!(output, "{at_ms} usable: {}", usable.join(" "));
            }
            output
        });
    });
}

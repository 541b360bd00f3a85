//! Changes of the document through the operator interface, with entries as separate processes.

use std::time::Duration;

use http::{Method, StatusCode};
use rhubarbfall_document::digest_key;
use rhubarbfall_testing::platform::{Fault, FaultMode, PlatformService};
use rhubarbfall_testing::rig::{
    EntryProcess, KEY_PEPPER, TEST_DOCUMENT, TestFleet, TestFleetConfig, TestRequest, TestResponse,
    wait_until,
};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbfall");

/// The time within which an accepted change must be in force at every entry.
const IN_FORCE_BOUND: Duration = Duration::from_secs(5);

/// Too many concurrent edits for all to succeed if each round of attempts accepted only one.
const CONCURRENT_TEAMS: usize = 32;

const TEAM_A: &str = "[versions]\n'team.house-a' = 0\n[team.house-a]\ncontact = 'a'\n";
const TEAM_B: &str = "[versions]\n'team.house-b' = 0\n[team.house-b]\ncontact = 'b'\n";

fn start() -> TestFleet {
    TestFleet::start(PROGRAM, TestFleetConfig::new()).expect("the fleet starts")
}

fn apply(entry: &EntryProcess, key: &str, id: &str, text: &str) -> TestRequest {
    TestRequest::new(Method::POST, entry.operator_address(), "/v1/document")
        .key(key)
        .header("x-transaction-id", id)
        .body(text.to_owned())
}

fn json(answer: &TestResponse) -> Value {
    serde_json::from_slice(&answer.body).expect("the answer is JSON")
}

fn view(fleet: &TestFleet, key: &str) -> Value {
    let request = TestRequest::new(
        Method::GET,
        fleet.entries[0].operator_address(),
        "/v1/document",
    )
    .key(key);
    json(&fleet.send(request).expect("the entry answers"))
}

fn codes(answers: &[TestResponse]) -> Vec<u64> {
    let code = |answer| json(answer)["code"].as_u64().unwrap_or_default();
    let mut codes: Vec<u64> = answers.iter().map(code).collect();
    codes.sort_unstable();
    codes
}

#[test]
fn concurrent_edits_of_different_sections_are_all_accepted() {
    let teams: Vec<String> = (0..CONCURRENT_TEAMS)
        .map(|index| format!("team-{index}"))
        .collect();
    let pepper = KEY_PEPPER.parse().expect("the pepper is valid");
    let team_and_key = |team: &String| {
        let digest = digest_key(&pepper, team);
        format!(
            "\n[[fleet.team]]\nid = '{team}'\nupper_limit_slots = 1\nshare_weight = 1\n\
             [[keys.key]]\ndigest = '{digest}'\nlabel = '{team}'\nteam = '{team}'\n"
        )
    };
    let added: Vec<String> = teams.iter().map(team_and_key).collect();
    let document = format!("{TEST_DOCUMENT}{}", added.concat());
    let config = TestFleetConfig::new().document(document);
    let fleet = TestFleet::start(PROGRAM, config).expect("the fleet starts");
    let edit = |(index, team): (usize, &String)| {
        let entry = &fleet.entries[index % fleet.entries.len()];
        let text = format!("[versions]\n'team.{team}' = 0\n[team.{team}]\ncontact = '{team}'\n");
        apply(entry, team, "edit", &text)
    };
    let edits = teams.iter().enumerate().map(edit).collect();
    let answers = fleet.send_all(edits).into_iter();
    let answers: Vec<TestResponse> = answers.map(|a| a.expect("the entry answers")).collect();
    assert_eq!(codes(&answers), [1001; CONCURRENT_TEAMS]);
    let view = view(&fleet, "operator-key");
    assert_eq!(view["revision"], CONCURRENT_TEAMS + 1);
    for team in &teams {
        assert_eq!(view["document"]["team"][team]["contact"], team.as_str());
    }
    for entry in &fleet.entries {
        wait_until("the changes are in force", IN_FORCE_BOUND, || {
            fleet.state(entry)["revision"] == CONCURRENT_TEAMS + 1
        });
    }
}

#[test]
fn one_of_several_concurrent_edits_of_a_section_is_accepted() {
    let fleet = start();
    let edit = |index: usize| {
        let entry = &fleet.entries[index % fleet.entries.len()];
        let text = TEAM_A.replace("'a'", &format!("'contact {index}'"));
        apply(entry, "house-a-key", &format!("edit-{index}"), &text)
    };
    let answers: Vec<TestResponse> = fleet
        .send_all((0..8).map(edit).collect())
        .into_iter()
        .map(|answer| answer.expect("the entry answers"))
        .collect();
    let mut expected = vec![1001];
    expected.resize(8, 4003);
    assert_eq!(codes(&answers), expected);
    let rejected = answers.iter().find(|a| a.status == StatusCode::CONFLICT);
    let conflict = &json(rejected.expect("seven edits are rejected"))["detail"]["conflict"][0];
    assert_eq!(conflict["current_version"], 2);
    let change = &conflict["changed_since"][0]["changes"][0];
    assert_eq!(change["differences"][0]["path"], "contact");
    assert_eq!(view(&fleet, "operator-key")["revision"], 2);
}

#[test]
fn edit_resent_after_a_lost_response_is_accepted_once() {
    let fleet = start();
    // The table drops every response to a write, so the entry gives up after the write took effect.
    let fault = Fault::new(FaultMode::DropResponse)
        .service(PlatformService::Table)
        .writes_only(true);
    fleet.platform.add_fault(fault);
    let lost = fleet.send(apply(&fleet.entries[0], "house-a-key", "once", TEAM_A));
    let lost = lost.expect("the entry answers");
    assert_eq!(json(&lost)["code"], 4008);
    assert_eq!(json(&lost)["execution"], "unknown");
    fleet.platform.clear_faults();
    for entry in &fleet.entries {
        let repeat = fleet.send(apply(entry, "house-a-key", "once", TEAM_A));
        let repeat = json(&repeat.expect("the entry answers"));
        assert_eq!(
            (&repeat["code"], &repeat["revision"]),
            (&1002.into(), &2.into())
        );
    }
    assert_eq!(view(&fleet, "operator-key")["revision"], 2);
}

#[test]
fn entry_retries_a_write_after_one_lost_response() {
    let fleet = start();
    let fault = Fault::new(FaultMode::DropResponse)
        .service(PlatformService::Table)
        .writes_only(true)
        .remaining(1);
    fleet.platform.add_fault(fault);
    let answer = fleet.send(apply(&fleet.entries[0], "house-a-key", "once", TEAM_A));
    assert_eq!(json(&answer.expect("the entry answers"))["code"], 1001);
    assert_eq!(view(&fleet, "operator-key")["revision"], 2);
}

#[test]
fn rejected_document_changes_nothing_and_names_line_and_column() {
    let fleet = start();
    let before = view(&fleet, "operator-key");
    let text = "versions.fleet = 1\n[[fleet.pool]]\nid = 'p'\nmax_unavailable_vms = -1\n";
    let syntax = "versions.fleet = 1\n[[fleet.pool]\n";
    for (text, code, line) in [(text, 4002, 4), (syntax, 4001, 2)] {
        let answer = fleet.send(apply(&fleet.entries[0], "operator-key", "bad", text));
        let answer = json(&answer.expect("the entry answers"));
        assert_eq!(answer["code"], code);
        assert_eq!(answer["execution"], "not run");
        assert_eq!(
            answer["detail"]["invalid"]["faults"][0]["position"]["line"],
            line
        );
        let message = answer["message"].as_str().unwrap_or_default();
        assert!(
            message.starts_with(&format!("line {line}, column ")),
            "{message}"
        );
    }
    assert_eq!(view(&fleet, "operator-key"), before);
}

#[test]
fn a_team_sees_and_edits_only_its_own_section() {
    let fleet = start();
    let entry = &fleet.entries[0];
    let accepted = fleet.send(apply(entry, "house-b-key", "own", TEAM_B));
    assert_eq!(json(&accepted.expect("the entry answers"))["code"], 1001);
    let others = [
        ("house-a-key", TEAM_B.replace("= 0", "= 2")),
        ("operator-key", TEAM_B.replace("= 0", "= 2")),
        ("house-a-key", "versions.fleet = 1\n[fleet]\n".to_owned()),
        ("house-a-key", "versions.keys = 1\n[keys]\n".to_owned()),
    ];
    for (key, text) in others {
        let answer = fleet.send(apply(entry, key, "other", &text));
        assert_eq!(
            json(&answer.expect("the entry answers"))["code"],
            4004,
            "{key}"
        );
    }
    for key in ["wrong", ""] {
        let request =
            TestRequest::new(Method::GET, entry.operator_address(), "/v1/document").key(key);
        let answer = fleet.send(request).expect("the entry answers");
        assert_eq!(json(&answer)["code"], 4006, "{key:?}");
    }
    let seen = view(&fleet, "house-a-key");
    assert_eq!(
        seen["document"]["team"]
            .as_object()
            .map_or(0, serde_json::Map::len),
        0
    );
    let keys = seen["document"]["keys"]["key"].as_array().map(Vec::len);
    assert_eq!(keys, Some(1));
}

#[test]
fn status_shows_every_revision_and_the_age_of_a_frozen_entrys_report() {
    let fleet = start();
    let edit = fleet.send(apply(&fleet.entries[0], "house-a-key", "a", TEAM_A));
    assert_eq!(json(&edit.expect("the entry answers"))["code"], 1001);
    let status = || {
        let address = fleet.entries[0].operator_address();
        let request = TestRequest::new(Method::GET, address, "/v1/status").key("operator-key");
        json(&fleet.send(request).expect("the entry answers"))
    };
    let revisions = |status: &Value| -> Vec<Option<u64>> {
        let entries = status["entries"].as_array().cloned().unwrap_or_default();
        entries
            .iter()
            .map(|entry| entry["revision"].as_u64())
            .collect()
    };
    wait_until("every entry has the revision", IN_FORCE_BOUND, || {
        revisions(&status()) == [Some(2); 4]
    });
    let frozen = &fleet.entries[3];
    frozen.process.freeze();
    let edit = fleet.send(apply(&fleet.entries[0], "house-b-key", "b", TEAM_B));
    assert_eq!(json(&edit.expect("the entry answers"))["code"], 1001);
    wait_until("only the frozen entry is behind", IN_FORCE_BOUND, || {
        let status = status();
        status["newest"] == 3 && revisions(&status) == [Some(3), Some(3), Some(3), Some(2)]
    });
    let last = &status()["entries"][3];
    assert_eq!(last["entry"], frozen.id.as_str());
    assert!(last["age_ms"].as_u64() >= Some(1_000), "{last}");
    frozen.process.resume();
}

#[test]
fn a_drained_upstream_receives_no_new_work() {
    let fleet = TestFleet::start(PROGRAM, TestFleetConfig::new().zones(["zone-a"]))
        .expect("the fleet starts");
    let head = "versions.fleet = 1\n[fleet]\ndrained_upstreams = ['zone-a-labels-0']\n";
    let body = TEST_DOCUMENT
        .split("[[keys.key]]")
        .next()
        .unwrap_or_default();
    let drain = apply(
        &fleet.entries[0],
        "operator-key",
        "drain",
        &format!("{head}{body}"),
    );
    let answer = json(&fleet.send(drain).expect("the entry answers"));
    assert_eq!(answer["code"], 1001, "{answer}");
    for entry in &fleet.entries {
        wait_until("only one upstream is left", IN_FORCE_BOUND, || {
            let upstreams = fleet.state(entry)["dispatch"]["upstreams"].clone();
            upstreams.as_array().map(Vec::len) == Some(1)
        });
    }
    let address = fleet.entries[1].operator_address();
    let list = TestRequest::new(Method::GET, address, "/v1/upstreams").key("operator-key");
    let list = json(&fleet.send(list).expect("the entry answers"));
    let states: Vec<&Value> = (0..2).map(|index| &list[index]["state"]).collect();
    assert_eq!(states, ["drained", "serving"]);
    for index in 0..20 {
        let entry = &fleet.entries[index % fleet.entries.len()];
        let request = TestRequest::to_queue(
            entry.caller_address(),
            "labels-urgent",
            &format!("r{index}"),
        );
        let answer = fleet
            .send(request.key("house-a-key"))
            .expect("the entry answers");
        assert_eq!(answer.code(), Some(1000));
    }
    let report = fleet.upstream_log.report();
    assert_eq!(report.started, 20);
    assert!(!report.peak_by_upstream.contains_key("zone-a-labels-0"));
}

#[test]
fn second_first_document_is_rejected() {
    let fleet = start();
    let request = TestRequest::new(
        Method::PUT,
        fleet.entries[0].operator_address(),
        "/v1/document",
    )
    .key("operator-key")
    .header("x-transaction-id", "again")
    .body(TEST_DOCUMENT);
    let answer = fleet.send(request).expect("the entry answers");
    assert_eq!(json(&answer)["code"], 4003);
}

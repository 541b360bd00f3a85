//! Runs the `rhubarbctl` binary against an entry and a stand-in platform.

// `expect_test` writes its snapshots as raw strings with hashes.
#![allow(clippy::needless_raw_string_hashes)]

use std::fs;
use std::net::SocketAddr;
use std::process::{Command, Output};
use std::sync::Arc;

use expect_test::{Expect, expect};
use http::Method;
use rhubarbfall_core::SystemClock;
use rhubarbfall_entry::{Entry, Settings};
use rhubarbfall_testing::platform::{Fault, FaultMode, PlatformService, StandInPlatform};
use rhubarbfall_testing::rig::{Caller, FLEET_KEY, KEY_PEPPER, TEST_DOCUMENT, TestRequest};
use serde_json::Value;
use tempfile::TempDir;
use tokio::runtime::Runtime;

const RHUBARBCTL: &str = env!("CARGO_BIN_EXE_rhubarbctl");

struct Fixture {
    operator_address: SocketAddr,
    platform: StandInPlatform,
    directory: TempDir,
    _entry: Entry,
    _runtime: Runtime,
}

impl Fixture {
    fn new() -> Self {
        let runtime = Runtime::new().expect("the runtime starts");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = runtime.block_on(StandInPlatform::start(any_port));
        let platform = platform.expect("the stand-in platform starts");
        let address = platform.address();
        let settings = format!(
            "entry = {{ id = 'e1', availability_zone = 'zone-a', region = 'west', rack = 'r1' }}\n\
             listen = {{ callers = '{any_port}', operators = '{any_port}', peers = '{any_port}' }}\n\
             platform = {{ table = '{address}', objects = '{address}', vms = '{address}' }}\n\
             secrets = {{ fleet_key = '{FLEET_KEY}', key_pepper = '{KEY_PEPPER}' }}\n"
        );
        let settings = Settings::parse(&settings).expect("the settings are valid");
        let clock = Arc::new(SystemClock::new());
        let entry = Entry::start(settings, clock, None, false).expect("the entry starts");
        let operator_address = entry.addresses().operators;
        let first_document = TestRequest::new(Method::PUT, operator_address, "/v1/document")
            .key("operator-key")
            .header("x-transaction-id", "first")
            .body(TEST_DOCUMENT);
        let answer = runtime
            .block_on(Caller::new().send(first_document))
            .expect("the entry responds");
        assert!(answer.status.is_success(), "{:?}", answer.body);
        Self {
            operator_address,
            platform,
            directory: TempDir::new().expect("the temporary directory is created"),
            _entry: entry,
            _runtime: runtime,
        }
    }

    fn path(&self, name: &str) -> String {
        self.directory.path().join(name).display().to_string()
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        fs::write(&path, text).expect("the file is written");
        path
    }

    fn run(&self, key: &str, arguments: &[&str]) -> Output {
        let config = format!("endpoint = '{}'\nkey = '{key}'\n", self.operator_address);
        let config = self.write("ctl.toml", &config);
        let mut command = Command::new(RHUBARBCTL);
        command.args(["--config", &config]).args(arguments);
        command.output().expect("the program runs")
    }

    fn run_ok(&self, key: &str, arguments: &[&str]) -> String {
        let output = self.run(key, arguments);
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {stderr}");
        String::from_utf8(output.stdout).expect("the output is text")
    }

    fn run_json(&self, key: &str, arguments: &[&str]) -> Value {
        let text = self.run_ok(key, &[arguments, &["--json"]].concat());
        serde_json::from_str(&text).expect("the output is JSON")
    }

    fn assert_fails(&self, key: &str, arguments: &[&str], code: i32, expected: &Expect) {
        let output = self.run(key, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        let stderr = String::from_utf8(output.stderr).expect("the output is text");
        let directory = self.directory.path().display().to_string();
        expected.assert_eq(&stderr.replace(&directory, "DIR"));
    }
}

#[test]
fn a_section_is_edited_in_a_file_and_applied() {
    let fixture = Fixture::new();
    let file = fixture.path("a.toml");
    let section = ["--section", "team.house-a"];
    fixture.run_ok(
        "house-a-key",
        &[&["document", "edit", &file][..], &section].concat(),
    );
    let text = fs::read_to_string(&file).expect("the file was written");
    expect![[r#"
        # revision 1
        [versions]
        "team.house-a" = 0

        [team.house-a]
    "#]]
    .assert_eq(&text);
    let file = fixture.write("a.toml", &format!("{text}contact = 'ann'\n"));
    expect![[r#"
        [team.house-a]
        + contact: "ann"
    "#]]
    .assert_eq(&fixture.run_ok("house-a-key", &["document", "diff", &file]));
    let apply_command = ["document", "apply", &file, "--transaction-id", "t1"];
    expect!["revision 2: team.house-a\n"].assert_eq(&fixture.run_ok("house-a-key", &apply_command));
    expect!["revision 2: nothing changed\n"]
        .assert_eq(&fixture.run_ok("house-a-key", &apply_command));
    fixture.assert_fails(
        "house-a-key",
        &["document", "apply", &file],
        3,
        &expect![[r#"
            rhubarbctl: 4003 SectionVersionConflict (not run): section team.house-a: edited from version 0, current version is 2
              revision 2 by team house-a:
                + contact: "ann"
        "#]],
    );
    let history = fixture.run_json("operator-key", &["document", "history", "--since", "1"]);
    assert_eq!(history[0]["author"], "team house-a");
    let between = fixture.run_ok("operator-key", &["document", "diff", "--from", "1"]);
    assert!(
        between.ends_with("[team.house-a]\n+ contact: \"ann\"\n"),
        "{between}"
    );
    let shown = ["document", "show", "--section", "team.house-a"];
    let shown = fixture.run_ok("house-a-key", &[&shown[..], &["--version", "2"]].concat());
    assert!(shown.contains("\"team.house-a\" = 2\n"), "{shown}");
}

#[test]
fn exit_codes_state_why_a_change_is_refused() {
    let fixture = Fixture::new();
    let other_team_file = fixture.write("b.toml", "versions.'team.house-b' = 0\n[team.house-b]\n");
    fixture.assert_fails(
        "house-a-key",
        &["document", "apply", &other_team_file],
        4,
        &expect![[r#"
            rhubarbctl: 4004 SectionForbidden (not run): this key may not edit section team.house-b
        "#]],
    );
    let unknown_field_file = fixture.write("bad.toml", "versions.fleet = 1\n[fleet]\nx = 1\n");
    fixture.assert_fails(
        "operator-key",
        &["document", "check", &unknown_field_file],
        2,
        &expect![[r#"
            rhubarbctl: DIR/bad.toml:
            line 3, column 1: fleet.x: unknown field
        "#]],
    );
    fixture.assert_fails(
        "wrong",
        &["team", "list"],
        4,
        &expect![[r#"
            rhubarbctl: 4006 OperatorKeyRefused (not run): The key is not an operator's or a team's key.
        "#]],
    );
    fixture.assert_fails(
        "operator-key",
        &["team", "show", "nobody"],
        2,
        &expect![[r#"
            rhubarbctl: no team is named nobody
        "#]],
    );
    let own_section_file = fixture.write(
        "a.toml",
        "versions.'team.house-a' = 0\n[team.house-a]\ncontact = 'x'\n",
    );
    let lost_answer = Fault::new(FaultMode::DropResponse).service(PlatformService::Table);
    fixture.platform.add_fault(lost_answer.writes_only(true));
    let apply_command = [
        "document",
        "apply",
        &own_section_file,
        "--transaction-id",
        "t1",
    ];
    assert_eq!(
        fixture.run("house-a-key", &apply_command).status.code(),
        Some(0),
        "the retry finds the change already recorded"
    );
    let table_down = Fault::new(FaultMode::Down).service(PlatformService::Table);
    fixture.platform.clear_faults();
    fixture.platform.add_fault(table_down);
    let refused = fixture.run(
        "operator-key",
        &["pool", "set", "labels-pool", "--min-vms", "2"],
    );
    assert_eq!(
        refused.status.code(),
        Some(1),
        "the platform's table is unavailable"
    );
    let endpoint = ["--endpoint", "127.0.0.1:1", "status"];
    assert_eq!(
        fixture.run("operator-key", &endpoint).status.code(),
        Some(6)
    );
}

#[test]
fn a_key_is_granted_used_and_withdrawn() {
    let fixture = Fixture::new();
    let grant_command = ["key", "grant", "kiosk", "--team", "house-a"];
    let granted = fixture.run_json("operator-key", &grant_command);
    let key = granted["key"].as_str().expect("the key is printed");
    fixture.run_ok(key, &["document", "show"]);
    let listed = fixture.run_ok("operator-key", &["key", "list"]);
    let is_kiosk = |line: &&str| line.starts_with("kiosk  ");
    assert_eq!(listed.lines().filter(is_kiosk).count(), 1, "{listed}");
    assert!(!listed.contains(key));
    fixture.run_ok("operator-key", &["key", "withdraw", "kiosk"]);
    assert_eq!(
        fixture.run(key, &["document", "show"]).status.code(),
        Some(4)
    );
    let pepper = fixture.write(
        "entry.toml",
        &format!("secrets.key_pepper = '{KEY_PEPPER}'\n"),
    );
    let new_key = fixture.run_json("", &["key", "new", "--settings", &pepper]);
    let digest = new_key["digest"].as_str().expect("the digest is printed");
    let key = new_key["key"].as_str().expect("the key is printed");
    let pepper = KEY_PEPPER.parse().expect("the pepper is valid");
    assert_eq!(
        digest,
        rhubarbfall_document::digest_key(&pepper, key).to_string()
    );
    let by_team = fixture.run("house-a-key", &grant_command);
    assert_eq!(by_team.status.code(), Some(4));
    expect![[r#"
        LABEL         OWNER          DIGEST
        operator-key  operator duty  5f7c4958
        house-a-key   team house-a   8dc41bc6
        house-b-key   team house-b   9f89aa51
    "#]]
    .assert_eq(&fixture.run_ok("operator-key", &["key", "list"]));
}

#[test]
fn limits_and_budgets_are_set_and_listed() {
    let fixture = Fixture::new();
    let set_command = ["team", "set", "house-b", "--upper-limit-slots", "5"];
    expect!["revision 2: fleet\n"].assert_eq(&fixture.run_ok("operator-key", &set_command));
    let set_command = ["pool", "set", "spare-pool", "--max-unavailable-vms", "3"];
    expect!["revision 3: fleet\n"].assert_eq(&fixture.run_ok("operator-key", &set_command));
    expect![[r#"
        TEAM     UPPER LIMIT (SLOTS)  SHARE WEIGHT
        house-a  16                   2
        house-b  5                    1
        public   4                    1
    "#]]
    .assert_eq(&fixture.run_ok("house-a-key", &["team", "list"]));
    expect![[r#"
        POOL        MAX UNAVAILABLE (VMS)  MIN (VMS)
        spare-pool  3                      0

        SERVICE  SLOTS  CONNECTIONS  TIMEOUT (MS)
    "#]]
    .assert_eq(&fixture.run_ok("operator-key", &["pool", "show", "spare-pool"]));
    let status = fixture.run_json("operator-key", &["status"]);
    assert_eq!(
        (&status["newest"], &status["entries"][0]["revision"]),
        (&3.into(), &3.into())
    );
    let entries = fixture.run_ok("operator-key", &["entry", "list"]);
    assert!(entries.contains("zone-a"), "{entries}");
    fixture.run_ok("operator-key", &["upstream", "drain", "zone-a-labels-0"]);
    let shown = fixture.run_json("operator-key", &["document", "show", "--section", "fleet"]);
    let drained = &shown["document"]["fleet"]["drained_upstreams"];
    assert_eq!(drained, &serde_json::json!(["zone-a-labels-0"]));
    fixture.run_ok("operator-key", &["upstream", "resume", "zone-a-labels-0"]);
    fixture.run_ok("operator-key", &["upstream", "list"]);
    assert_eq!(fixture.run_json("operator-key", &["state"])["entry"], "e1");
}

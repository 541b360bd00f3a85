//! The command line as a process of its own, against an entry and a stand-in platform.

// The snapshot library writes the hashes.
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

const PROGRAM: &str = env!("CARGO_BIN_EXE_rhubarbctl");

struct Fixture {
    operators: SocketAddr,
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
        let platform = platform.expect("the stand-in starts");
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
        let operators = entry.addresses().operators;
        let first = TestRequest::new(Method::PUT, operators, "/v1/document")
            .key("operator-key")
            .header("x-transaction-id", "first")
            .body(TEST_DOCUMENT);
        let answer = runtime
            .block_on(Caller::new().send(first))
            .expect("an answer");
        assert!(answer.status.is_success(), "{:?}", answer.body);
        Self {
            operators,
            platform,
            directory: TempDir::new().expect("a directory"),
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
        let config = format!("endpoint = '{}'\nkey = '{key}'\n", self.operators);
        let config = self.write("ctl.toml", &config);
        let mut command = Command::new(PROGRAM);
        command.args(["--config", &config]).args(arguments);
        command.output().expect("the program runs")
    }

    fn ok(&self, key: &str, arguments: &[&str]) -> String {
        let output = self.run(key, arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{arguments:?}: {errors}");
        String::from_utf8(output.stdout).expect("the output is text")
    }

    fn json(&self, key: &str, arguments: &[&str]) -> Value {
        let text = self.ok(key, &[arguments, &["--json"]].concat());
        serde_json::from_str(&text).expect("the output is JSON")
    }

    fn fails(&self, key: &str, arguments: &[&str], code: i32, expected: &Expect) {
        let output = self.run(key, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}");
        let errors = String::from_utf8(output.stderr).expect("the output is text");
        let directory = self.directory.path().display().to_string();
        expected.assert_eq(&errors.replace(&directory, "DIR"));
    }
}

#[test]
fn a_section_is_edited_in_a_file_and_applied() {
    let fixture = Fixture::new();
    let file = fixture.path("a.toml");
    let section = ["--section", "team.house-a"];
    fixture.ok(
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
    .assert_eq(&fixture.ok("house-a-key", &["document", "diff", &file]));
    let apply = ["document", "apply", &file, "--transaction-id", "t1"];
    expect!["revision 2: team.house-a\n"].assert_eq(&fixture.ok("house-a-key", &apply));
    expect!["revision 2: nothing changed\n"].assert_eq(&fixture.ok("house-a-key", &apply));
    fixture.fails(
        "house-a-key",
        &["document", "apply", &file],
        3,
        &expect![[r#"
            rhubarbctl: 4003 SectionVersionConflict (not run): section team.house-a: edited 0, in force is 2
              revision 2 by team house-a:
                + contact: "ann"
        "#]],
    );
    let history = fixture.json("operator-key", &["document", "history", "--since", "1"]);
    assert_eq!(history[0]["author"], "team house-a");
    let between = fixture.ok("operator-key", &["document", "diff", "--from", "1"]);
    assert!(
        between.ends_with("[team.house-a]\n+ contact: \"ann\"\n"),
        "{between}"
    );
    let shown = ["document", "show", "--section", "team.house-a"];
    let shown = fixture.ok("house-a-key", &[&shown[..], &["--version", "2"]].concat());
    assert!(shown.contains("\"team.house-a\" = 2\n"), "{shown}");
}

#[test]
fn exit_codes_tell_why_a_change_is_refused() {
    let fixture = Fixture::new();
    let foreign = fixture.write("b.toml", "versions.'team.house-b' = 0\n[team.house-b]\n");
    fixture.fails(
        "house-a-key",
        &["document", "apply", &foreign],
        4,
        &expect![[r#"
            rhubarbctl: 4004 SectionForbidden (not run): section team.house-b belongs to somebody else
        "#]],
    );
    let bad = fixture.write("bad.toml", "versions.fleet = 1\n[fleet]\nx = 1\n");
    fixture.fails(
        "operator-key",
        &["document", "check", &bad],
        2,
        &expect![[r#"
            rhubarbctl: DIR/bad.toml:
            line 3, column 1: fleet.x: no field has this name
        "#]],
    );
    fixture.fails(
        "wrong",
        &["team", "list"],
        4,
        &expect![[r#"
            rhubarbctl: 4006 OperatorKeyRefused (not run): The key is not an operator's or a team's key.
        "#]],
    );
    fixture.fails(
        "operator-key",
        &["team", "show", "nobody"],
        2,
        &expect![[r#"
            rhubarbctl: no team is named nobody
        "#]],
    );
    let own = fixture.write(
        "a.toml",
        "versions.'team.house-a' = 0\n[team.house-a]\ncontact = 'x'\n",
    );
    let lose = Fault::new(FaultMode::DropResponse).service(PlatformService::Table);
    fixture.platform.add_fault(lose.writes_only(true));
    let apply = ["document", "apply", &own, "--transaction-id", "t1"];
    assert_eq!(
        fixture.run("house-a-key", &apply).status.code(),
        Some(0),
        "the repeat finds it"
    );
    let down = Fault::new(FaultMode::Down).service(PlatformService::Table);
    fixture.platform.clear_faults();
    fixture.platform.add_fault(down);
    let refused = fixture.run(
        "operator-key",
        &["pool", "set", "labels-pool", "--min-vms", "2"],
    );
    assert_eq!(refused.status.code(), Some(1), "the table does not answer");
    let endpoint = ["--endpoint", "127.0.0.1:1", "status"];
    assert_eq!(
        fixture.run("operator-key", &endpoint).status.code(),
        Some(6)
    );
}

#[test]
fn a_key_is_granted_used_and_withdrawn() {
    let fixture = Fixture::new();
    let grant = ["key", "grant", "kiosk", "--team", "house-a"];
    let granted = fixture.json("operator-key", &grant);
    let key = granted["key"].as_str().expect("the key is printed");
    fixture.ok(key, &["document", "show"]);
    let listed = fixture.ok("operator-key", &["key", "list"]);
    let is_kiosk = |line: &&str| line.starts_with("kiosk  ");
    assert_eq!(listed.lines().filter(is_kiosk).count(), 1, "{listed}");
    assert!(!listed.contains(key));
    fixture.ok("operator-key", &["key", "withdraw", "kiosk"]);
    assert_eq!(
        fixture.run(key, &["document", "show"]).status.code(),
        Some(4)
    );
    let pepper = fixture.write(
        "entry.toml",
        &format!("secrets.key_pepper = '{KEY_PEPPER}'\n"),
    );
    let new_key = fixture.json("", &["key", "new", "--settings", &pepper]);
    let digest = new_key["digest"].as_str().expect("the digest is printed");
    let key = new_key["key"].as_str().expect("the key is printed");
    let pepper = KEY_PEPPER.parse().expect("the pepper is valid");
    assert_eq!(
        digest,
        rhubarbfall_document::digest_key(&pepper, key).to_string()
    );
    let by_team = fixture.run("house-a-key", &grant);
    assert_eq!(by_team.status.code(), Some(4));
    expect![[r#"
        LABEL         OWNER          DIGEST
        operator-key  operator duty  5f7c4958
        house-a-key   team house-a   8dc41bc6
        house-b-key   team house-b   9f89aa51
    "#]]
    .assert_eq(&fixture.ok("operator-key", &["key", "list"]));
}

#[test]
fn limits_and_budgets_are_set_and_listed() {
    let fixture = Fixture::new();
    let set = ["team", "set", "house-b", "--upper-limit-slots", "5"];
    expect!["revision 2: fleet\n"].assert_eq(&fixture.ok("operator-key", &set));
    let set = ["pool", "set", "spare-pool", "--max-unavailable-vms", "3"];
    expect!["revision 3: fleet\n"].assert_eq(&fixture.ok("operator-key", &set));
    expect![[r#"
        TEAM     UPPER LIMIT (SLOTS)  SHARE WEIGHT
        house-a  16                   2
        house-b  5                    1
        public   4                    1
    "#]]
    .assert_eq(&fixture.ok("house-a-key", &["team", "list"]));
    expect![[r#"
        POOL        MAY BE UNAVAILABLE (VMS)  KEEPS (VMS)
        spare-pool  3                         0

        SERVICE  SLOTS  CONNECTIONS  TIMEOUT (MS)
    "#]]
    .assert_eq(&fixture.ok("operator-key", &["pool", "show", "spare-pool"]));
    let status = fixture.json("operator-key", &["status"]);
    assert_eq!(
        (&status["newest"], &status["entries"][0]["revision"]),
        (&3.into(), &3.into())
    );
    let entries = fixture.ok("operator-key", &["entry", "list"]);
    assert!(entries.contains("zone-a"), "{entries}");
    fixture.ok("operator-key", &["upstream", "drain", "zone-a-labels-0"]);
    let shown = fixture.json("operator-key", &["document", "show", "--section", "fleet"]);
    let drained = &shown["document"]["fleet"]["drained_upstreams"];
    assert_eq!(drained, &serde_json::json!(["zone-a-labels-0"]));
    fixture.ok("operator-key", &["upstream", "resume", "zone-a-labels-0"]);
    fixture.ok("operator-key", &["upstream", "list"]);
    assert_eq!(fixture.json("operator-key", &["state"])["entry"], "e1");
}

//! Tests of the settings parser: valid settings, the list of faults, and damaged text.

// `expect_test` writes raw strings with hashes when it updates a snapshot.
#![allow(clippy::needless_raw_string_hashes)]

use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rhubarbfall_core::ResultCode;
use rhubarbfall_entry::Settings;

const EXAMPLE: &str = "\
[entry]
id = 'zone-a-entry-1'
availability_zone = 'zone-a'
region = 'west'
rack = 'zone-a-rack-1'
[listen]
callers = '127.0.0.1:7001'
operators = '127.0.0.1:7002'
peers = '127.0.0.1:7003'
[platform]
table = '127.0.0.1:7100'
objects = '127.0.0.1:7100'
vms = '127.0.0.1:7100'
[secrets]
fleet_key = '0123456789abcdef'
key_pepper = 'fedcba9876543210'
[traffic]
threads = 4
";

#[test]
fn example_is_valid() {
    let settings = Settings::parse(EXAMPLE).expect("the example settings are valid");
    assert_eq!(settings.traffic.threads, 4);
    assert_eq!(settings.control.freshness_bound_ms, 5_000);
}

#[test]
fn every_fault_is_listed_with_line_and_key() {
    let text = "\
[entry]
id = 'zone a'
region = 'west'
rak = 'r1'
[listen]
callers = '127.0.0.1'
operators = 7002
[platform]
table = '127.0.0.1:7100'
timeout_ms = 0
[secrets]
fleet_key = 'short'
[traffic]
threads = 0
max_body_bytes = -5
[control]
document_poll_ms = 6000
vm_list_poll_ms = 'often'
[log]
format = 'xml'
level = 'loud'
[trafic]
threads = 2
";
    let error = Settings::parse(text).expect_err("settings with faults are rejected");
    assert_eq!(error.code(), ResultCode::SettingsInvalid);
    expect![[r#"
        line 1, column 2: entry.availability_zone: this field is missing
        line 1, column 2: entry.rack: this field is missing
        line 2, column 6: entry.id: identifiers have letters, digits, '-', '_', '.' and ':', not ' '
        line 4, column 1: entry.rak: unknown field `rak`, expected one of `id`, `availability_zone`, `region`, `rack`
        line 5, column 2: listen.peers: this field is missing
        line 6, column 11: listen.callers: invalid socket address syntax
        line 7, column 13: listen.operators: invalid type: integer `7002`, expected socket address
        line 8, column 2: platform.objects: this field is missing
        line 8, column 2: platform.vms: this field is missing
        line 10, column 1: platform.timeout_ms: must be at least 1
        line 11, column 2: secrets.key_pepper: this field is missing
        line 12, column 13: secrets.fleet_key: the secret must have at least 16 bytes, this one has 5
        line 14, column 1: traffic.threads: must be at least 1
        line 15, column 18: traffic.max_body_bytes: invalid value: integer `-5`, expected usize
        line 17, column 1: control.document_poll_ms: must be below control.freshness_bound_ms
        line 18, column 19: control.vm_list_poll_ms: invalid type: string "often", expected u64
        line 20, column 10: log.format: unknown variant `xml`, expected `json` or `text`
        line 21, column 1: log.level: must be off, error, warn, info, debug or trace
        line 22, column 2: trafic: no section has this name"#]].assert_eq(&error.to_string());
}

#[test]
fn syntax_faults_are_listed_with_line_and_column() {
    let error = Settings::parse("[entry\nid = \n").expect_err("invalid TOML is rejected");
    assert_eq!(error.code(), ResultCode::SettingsSyntax);
    expect!["line 1, column 7: unclosed table, expected `]`"].assert_eq(&error.to_string());
}

proptest! {
    #![proptest_config(Config {
        cases: 128,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn damaged_settings_never_panic(start in 0..EXAMPLE.len(), length in 0..30_usize, text in "\\PC{0,6}") {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let end = (start + length).min(bytes.len());
        bytes.splice(start..end, text.into_bytes());
        let damaged = String::from_utf8_lossy(&bytes);
        if let Err(error) = Settings::parse(&damaged) {
            prop_assert!(error.to_string().starts_with("line "));
        }
    }
}

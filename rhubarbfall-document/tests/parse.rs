//! Parsing of valid, invalid and arbitrary texts.

// `expect_test` writes the hashes when it updates a snapshot.
#![allow(clippy::needless_raw_string_hashes)]

use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rhubarbfall_document::{Document, DocumentDraft, SectionId};

const EXAMPLE: &str = include_str!("example.toml");

fn config() -> Config {
    Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn canonical_text_of_the_example() {
    let document = Document::parse(EXAMPLE).expect("the example is valid");
    let text = document.to_toml();
    assert_eq!(
        Document::parse(&text).expect("canonical text is valid"),
        document
    );
    let json = serde_json::to_string(&document).expect("serializing a document to JSON succeeds");
    assert_eq!(
        serde_json::from_str::<Document>(&json).expect("the JSON is valid"),
        document
    );
    expect![[r#"
        revision = 0

        [fleet]
        drained_upstreams = ["zone-a-labels-1", "zone-b-labels-2"]

        [[fleet.pool]]
        id = "labels-pool"
        max_unavailable_vms = 2
        min_vms = 6

        [[fleet.pool]]
        id = "sorting-pool"
        max_unavailable_vms = 1
        min_vms = 0

        [[fleet.service]]
        id = "labels"
        pool = "labels-pool"
        slots_per_upstream = 8
        connections_per_upstream = 64
        answer_timeout_ms = 5000

        [[fleet.queue]]
        id = "health"
        service = "labels"
        max_waiting_per_team = 10

        [fleet.queue.access]
        open-as = "house-a"

        [[fleet.queue]]
        id = "labels-urgent"
        service = "labels"
        max_waiting_per_team = 200

        [fleet.queue.access]
        teams = ["house-a", "house-b"]

        [[fleet.team]]
        id = "house-a"
        upper_limit_slots = 60
        share_weight = 2

        [[fleet.team]]
        id = "house-b"
        upper_limit_slots = 30
        share_weight = 1

        [[keys.key]]
        digest = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
        label = "house-a kiosk"
        team = "house-a"

        [[keys.key]]
        digest = "8899aabbccddeeff00112233445566778899aabbccddeeff0011223344556677"
        label = "ann's key"
        operator = "ann"

        [team.house-a]
        contact = "labels@house-a.example"

        [team.house-a.queue_weights]
        labels-urgent = 3
    "#]]
    .assert_eq(&text);
}

#[test]
fn every_fault_is_listed_with_line_and_column() {
    let text = r#"
revison = 3
[[fleet.pool]]
id = "labels pool"
max_unavailable_vms = "two"
[[fleet.pool]]
id = "sorting"
max_unavailable_vms = 2
min_vm = 4
[[fleet.service]]
id = "labels"
pool = "missing"
slots_per_upstream = 0
connections_per_upstream = 64
answer_timeout_ms = -1
[[fleet.queue]]
id = "labels-urgent"
service = "label"
access = { teams = ["house-a", "house-z", "house-a"] }
max_waiting_per_team = 100
max_waiting = 3
[[fleet.queue]]
id = "labels-urgent"
service = "labels"
access = { everybody = true }
max_waiting_per_team = 100
[[fleet.team]]
id = "house-a"
upper_limit_slots = 40
share_weight = 0
[[keys.key]]
digest = "12"
label = "first"
team = "house-a"
[[keys.key]]
digest = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
label = "second"
team = "house-a"
operator = "ann"
[team.house-q]
contact = ""
[team.house-a.queue_weights]
nothing = 2
"#;
    let error = Document::parse(text).expect_err("the text has faults");
    expect![[r#"
        line 2, column 1: revison: unknown field
        line 4, column 6: fleet.pool[0].id: identifiers have letters, digits, '-', '_', '.' and ':', not ' '
        line 5, column 23: fleet.pool[0].max_unavailable_vms: invalid type: string "two", expected u32
        line 9, column 1: fleet.pool[1].min_vm: unknown field
        line 12, column 1: fleet.service[0].pool: no pool is named missing
        line 13, column 1: fleet.service[0].slots_per_upstream: 0 is not between 1 and 10000
        line 15, column 21: fleet.service[0].answer_timeout_ms: invalid value: integer `-1`, expected u64
        line 18, column 1: fleet.queue[0].service: no service is named label
        line 19, column 1: fleet.queue[0].access: no team is named house-z
        line 19, column 1: fleet.queue[0].access: team house-a is listed twice
        line 21, column 1: fleet.queue[0].max_waiting: unknown field
        line 23, column 1: fleet.queue[1].id: labels-urgent is used twice
        line 25, column 12: fleet.queue[1].access: unknown variant `everybody`, expected `open-as` or `teams`
        line 30, column 1: fleet.team[0].share_weight: 0 is not between 1 and 1000000
        line 32, column 10: keys.key[0].digest: a digest must have 64 hexadecimal digits, this one has 2
        line 35, column 1: keys.key[1]: a key must have exactly one of `team` and `operator`
        line 40, column 7: team.house-q: no team is named house-q
        line 41, column 1: team.house-q.contact: must have between 1 and 128 bytes
        line 43, column 1: team.house-a.queue_weights.nothing: no queue is named nothing"#]].assert_eq(&error.to_string());
}

#[test]
fn syntax_faults_are_all_listed() {
    let error = Document::parse("[fleet\nrevision = = 3\nx = 'a\n")
        .expect_err("the text is not valid TOML");
    assert!(error.is_syntax);
    expect![[r#"
        line 1, column 7: unclosed table, expected `]`
        line 2, column 12: extra `=`, expected nothing
        line 2, column 14: unexpected key or value, expected newline, `#`"#]]
    .assert_eq(&error.to_string());
}

#[test]
fn the_text_of_a_section_contains_no_other_section() {
    let document = Document::parse(EXAMPLE).expect("the example is valid");
    for id in document.section_ids() {
        let text = document.sections_to_toml(std::slice::from_ref(&id));
        let draft = DocumentDraft::parse(&text).expect("canonical text is valid");
        let sections: Vec<_> = draft.sections().collect();
        assert_eq!(sections, [(&id, &document.section(&id))]);
    }
    let empty = Document::default().sections_to_toml(&[SectionId::Fleet]);
    assert_eq!(empty, "[fleet]\n");
}

#[test]
fn unknown_fields_are_rejected_in_json_too() {
    let queue =
        r#"{"id":"q","service":"s","access":{"open-as":"a"},"max_waiting_per_team":1,"x":1}"#;
    assert!(serde_json::from_str::<rhubarbfall_document::QueueSpec>(queue).is_err());
    let digest = "ab".repeat(32);
    let key = format!(r#"{{"digest":"{digest}","team":"a","label":"l","x":1}}"#);
    assert!(serde_json::from_str::<rhubarbfall_document::KeySpec>(&key).is_err());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = DocumentDraft::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn damaged_documents_never_panic(at in 0..EXAMPLE.len(), length in 0..40_usize, text in "\\PC{0,6}") {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let end = (at + length).min(bytes.len());
        bytes.splice(at..end, text.into_bytes());
        let damaged = String::from_utf8_lossy(&bytes);
        if let Err(error) = Document::parse(&damaged) {
            prop_assert!(!error.faults.is_empty());
            let lines = damaged.lines().count() as u32 + 1;
            prop_assert!(error.faults.iter().all(|f| f.position.is_some_and(|p| p.line <= lines)));
        }
    }

    #[test]
    fn random_fields_never_panic(text in "((\\[\\[?(fleet|keys|team)(\\.(pool|key|a))?\\]\\]?|(id|digest|versions|access) = (1|'a'|\\{\\}|\\[\\]))\n){0,12}") {
        let _ = Document::parse(&text);
    }
}

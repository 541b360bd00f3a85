//! Decisions on changes: permissions, base versions, repeated submissions and planned rows.

// `expect_test` writes the hashes when it updates a snapshot.
#![allow(clippy::needless_raw_string_hashes)]

use std::sync::Arc;

use expect_test::expect;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rhubarbfall_core::{LiteMap, RowVersion, SectionVersion};
use rhubarbfall_document::{
    ChangeError, ChangeOutcome, DocumentChange, DocumentDraft, DocumentState, KeyOwner,
    NextRevision, PlannedTransaction, RowsError, SectionId, TableRow, accept, accept_first,
    section_row_key,
};
use serde_json::Value;

const EXAMPLE: &str = include_str!("example.toml");

/// A minimal table in memory.
#[derive(Debug, Clone, Default)]
struct Rows(LiteMap<Arc<str>, (RowVersion, Option<Value>)>);

impl Rows {
    fn version(&self, key: &str) -> RowVersion {
        match self.0.get(key) {
            Some((version, Some(_))) => *version,
            _ => RowVersion::default(),
        }
    }

    fn apply(&mut self, transaction: &PlannedTransaction) -> bool {
        let holds = |c: &rhubarbfall_document::PlannedCondition| self.version(&c.key) == c.version;
        if !transaction.conditions.iter().all(holds) {
            return false;
        }
        for write in &transaction.writes {
            let last = self.0.get(&write.key).map(|row| row.0).unwrap_or_default();
            let row = (last.next(), write.value.clone());
            self.0.insert(Arc::clone(&write.key), row);
        }
        true
    }

    fn state(&self) -> Result<DocumentState, RowsError> {
        DocumentState::from_rows(self.0.iter().filter_map(|(key, (version, value))| {
            Some(TableRow {
                key: Arc::clone(key),
                version: *version,
                value: value.clone()?,
            })
        }))
    }
}

fn operator() -> KeyOwner {
    KeyOwner::Operator(Arc::from("ann"))
}

fn team(name: &str) -> KeyOwner {
    KeyOwner::Team(name.parse().expect("the name is a valid identifier"))
}

fn change(owner: KeyOwner, id: &str, text: &str) -> DocumentChange {
    DocumentChange {
        owner,
        transaction_id: Arc::from(id),
        draft: DocumentDraft::parse(text).expect("the text is valid"),
        now_unix_ms: 7,
    }
}

fn initial_state() -> (Rows, DocumentState) {
    let first = change(operator(), "0", EXAMPLE);
    let Ok(ChangeOutcome::Next(next)) = accept_first(&DocumentState::default(), &first) else {
        panic!("the example is valid");
    };
    let mut rows = Rows::default();
    assert!(rows.apply(&next.transaction));
    let repeat = accept_first(&next.state, &first);
    assert!(matches!(repeat, Ok(ChangeOutcome::AlreadyAccepted(_))));
    (rows, next.state)
}

fn next(state: &DocumentState, change: &DocumentChange) -> NextRevision {
    match accept(state, change) {
        Ok(ChangeOutcome::Next(next)) => *next,
        other => panic!("expected a next revision, got {other:?}"),
    }
}

#[test]
fn rows_restore_the_state() {
    let (mut rows, state) = initial_state();
    assert_eq!(rows.state().as_ref(), Ok(&state));
    let edit = change(
        team("house-b"),
        "1",
        "[versions]\n'team.house-b' = 0\n[team.house-b]\ncontact = 'b'",
    );
    let next = next(&state, &edit);
    assert!(rows.apply(&next.transaction));
    assert_eq!(rows.state(), Ok(next.state));
}

#[test]
fn a_team_cannot_edit_another_section() {
    let (_, state) = initial_state();
    let text = "[versions]\n'team.house-a' = 1\nfleet = 1\n[fleet]\n[team.house-a]\ncontact = 'b'";
    let rejected = accept(&state, &change(team("house-b"), "1", text))
        .expect_err("the key may not edit these sections");
    expect![[r#"
        this key may not edit section fleet
        this key may not edit section team.house-a
    "#]]
    .assert_eq(&rejected.to_string());
}

#[test]
fn only_one_of_two_concurrent_edits_of_a_section_is_accepted() {
    let (mut rows, state) = initial_state();
    let edit = |id: &str, contact: &str| {
        let text = format!("[versions]\n'team.house-a' = 1\n[team.house-a]\ncontact = '{contact}'");
        change(team("house-a"), id, &text)
    };
    let (first, second) = (edit("1", "one"), edit("2", "two"));
    assert!(rows.apply(&next(&state, &first).transaction));
    assert!(
        !rows.apply(&next(&state, &second).transaction),
        "the head row has changed since"
    );
    let state = rows.state().expect("the rows are consistent");
    let conflict = accept(&state, &second).expect_err("the section has changed since");
    expect![[r#"
        section team.house-a: edited from version 1, current version is 2
          revision 2 by team house-a:
            ~ contact: "labels@house-a.example" -> "one"
            - queue_weights.labels-urgent: 3
    "#]]
    .assert_eq(&conflict.to_string());
}

#[test]
fn concurrent_edits_of_two_sections_are_both_accepted() {
    let (mut rows, state) = initial_state();
    let a = change(
        team("house-a"),
        "1",
        "[versions]\n'team.house-a' = 1\n[team.house-a]",
    );
    let b = change(
        team("house-b"),
        "1",
        "[versions]\n'team.house-b' = 0\n[team.house-b]\ncontact = 'b'",
    );
    assert!(rows.apply(&next(&state, &a).transaction));
    assert!(!rows.apply(&next(&state, &b).transaction));
    let state = rows.state().expect("the rows are consistent");
    assert!(
        rows.apply(&next(&state, &b).transaction),
        "the change succeeds on the new head row"
    );
}

#[test]
fn an_operator_removes_a_team_with_its_section() {
    let (mut rows, state) = initial_state();
    let without_b = EXAMPLE.replace(", \"house-b\"", "");
    let cut = without_b.find("[[fleet.team]]").expect("teams are listed");
    let house_a = without_b
        .find("[[fleet.team]]\nid = \"house-a\"")
        .expect("house-a is listed");
    let end = without_b.find("[[keys.key]]").expect("keys are listed");
    let b = change(
        team("house-b"),
        "1",
        "[versions]\n'team.house-b' = 0\n[team.house-b]\ncontact = 'b'",
    );
    assert!(rows.apply(&next(&state, &b).transaction));
    let state = rows.state().expect("the rows are consistent");
    let text = format!(
        "versions.fleet = 1\n{}{}",
        &without_b[..cut],
        &without_b[house_a..end]
    );
    let removed = next(&state, &change(operator(), "2", &text));
    assert!(rows.apply(&removed.transaction));
    assert_eq!(rows.state(), Ok(removed.state.clone()));
    assert_eq!(
        removed
            .state
            .version(&"team.house-b".parse().expect("the name is valid"))
            .get(),
        0
    );
}

#[test]
fn a_fault_outside_the_text_has_no_position() {
    let (_, state) = initial_state();
    let rejected = accept(
        &state,
        &change(operator(), "1", "versions.fleet = 1\n[fleet]"),
    );
    let Err(ChangeError::Invalid(error)) = rejected else {
        panic!("expected an invalid document, got {rejected:?}");
    };
    expect![[r#"
        in a section outside this text: keys.key[0].team: no team is named house-a"#]]
    .assert_eq(&error.to_string());
}

#[test]
fn rows_of_two_revisions_are_rejected() {
    let (rows, state) = initial_state();
    let edit = change(
        team("house-a"),
        "1",
        "[versions]\n'team.house-a' = 1\n[team.house-a]",
    );
    let mut newer = rows.clone();
    assert!(newer.apply(&next(&state, &edit).transaction));
    for key in ["document/head", "document/section/team.house-a"] {
        let mut mixed = newer.clone();
        let old = rows.0.get(key).expect("the row exists").clone();
        mixed.0.insert(Arc::from(key), old);
        assert!(
            matches!(mixed.state(), Err(RowsError::RevisionMismatch(_))),
            "{key}"
        );
    }
}

#[test]
fn the_head_row_stays_small() {
    let (mut rows, mut state) = initial_state();
    for index in 0..40_u64 {
        let base = state.version(&"team.house-a".parse().expect("the name is valid"));
        let text =
            format!("[versions]\n'team.house-a' = {base}\n[team.house-a]\ncontact = '{index}'");
        let next = next(&state, &change(team("house-a"), &index.to_string(), &text));
        assert!(rows.apply(&next.transaction));
        state = next.state;
    }
    let (_, head) = rows.0.get("document/head").expect("the row exists");
    // Two polls per second with HTTP headers must take at most a quarter of a node's 8 KB/s.
    assert!(head.as_ref().map_or(0, |head| head.to_string().len()) <= 700);
    assert_eq!(state.history.len(), 41);
}

#[derive(Debug, Clone)]
struct Step {
    team: usize,
    base_offset: u64,
    contact: u8,
    id: u8,
    uses_stale_state: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..2_usize, 0..3_u64, 0..4_u8, 0..40_u8, any::<bool>()).prop_map(
        |(team, base_offset, contact, id, uses_stale_state)| Step {
            team,
            base_offset,
            contact,
            id,
            uses_stale_state,
        },
    );
    prop::collection::vec(step, 1..40)
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn damaged_rows_never_panic(at in 0..4000_usize, length in 0..30_usize, text in "[0-9a-z\"{}\\[\\]:,-]{0,6}") {
        let (rows, _) = initial_state();
        for (key, (version, value)) in &rows.0 {
            let mut json = serde_json::to_vec(value).expect("serializing a value to JSON succeeds");
            let start = at % json.len();
            let end = (start + length).min(json.len());
            json.splice(start..end, text.bytes());
            let Ok(value) = serde_json::from_slice(&json) else {
                continue;
            };
            let mut damaged = rows.clone();
            damaged.0.insert(Arc::clone(key), (*version, value));
            if let Ok(state) = damaged.state() {
                prop_assert!(state.document.revision.get() <= 1 || &**key == "document/head");
            }
        }
    }

    #[test]
    fn an_acceptance_never_lowers_a_version(steps in steps()) {
        let (mut rows, mut state) = initial_state();
        let mut stale = state.clone();
        for step in steps {
            let name = ["house-a", "house-b"][step.team];
            let section: SectionId = format!("team.{name}").parse().expect("the name is valid");
            let base = state.version(&section).get().saturating_sub(step.base_offset);
            let text = format!("[versions]\n'{section}' = {base}\n[team.{name}]\ncontact = 'c{}'", step.contact);
            let change = change(team(name), &step.id.to_string(), &text);
            let observed = if step.uses_stale_state { &stale } else { &state };
            let Ok(ChangeOutcome::Next(next)) = accept(observed, &change) else {
                continue;
            };
            let is_applied = rows.apply(&next.transaction);
            prop_assert_eq!(is_applied, observed == &state);
            if !is_applied {
                continue;
            }
            prop_assert_eq!(next.state.document.revision, state.document.revision.next());
            for (section, version) in &state.versions {
                prop_assert!(next.state.version(section) >= *version);
            }
            let version = SectionVersion::new(next.state.document.revision.get());
            prop_assert_eq!(next.state.version(&section), version);
            let repeat = accept(&next.state, &change);
            prop_assert!(matches!(repeat, Ok(ChangeOutcome::AlreadyAccepted(_))));
            let row = |id: SectionId| {
                let key = section_row_key(&id);
                let (version, value) = rows.0.get(&key).cloned().unwrap_or_default();
                (id, value.map(|value| TableRow { key, version, value }))
            };
            let changed = next.state.head.changed_since(state.document.revision);
            let changed = changed.expect("the head row lists the newest revision");
            let caught_up = DocumentState::catch_up(
                &state.document,
                &next.state.head,
                changed.into_iter().map(row),
            );
            prop_assert_eq!(caught_up.as_ref(), Ok(&next.state.document));
            stale = std::mem::replace(&mut state, next.state);
            let read = rows.state();
            prop_assert_eq!(read.as_ref(), Ok(&state));
        }
    }
}

//! Time to parse, check, change and print a document, and to look up a key, by number of teams.

use std::fmt::Write;
use std::hint::black_box;

use divan::Bencher;
use divan::counter::BytesCount;
use rhubarbfall_document::{
    ChangeOutcome, Document, DocumentChange, DocumentDraft, DocumentState, KeyOwner, Pepper,
    accept, accept_first, digest_key,
};

const TEAM_COUNTS: &[usize] = &[6, 70, 140, 280, 560];

fn main() {
    divan::main();
}

fn pepper() -> Pepper {
    "0123456789abcdef0123456789abcdef"
        .parse()
        .expect("the pepper is long enough")
}

fn document_text(teams: usize) -> String {
    let mut text = String::from("[[fleet.pool]]\nid = 'labels'\nmax_unavailable_vms = 2\n");
    text.push_str("[[fleet.service]]\nid = 'labels'\npool = 'labels'\nslots_per_upstream = 8\n");
    text.push_str("connections_per_upstream = 64\nanswer_timeout_ms = 5000\n");
    let mut keys = String::new();
    let mut sections = String::new();
    for team in 0..teams {
        let digest = digest_key(&pepper(), format!("rhk-{team}"));
        write!(
            text,
            "[[fleet.queue]]\nid = 'labels-{team}'\nservice = 'labels'\n\
             access = {{ teams = ['house-{team}'] }}\nmax_waiting_per_team = 100\n\
             [[fleet.team]]\nid = 'house-{team}'\nupper_limit_slots = 40\nshare_weight = 1\n"
        )
        .expect("writing to a string succeeds");
        write!(
            keys,
            "[[keys.key]]\ndigest = '{digest}'\nlabel = 'key {team}'\nteam = 'house-{team}'\n"
        )
        .expect("writing to a string succeeds");
        write!(
            sections,
            "[team.house-{team}]\ncontact = 'x'\nqueue_weights = {{ labels-{team} = 2 }}\n"
        )
        .expect("writing to a string succeeds");
    }
    text + &keys + &sections
}

#[divan::bench(args = TEAM_COUNTS)]
fn parse_and_check(bencher: Bencher<'_, '_>, teams: usize) {
    let text = document_text(teams);
    bencher
        .counter(BytesCount::of_str(text.as_str()))
        .bench(|| Document::parse(black_box(&text)));
}

#[divan::bench(args = TEAM_COUNTS)]
fn digest_and_find_key(bencher: Bencher<'_, '_>, teams: usize) {
    let document = Document::parse(&document_text(teams)).expect("the text is valid");
    let pepper = pepper();
    bencher.bench(|| {
        let digest = digest_key(&pepper, black_box("rhk-3"));
        document.key(&digest).is_some()
    });
}

#[divan::bench(args = TEAM_COUNTS)]
fn accept_one_section(bencher: Bencher<'_, '_>, teams: usize) {
    let change = |owner: KeyOwner, text: &str| DocumentChange {
        owner,
        transaction_id: "t".into(),
        draft: DocumentDraft::parse(text).expect("the text is valid"),
        now_unix_ms: 0,
    };
    let first = change(KeyOwner::Operator("duty".into()), &document_text(teams));
    let Ok(ChangeOutcome::Next(first)) = accept_first(&DocumentState::default(), &first) else {
        panic!("the text is valid");
    };
    let edit = "[versions]\n'team.house-3' = 1\n[team.house-3]\ncontact = 'y'";
    let owner = KeyOwner::Team("house-3".parse().expect("the name is a valid identifier"));
    let edit = change(owner, edit);
    bencher.bench(|| accept(black_box(&first.state), black_box(&edit)).is_ok());
}

#[divan::bench(args = TEAM_COUNTS)]
fn canonical_text(bencher: Bencher<'_, '_>, teams: usize) {
    let document = Document::parse(&document_text(teams)).expect("the text is valid");
    let length = document.to_toml().len();
    bencher
        .counter(BytesCount::new(length))
        .bench(|| black_box(&document).to_toml());
}

use std::sync::Arc;

use clap::ArgMatches;
use rhubarbfall_core::{Revision, TeamId};
use rhubarbfall_document::{AccessKey, Document, KeyDigest, KeyOwner, KeySpec, SectionId};
use serde::Serialize;

use super::document::change_text;
use super::fleet_edit::edit_section;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::report::Report;
use crate::settings::usage;
use crate::text_table::TextTable;

/// A granted key, printed once and kept nowhere.
#[derive(Debug, Serialize)]
struct GrantedKey {
    label: Arc<str>,
    owner: KeyOwner,
    key: String,
    revision: Revision,
}

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    report: Report,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "grant" => grant(client, matches, report).await,
        "withdraw" => withdraw(client, matches, report).await,
        _ => list(client, report).await,
    }
}

async fn grant(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let label: Arc<str> = Arc::from(label(matches));
    let owner = owner(matches);
    let given = matches.get_one::<AccessKey>("new-key").cloned();
    let key = given.unwrap_or_else(|| AccessKey::generate(&mut rand::rng()));
    let digest = client.key_digest(&key).await?.digest;
    let spec = KeySpec {
        digest,
        owner: owner.clone(),
        label: Arc::clone(&label),
    };
    let add = |document: &mut Document| {
        add_key(document, &spec, digest);
        Ok(())
    };
    let granted = edit_section(client, matches, &SectionId::Keys, add).await;
    if let Err(error @ CtlError::Unknown(..)) = &granted {
        eprintln!("{error} --new-key {}", key.reveal());
    }
    let granted = GrantedKey {
        label,
        owner,
        key: key.reveal().to_owned(),
        revision: granted?.revision,
    };
    report.print(&granted, |granted| {
        let (key, owner) = (&granted.key, &granted.owner);
        format!(
            "{key}\ngranted to {owner} in revision {}; it is shown only now\n",
            granted.revision
        )
    })
}

/// Adds a key, unless an earlier try has.
fn add_key(document: &mut Document, spec: &KeySpec, digest: KeyDigest) {
    if document.key(&digest).is_none() {
        document.keys.keys.push(spec.clone());
    }
}

async fn withdraw(client: &Client, matches: &ArgMatches, report: Report) -> Result<(), CtlError> {
    let label = label(matches);
    let remove = |document: &mut Document| {
        let keys = &mut document.keys.keys;
        let before = keys.len();
        keys.retain(|key| *key.label != *label);
        if keys.len() == before {
            return Err(usage(format!("no key is named {label:?}")));
        }
        Ok(())
    };
    let answer = edit_section(client, matches, &SectionId::Keys, remove).await?;
    report.print(&answer, change_text)
}

async fn list(client: &Client, report: Report) -> Result<(), CtlError> {
    let view = client.document().await?;
    report.print(&view.document.keys.keys, |keys| {
        let mut table = TextTable::new(&["label", "owner", "digest"]);
        for key in keys {
            table = table.row([
                key.label.to_string(),
                key.owner.to_string(),
                key.digest.short(),
            ]);
        }
        table.to_string()
    })
}

fn label(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("label")
        .expect("the label is required")
}

fn owner(matches: &ArgMatches) -> KeyOwner {
    if let Some(team) = matches.get_one::<TeamId>("team") {
        return KeyOwner::Team(team.clone());
    }
    let operator = matches.get_one::<String>("operator");
    KeyOwner::Operator(Arc::from(operator.map_or("", String::as_str)))
}

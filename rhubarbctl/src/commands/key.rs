use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use clap::ArgMatches;
use rhubarbfall_core::{Revision, TeamId};
use rhubarbfall_document::{
    AccessKey, Document, KeyDigest, KeyOwner, KeySpec, Pepper, SectionId, digest_key,
};
use serde::{Deserialize, Serialize};

use super::document::change_summary;
use super::section_edit::edit_section;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::settings::usage_error;
use crate::text_table::TextTable;

/// A granted key. It is printed once; the document stores only its digest.
#[derive(Debug, Serialize)]
struct GrantedKey {
    label: Arc<str>,
    owner: KeyOwner,
    key: String,
    revision: Revision,
}

/// A generated key that is not granted yet.
#[derive(Debug, Serialize)]
struct NewKey {
    key: String,
    digest: KeyDigest,
}

/// Part of an entry's settings: the pepper for key digests.
#[derive(Debug, Deserialize)]
struct PepperSettings {
    secrets: Secrets,
}

#[derive(Debug, Deserialize)]
struct Secrets {
    key_pepper: Pepper,
}

/// Returns whether the command runs without contacting an entry.
pub(super) fn needs_no_entry(matches: &ArgMatches) -> bool {
    matches!(matches.subcommand(), Some(("new", _)))
}

/// Generates a key and its digest for the first document, whose keys no entry can grant.
pub(super) fn generate_key(matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let (_, matches) = matches.subcommand().expect("a subcommand is required");
    let path: &PathBuf = matches
        .get_one("settings")
        .expect("the settings are required");
    let text = fs::read_to_string(path).map_err(|error| CtlError::File(path.clone(), error))?;
    let settings: PepperSettings = toml::from_str(&text)
        .map_err(|error| usage_error(format!("{}: {}", path.display(), error.message())))?;
    let key = AccessKey::generate(&mut rand::rng());
    let new_key = NewKey {
        digest: digest_key(&settings.secrets.key_pepper, key.reveal()),
        key: key.reveal().to_owned(),
    };
    printer.print(&new_key, |new_key| {
        format!("{}\ndigest = \"{}\"\n", new_key.key, new_key.digest)
    })
}

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "grant" => grant(client, matches, printer).await,
        "withdraw" => withdraw(client, matches, printer).await,
        _ => list(client, printer).await,
    }
}

async fn grant(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let label: Arc<str> = Arc::from(label(matches));
    let owner = owner(matches);
    let given_key = matches.get_one::<AccessKey>("new-key").cloned();
    let key = given_key.unwrap_or_else(|| AccessKey::generate(&mut rand::rng()));
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
    if let Err(error @ CtlError::UnknownOutcome(..)) = &granted {
        eprintln!("{error} --new-key {}", key.reveal());
    }
    let granted = GrantedKey {
        label,
        owner,
        key: key.reveal().to_owned(),
        revision: granted?.revision,
    };
    printer.print(&granted, |granted| {
        let (key, owner) = (&granted.key, &granted.owner);
        format!(
            "{key}\ngranted to {owner} in revision {}; the key cannot be shown again\n",
            granted.revision
        )
    })
}

/// Adds a key unless an earlier attempt has added it.
fn add_key(document: &mut Document, spec: &KeySpec, digest: KeyDigest) {
    if document.key(&digest).is_none() {
        document.keys.keys.push(spec.clone());
    }
}

async fn withdraw(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let label = label(matches);
    let remove = |document: &mut Document| {
        let keys = &mut document.keys.keys;
        let before = keys.len();
        keys.retain(|key| *key.label != *label);
        if keys.len() == before {
            return Err(usage_error(format!("no key has the label {label:?}")));
        }
        Ok(())
    };
    let response = edit_section(client, matches, &SectionId::Keys, remove).await?;
    printer.print(&response, change_summary)
}

async fn list(client: &Client, printer: Printer) -> Result<(), CtlError> {
    let view = client.document().await?;
    printer.print(&view.document.keys.keys, |keys| {
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

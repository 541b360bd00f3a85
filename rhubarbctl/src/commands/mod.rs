//! Implementation of the commands, one module per group.

mod document;
mod key;
mod observe;
mod pool;
mod section_edit;
mod team;
mod upstream;
mod wave;

use clap::ArgMatches;

use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::settings::ConnectionSettings;

/// Runs the command in `matches`.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let printer = Printer::new(matches.get_flag("json"));
    let (command, matches) = matches.subcommand().expect("a subcommand is required");
    if command == "document" && document::needs_no_entry(matches) {
        return document::check_complete_document(matches, printer);
    }
    if command == "key" && key::needs_no_entry(matches) {
        return key::generate_key(matches, printer);
    }
    let client = Client::new(ConnectionSettings::from_matches(matches)?);
    match command {
        "document" => document::run(&client, matches, printer).await,
        "key" => key::run(&client, matches, printer).await,
        "team" => team::run(&client, matches, printer).await,
        "pool" => pool::run(&client, matches, printer).await,
        "entry" | "status" => observe::status(&client, command, printer).await,
        "wave" => wave::run(&client, matches, printer).await,
        "move" => wave::move_vm(&client, matches, printer).await,
        "explain" => wave::explain(&client, matches, printer).await,
        "upstream" => upstream::run(&client, matches, printer).await,
        _ => observe::state(&client, printer).await,
    }
}

/// Returns the identifier of a change: `--transaction-id`, or a new random one.
fn transaction_id(matches: &ArgMatches) -> String {
    let given_id = matches.get_one::<String>("transaction-id").cloned();
    given_id.unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>()))
}

//! One module a group of commands.

mod document;
mod fleet_edit;
mod key;
mod observe;
mod pool;
mod team;
mod upstream;
mod wave;

use clap::ArgMatches;

use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::report::Report;
use crate::settings::Settings;

/// Runs the command that was given.
pub(crate) async fn run(matches: &ArgMatches) -> Result<(), CtlError> {
    let report = Report::new(matches.get_flag("json"));
    let (group, matches) = matches.subcommand().expect("a subcommand is required");
    if group == "document" && document::needs_no_entry(matches) {
        return document::check_whole(matches, report);
    }
    if group == "key" && key::needs_no_entry(matches) {
        return key::make_key(matches, report);
    }
    let client = Client::new(Settings::from_matches(matches)?);
    match group {
        "document" => document::run(&client, matches, report).await,
        "key" => key::run(&client, matches, report).await,
        "team" => team::run(&client, matches, report).await,
        "pool" => pool::run(&client, matches, report).await,
        "entry" | "status" => observe::status(&client, group, report).await,
        "wave" => wave::run(&client, matches, report).await,
        "move" => wave::move_vm(&client, matches, report).await,
        "explain" => wave::explain(&client, matches, report).await,
        "upstream" => upstream::run(&client, matches, report).await,
        _ => observe::state(&client, report).await,
    }
}

/// Returns the identifier of a change: the one that was given, or a new one.
fn transaction_id(matches: &ArgMatches) -> String {
    let given = matches.get_one::<String>("transaction-id").cloned();
    given.unwrap_or_else(|| format!("ctl-{:032x}", rand::random::<u128>()))
}

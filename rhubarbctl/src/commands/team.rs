use clap::ArgMatches;
use rhubarbfall_core::{ShareWeight, Slots, TeamId};
use rhubarbfall_document::{Document, SectionId, TeamSection, TeamSpec};
use serde::Serialize;

use super::document::change_summary;
use super::section_edit::edit_section;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::settings::usage_error;
use crate::text_table::TextTable;

/// A team's limits with the team's own section of the document.
#[derive(Debug, Serialize)]
struct TeamView {
    #[serde(flatten)]
    spec: TeamSpec,
    section: TeamSection,
}

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "list" => list(client, printer).await,
        "show" => show(client, id(matches), printer).await,
        _ => set(client, matches, printer).await,
    }
}

async fn list(client: &Client, printer: Printer) -> Result<(), CtlError> {
    let view = client.document().await?;
    printer.print(&view.document.fleet.teams, |teams| {
        teams_table(teams.iter()).to_string()
    })
}

async fn show(client: &Client, id: &TeamId, printer: Printer) -> Result<(), CtlError> {
    let document = client.document().await?.document;
    let spec = document.team(id).cloned();
    let spec = spec.ok_or_else(|| usage_error(format!("no team is named {id}")))?;
    let section = document.teams.get(id).cloned().unwrap_or_default();
    printer.print(&TeamView { spec, section }, |view| {
        let section = SectionId::Team(id.clone());
        let section_toml = document.sections_to_toml(std::slice::from_ref(&section));
        format!(
            "{}\n{section_toml}",
            teams_table(std::iter::once(&view.spec))
        )
    })
}

async fn set(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let change = |document: &mut Document| set_team(document, matches);
    let response = edit_section(client, matches, &SectionId::Fleet, change).await?;
    printer.print(&response, change_summary)
}

fn set_team(document: &mut Document, matches: &ArgMatches) -> Result<(), CtlError> {
    let id = id(matches);
    let limit = matches.get_one::<Slots>("upper-limit-slots").copied();
    let weight = matches.get_one::<ShareWeight>("share-weight").copied();
    let teams = &mut document.fleet.teams;
    if let Some(team) = teams.iter_mut().find(|team| team.id == *id) {
        team.upper_limit_slots = limit.unwrap_or(team.upper_limit_slots);
        team.share_weight = weight.unwrap_or(team.share_weight);
        return Ok(());
    }
    let (Some(upper_limit_slots), Some(share_weight)) = (limit, weight) else {
        return Err(usage_error(format!(
            "team {id} does not exist; to create it, set --upper-limit-slots and --share-weight"
        )));
    };
    teams.push(TeamSpec {
        id: id.clone(),
        upper_limit_slots,
        share_weight,
    });
    Ok(())
}

fn teams_table<'a>(teams: impl Iterator<Item = &'a TeamSpec>) -> TextTable {
    let table = TextTable::new(&["team", "upper limit (slots)", "share weight"]);
    teams.fold(table, |table, team| {
        table.row([
            team.id.to_string(),
            team.upper_limit_slots.to_string(),
            team.share_weight.to_string(),
        ])
    })
}

fn id(matches: &ArgMatches) -> &TeamId {
    matches.get_one("id").expect("the identifier is required")
}

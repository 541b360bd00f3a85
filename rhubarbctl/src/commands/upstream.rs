use clap::ArgMatches;
use rhubarbfall_core::UpstreamId;
use rhubarbfall_document::{Document, SectionId};

use super::document::change_summary;
use super::section_edit::edit_section;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::text_table::TextTable;

pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    match name {
        "drain" => set_drained(client, matches, true, printer).await,
        "resume" => set_drained(client, matches, false, printer).await,
        _ => list(client, printer).await,
    }
}

async fn set_drained(
    client: &Client,
    matches: &ArgMatches,
    is_drained: bool,
    printer: Printer,
) -> Result<(), CtlError> {
    let id: &UpstreamId = matches.get_one("id").expect("the identifier is required");
    let change = |document: &mut Document| {
        let drained = &mut document.fleet.drained_upstreams;
        drained.retain(|drained| drained != id);
        if is_drained {
            drained.push(id.clone());
        }
        Ok(())
    };
    let response = edit_section(client, matches, &SectionId::Fleet, change).await?;
    printer.print(&response, change_summary)
}

async fn list(client: &Client, printer: Printer) -> Result<(), CtlError> {
    let upstreams = client.upstreams().await?;
    printer.print(&upstreams, |upstreams| {
        let headings = [
            "upstream",
            "service",
            "availability zone",
            "state",
            "running",
        ];
        let mut table = TextTable::new(&headings);
        for upstream in upstreams {
            let service = upstream.service.as_ref();
            table = table.row([
                upstream.id.to_string(),
                service.map_or_else(|| "-".to_owned(), ToString::to_string),
                upstream.availability_zone.to_string(),
                upstream.state.to_string(),
                upstream.running_slots.to_string(),
            ]);
        }
        table.to_string()
    })
}

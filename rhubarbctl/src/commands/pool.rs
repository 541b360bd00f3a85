use clap::ArgMatches;
use rhubarbfall_core::{PoolId, VmCount};
use rhubarbfall_document::{Document, PoolSpec, SectionId, ServiceSpec};
use serde::Serialize;

use super::document::change_summary;
use super::section_edit::edit_section;
use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::settings::usage_error;
use crate::text_table::TextTable;

/// A pool with the services that run on its VMs.
#[derive(Debug, Serialize)]
struct PoolView {
    #[serde(flatten)]
    spec: PoolSpec,
    services: Vec<ServiceSpec>,
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
    printer.print(&view.document.fleet.pools, |pools| {
        pools_table(pools.iter()).to_string()
    })
}

async fn show(client: &Client, id: &PoolId, printer: Printer) -> Result<(), CtlError> {
    let document = client.document().await?.document;
    let spec = document.pool(id).cloned();
    let spec = spec.ok_or_else(|| usage_error(format!("no pool is named {id}")))?;
    let mut services = document.fleet.services;
    services.retain(|service| service.pool == *id);
    printer.print(&PoolView { spec, services }, |view| {
        let mut table = TextTable::new(&["service", "slots", "connections", "timeout (ms)"]);
        for service in &view.services {
            table = table.row([
                service.id.to_string(),
                service.slots_per_upstream.to_string(),
                service.connections_per_upstream.to_string(),
                service.answer_timeout_ms.to_string(),
            ]);
        }
        format!("{}\n{table}", pools_table(std::iter::once(&view.spec)))
    })
}

async fn set(client: &Client, matches: &ArgMatches, printer: Printer) -> Result<(), CtlError> {
    let change = |document: &mut Document| set_pool(document, matches);
    let response = edit_section(client, matches, &SectionId::Fleet, change).await?;
    printer.print(&response, change_summary)
}

fn set_pool(document: &mut Document, matches: &ArgMatches) -> Result<(), CtlError> {
    let id = id(matches);
    let budget = matches.get_one::<VmCount>("max-unavailable-vms").copied();
    let min_vms = matches.get_one::<VmCount>("min-vms").copied();
    let pools = &mut document.fleet.pools;
    if let Some(pool) = pools.iter_mut().find(|pool| pool.id == *id) {
        pool.max_unavailable_vms = budget.unwrap_or(pool.max_unavailable_vms);
        pool.min_vms = min_vms.unwrap_or(pool.min_vms);
        return Ok(());
    }
    let Some(max_unavailable_vms) = budget else {
        return Err(usage_error(format!(
            "pool {id} does not exist; to create it, set --max-unavailable-vms"
        )));
    };
    pools.push(PoolSpec {
        id: id.clone(),
        max_unavailable_vms,
        min_vms: min_vms.unwrap_or_default(),
    });
    Ok(())
}

fn pools_table<'a>(pools: impl Iterator<Item = &'a PoolSpec>) -> TextTable {
    let table = TextTable::new(&["pool", "max unavailable (VMs)", "min (VMs)"]);
    pools.fold(table, |table, pool| {
        table.row([
            pool.id.to_string(),
            pool.max_unavailable_vms.to_string(),
            pool.min_vms.to_string(),
        ])
    })
}

fn id(matches: &ArgMatches) -> &PoolId {
    matches.get_one("id").expect("the identifier is required")
}

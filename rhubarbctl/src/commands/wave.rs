//! The `wave` commands, `explain` and `move`.

use clap::ArgMatches;
use rhubarbfall_core::{PoolId, VmId, WaveId};
use rhubarbfall_fleet::api::{Explanation, VmMove, WaveStatusChange, WaveView};
use rhubarbfall_fleet::{Decision, PlannedVm, StopReason, WaveStatus};

use crate::client::Client;
use crate::ctl_error::CtlError;
use crate::printer::Printer;
use crate::text_table::TextTable;

/// Runs a command of the group `wave`.
pub(super) async fn run(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let (command, matches) = matches.subcommand().expect("a subcommand is required");
    if command == "list" {
        let waves = client.waves().await?;
        return printer.print(&waves, |waves| waves_table(waves).to_string());
    }
    let wave = matches.get_one::<WaveId>("id").expect("required");
    match command {
        "show" => show(client, wave, printer).await,
        "plan" => {
            let plan = client.wave_plan(wave).await?;
            printer.print(&plan, |plan| plan_table(plan).to_string())
        }
        "pause" => set_status(client, wave, WaveStatus::Paused, printer).await,
        "resume" => set_status(client, wave, WaveStatus::Running, printer).await,
        _ => {
            let reason = StopReason::Operator;
            set_status(client, wave, WaveStatus::Stopped { reason }, printer).await
        }
    }
}

/// Prints the rows of a VM, pool, team or wave and the decisions about it.
pub(super) async fn explain(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let argument = |name: &str| matches.get_one::<String>(name).expect("required");
    let explanation = client.explain(argument("kind"), argument("id")).await?;
    printer.print(&explanation, explanation_text)
}

/// Requests the move of a VM to a pool.
pub(super) async fn move_vm(
    client: &Client,
    matches: &ArgMatches,
    printer: Printer,
) -> Result<(), CtlError> {
    let change = VmMove {
        vm: matches.get_one::<VmId>("vm").expect("required").clone(),
        pool: matches.get_one::<PoolId>("pool").expect("required").clone(),
    };
    let change = client.move_vm(&change).await?;
    printer.print(&change, |change| {
        format!(
            "requested the move of {} to pool {}\n",
            change.vm, change.pool
        )
    })
}

async fn show(client: &Client, wave: &WaveId, printer: Printer) -> Result<(), CtlError> {
    let waves = client.waves().await?;
    let found = waves.into_iter().find(|view| view.row.wave == *wave);
    let found = found.ok_or_else(|| CtlError::Usage(format!("no wave is named {wave}")))?;
    printer.print(&found, |view| {
        waves_table(std::slice::from_ref(view)).to_string()
    })
}

async fn set_status(
    client: &Client,
    wave: &WaveId,
    status: WaveStatus,
    printer: Printer,
) -> Result<(), CtlError> {
    let wave = wave.clone();
    let row = client
        .set_wave_status(&WaveStatusChange { wave, status })
        .await?;
    printer.print(&row, |row| {
        format!("{} is {}\n", row.wave, status_text(&row.status))
    })
}

fn status_text(status: &WaveStatus) -> String {
    match status {
        WaveStatus::Running => "running".to_owned(),
        WaveStatus::Paused => "paused".to_owned(),
        WaveStatus::Stopped { reason } => format!("stopped: {reason}"),
    }
}

fn waves_table(waves: &[WaveView]) -> TextTable {
    let headings = [
        "wave",
        "announced",
        "rebooting",
        "rebooted",
        "done",
        "failed",
        "status",
    ];
    waves.iter().fold(TextTable::new(&headings), |table, view| {
        table.row([
            view.row.wave.to_string(),
            view.announced_vms.to_string(),
            view.rebooting_vms.to_string(),
            view.rebooted_vms.to_string(),
            view.row.done_vms.to_string(),
            view.row.all_failed_vms().to_string(),
            status_text(&view.row.status),
        ])
    })
}

fn plan_table(plan: &[PlannedVm]) -> TextTable {
    let headings = ["vm", "availability zone", "rack", "pool", "in", "reason"];
    plan.iter()
        .fold(TextTable::new(&headings), |table, planned| {
            table.row([
                planned.vm.to_string(),
                planned.zone.to_string(),
                planned.rack.to_string(),
                planned.pool.to_string(),
                format!("{} s", planned.starts_in_s),
                planned.reason.to_string(),
            ])
        })
}

fn explanation_text(explanation: &Explanation) -> String {
    let mut lines = Vec::new();
    if let Some(vm) = &explanation.vm {
        let generation = vm.generation;
        lines.push(format!(
            "pool {}, {:?}, generation {generation}",
            vm.pool, vm.state
        ));
        lines.extend(vm.decision.as_ref().map(decision_line));
    }
    if let Some(pool) = &explanation.pool {
        lines.push(format!(
            "unavailable VMs: {} planned, {} unplanned, {} allowed in total",
            pool.permits.len(),
            pool.unplanned_vms(),
            pool.budget.max_unavailable_vms
        ));
    }
    if let Some(wave) = &explanation.wave {
        lines.push(status_text(&wave.status));
    }
    lines.extend(explanation.decisions.iter().map(decision_line));
    let planned = explanation.plan.iter();
    lines.extend(planned.map(|planned| format!("{}: {}", planned.vm, planned.reason)));
    if lines.is_empty() {
        lines.push("no decision is recorded".to_owned());
    }
    lines.join("\n") + "\n"
}

fn decision_line(decision: &Decision) -> String {
    let at = std::time::UNIX_EPOCH + std::time::Duration::from_millis(decision.last_unix_ms);
    format!("{}: {}", httpdate::fmt_http_date(at), decision.reason)
}

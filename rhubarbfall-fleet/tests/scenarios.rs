//! Scripted scenarios: each line drives a simulated fleet in virtual time or prints its state.

mod harness;

use std::time::Duration;

use datadriven::{TestCase, walk};
use harness::{Fleet, RebootOutcome, Shape};
use rhubarbfall_core::{VmId, WaveId};
use rhubarbfall_fleet::{FleetTimings, SizerPolicy, Subject, VmRowState, WavePolicy};

const TICK: Duration = Duration::from_secs(1);

#[test]
fn scenarios() {
    walk("tests/scenarios", |file| {
        let mut fleet = None;
        file.run(|case| run(&mut fleet, case));
    });
}

fn run(fleet: &mut Option<Fleet>, case: &mut TestCase) -> String {
    if case.directive == "fleet" {
        let shape = Shape::three_zones(case.take_arg("budget").expect("argument budget"));
        let timings = FleetTimings::default().longest_request(Duration::from_secs(15));
        *fleet = Some(Fleet::new(
            &shape,
            timings,
            WavePolicy::default(),
            SizerPolicy::default(),
            case.take_arg("seed").expect("argument seed"),
        ));
        return String::new();
    }
    let fleet = fleet.as_mut().expect("the first directive is fleet");
    let wave: WaveId = "wave-1".parse().expect("valid ID");
    match case.directive.as_str() {
        "announce" => fleet.announce_all(&wave, Duration::from_hours(6)),
        "run" => {
            let time = Duration::from_secs(case.take_arg("seconds").expect("argument seconds"));
            fleet.run(TICK, time, |_| false);
        }
        "table" => fleet.table_up = case.take_flag("up").expect("flag up"),
        "replace-holder" => fleet.replace_holder(case.take_arg("zone").expect("argument zone")),
        "health" => {
            let is_up = case.take_flag("up").expect("flag up");
            fleet.set_health(&vm(case), is_up);
        }
        "stays-down" => {
            let vm = vm(case);
            fleet.reboot_outcomes.insert(vm, RebootOutcome::StaysDown);
        }
        "reboot-without-permit" => fleet.reboot_without_permit(&vm(case)),
        "show" => return show(fleet, &wave),
        "explain" => return explain(fleet, &vm(case)),
        other => panic!("unknown directive: {other}"),
    }
    String::new()
}

fn vm(case: &mut TestCase) -> VmId {
    case.take_arg::<VmId>("vm").expect("argument vm")
}

fn show(fleet: &Fleet, wave: &WaveId) -> String {
    let mut lines = Vec::new();
    if let Some(row) = fleet.table.rows.waves.get(wave) {
        let row = &row.value;
        lines.push(format!(
            "granted {} done {} failed {} {:?}",
            row.granted_vms,
            row.done_vms,
            row.all_failed_vms(),
            row.status
        ));
    }
    for (pool, row) in &fleet.table.rows.pools {
        let permits: Vec<&str> = row.value.permits.keys().map(VmId::as_str).collect();
        let outages: Vec<&str> = row.value.outages.keys().map(VmId::as_str).collect();
        if !permits.is_empty() || !outages.is_empty() {
            let (permits, outages) = (permits.join(" "), outages.join(" "));
            lines.push(format!("{pool}: permits [{permits}] outages [{outages}]"));
        }
    }
    let rows = fleet.table.rows.vms.values();
    let out = rows.filter(|row| row.value.state != VmRowState::InService);
    lines.push(format!(
        "out of service {}, budget violations {}",
        out.count(),
        fleet.table.budget_violations
    ));
    lines.join("\n") + "\n"
}

fn explain(fleet: &Fleet, vm: &VmId) -> String {
    let zone = &fleet.row(vm).zone;
    let decisions = fleet
        .holder(zone)
        .reasons()
        .explain(&Subject::Vm(vm.clone()));
    let line = |decision: &rhubarbfall_fleet::Decision| {
        let (first, last) = (decision.first_unix_ms / 1000, decision.last_unix_ms / 1000);
        format!("{first}-{last} s: {}\n", decision.reason)
    };
    decisions.iter().map(line).collect()
}

//! Network partitions of four zones with two entries each, in virtual time. A partition must stop
//! keyed work only in zones that cannot prove their configuration to be the newest.
//!
//! Commands: `cut zone=N` (from other zones and the table), `cut-table zone=N`,
//! `cut-link from=N to=N` (one way), `table-up`, `table-down`, `heal`, `accept entry=N`,
//! `run seconds=N`, `flap seconds=N zone=N`. `run` and `flap` print for each zone the fewest
//! entries that admitted keyed work and the number that admit it at the end.

mod support;

use std::fmt::Write;
use std::time::Duration;

use datadriven::{TestCase, walk};
use support::{Fleet, Table};

const ZONES: usize = 4;
const ENTRIES_PER_ZONE: usize = 2;
const WARM_UP: Duration = Duration::from_secs(30);

/// How long a flapping zone stays cut off, and then connected.
const FLAP: Duration = Duration::from_secs(7);

fn number_argument(case: &TestCase, name: &str) -> usize {
    let values = case.args.get(name).and_then(|values| values.first());
    values
        .and_then(|value| value.parse().ok())
        .expect("the argument is a number")
}

fn run(fleet: &mut Fleet, seconds: usize, mut act: impl FnMut(&mut Fleet, usize)) -> String {
    let mut fewest = vec![usize::MAX; ZONES];
    for second in 0..seconds {
        act(fleet, second);
        fleet.run(Duration::from_secs(1));
        for (fewest, now) in fewest.iter_mut().zip(fleet.admitting_by_zone()) {
            *fewest = (*fewest).min(now);
        }
    }
    let mut text = format!("fewest {fewest:?} last {:?}\n", fleet.admitting_by_zone());
    let in_force = |node: &support::Node| node.gossip.freshness().in_force();
    let behind = fleet
        .nodes
        .iter()
        .filter(|node| in_force(node) < Some(fleet.revision));
    let behind = behind.count();
    if behind > 0 {
        writeln!(text, "{behind} entries behind").expect("writing to a string succeeds");
    }
    text
}

fn execute(fleet: &mut Fleet, case: &TestCase) -> String {
    match case.directive.as_str() {
        "cut" => fleet.cut_zones.push(number_argument(case, "zone")),
        "cut-table" => fleet.table_cut_zones.push(number_argument(case, "zone")),
        "cut-link" => fleet
            .cut_links
            .push((number_argument(case, "from"), number_argument(case, "to"))),
        "table-down" => fleet.table = Table::Down,
        "table-up" => fleet.table = Table::Up,
        "accept" => fleet.accept(number_argument(case, "entry")),
        "heal" => {
            fleet.cut_zones.clear();
            fleet.table_cut_zones.clear();
            fleet.cut_links.clear();
        }
        "run" => return run(fleet, number_argument(case, "seconds"), |_, _| {}),
        "flap" => {
            let zone = number_argument(case, "zone");
            return run(fleet, number_argument(case, "seconds"), |fleet, second| {
                let is_cut = (second as u64 / FLAP.as_secs()).is_multiple_of(2);
                fleet.cut_zones = if is_cut { vec![zone] } else { Vec::new() };
            });
        }
        other => panic!("unknown command {other}"),
    }
    String::new()
}

#[test]
fn partitions() {
    walk("tests/scenarios", |file| {
        let mut fleet = Fleet::new(ZONES, ENTRIES_PER_ZONE);
        fleet.run(WARM_UP);
        file.run(|case| execute(&mut fleet, case));
    });
}

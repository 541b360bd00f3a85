//! A fleet that is divided into cells, each with an owner of its own, by entries that run as separate
//! processes.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use rhubarbfall_core::{CellId, SubmissionId};
use rhubarbfall_runs::CellLayout;
use scheduler_process::{
    SchedulerEntry, WAIT_TIMEOUT, call, start_entry_with_settings, status_of, submit,
};
use stand_in::StandInSite;

const CELLS: u16 = 2;

/// Divides a fleet of eight workers in four racks into two cells.
const SETTINGS: &str = "min_divided_vms = 8\nvms_per_cell = 4\n";

async fn start_site(task_duration: Duration) -> StandInSite {
    StandInSite::start_in_racks(8, 4, task_duration).await
}

fn start_entries(site: &StandInSite, count: usize) -> Vec<SchedulerEntry> {
    let mut entries: Vec<SchedulerEntry> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = entries.iter().map(|entry| entry.addresses.peers).collect();
        let name = format!("entry-{number}");
        entries.push(start_entry_with_settings(
            site, site.store, &name, &seeds, SETTINGS,
        ));
    }
    entries
}

async fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Lists the VMs and waits until the fleet is divided.
async fn divide(site: &StandInSite) {
    site.list_vms();
    wait_until("the fleet is divided", || {
        site.has_row("cell", "c0", "layout")
    })
    .await;
    wait_until("each cell has an owner", || {
        (0..CELLS).all(|cell| site.has_row("cell", &format!("c{cell}"), "renewal"))
    })
    .await;
}

/// Returns identifiers of submissions that belong to a cell.
fn ids_of(cell: u16, first: u64, count: usize) -> Vec<String> {
    let layout = CellLayout::with_cells(CELLS);
    let is_in_cell = |id: &String| {
        let id: SubmissionId = id.parse().expect("valid identifier");
        layout.cell_of_submission(&id) == CellId::new(cell)
    };
    let ids = (first..).map(|number| format!("{number:016x}"));
    ids.filter(is_in_cell).take(count).collect()
}

async fn wait_completed(entry: &SchedulerEntry, id: &str) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = call(entry, Method::GET, &format!("/print/{id}"), "").await;
        if answer
            .as_ref()
            .is_some_and(|(_, body)| body.contains("completed"))
        {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{id} is not completed: {answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the index of the entry that gained the cell last, by the entries' logs.
fn owner_of(entries: &[SchedulerEntry], cell: u16) -> usize {
    let cell = format!("cell=c{cell}");
    let fence = |entry: &SchedulerEntry| {
        let log = std::fs::read_to_string(&entry.log).expect("the log can be read");
        let gained = log
            .lines()
            .filter_map(|line| line.split("event=ownership_gained fence=").nth(1));
        let of_cell = gained.filter(|rest| rest.split(' ').nth(1) == Some(cell.as_str()));
        let fences = of_cell.filter_map(|rest| rest.split(' ').next()?.parse::<u64>().ok());
        fences.max()
    };
    let owner = entries
        .iter()
        .enumerate()
        .max_by_key(|(_, entry)| fence(entry));
    owner.expect("an entry").0
}

/// Guards against submissions that are sent to, or looked up in, another cell than the one that has
/// them, and against workers that no cell or several cells use.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_of_all_cells_complete_through_any_entry() {
    let site = start_site(Duration::from_millis(150)).await;
    let entries = start_entries(&site, 3);
    divide(&site).await;
    let ids: Vec<String> = (0..CELLS).flat_map(|cell| ids_of(cell, 0xa0, 3)).collect();
    for (number, id) in ids.iter().enumerate() {
        submit(&[&entries[number % 3]], id).await;
    }
    for (number, id) in ids.iter().enumerate() {
        wait_completed(&entries[(number + 1) % 3], id).await;
    }
    assert_eq!(site.done().len(), 5 * ids.len(), "{:?}", site.done());
    assert_eq!(site.started().len(), 5 * ids.len(), "{:?}", site.started());
    // The racks belong to the cells in turn, and so do the workers.
    for span in site.spans() {
        let id = span
            .task
            .split('.')
            .next()
            .expect("an identifier")
            .to_owned();
        let id: SubmissionId = id.parse().expect("valid identifier");
        let cell = CellLayout::with_cells(CELLS).cell_of_submission(&id);
        assert_eq!(span.worker % 2, usize::from(cell.number()), "{span:?}");
    }
    for entry in &entries {
        let unknown = status_of(entry, Method::GET, "00000000000000ff", "").await;
        assert_eq!(unknown, 410);
        let pending = call(entry, Method::GET, "/print/", "").await;
        assert_eq!(
            pending,
            Some((StatusCode::OK, "{\"pending\":0}".to_owned()))
        );
    }
}

/// Guards against the loss of one owner that stops the work of other cells, or of its own for good.
#[tokio::test(flavor = "multi_thread")]
async fn loss_of_an_owner_leaves_other_cells_at_work() {
    let site = start_site(Duration::from_millis(300)).await;
    let mut entries = start_entries(&site, 4);
    divide(&site).await;
    let (lost, other) = (ids_of(0, 0x100, 2), ids_of(1, 0x100, 2));
    for id in [&lost[0], &other[0]] {
        submit(&[&entries[0], &entries[1]], id).await;
    }
    let (owner, other_owner) = (owner_of(&entries, 0), owner_of(&entries, 1));
    assert_ne!(owner, other_owner, "cells are spread over entries");
    entries[owner].child.kill().expect("the owner is killed");
    let survivor = &entries[other_owner];
    let began_at = Instant::now();
    let status = status_of(survivor, Method::POST, &other[1], scheduler_process::BODY).await;
    assert_eq!(status, 200);
    assert!(
        began_at.elapsed() < Duration::from_millis(900),
        "no takeover was waited for"
    );
    submit(&[survivor], &lost[1]).await;
    for id in lost.iter().chain(&other) {
        wait_completed(survivor, id).await;
    }
    let mut done = site.done();
    assert_eq!(done.len(), 20, "{done:?}");
    done.dedup();
    assert_eq!(done.len(), 20, "a task was done twice: {done:?}");
}

/// Guards against owners of new cells with lower fencing numbers than the owners from before the
/// division: workers would refuse their orders.
#[tokio::test(flavor = "multi_thread")]
async fn owners_of_new_cells_exceed_the_numbers_of_earlier_owners() {
    let site = start_site(Duration::from_millis(100)).await;
    let mut entries = start_entries(&site, 2);
    for round in 0..3 {
        let owned = || site.has_row("cell", "c0", "renewal");
        wait_until("the fleet has an owner", owned).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let owner = owner_of(&entries, 0);
        entries[owner].child.kill().expect("the owner is killed");
        let name = format!("entry-{}", round + 2);
        let seeds = [entries[1 - owner].addresses.peers];
        entries[owner] = start_entry_with_settings(&site, site.store, &name, &seeds, SETTINGS);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    divide(&site).await;
    let ids: Vec<String> = (0..CELLS).flat_map(|cell| ids_of(cell, 0xc0, 2)).collect();
    for id in &ids {
        submit(&[&entries[0], &entries[1]], id).await;
    }
    for id in &ids {
        wait_completed(&entries[0], id).await;
    }
    for entry in &entries {
        let fenced = entry.event_names(&["reason=fenced"]);
        assert!(fenced.is_empty(), "{fenced:?}");
    }
}

/// Returns how many tasks ran at the same time at most.
fn peak(site: &StandInSite) -> usize {
    let spans = site.spans();
    let running_at = |at_ms: u64| {
        let is_running = |span: &&stand_in::Span| {
            span.from_ms <= at_ms && span.to_ms.is_none_or(|to_ms| to_ms > at_ms)
        };
        spans.iter().filter(is_running).count()
    };
    spans
        .iter()
        .map(|span| running_at(span.from_ms))
        .max()
        .unwrap_or(0)
}

/// Guards against a customer's limit that is exceeded by cells together, or of which a cell cannot use
/// more than an equal part.
#[tokio::test(flavor = "multi_thread")]
async fn one_cell_can_use_the_whole_limit_of_a_customer_and_no_more() {
    let site = start_site(Duration::from_millis(400)).await;
    site.limit_cpu(9, 6_000);
    let entries = start_entries(&site, 2);
    divide(&site).await;
    let ids = ids_of(1, 0x200, 12);
    for id in &ids {
        submit(&[&entries[0]], id).await;
    }
    for id in &ids {
        wait_completed(&entries[1], id).await;
    }
    assert_eq!(
        peak(&site),
        6,
        "tasks of a core each under a limit of six cores"
    );
}

/// Guards against a fleet whose submissions are out of reach after a division: rows of an undivided
/// fleet are in the first cell.
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_with_submissions_is_not_divided() {
    let site = start_site(Duration::from_millis(100)).await;
    let entries = start_entries(&site, 2);
    let ids: Vec<String> = (0..CELLS).flat_map(|cell| ids_of(cell, 0xd0, 1)).collect();
    submit(&[&entries[0]], &ids[0]).await;
    submit(&[&entries[0]], &ids[1]).await;
    site.list_vms();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!site.has_row("cell", "c0", "layout"));
    for id in &ids {
        wait_completed(&entries[1], id).await;
    }
}

/// Guards against a divided fleet that is taken for an undivided one after all entries were lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_divided_fleet_stays_divided_after_the_loss_of_all_entries() {
    let site = start_site(Duration::from_millis(500)).await;
    let mut entries = start_entries(&site, 2);
    divide(&site).await;
    let ids: Vec<String> = (0..CELLS).flat_map(|cell| ids_of(cell, 0xe0, 2)).collect();
    for id in &ids {
        submit(&[&entries[0]], id).await;
    }
    for entry in &mut entries {
        entry.child.kill().expect("the entry is killed");
    }
    let entries = start_entries(&site, 2);
    for id in &ids {
        let status = status_of(&entries[0], Method::GET, id, "").await;
        assert!(
            status == 200 || status == 503,
            "{id} is known, or nothing is: {status}"
        );
        wait_completed(&entries[1], id).await;
    }
    let mut done = site.done();
    done.dedup();
    assert_eq!(done.len(), 5 * ids.len());
    assert_eq!(site.done().len(), done.len(), "a task was done twice");
}

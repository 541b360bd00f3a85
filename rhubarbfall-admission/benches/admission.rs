//! Cost of one admission decision by number of teams and queue length.

use std::time::{Duration, Instant};

use divan::{Bencher, black_box};
use rhubarbfall_admission::{
    Admission, AdmissionSettings, Completion, LedgerRow, Rights, RightsSettings, ServiceDemand,
    WorkClass, WorkRequest,
};
use rhubarbfall_core::{Incarnation, Revision, ServiceId, ShareWeight, Slots, TeamId};
use rhubarbfall_document::{Document, TeamSpec};

fn main() {
    divan::main();
}

fn service() -> ServiceId {
    "labels".parse().expect("the identifier is valid")
}

fn team(index: usize) -> TeamId {
    format!("team-{index}")
        .parse()
        .expect("the identifier is valid")
}

fn request(now: Instant, index: usize) -> WorkRequest {
    WorkRequest {
        team: team(index),
        queue: "labels-urgent".parse().expect("the identifier is valid"),
        service: service(),
        class: WorkClass::Urgent,
        deadline: now + Duration::from_mins(10),
    }
}

fn filled(now: Instant, teams: usize, waiting_per_team: usize) -> Admission {
    let entry = "entry-1".parse().expect("the identifier is valid");
    let rights = Rights::new(entry, Incarnation::new(1), RightsSettings::default());
    let settings = AdmissionSettings::default().max_waiting(u32::MAX);
    let mut admission = Admission::new(settings, rights);
    let mut document = Document {
        revision: Revision::new(1),
        ..Document::default()
    };
    document.fleet.teams = (0..teams)
        .map(|index| TeamSpec {
            id: team(index),
            upper_limit_slots: Slots::new(1_000),
            share_weight: ShareWeight::new(1),
        })
        .collect();
    admission.set_document(&document.sorted());
    for index in 0..teams {
        let id = team(index);
        for _ in 0..waiting_per_team {
            admission.submit(now, &request(now, index));
        }
        let rights = admission.rights_mut();
        let next = rights.plan(&id, &LedgerRow::default(), 1, &|_, _| false, now);
        rights.begin_write(&id, &next.expect("the plan acquires slots"));
        rights.finish_write(&id, true);
    }
    admission
}

/// Submits, starts and finishes one request.
#[divan::bench(args = [(6, 10), (70, 10), (560, 10), (560, 100), (560, 1_000)])]
fn admit_and_next(bencher: Bencher, (teams, waiting): (usize, usize)) {
    let now = Instant::now();
    let mut admission = filled(now, teams, waiting);
    let service = service();
    let requests: Vec<WorkRequest> = (0..teams).map(|index| request(now, index)).collect();
    let mut index = 0;
    bencher.bench_local(|| {
        index = (index + 1) % teams;
        black_box(admission.submit(now, &requests[index]));
        for ticket in admission.start_next(now, &service, 1) {
            admission.finish(now, ticket, Completion::Confirmed);
        }
    });
}

/// Recomputes the shares of one service over eleven zones.
#[divan::bench(args = [6, 70, 560])]
fn divide(bencher: Bencher, teams: usize) {
    let now = Instant::now();
    let mut admission = filled(now, teams, 10);
    let mut zone = ServiceDemand::default();
    for demand in admission.summary().values() {
        zone.add_all(demand);
    }
    zone.capacity_slots = 80;
    let others = vec![zone.clone(); 10];
    bencher.bench_local(|| admission.divide(now, &service(), &zone, &others));
}

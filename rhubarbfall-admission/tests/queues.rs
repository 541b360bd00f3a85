//! Bounds, priority classes, deadlines and cancellation of the queues at one entry.

use std::time::{Duration, Instant};

use rhubarbfall_admission::{
    Admission, AdmissionSettings, Completion, LedgerRow, Rights, RightsSettings, SubmitOutcome,
    Ticket, WorkClass, WorkRequest,
};
use rhubarbfall_core::{Incarnation, ResultCode, Revision, ServiceId, ShareWeight, Slots, TeamId};
use rhubarbfall_document::{Document, TeamSpec};

struct Fixture {
    now: Instant,
    admission: Admission,
}

fn service() -> ServiceId {
    "labels".parse().expect("the identifier is valid")
}

fn team() -> TeamId {
    "house-a".parse().expect("the identifier is valid")
}

impl Fixture {
    fn new(limit: u32, settings: AdmissionSettings) -> Self {
        let now = Instant::now();
        let entry = "entry-1".parse().expect("the identifier is valid");
        let rights = Rights::new(entry, Incarnation::new(1), RightsSettings::default());
        let mut admission = Admission::new(settings, rights);
        let mut document = Document {
            revision: Revision::new(1),
            ..Document::default()
        };
        document.fleet.teams = vec![TeamSpec {
            id: team(),
            upper_limit_slots: Slots::new(limit),
            share_weight: ShareWeight::new(1),
        }];
        admission.set_document(&document);
        let rights = admission.rights_mut();
        rights.set_waiting(&team(), 1);
        if let Some(next) = rights.plan(&team(), &LedgerRow::default(), 1, &|_, _| false, now) {
            rights.begin_write(&team(), &next);
            rights.finish_write(&team(), true);
        }
        rights.set_waiting(&team(), 0);
        Self { now, admission }
    }

    fn submit(&mut self, class: WorkClass, deadline_s: u64) -> SubmitOutcome {
        let request = WorkRequest {
            team: team(),
            queue: "labels-urgent".parse().expect("the identifier is valid"),
            service: service(),
            class,
            deadline: self.now + Duration::from_secs(deadline_s),
        };
        self.admission.submit(self.now, &request)
    }

    fn queued(&mut self, class: WorkClass) -> Ticket {
        match self.submit(class, 1_000) {
            SubmitOutcome::Queued { ticket, .. } => ticket,
            SubmitOutcome::Rejected(rejection) => panic!("{rejection:?}"),
        }
    }

    fn next(&mut self) -> Option<Ticket> {
        self.admission.start_next(self.now, &service(), 1).pop()
    }

    fn finish(&mut self, ticket: Ticket) {
        self.admission
            .finish(self.now, ticket, Completion::Confirmed);
    }
}

fn code(outcome: SubmitOutcome) -> Option<ResultCode> {
    match outcome {
        SubmitOutcome::Rejected(rejection) => Some(rejection.code),
        SubmitOutcome::Queued { .. } => None,
    }
}

#[test]
fn full_queue_rejects_and_cancelling_frees_every_place() {
    let mut fixture = Fixture::new(4, AdmissionSettings::default().max_waiting_per_team(5_000));
    let tickets: Vec<Ticket> = (0..5_000)
        .map(|_| fixture.queued(WorkClass::Urgent))
        .collect();
    let refused = fixture.submit(WorkClass::Urgent, 1_000);
    assert_eq!(code(refused), Some(ResultCode::QueueFull));
    for ticket in &tickets[..4_999] {
        assert!(fixture.admission.cancel(*ticket));
        assert!(
            !fixture.admission.cancel(*ticket),
            "a request is cancelled only once"
        );
    }
    assert_eq!(fixture.admission.waiting(&service()), 1);
    assert_eq!(fixture.next(), Some(tickets[4_999]));
    assert_eq!(fixture.next(), None);
    for _ in 0..5_000 {
        fixture.queued(WorkClass::Urgent);
    }
}

#[test]
fn urgent_requests_displace_batch_ones_and_never_the_reverse() {
    let mut fixture = Fixture::new(4, AdmissionSettings::default().max_waiting(2));
    fixture.queued(WorkClass::Batch);
    let newest = fixture.queued(WorkClass::Batch);
    let refused = fixture.submit(WorkClass::Batch, 1_000);
    assert_eq!(code(refused), Some(ResultCode::Overloaded));
    let outcome = fixture.submit(WorkClass::Urgent, 1_000);
    assert!(matches!(outcome, SubmitOutcome::Queued { shed: Some(shed), .. } if shed == newest));
    fixture.submit(WorkClass::Urgent, 1_000);
    let refused = fixture.submit(WorkClass::Urgent, 1_000);
    assert_eq!(code(refused), Some(ResultCode::Overloaded));
}

#[test]
fn urgent_requests_go_first_and_batch_ones_get_every_eighth_start() {
    let mut fixture = Fixture::new(1, AdmissionSettings::default());
    let batch: Vec<Ticket> = (0..2).map(|_| fixture.queued(WorkClass::Batch)).collect();
    for _ in 0..20 {
        fixture.queued(WorkClass::Urgent);
    }
    let mut batch_starts = Vec::new();
    for start in 0..20 {
        let ticket = fixture.next().expect("a waiting request starts");
        if batch.contains(&ticket) {
            batch_starts.push(start);
        }
        fixture.finish(ticket);
    }
    assert_eq!(batch_starts, [7, 15]);
}

#[test]
fn unreachable_deadline_is_refused_with_the_time_until_it_could_be_met() {
    let mut fixture = Fixture::new(1, AdmissionSettings::default());
    for _ in 0..10 {
        fixture.queued(WorkClass::Urgent);
    }
    for _ in 0..2 {
        let ticket = fixture.next().expect("a waiting request starts");
        fixture.now += Duration::from_secs(1);
        fixture.finish(ticket);
    }
    // Eight requests wait, and each takes one second on the only slot.
    let SubmitOutcome::Rejected(rejection) = fixture.submit(WorkClass::Urgent, 5) else {
        panic!("a request with an unreachable deadline was queued");
    };
    assert_eq!(rejection.code, ResultCode::DeadlineUnreachable);
    assert_eq!(rejection.retry_after, Duration::from_secs(3));
    assert_eq!(code(fixture.submit(WorkClass::Urgent, 9)), None);
}

#[test]
fn request_whose_deadline_passed_is_reported_expired_and_not_started() {
    let mut fixture = Fixture::new(1, AdmissionSettings::default());
    fixture.submit(WorkClass::Urgent, 1);
    let alive = fixture.queued(WorkClass::Urgent);
    fixture.now += Duration::from_secs(2);
    assert_eq!(fixture.next(), Some(alive));
    assert_eq!(fixture.admission.take_expired().len(), 1);
}

#[test]
fn team_with_limit_zero_is_refused() {
    let mut fixture = Fixture::new(0, AdmissionSettings::default());
    let refused = fixture.submit(WorkClass::Urgent, 1);
    assert_eq!(code(refused), Some(ResultCode::UpperLimitReached));
}

#[test]
fn right_of_work_with_unknown_end_is_kept_for_the_longest_request() {
    let mut fixture = Fixture::new(1, AdmissionSettings::default());
    fixture.queued(WorkClass::Urgent);
    fixture.queued(WorkClass::Urgent);
    let ticket = fixture.next().expect("a waiting request starts");
    fixture
        .admission
        .finish(fixture.now, ticket, Completion::Unknown);
    assert_eq!(fixture.next(), None);
    fixture.now += Duration::from_secs(31);
    fixture.admission.rights_mut().tick(fixture.now);
    assert!(fixture.next().is_some());
}

//! Evidence that the configuration is the newest. An entry that trusts stale or incomplete reports
//! would admit a withdrawn key; one that demands too many would stop during a mere table outage.

use std::time::{Duration, Instant};

use bytes::Bytes;
use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, Revision};
use rhubarbfall_membership::{
    AnnouncementStep, ChangeAnnouncement, Freshness, Intent, IntentId, MemberReport,
    MembershipConfig,
};

const SECOND: Duration = Duration::from_secs(1);

fn id(name: &str) -> EntryId {
    name.parse().expect("valid identifier")
}

fn zone(name: &str) -> AvailabilityZoneId {
    name.parse().expect("valid identifier")
}

fn report(time: Instant) -> MemberReport {
    MemberReport {
        incarnation: Incarnation::new(1),
        time,
        revision: Revision::new(7),
        is_settled: true,
        intents: Vec::new(),
    }
}

fn intent(acceptor: &str, now: Instant) -> Intent {
    Intent {
        id: IntentId {
            acceptor: id(acceptor),
            incarnation: Incarnation::new(1),
            number: 1,
        },
        revision: Revision::new(8),
        held_since: now,
        change: Bytes::from_static(b"key withdrawn"),
    }
}

/// An entry `a-1` in a fleet of three zones with two entries each, revision 7 in force.
struct Fixture {
    start: Instant,
    freshness: Freshness,
}

const OTHERS: [(&str, &str); 5] = [
    ("a-2", "zone-a"),
    ("b-1", "zone-b"),
    ("b-2", "zone-b"),
    ("c-1", "zone-c"),
    ("c-2", "zone-c"),
];

impl Fixture {
    /// Returns an entry that is settled by one table read after the settling time.
    fn settled() -> Self {
        let mut fixture = Self::started();
        let settled = fixture.start + MembershipConfig::new().settling_time();
        fixture.freshness.observe_read(settled, Revision::new(7));
        fixture.freshness.update_settled();
        fixture.start = settled;
        fixture
    }

    fn started() -> Self {
        let start = Instant::now();
        let mut freshness = Freshness::new(MembershipConfig::new(), zone("zone-a"), start);
        freshness.set_members(
            OTHERS.map(|(entry, place)| (id(entry), zone(place), Incarnation::new(1))),
        );
        freshness.put_in_force(Revision::new(7));
        Self { start, freshness }
    }

    fn at(&self, seconds: u64) -> Instant {
        self.start + SECOND * seconds as u32
    }

    fn observe_reports(&mut self, names: &[&str], seconds: u64) {
        for name in names {
            self.freshness
                .observe_report(&id(name), report(self.at(seconds)));
        }
    }

    fn admits(&self, seconds: u64) -> bool {
        self.freshness.valid_until(self.at(seconds)).is_some()
    }
}

#[test]
fn isolated_entry_stops_at_the_evidence_bound() {
    let fixture = Fixture::settled();
    assert!(fixture.admits(4));
    assert!(!fixture.admits(5));
}

#[test]
fn isolated_zone_does_not_rely_on_its_own_reports() {
    let mut fixture = Fixture::settled();
    fixture.observe_reports(&["a-2"], 60);
    assert!(!fixture.admits(60));
}

#[test]
fn table_outage_alone_stops_no_keyed_work() {
    let mut fixture = Fixture::settled();
    fixture.observe_reports(&["a-2", "b-1", "b-2", "c-1", "c-2"], 3600);
    assert!(fixture.admits(3604));
    assert!(!fixture.admits(3605));
}

#[test]
fn missing_reports_of_two_zones_stop_keyed_work() {
    let mut fixture = Fixture::settled();
    fixture.observe_reports(&["a-2", "b-2", "c-1", "c-2"], 10);
    fixture.observe_reports(&["b-1"], 4);
    assert!(fixture.admits(11), "reports of zone-b alone may be missing");
    fixture.observe_reports(&["a-2", "b-2", "c-1"], 20);
    assert!(!fixture.admits(20), "reports of two zones are missing");
}

#[test]
fn entry_that_fails_during_a_table_outage_does_not_stop_keyed_work() {
    let mut fixture = Fixture::settled();
    for seconds in 0..100 {
        fixture.observe_reports(&["a-2", "b-2", "c-1", "c-2"], seconds);
        assert!(fixture.admits(seconds), "at {seconds} s");
    }
}

#[test]
fn held_intent_of_a_failed_acceptor_does_not_stop_keyed_work() {
    let mut fixture = Fixture::settled();
    let mut holder = report(fixture.at(10));
    let announced = intent("b-1", fixture.at(10));
    holder.intents.push(announced.id.clone());
    fixture.observe_reports(&["a-2", "c-2", "b-2"], 10);
    fixture.freshness.observe_report(&id("c-1"), holder);
    assert!(!fixture.admits(10), "this entry does not know the intent");
    assert_eq!(
        fixture.freshness.missing_intents(),
        [(id("c-1"), announced.id.clone())]
    );
    fixture.freshness.hold_intent(announced);
    assert!(fixture.admits(10), "both revisions are enforced");
}

#[test]
fn intent_that_was_never_recorded_is_released_permanently() {
    let mut fixture = Fixture::settled();
    let announced = intent("b-1", fixture.at(0));
    fixture.freshness.hold_intent(announced.clone());
    fixture
        .freshness
        .observe_read(fixture.at(14), Revision::new(7));
    assert_eq!(
        fixture.freshness.intents().len(),
        1,
        "the intent may still be committed"
    );
    fixture
        .freshness
        .observe_read(fixture.at(15), Revision::new(7));
    assert!(fixture.freshness.intents().is_empty());
    fixture.freshness.hold_intent(announced);
    assert!(
        fixture.freshness.intents().is_empty(),
        "a released intent is not held again"
    );
}

#[test]
fn reports_of_a_restarted_entry_count_only_once_it_is_settled() {
    let mut fixture = Fixture::settled();
    let mut restarted = report(fixture.at(10));
    restarted.is_settled = false;
    fixture.observe_reports(&["a-2", "b-2", "c-2"], 10);
    fixture
        .freshness
        .observe_report(&id("b-1"), restarted.clone());
    fixture.observe_reports(&["c-1"], 10);
    assert!(fixture.admits(10), "zone-b is excluded from the evidence");
    fixture.freshness.observe_report(&id("c-1"), restarted);
    assert!(!fixture.admits(10), "two zones have an unsettled entry");
}

#[test]
fn new_entry_during_a_table_outage_relies_on_settled_reports_of_other_zones() {
    let mut fixture = Fixture::started();
    fixture.observe_reports(&["b-1", "b-2", "c-1", "c-2"], 1);
    assert!(fixture.admits(2));
    assert!(!fixture.freshness.is_settled());
    fixture.observe_reports(&["b-1", "b-2", "c-1", "c-2"], 15);
    fixture.freshness.update_settled();
    assert!(fixture.freshness.is_settled());
}

#[test]
fn report_of_an_earlier_process_is_ignored() {
    let mut fixture = Fixture::settled();
    let members = OTHERS.map(|(entry, place)| (id(entry), zone(place), Incarnation::new(2)));
    fixture.freshness.set_members(members);
    fixture.observe_reports(&["a-2", "b-1", "b-2", "c-1", "c-2"], 10);
    assert!(!fixture.admits(10));
}

#[test]
fn newer_revision_at_a_peer_ends_the_evidence_and_is_never_rolled_back() {
    let mut fixture = Fixture::settled();
    let mut newer = report(fixture.at(1));
    newer.revision = Revision::new(8);
    fixture.freshness.observe_report(&id("b-1"), newer);
    assert!(fixture.freshness.is_behind());
    assert!(!fixture.freshness.try_put_in_force(Revision::new(7)));
    assert!(fixture.freshness.try_put_in_force(Revision::new(8)));
    assert!(!fixture.freshness.try_put_in_force(Revision::new(7)));
    assert_eq!(fixture.freshness.in_force(), Some(Revision::new(8)));
}

#[test]
fn table_read_of_a_newer_revision_is_no_evidence_for_the_old_one() {
    let mut fixture = Fixture::settled();
    fixture
        .freshness
        .observe_read(fixture.at(3), Revision::new(8));
    assert!(!fixture.admits(3));
}

#[test]
fn acceptor_needs_an_answer_from_another_zone() {
    let now = Instant::now();
    let config = MembershipConfig::new();
    let members = OTHERS.map(|(entry, place)| (id(entry), zone(place)));
    let mut announcement = ChangeAnnouncement::new(config, zone("zone-a"), now, members);
    assert_eq!(
        announcement.step(now),
        AnnouncementStep::Wait(now + config.intent_answer_timeout)
    );
    announcement.observe_answer(&id("a-2"));
    assert_eq!(announcement.step(now + SECOND), AnnouncementStep::Abandon);
    announcement.observe_answer(&id("c-1"));
    assert_eq!(announcement.step(now + SECOND), AnnouncementStep::Commit);
    let paused = now + config.intent_lifetime;
    assert_eq!(announcement.step(paused), AnnouncementStep::Abandon);
}

#[test]
fn with_two_zones_one_accepts_alone_but_keyed_work_needs_both() {
    let now = Instant::now();
    let announcement = ChangeAnnouncement::new(
        MembershipConfig::new(),
        zone("zone-a"),
        now,
        [(id("b-1"), zone("zone-b"))],
    );
    assert_eq!(announcement.step(now + SECOND), AnnouncementStep::Commit);
    let mut fixture = Fixture::settled();
    fixture.freshness.set_members([
        (id("a-2"), zone("zone-a"), Incarnation::new(1)),
        (id("b-1"), zone("zone-b"), Incarnation::new(1)),
    ]);
    fixture.observe_reports(&["a-2"], 10);
    assert!(!fixture.admits(10));
}

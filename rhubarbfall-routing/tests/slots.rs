//! Slot ownership under view changes, delayed messages, and paused or replaced entries.
//!
//! Guards against a slot that two entries use at once while it is handed over, and against slots
//! that no entry uses after the members have changed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rhubarbfall_core::UpstreamId;
use rhubarbfall_routing::{MembershipView, SlotId, SlotOwnership};

const ENTRIES: usize = 4;
const UPSTREAMS: usize = 2;
const SLOTS_PER_UPSTREAM: u32 = 3;
const VIEW_VALIDITY: Duration = Duration::from_secs(2);
const LONGEST_REQUEST: Duration = Duration::from_secs(3);

#[derive(Debug, Clone)]
enum Step {
    ChangeMembers {
        mask: u8,
    },
    RequestView {
        entry: usize,
    },
    DeliverView {
        entry: usize,
    },
    SendConfirmation {
        from: usize,
    },
    DeliverConfirmation {
        to: usize,
        pick: usize,
    },
    Start {
        entry: usize,
        upstream: usize,
        ms: u64,
    },
    Replace {
        entry: usize,
    },
    Advance {
        ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let entry = 0..ENTRIES;
    let step = prop_oneof![
        2 => (1..16_u8).prop_map(|mask| Step::ChangeMembers { mask }),
        8 => entry.clone().prop_map(|entry| Step::RequestView { entry }),
        8 => entry.clone().prop_map(|entry| Step::DeliverView { entry }),
        6 => entry.clone().prop_map(|from| Step::SendConfirmation { from }),
        6 => (entry.clone(), 0..8_usize)
            .prop_map(|(to, pick)| Step::DeliverConfirmation { to, pick }),
        12 => (entry.clone(), 0..UPSTREAMS, 1..3_000_u64)
            .prop_map(|(entry, upstream, ms)| Step::Start { entry, upstream, ms }),
        1 => entry.prop_map(|entry| Step::Replace { entry }),
        6 => (1..1_500_u64).prop_map(|ms| Step::Advance { ms }),
    ];
    prop::collection::vec(step, 1..300)
}

fn upstream(index: usize) -> UpstreamId {
    format!("labels-{index}")
        .parse()
        .expect("valid upstream id")
}

fn all_slots() -> Vec<SlotId> {
    let slots = |upstream_index| {
        (0..SLOTS_PER_UPSTREAM).map(move |index| SlotId {
            upstream: upstream(upstream_index),
            index,
        })
    };
    (0..UPSTREAMS).flat_map(slots).collect()
}

struct RunningRequest {
    slot: SlotId,
    member: Arc<str>,
    ends_at: Instant,
}

struct Zone {
    now: Instant,
    epoch: u64,
    members: Vec<Arc<str>>,
    /// Members of superseded views, with the time when the view was superseded.
    superseded: Vec<(Instant, Vec<Arc<str>>)>,
    names: Vec<Arc<str>>,
    entries: Vec<SlotOwnership>,
    views: Vec<Option<MembershipView>>,
    confirmations: Vec<(Arc<str>, u64)>,
    running: Vec<RunningRequest>,
    replacements: usize,
}

impl Zone {
    fn new() -> Self {
        let mut zone = Self {
            now: Instant::now(),
            epoch: 0,
            members: Vec::new(),
            superseded: Vec::new(),
            names: Vec::new(),
            entries: Vec::new(),
            views: vec![None; ENTRIES],
            confirmations: Vec::new(),
            running: Vec::new(),
            replacements: 0,
        };
        for index in 0..ENTRIES {
            let name: Arc<str> = format!("entry-{index}/0").into();
            zone.entries.push(Self::new_process(&name));
            zone.names.push(name);
        }
        zone
    }

    fn new_process(name: &Arc<str>) -> SlotOwnership {
        let mut process = SlotOwnership::new(Arc::clone(name), VIEW_VALIDITY, LONGEST_REQUEST);
        process.set_slots(all_slots());
        process
    }

    fn view(&self) -> MembershipView {
        let handover_timeout = VIEW_VALIDITY + LONGEST_REQUEST;
        let mut earlier: Vec<Arc<str>> = self
            .superseded
            .iter()
            .filter(|(at, _)| self.now - *at <= handover_timeout)
            .flat_map(|(_, members)| members.clone())
            .collect();
        earlier.sort();
        earlier.dedup();
        MembershipView {
            epoch: self.epoch,
            members: self.members.clone(),
            earlier_members: earlier,
            expires_at: self.now + VIEW_VALIDITY,
        }
    }

    fn change_members(&mut self, mask: u8) {
        let old = std::mem::take(&mut self.members);
        self.superseded.push((self.now, old));
        self.members = (0..ENTRIES)
            .filter(|index| mask & (1 << index) != 0)
            .map(|index| Arc::clone(&self.names[index]))
            .collect();
        self.members.sort();
        self.epoch += 1;
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::ChangeMembers { mask } => self.change_members(mask),
            Step::RequestView { entry } => self.views[entry] = Some(self.view()),
            Step::DeliverView { entry } => {
                if let Some(view) = self.views[entry].take() {
                    self.entries[entry].on_view(self.now, view);
                }
            }
            Step::SendConfirmation { from } => {
                if let Some(epoch) = self.entries[from].handed_over_epoch() {
                    self.confirmations
                        .push((Arc::clone(&self.names[from]), epoch));
                }
            }
            Step::DeliverConfirmation { to, pick } => {
                let recent = self.confirmations.iter().rev().nth(pick);
                if let Some((member, epoch)) = recent {
                    self.entries[to].on_handover_confirmed(member, *epoch);
                }
            }
            Step::Start {
                entry,
                upstream: at,
                ms,
            } => self.start(entry, at, ms)?,
            Step::Replace { entry } => {
                self.replacements += 1;
                let name: Arc<str> = format!("entry-{entry}/{}", self.replacements).into();
                self.entries[entry] = Self::new_process(&name);
                self.names[entry] = name;
                self.views[entry] = None;
            }
            Step::Advance { ms } => self.advance(Duration::from_millis(ms)),
        }
        Ok(())
    }

    fn start(&mut self, entry: usize, at: usize, ms: u64) -> Result<(), TestCaseError> {
        let Some(slot) = self.entries[entry].acquire(self.now, &upstream(at)) else {
            return Ok(());
        };
        let is_taken = self.running.iter().any(|running| running.slot == slot);
        prop_assert!(!is_taken, "{slot:?} is used by two requests at once");
        self.running.push(RunningRequest {
            slot,
            member: Arc::clone(&self.names[entry]),
            ends_at: self.now + Duration::from_millis(ms),
        });
        Ok(())
    }

    fn advance(&mut self, step: Duration) {
        self.now += step;
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running| running.ends_at <= now);
        self.running = running;
        let ended: Vec<RunningRequest> = ended;
        for running in ended {
            let entry = self.names.iter().position(|name| *name == running.member);
            if let Some(entry) = entry {
                self.entries[entry].release(&running.slot);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_slot_is_used_twice_and_none_is_lost(steps in steps()) {
        let mut zone = Zone::new();
        zone.change_members(0b1111);
        for step in &steps {
            zone.apply(step)?;
        }
        zone.change_members(0b1111);
        for entry in 0..ENTRIES {
            let view = zone.view();
            zone.entries[entry].on_view(zone.now, view);
        }
        zone.advance(VIEW_VALIDITY + LONGEST_REQUEST);
        for entry in 0..ENTRIES {
            let view = zone.view();
            zone.entries[entry].on_view(zone.now, view);
        }
        for entry in 0..ENTRIES {
            for at in 0..UPSTREAMS {
                (0..SLOTS_PER_UPSTREAM).try_for_each(|_| zone.start(entry, at, 1_000))?;
            }
        }
        prop_assert_eq!(zone.running.len(), all_slots().len());
    }
}

#[test]
fn gained_slots_are_usable_at_once_when_every_earlier_member_has_confirmed() {
    let mut zone = Zone::new();
    zone.change_members(0b0011);
    let confirm_all = |zone: &mut Zone| {
        for entry in 0..ENTRIES {
            let view = zone.view();
            zone.entries[entry].on_view(zone.now, view);
            let member = Arc::clone(&zone.names[entry]);
            let epoch = zone.entries[entry]
                .handed_over_epoch()
                .expect("no slot is in use");
            for other in &mut zone.entries {
                other.on_handover_confirmed(&member, epoch);
            }
        }
        for entry in 0..ENTRIES {
            let member = Arc::clone(&zone.names[entry]);
            let epoch = zone.entries[entry]
                .handed_over_epoch()
                .expect("no slot is in use");
            for other in &mut zone.entries {
                other.on_handover_confirmed(&member, epoch);
            }
        }
    };
    confirm_all(&mut zone);
    zone.change_members(0b1111);
    confirm_all(&mut zone);
    let taken = (0..ENTRIES)
        .flat_map(|entry| (0..UPSTREAMS).map(move |at| (entry, at)))
        .map(|(entry, at)| {
            let now = zone.now;
            let ownership = &mut zone.entries[entry];
            (0..SLOTS_PER_UPSTREAM)
                .filter(|_| ownership.acquire(now, &upstream(at)).is_some())
                .count()
        })
        .sum::<usize>();
    assert_eq!(taken, all_slots().len());
}

#[test]
fn a_member_that_missed_a_view_waits_for_the_interim_owner() {
    let mut zone = Zone::new();
    let adopt = |zone: &mut Zone, entry: usize| {
        let view = zone.view();
        zone.entries[entry].on_view(zone.now, view);
    };
    zone.change_members(0b0001);
    adopt(&mut zone, 0);
    let now = zone.now;
    while let Some(slot) = zone.entries[0].acquire(now, &upstream(0)) {
        zone.running.push(RunningRequest {
            slot,
            member: Arc::clone(&zone.names[0]),
            ends_at: now + Duration::from_millis(1),
        });
    }
    zone.change_members(0b0010);
    adopt(&mut zone, 1);
    zone.advance(VIEW_VALIDITY + LONGEST_REQUEST);
    adopt(&mut zone, 1);
    let now = zone.now;
    assert!(zone.entries[1].acquire(now, &upstream(0)).is_some());
    zone.change_members(0b0001);
    adopt(&mut zone, 0);
    assert_eq!(zone.entries[0].acquire(now, &upstream(0)), None);
}

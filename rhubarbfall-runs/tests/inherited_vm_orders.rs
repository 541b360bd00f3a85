//! A new owner must give no order for a VM while an order of its predecessor may still arrive: a VM
//! service that does not compare fencing numbers carries out whichever arrives last.

use std::time::Duration;

use rhubarbfall_core::{BootTime, RowVersion, VmId, WaveId};
use rhubarbfall_runs::scheduler::{
    Action, CalledVm, SchedulerSettings, VmOperation, VmRow, VmState, Wave, WaveProgress,
};
use rhubarbfall_runs::{Resources, Scheduler};

const TAKEOVER_AT: BootTime = BootTime::new(Duration::from_secs(50));
const QUIET_PERIOD: Duration = Duration::from_secs(3);
const TICK: Duration = Duration::from_millis(100);

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().expect("valid VM name")
}

fn wave() -> Wave {
    Wave {
        id: wave_id(),
        vms: vec![vm(0), vm(1)],
        duration: Duration::from_secs(20),
        max_down: 2,
        version: RowVersion::new(1),
    }
}

fn wave_id() -> WaveId {
    "1".parse().expect("valid wave name")
}

/// Returns the times after the takeover at which an owner gives its orders for VMs. One VM of the
/// wave was called for by the predecessor, without an answer; the other one waits.
fn order_times(quiet_period: Duration) -> Vec<(VmId, Duration)> {
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    scheduler.recover(Vec::new(), TAKEOVER_AT, TAKEOVER_AT, 0);
    scheduler.await_inherited_vm_orders(TAKEOVER_AT + quiet_period);
    let progress = WaveProgress {
        first_seen_unix_ms: 0,
        called: vec![CalledVm {
            vm: vm(0),
            worker: None,
            has_begun: false,
        }],
        ..WaveProgress::default()
    };
    scheduler.wave_requested(wave(), Some((progress, RowVersion::new(1))), TAKEOVER_AT, 0);
    let rows = (0..2).map(|index| VmRow {
        vm: vm(index),
        pool: "labels".parse().expect("valid service name"),
        state: VmState::Up,
        worker: None,
        availability_zone: None,
        capacity: Resources::default(),
        labels: Vec::new(),
    });
    scheduler.vms_listed(rows.collect(), TAKEOVER_AT, TAKEOVER_AT);
    let mut orders = Vec::new();
    let mut now = TAKEOVER_AT;
    let mut version = 1;
    while now < TAKEOVER_AT + QUIET_PERIOD * 2 {
        now = now + TICK;
        scheduler.tick(now, 0);
        while let Some(batch) = scheduler.next_batch() {
            version += 1;
            scheduler.batch_stored(&batch, RowVersion::new(version), now);
        }
        for action in scheduler.take_actions() {
            if let Action::Vm { vm, operation } = action {
                assert_eq!(operation, VmOperation::Maintain(wave_id()));
                orders.push((vm, now.since(TAKEOVER_AT)));
            }
        }
    }
    orders
}

#[test]
fn orders_wait_until_those_of_the_predecessor_have_arrived() {
    let orders = order_times(QUIET_PERIOD);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(
        orders.iter().all(|(_, after)| *after >= QUIET_PERIOD),
        "{orders:?}"
    );
}

#[test]
fn orders_are_given_at_once_where_none_can_arrive_late() {
    let orders = order_times(Duration::ZERO);
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(orders.iter().all(|(_, after)| *after <= TICK * 2));
}

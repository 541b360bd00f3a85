//! A new owner must not start tasks again while an earlier owner's lease may still be valid. These
//! tests guard the time it waits, which depends on how the last owner ended.

use std::time::Duration;

use prost::Message;
use rhubarbfall_core::{BootTime, CellId, FencingNumber};

use super::{CellState, MIN_OWNERSHIP_LEASE, Renewal, RenewalRow, max_inherited_lease};

const OWN_LEASE: Duration = Duration::from_millis(2_500);
const MAX_LEASE: Duration = Duration::from_secs(10);

#[test]
fn silent_owner_leases_last_until_the_maximum_lease_expires() {
    assert_eq!(
        max_inherited_lease(None, OWN_LEASE, MAX_LEASE),
        Duration::from_millis(10_600)
    );
}

#[test]
fn released_ownership_passes_on_inherited_leases() {
    let without_inherited_lease = max_inherited_lease(Some(Duration::ZERO), OWN_LEASE, MAX_LEASE);
    assert_eq!(without_inherited_lease, Duration::from_millis(2_800));
    let with_inherited_lease =
        max_inherited_lease(Some(Duration::from_secs(8)), OWN_LEASE, MAX_LEASE);
    assert_eq!(with_inherited_lease, Duration::from_millis(8_520));
}

/// The successor of an owner that has ended needs to know what that owner inherited.
#[test]
fn renewal_states_leases_of_earlier_owners() {
    let renewal = Renewal {
        fencing_number: FencingNumber::new(3),
        sent_at: BootTime::default(),
        ownership_lease: MIN_OWNERSHIP_LEASE,
        vm_orders_on_the_way: Duration::ZERO,
        inherited_leases: Duration::from_millis(1_700),
        earlier_version_leases: Duration::from_millis(900),
    };
    let (_, value) = renewal.write(&CellState::new(CellId::FIRST));
    let row = RenewalRow::decode(&*value).expect("valid renewal row");
    assert_eq!(row.inherited_leases_ms, Some(1_700));
    assert_eq!(row.earlier_version_leases_ms, Some(900));
}

/// Renewals of the earlier version say nothing, which must not be taken for no leases.
#[test]
fn renewal_of_the_earlier_version_states_nothing() {
    let earlier = RenewalRow {
        fencing_number: 3,
        lease_ms: 950,
        ..RenewalRow::default()
    };
    let row = RenewalRow::decode(&*earlier.encode_to_vec()).expect("valid renewal row");
    assert_eq!(row.inherited_leases_ms, None);
    assert_eq!(row.earlier_version_leases_ms, None);
}

//! A new owner must not start tasks again while an earlier owner's lease may still be valid. These
//! tests guard the time it waits, which depends on how the last owner ended.

use std::time::Duration;

use super::max_inherited_lease;

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

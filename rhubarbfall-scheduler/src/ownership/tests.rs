use std::time::Duration;

use super::longest_lease;

const OWN: Duration = Duration::from_millis(2_500);
const MAX: Duration = Duration::from_secs(10);

#[test]
fn a_silent_owner_may_go_on_until_its_longest_lease_ends() {
    assert_eq!(longest_lease(None, OWN, MAX), Duration::from_millis(10_600));
}

#[test]
fn a_handed_back_ownership_passes_on_what_it_inherited() {
    let nothing = longest_lease(Some(Duration::ZERO), OWN, MAX);
    assert_eq!(nothing, Duration::from_millis(2_800));
    let from_a_silent_one = longest_lease(Some(Duration::from_secs(8)), OWN, MAX);
    assert_eq!(from_a_silent_one, Duration::from_millis(8_520));
}

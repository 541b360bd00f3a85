//! The division of a fleet into cells.

use rhubarbfall_core::{CellId, FencingNumber, RackId, SubmissionId};
use rhubarbfall_runs::{CellLayout, MAX_CELLS};

/// Returns the rack of each VM, with `per_rack` VMs in a rack.
fn vms(count: usize, per_rack: usize) -> Vec<Option<RackId>> {
    let rack = |vm: usize| format!("r{}-{}", vm / per_rack % 5, vm / per_rack).parse();
    (0..count).map(|vm| rack(vm).ok()).collect()
}

/// Guards against cells that differ much in size: one entry would carry more than the others.
#[test]
fn racks_and_submissions_are_spread_evenly() {
    let vms = vms(1_100, 12);
    let layout = CellLayout::divide(vms.clone(), 140);
    assert_eq!(layout.count(), 8);
    for cell in layout.cells() {
        let own = vms
            .iter()
            .filter(|rack| layout.cell_of_rack(rack.as_ref()) == cell);
        let own = own.count();
        assert!((128..=150).contains(&own), "{cell} has {own} of 1,100 VMs");
    }
    let mut submissions = [0; 8];
    for number in 0..8_000_u64 {
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let id: SubmissionId = id.parse().expect("valid identifier");
        submissions[usize::from(layout.cell_of_submission(&id).number())] += 1;
    }
    assert!(
        submissions.iter().all(|count| (880..1_120).contains(count)),
        "{submissions:?}"
    );
}

/// Guards against a rack whose VMs belong to several cells, so that no cell could place tasks that
/// need one rack.
#[test]
fn a_rack_belongs_to_one_cell_also_if_it_came_later() {
    let layout = CellLayout::divide(vms(600, 12), 140);
    let new: RackId = "r9-99".parse().expect("valid rack name");
    assert_eq!(
        layout.cell_of_rack(Some(&new)),
        layout.cell_of_rack(Some(&new))
    );
    assert!(layout.cell_of_rack(Some(&new)).number() < layout.count());
    assert_eq!(layout.cell_of_rack(None), CellId::FIRST);
}

/// Guards against fleets that would be divided although their racks are not known, or are too few.
#[test]
fn fleets_without_enough_racks_are_not_divided() {
    let mut some_without_rack = vms(600, 12);
    some_without_rack[17] = None;
    assert!(CellLayout::divide(some_without_rack, 140).is_single());
    assert!(CellLayout::divide(vms(600, 600), 140).is_single());
    assert!(CellLayout::divide(vms(150, 12), 140).is_single());
    assert!(CellLayout::divide(Vec::new(), 140).is_single());
    assert_eq!(CellLayout::divide(vms(60_000, 12), 140).count(), MAX_CELLS);
}

/// Guards against entries that read a stored layout differently, and against one that cannot be
/// right.
#[test]
fn layouts_are_decoded_as_they_were_encoded() {
    let layout = CellLayout::divide(vms(600, 12), 140).above_fence(FencingNumber::new(7));
    let decoded = CellLayout::decode(&layout.encode()).expect("valid record");
    assert_eq!(decoded, layout);
    assert!(CellLayout::decode(&[]).is_err());
    assert!(
        CellLayout::decode(&[8, 200, 1]).is_err(),
        "more cells than allowed"
    );
    assert!(
        CellLayout::decode(&[8, 2, 18, 1, 32]).is_err(),
        "a rack without a valid name"
    );
}

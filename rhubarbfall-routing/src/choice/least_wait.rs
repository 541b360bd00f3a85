use super::UpstreamLoad;

/// Returns the index of the upstream with the shortest expected wait among those with a free slot,
/// or `None` if no upstream has one.
///
/// Each item pairs an upstream's load with whether to avoid the upstream; an avoided one is chosen
/// only if no other has a free slot. Each call lowers the latency estimate of every upstream with a
/// free slot slightly, so that each upstream receives a request from time to time.
///
/// # Examples
///
/// ```
/// use rhubarbfall_core::Slots;
/// use rhubarbfall_routing::{UpstreamLoad, least_wait};
///
/// let mut loads = [UpstreamLoad::new(Slots::new(8)); 2];
/// loads[0].start();
/// let chosen = least_wait(loads.iter_mut().map(|load| (load, false)));
/// assert_eq!(chosen, Some(1));
/// ```
pub fn least_wait<'a>(
    upstreams: impl Iterator<Item = (&'a mut UpstreamLoad, bool)>,
) -> Option<usize> {
    let mut best: Option<(bool, f64, usize)> = None;
    for (index, (load, is_avoided)) in upstreams.enumerate() {
        if !load.has_free_slot() {
            continue;
        }
        let wait_ms = load.expected_wait_ms();
        let is_better = best.is_none_or(|(best_avoided, best_ms, _)| {
            (is_avoided, wait_ms) < (best_avoided, best_ms)
        });
        if is_better {
            best = Some((is_avoided, wait_ms, index));
        }
        load.decay_latency();
    }
    best.map(|(_, _, index)| index)
}

//! CPU time of selecting an upstream and of recording its response.

use std::time::Duration;

use divan::Bencher;
use rhubarbfall_core::Slots;
use rhubarbfall_routing::{UpstreamLoad, least_wait};

fn main() {
    divan::main();
}

/// 264 upstreams correspond to 2,900 workers in 11 availability zones, all in one service.
#[divan::bench(args = [10, 66, 132, 264, 528])]
fn choose_and_report(bencher: Bencher<'_, '_>, upstreams: usize) {
    let mut loads = vec![UpstreamLoad::new(Slots::new(8)); upstreams];
    bencher.bench_local(|| {
        let chosen = least_wait(loads.iter_mut().map(|load| (load, false)));
        if let Some(load) = chosen.and_then(|index| loads.get_mut(index)) {
            load.start();
            load.observe(Duration::from_millis(20), true);
            load.end();
        }
        chosen
    });
}

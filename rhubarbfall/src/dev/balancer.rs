use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use rand::RngExt;

/// The weight of the first entry relative to the last, as with a balancer that distributes
/// unevenly.
const SKEW: f64 = 2.0;

/// A stand-in for the platform's balancer: picks a ready entry for each request, with uneven
/// weights.
#[derive(Debug, Clone)]
pub(super) struct Balancer {
    targets: Arc<Mutex<Vec<Target>>>,
}

#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    weight: f64,
    is_ready: bool,
}

impl Balancer {
    /// Creates a balancer for entries that are all ready.
    pub(super) fn new(addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        let addresses: Vec<_> = addresses.into_iter().collect();
        let last = addresses.len().saturating_sub(1).max(1) as f64;
        let targets = addresses
            .into_iter()
            .enumerate()
            .map(|(index, address)| Target {
                address,
                weight: SKEW - (SKEW - 1.0) * index as f64 / last,
                is_ready: true,
            })
            .collect();
        Self {
            targets: Arc::new(Mutex::new(targets)),
        }
    }

    /// Sets whether an entry may be picked.
    pub(super) fn set_ready(&self, address: SocketAddr, is_ready: bool) {
        let mut targets = self.targets.lock();
        for target in targets.iter_mut() {
            if target.address == address {
                target.is_ready = is_ready;
            }
        }
    }

    /// Picks a ready entry at random by weight; `None` if no entry is ready.
    pub(super) fn pick(&self, random: &mut impl RngExt) -> Option<SocketAddr> {
        let targets = self.targets.lock();
        let ready = || targets.iter().filter(|target| target.is_ready);
        let total: f64 = ready().map(|target| target.weight).sum();
        let mut point = random.random::<f64>() * total;
        let mut last = None;
        for target in ready() {
            last = Some(target.address);
            point -= target.weight;
            if point < 0.0 {
                break;
            }
        }
        last
    }
}

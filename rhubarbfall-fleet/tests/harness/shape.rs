use rhubarbfall_core::{AvailabilityZoneId, PoolId, RackId, VmId};
use rhubarbfall_fleet::VmRow;

/// VMs per rack.
const RACK_VMS: usize = 4;

/// The size of a fleet: zones, pools and entries.
#[derive(Debug, Clone)]
pub struct Shape {
    pub zones: usize,
    /// Pools with their number of VMs and their budget.
    pub pools: Vec<(String, usize, u32)>,
    pub entries_per_zone: usize,
}

impl Shape {
    /// Three zones, about 50 workers.
    pub fn three_zones(budget: u32) -> Self {
        Self::services(3, budget)
    }

    /// Four zones, about 50 workers.
    pub fn four_zones(budget: u32) -> Self {
        Self::services(4, budget)
    }

    fn services(zones: usize, budget: u32) -> Self {
        let mut pools: Vec<(String, usize, u32)> = [8, 8, 8, 9, 9]
            .iter()
            .enumerate()
            .map(|(index, vms)| (format!("service-{index}"), *vms, budget))
            .collect();
        pools.push(("spare".to_owned(), 8, 4));
        Self {
            zones,
            pools,
            entries_per_zone: 3,
        }
    }

    /// Nine zones, 68 pools and 2,900 workers.
    pub fn large() -> Self {
        let pools = (0..68).map(|index| {
            let vms = if index < 44 { 43 } else { 42 };
            (format!("pool-{index:02}"), vms, 4)
        });
        Self {
            zones: 9,
            pools: pools.collect(),
            entries_per_zone: 2,
        }
    }

    /// Returns the rows of all VMs, with each pool spread evenly over the zones.
    pub fn rows(&self) -> Vec<VmRow> {
        let mut per_zone = vec![0; self.zones];
        let mut rows = Vec::new();
        for (pool, vms, _) in &self.pools {
            for _ in 0..*vms {
                let number = rows.len();
                let zone = number % self.zones;
                let rack = per_zone[zone] / RACK_VMS;
                per_zone[zone] += 1;
                rows.push(VmRow::new(
                    id::<VmId>(&format!("vm-{number:04}")),
                    id::<AvailabilityZoneId>(&format!("zone-{zone}")),
                    id::<RackId>(&format!("zone-{zone}-rack-{rack:03}")),
                    id::<PoolId>(pool),
                ));
            }
        }
        rows
    }
}

pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the identifier is valid")
}

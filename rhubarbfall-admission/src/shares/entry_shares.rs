use rhubarbfall_core::{LiteMap, TeamId};

use super::{ServiceDemand, WeightedDemand, fair_shares};

/// The number of rounds that adjust the allocation first to the teams' fair shares, then to the
/// zones' capacities.
const FITTING_ROUNDS: usize = 6;

/// The demand for a service that one entry knows of when it divides the slots.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceView {
    /// The demand at this entry.
    pub entry: ServiceDemand,
    /// The demand and the capacity of each reachable availability zone, that of this entry first.
    pub zones: Vec<ServiceDemand>,
}

/// The weight and the upper limit from which one team's share is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamShareSpec {
    /// The team's weight relative to other teams.
    pub weight: f64,
    /// The team's upper limit over the whole fleet, in slots.
    pub limit_slots: u32,
}

/// One team's share of a service at one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryShare {
    /// The slots that the team should use through this entry.
    pub slots: f64,
    /// This entry's part of the slots that the team is short of its fleet-wide share, because too
    /// much of its work waits in zones whose slots are taken.
    pub shortfall_slots: f64,
}

/// Divides the slots of a service over the fleet and returns each team's share at this entry.
///
/// Each team's fair share of the fleet is spread over the zones with demand of the team, so that no
/// zone is allocated more than its capacity and no team more than its demand there.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::{
///     ServiceDemand, ServiceView, TeamDemand, TeamShareSpec, entry_shares,
/// };
/// use rhubarbfall_core::LiteMap;
///
/// let mut demand = ServiceDemand { capacity_slots: 8, teams: LiteMap::new() };
/// for team in ["house-a", "house-b"] {
///     demand.add(&team.parse()?, TeamDemand { running_slots: 0, waiting_requests: 20 });
/// }
/// let view = ServiceView { entry: demand.clone(), zones: vec![demand] };
/// let spec = |_: &_| TeamShareSpec { weight: 1.0, limit_slots: 100 };
/// let shares = entry_shares(&view, spec);
/// assert_eq!(shares.get(&"house-a".parse()?).map(|share| share.slots), Some(4.0));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[must_use]
pub fn entry_shares(
    view: &ServiceView,
    spec: impl Fn(&TeamId) -> TeamShareSpec,
) -> LiteMap<TeamId, EntryShare> {
    let Some(own_zone) = view.zones.first() else {
        return LiteMap::new();
    };
    let mut fleet = ServiceDemand::default();
    for zone in &view.zones {
        fleet.add_all(zone);
    }
    let fair = fleet_shares(&fleet, spec);
    let fitted = fit_to_zones(&view.zones, &fleet, &fair);
    let shares = fleet.teams.keys().enumerate().map(|(index, team)| {
        let zone_demand = f64::from(own_zone.team(team).slots());
        let entry_demand = f64::from(view.entry.team(team).slots());
        let entry_fraction = if zone_demand > 0.0 {
            entry_demand / zone_demand
        } else {
            0.0
        };
        let placed: f64 = fitted.iter().map(|zone| zone[index]).sum();
        let unserved =
            |zone: usize| f64::from(view.zones[zone].team(team).slots()) - fitted[zone][index];
        let total_unserved: f64 = (0..view.zones.len()).map(unserved).sum();
        let unserved_fraction = if total_unserved > 0.0 {
            unserved(0) / total_unserved
        } else {
            0.0
        };
        let share = EntryShare {
            slots: fitted[0][index] * entry_fraction,
            shortfall_slots: (fair[index] - placed).max(0.0) * unserved_fraction * entry_fraction,
        };
        (team.clone(), share)
    });
    shares.collect()
}

fn fleet_shares(fleet: &ServiceDemand, spec: impl Fn(&TeamId) -> TeamShareSpec) -> Vec<f64> {
    let demands: Vec<WeightedDemand> = fleet
        .teams
        .iter()
        .map(|(team, demand)| {
            let spec = spec(team);
            WeightedDemand {
                weight: spec.weight,
                demand_slots: f64::from(demand.slots().min(spec.limit_slots)),
            }
        })
        .collect();
    fair_shares(f64::from(fleet.capacity_slots), &demands)
}

/// Spreads the teams' fair shares over the zones; the result is indexed by zone, then by team.
fn fit_to_zones(zones: &[ServiceDemand], fleet: &ServiceDemand, fair: &[f64]) -> Vec<Vec<f64>> {
    let zone_demands: Vec<Vec<f64>> = zones
        .iter()
        .map(|zone| {
            let teams = fleet.teams.keys();
            teams
                .map(|team| f64::from(zone.team(team).slots()))
                .collect()
        })
        .collect();
    let mut fitted = zone_demands.clone();
    for _ in 0..FITTING_ROUNDS {
        for (index, share) in fair.iter().enumerate() {
            let demands: Vec<WeightedDemand> = (0..zones.len())
                .map(|zone| weighted_demand(fitted[zone][index], zone_demands[zone][index]))
                .collect();
            for (zone, slots) in fair_shares(*share, &demands).into_iter().enumerate() {
                fitted[zone][index] = slots;
            }
        }
        for (zone, team_slots) in fitted.iter_mut().enumerate() {
            let capacity = f64::from(zones[zone].capacity_slots);
            if team_slots.iter().sum::<f64>() > capacity {
                let demands: Vec<WeightedDemand> = team_slots
                    .iter()
                    .map(|slots| weighted_demand(*slots, *slots))
                    .collect();
                *team_slots = fair_shares(capacity, &demands);
            }
        }
    }
    fitted
}

const fn weighted_demand(weight: f64, demand_slots: f64) -> WeightedDemand {
    WeightedDemand {
        weight,
        demand_slots,
    }
}

/// Divides `capacity_slots` whole slots in proportion to `demands`.
///
/// All slots are allocated unless no demand is positive. The slots that remain after rounding down
/// go to the largest fractions; `rotation` decides between equal ones.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::divide_slots;
///
/// assert_eq!(divide_slots(8, &[1.0, 1.0, 2.0], 0), [2, 2, 4]);
/// assert_eq!(divide_slots(3, &[1.0, 1.0], 1), [1, 2]);
/// ```
#[must_use]
pub fn divide_slots(capacity_slots: u32, demands: &[f64], rotation: usize) -> Vec<u32> {
    let sum: f64 = demands.iter().sum();
    if demands.is_empty() || sum <= 0.0 {
        return vec![0; demands.len()];
    }
    let exact = |demand: &f64| f64::from(capacity_slots) * demand / sum;
    let mut slots: Vec<u32> = demands
        .iter()
        .map(|demand| exact(demand).floor() as u32)
        .collect();
    let mut remaining = capacity_slots.saturating_sub(slots.iter().sum());
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.rotate_left(rotation % demands.len());
    let fraction = |index: &usize| exact(&demands[*index]).fract();
    order.sort_by(|a, b| fraction(b).total_cmp(&fraction(a)));
    for index in order {
        if remaining > 0 && demands[index] > 0.0 {
            slots[index] += 1;
            remaining -= 1;
        }
    }
    slots
}

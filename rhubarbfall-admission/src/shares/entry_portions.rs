use rhubarbfall_core::{LiteMap, TeamId};

use super::{Claim, ServiceDemand, fair_portions};

/// Rounds in which the portions are fitted to zones and teams by turns.
const FITTING_ROUNDS: usize = 6;

/// What one entry knows of a service when it divides the slots.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceView {
    /// The work at this entry.
    pub entry: ServiceDemand,
    /// The work and the slots of each availability zone that can be reached, this one first.
    pub zones: Vec<ServiceDemand>,
}

/// One team's weight and the most slots that it may hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamShare {
    /// The team's weight.
    pub weight: f64,
    /// The team's upper limit over the fleet.
    pub limit_slots: u32,
}

/// One team's portion at one entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryPortion {
    /// The slots that the team should hold through this entry.
    pub slots: f64,
    /// The slots that the team lacks over the fleet because too much of its work waits here.
    pub lacking_slots: f64,
}

/// Divides the slots of a service over the fleet and returns each team's portion at this entry.
///
/// Each team's fair portion of the fleet is spread over the zones where its work is, so that no
/// zone gets more than its slots and no team more than its work there.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::{ServiceDemand, ServiceView, TeamDemand, TeamShare, entry_portions};
/// use rhubarbfall_core::LiteMap;
///
/// let mut demand = ServiceDemand { capacity_slots: 8, teams: LiteMap::new() };
/// for team in ["house-a", "house-b"] {
///     demand.add(&team.parse()?, TeamDemand { running_slots: 0, waiting_requests: 20 });
/// }
/// let view = ServiceView { entry: demand.clone(), zones: vec![demand] };
/// let share = |_: &_| TeamShare { weight: 1.0, limit_slots: 100 };
/// let portions = entry_portions(&view, share);
/// assert_eq!(portions.get(&"house-a".parse()?).map(|portion| portion.slots), Some(4.0));
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[must_use]
pub fn entry_portions(
    view: &ServiceView,
    share: impl Fn(&TeamId) -> TeamShare,
) -> LiteMap<TeamId, EntryPortion> {
    let Some(own_zone) = view.zones.first() else {
        return LiteMap::new();
    };
    let mut fleet = ServiceDemand::default();
    for zone in &view.zones {
        fleet.add_all(zone);
    }
    let fair = fleet_portions(&fleet, share);
    let fitted = fit(&view.zones, &fleet, &fair);
    let portions = fleet.teams.keys().enumerate().map(|(index, team)| {
        let here = f64::from(own_zone.team(team).slots());
        let own = f64::from(view.entry.team(team).slots());
        let part = if here > 0.0 { own / here } else { 0.0 };
        let placed: f64 = fitted.iter().map(|zone| zone[index]).sum();
        let idle =
            |zone: usize| f64::from(view.zones[zone].team(team).slots()) - fitted[zone][index];
        let all_idle: f64 = (0..view.zones.len()).map(idle).sum();
        let idle_part = if all_idle > 0.0 {
            idle(0) / all_idle
        } else {
            0.0
        };
        let portion = EntryPortion {
            slots: fitted[0][index] * part,
            lacking_slots: (fair[index] - placed).max(0.0) * idle_part * part,
        };
        (team.clone(), portion)
    });
    portions.collect()
}

fn fleet_portions(fleet: &ServiceDemand, share: impl Fn(&TeamId) -> TeamShare) -> Vec<f64> {
    let claims: Vec<Claim> = fleet
        .teams
        .iter()
        .map(|(team, demand)| {
            let share = share(team);
            Claim {
                weight: share.weight,
                demand_slots: f64::from(demand.slots().min(share.limit_slots)),
            }
        })
        .collect();
    fair_portions(f64::from(fleet.capacity_slots), &claims)
}

/// Spreads the teams' portions over the zones, by zone and team.
fn fit(zones: &[ServiceDemand], fleet: &ServiceDemand, fair: &[f64]) -> Vec<Vec<f64>> {
    let demands: Vec<Vec<f64>> = zones
        .iter()
        .map(|zone| {
            let teams = fleet.teams.keys();
            teams
                .map(|team| f64::from(zone.team(team).slots()))
                .collect()
        })
        .collect();
    let mut fitted = demands.clone();
    for _ in 0..FITTING_ROUNDS {
        for (index, portion) in fair.iter().enumerate() {
            let claims: Vec<Claim> = (0..zones.len())
                .map(|zone| claim(fitted[zone][index], demands[zone][index]))
                .collect();
            for (zone, slots) in fair_portions(*portion, &claims).into_iter().enumerate() {
                fitted[zone][index] = slots;
            }
        }
        for (zone, teams) in fitted.iter_mut().enumerate() {
            let capacity = f64::from(zones[zone].capacity_slots);
            if teams.iter().sum::<f64>() > capacity {
                let claims: Vec<Claim> = teams.iter().map(|slots| claim(*slots, *slots)).collect();
                *teams = fair_portions(capacity, &claims);
            }
        }
    }
    fitted
}

const fn claim(weight: f64, demand_slots: f64) -> Claim {
    Claim {
        weight,
        demand_slots,
    }
}

/// Divides whole slots in proportion to `wants`, with nothing left over while anybody wants some.
///
/// `turn` rotates who gets the slots that do not divide evenly.
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
pub fn divide_slots(capacity_slots: u32, wants: &[f64], turn: usize) -> Vec<u32> {
    let sum: f64 = wants.iter().sum();
    if wants.is_empty() || sum <= 0.0 {
        return vec![0; wants.len()];
    }
    let exact = |want: &f64| f64::from(capacity_slots) * want / sum;
    let mut whole: Vec<u32> = wants
        .iter()
        .map(|want| exact(want).floor() as u32)
        .collect();
    let mut left = capacity_slots.saturating_sub(whole.iter().sum());
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.rotate_left(turn % wants.len());
    let rest = |index: &usize| exact(&wants[*index]).fract();
    order.sort_by(|a, b| rest(b).total_cmp(&rest(a)));
    for index in order {
        if left > 0 && wants[index] > 0.0 {
            whole[index] += 1;
            left -= 1;
        }
    }
    whole
}

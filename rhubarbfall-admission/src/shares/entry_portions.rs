use rhubarbfall_core::{LiteMap, TeamId};

use super::{Claim, ServiceDemand, fair_portions};

/// What one entry knows of a service when it divides the slots.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceView {
    /// The work at this entry.
    pub entry: ServiceDemand,
    /// The work and the slots of the availability zone, this entry included.
    pub zone: ServiceDemand,
    /// The work and the slots of every zone that can be reached, this one included.
    pub fleet: ServiceDemand,
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
    /// The slots that the team should hold in other zones for work that waits here.
    pub overflow_slots: f64,
}

/// Divides the slots of a service over the fleet and returns each team's portion at this entry.
///
/// Each team's fair portion of the fleet is spread over the places where its work is. A zone whose
/// portions exceed its slots sends the excess to zones that have slots to spare.
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
/// let view = ServiceView { entry: demand.clone(), zone: demand.clone(), fleet: demand };
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
    let desired = zone_portions(view, share);
    let capacity = f64::from(view.zone.capacity_slots);
    let load: f64 = desired.iter().map(|portion| portion.slots).sum();
    let claims: Vec<Claim> = desired
        .iter()
        .map(|portion| Claim {
            weight: portion.slots,
            demand_slots: portion.demand_slots,
        })
        .collect();
    let here = fair_portions(capacity, &claims);
    let excess = if load > capacity {
        1.0 - capacity / load
    } else {
        0.0
    };
    let portions = desired.iter().zip(here).map(|(zone, slots)| {
        let own = f64::from(view.entry.team(&zone.team).slots());
        let part = if zone.demand_slots > 0.0 {
            own / zone.demand_slots
        } else {
            0.0
        };
        let portion = EntryPortion {
            slots: slots * part,
            overflow_slots: zone.slots * excess * part,
        };
        (zone.team.clone(), portion)
    });
    portions.collect()
}

/// One team's portion of the fleet that falls to a zone.
struct ZonePortion {
    team: TeamId,
    slots: f64,
    demand_slots: f64,
}

/// Divides the fleet's slots, and spreads each team's portion over the zones by its demand.
fn zone_portions(view: &ServiceView, share: impl Fn(&TeamId) -> TeamShare) -> Vec<ZonePortion> {
    let claims: Vec<Claim> = view
        .fleet
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
    let portions = fair_portions(f64::from(view.fleet.capacity_slots), &claims);
    let spread = view
        .fleet
        .teams
        .iter()
        .zip(portions)
        .map(|((team, demand), portion)| {
            let here = f64::from(view.zone.team(team).slots());
            ZonePortion {
                team: team.clone(),
                slots: portion * here / f64::from(demand.slots().max(1)),
                demand_slots: here,
            }
        });
    spread.collect()
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

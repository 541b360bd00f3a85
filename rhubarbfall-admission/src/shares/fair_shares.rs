/// One participant of a weighted max-min division.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// The weight of the participant; one without a positive weight gets nothing.
    pub weight: f64,
    /// The most slots that the participant can use.
    pub demand_slots: f64,
}

/// Returns the weighted max-min fair shares of `capacity_slots`, in the order of `demands`.
///
/// No participant gets more than its demand, and one that gets less has at least as many slots per
/// weight as any other. Uses progressive filling over the demands, sorted by demand per weight.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::{WeightedDemand, fair_shares};
///
/// let demands = [
///     WeightedDemand { weight: 1.0, demand_slots: 2.0 },
///     WeightedDemand { weight: 1.0, demand_slots: 9.0 },
///     WeightedDemand { weight: 2.0, demand_slots: 9.0 },
/// ];
/// assert_eq!(fair_shares(11.0, &demands), [2.0, 3.0, 6.0]);
/// ```
#[must_use]
pub fn fair_shares(capacity_slots: f64, demands: &[WeightedDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|&a, &b| saturation_level(&demands[a]).total_cmp(&saturation_level(&demands[b])));
    let mut weight_left: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut capacity_left = capacity_slots;
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let demand = &demands[index];
        if demand.weight <= 0.0 || weight_left <= 0.0 {
            continue;
        }
        let share = (capacity_left * demand.weight / weight_left).min(demand.demand_slots);
        shares[index] = share;
        capacity_left = (capacity_left - share).max(0.0);
        weight_left -= demand.weight;
    }
    shares
}

/// Returns the slots per weight at which the demand is met.
fn saturation_level(demand: &WeightedDemand) -> f64 {
    if demand.weight > 0.0 {
        demand.demand_slots / demand.weight
    } else {
        f64::INFINITY
    }
}

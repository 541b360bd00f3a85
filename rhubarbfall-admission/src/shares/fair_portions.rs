/// One claimant in a division of slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// The weight of the claimant.
    pub weight: f64,
    /// The most that the claimant can use.
    pub demand_slots: f64,
}

/// Divides `capacity_slots` by weighted max-min fairness.
///
/// No claimant gets more than its demand, and whoever gets less has as much per weight as anybody
/// who gets more. Progressive filling over the claims sorted by demand per weight.
///
/// # Examples
///
/// ```
/// use rhubarbfall_admission::{Claim, fair_portions};
///
/// let claims = [
///     Claim { weight: 1.0, demand_slots: 2.0 },
///     Claim { weight: 1.0, demand_slots: 9.0 },
///     Claim { weight: 2.0, demand_slots: 9.0 },
/// ];
/// assert_eq!(fair_portions(11.0, &claims), [2.0, 3.0, 6.0]);
/// ```
#[must_use]
pub fn fair_portions(capacity_slots: f64, claims: &[Claim]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|&a, &b| saturation_level(&claims[a]).total_cmp(&saturation_level(&claims[b])));
    let mut weight_left: f64 = claims.iter().map(|claim| claim.weight).sum();
    let mut capacity_left = capacity_slots;
    let mut portions = vec![0.0; claims.len()];
    for index in order {
        let claim = &claims[index];
        if claim.weight <= 0.0 || weight_left <= 0.0 {
            continue;
        }
        let portion = (capacity_left * claim.weight / weight_left).min(claim.demand_slots);
        portions[index] = portion;
        capacity_left = (capacity_left - portion).max(0.0);
        weight_left -= claim.weight;
    }
    portions
}

/// The slots per weight at which the claimant wants no more.
fn saturation_level(claim: &Claim) -> f64 {
    if claim.weight > 0.0 {
        claim.demand_slots / claim.weight
    } else {
        f64::INFINITY
    }
}

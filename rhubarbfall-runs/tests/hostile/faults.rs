//! The classes of trouble of a simulation, and what they do to a call.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// A class of trouble that a simulation may contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// Calls and responses are lost, delayed and carried out late.
    Calls,
    /// Workers are cut off.
    Cuts,
    /// Workers crash and start again, some under their name.
    Crashes,
    /// Workers drain and leave.
    Drains,
    /// The worker list loses, delays and repeats rows.
    List,
    /// VMs move and are maintained.
    Vms,
    /// Owners change.
    Owners,
    /// Batches take long.
    Store,
    /// The configuration changes.
    Config,
    /// Runs fail.
    Failures,
    /// Steps are gangs.
    Gangs,
    /// The owner pauses.
    Pauses,
    /// Workers start again under their name and at their address, in series, while short tasks run.
    Restarts,
    /// Availability zones are evacuated and taken back, and the owner learns of it late.
    Zones,
}

impl Trouble {
    /// All classes but [`Trouble::Restarts`] and [`Trouble::Zones`].
    pub(crate) const ALL: [Self; 12] = [
        Self::Calls,
        Self::Cuts,
        Self::Crashes,
        Self::Drains,
        Self::List,
        Self::Vms,
        Self::Owners,
        Self::Store,
        Self::Config,
        Self::Failures,
        Self::Gangs,
        Self::Pauses,
    ];
}

/// What happens to one call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fate {
    /// When the call is carried out, or `None` if it is lost.
    pub(crate) delivered_after: Option<Duration>,
    /// How long the response takes, or `None` if it is lost.
    pub(crate) answered_after: Option<Duration>,
}

impl Fate {
    pub(crate) fn sample(has_trouble: bool, rng: &mut ChaCha8Rng) -> Self {
        let millis = Duration::from_millis;
        let mut fate = Self {
            delivered_after: Some(millis(rng.random_range(1..8))),
            answered_after: Some(millis(rng.random_range(1..8))),
        };
        if !has_trouble {
            return fate;
        }
        match rng.random_range(0..12) {
            0 => fate.delivered_after = None,
            1 => fate.answered_after = None,
            2 => fate.delivered_after = Some(millis(rng.random_range(700..5_000))),
            3 => fate.delivered_after = Some(millis(rng.random_range(50..600))),
            4 | 5 => fate.answered_after = Some(millis(rng.random_range(50..1_000))),
            _ => {}
        }
        fate
    }
}

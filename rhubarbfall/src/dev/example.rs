use std::fmt::Write as _;
use std::time::Duration;

use rhubarbfall_document::{Pepper, digest_key};

/// The pepper with which a development fleet digests keys.
pub(super) const KEY_PEPPER: &str = "development-pepper-0123456789";

pub(super) const FLEET_KEY: &str = "development-fleet-key-0123456789";

pub(super) const OPERATOR_KEY: &str = "operator-key";

/// The availability budget of every pool: how many of its VMs may be unavailable at once.
pub(super) const MAX_UNAVAILABLE_VMS: u32 = 2;

const SLOTS_PER_UPSTREAM: u32 = 8;

/// A team of an example fleet, with its limit, its share weight and its part of the demand.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExampleTeam {
    pub(super) name: &'static str,
    pub(super) upper_limit_slots: u32,
    pub(super) share_weight: u32,
    /// The team's demand, relative to the demand of the other teams.
    pub(super) demand_weight: u32,
}

/// An example fleet, shaped like one of the users' fleets.
#[derive(Debug, Clone, Copy)]
pub(super) struct Example {
    pub(super) name: &'static str,
    pub(super) zones: &'static [&'static str],
    pub(super) entries_per_zone: usize,
    pub(super) services: &'static [&'static str],
    pub(super) upstreams_per_service: usize,
    pub(super) teams: &'static [ExampleTeam],
    pub(super) work_time: Duration,
}

const fn team(
    name: &'static str,
    upper_limit_slots: u32,
    share_weight: u32,
    demand_weight: u32,
) -> ExampleTeam {
    ExampleTeam {
        name,
        upper_limit_slots,
        share_weight,
        demand_weight,
    }
}

/// Slot labels for parcel houses: three zones, six teams, two of them large.
pub(super) const SORTING: Example = Example {
    name: "sorting",
    zones: &["zone-a", "zone-b", "zone-c"],
    entries_per_zone: 3,
    services: &["labels", "manifests", "routing", "reconcile", "reports"],
    upstreams_per_service: 9,
    teams: &[
        team("house-a", 60, 4, 8),
        team("house-b", 40, 4, 8),
        team("house-c", 24, 2, 2),
        team("house-d", 24, 2, 2),
        team("customs", 12, 1, 1),
        team("audit", 12, 1, 1),
    ],
    work_time: Duration::from_millis(200),
};

/// Pitch permits for municipalities: four zones, six teams, two of them large.
pub(super) const PERMITS: Example = Example {
    name: "permits",
    zones: &["zone-a", "zone-b", "zone-c", "zone-d"],
    entries_per_zone: 2,
    services: &["booking", "permits", "payments", "renewal", "audit"],
    upstreams_per_service: 8,
    teams: &[
        team("delft", 50, 4, 8),
        team("gouda", 40, 3, 6),
        team("zwolle", 24, 2, 2),
        team("hoorn", 24, 2, 2),
        team("kampen", 12, 1, 1),
        team("veere", 12, 1, 1),
    ],
    work_time: Duration::from_millis(200),
};

impl Example {
    /// Returns the example with this name, if there is one.
    pub(super) fn by_name(name: &str) -> Option<Self> {
        [SORTING, PERMITS]
            .into_iter()
            .find(|example| example.name == name)
    }

    /// Returns the number of slots of each service.
    pub(super) fn slots_per_service(&self) -> u32 {
        self.upstreams_per_service as u32 * SLOTS_PER_UPSTREAM
    }

    /// Returns the first document of the fleet as TOML.
    pub(super) fn document(&self) -> String {
        let mut text = String::new();
        for service in self.services {
            let _ = write!(
                text,
                "[[fleet.pool]]\nid = \"{service}-pool\"\nmax_unavailable_vms = {MAX_UNAVAILABLE_VMS}\nmin_vms = 1\n\n\
                 [[fleet.service]]\nid = \"{service}\"\npool = \"{service}-pool\"\n\
                 slots_per_upstream = {SLOTS_PER_UPSTREAM}\nconnections_per_upstream = 64\n\
                 answer_timeout_ms = 20000\n\n\
                 [[fleet.queue]]\nid = \"{service}\"\nservice = \"{service}\"\n\
                 access = {{ teams = [{}] }}\nmax_waiting_per_team = 2000\n\n",
                self.quoted_team_names(),
            );
        }
        for team in self.teams {
            let _ = write!(
                text,
                "[[fleet.team]]\nid = \"{}\"\nupper_limit_slots = {}\nshare_weight = {}\n\n",
                team.name, team.upper_limit_slots, team.share_weight,
            );
        }
        text.push_str(&self.keys(None));
        text
    }

    /// Returns the section of keys as TOML, without the withdrawn key.
    pub(super) fn keys(&self, withdrawn: Option<&str>) -> String {
        let mut text = String::new();
        write_key(&mut text, OPERATOR_KEY, "operator = \"duty\"");
        for team in self.teams {
            let owner = format!("team = \"{}\"", team.name);
            let keys = [team_key(team.name), second_key(team.name)];
            for key in keys.iter().filter(|key| Some(key.as_str()) != withdrawn) {
                write_key(&mut text, key, &owner);
            }
        }
        text
    }

    fn quoted_team_names(&self) -> String {
        let names: Vec<String> = self
            .teams
            .iter()
            .map(|team| format!("\"{}\"", team.name))
            .collect();
        names.join(", ")
    }
}

/// Returns the key with which a team's load is sent.
pub(super) fn team_key(team: &str) -> String {
    format!("{team}-key")
}

/// Returns a team's second key, which a run may withdraw.
pub(super) fn second_key(team: &str) -> String {
    format!("{team}-second-key")
}

fn write_key(text: &mut String, key: &str, owner: &str) {
    let Ok(pepper) = KEY_PEPPER.parse::<Pepper>() else {
        return;
    };
    let digest = digest_key(&pepper, key);
    let _ = write!(
        text,
        "[[keys.key]]\ndigest = \"{digest}\"\nlabel = \"{key}\"\n{owner}\n\n"
    );
}

use rhubarbfall_core::{LiteMap, PoolId, QueueId, Revision, ServiceId, TeamId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::{
    FleetSection, KeyDigest, KeySpec, KeysSection, PoolSpec, QueueSpec, Section, SectionId,
    ServiceSpec, TeamSection, TeamSpec,
};

/// The state of every section at one revision.
///
/// Look-ups are binary searches in sorted lists. A document that was parsed or read from the table
/// is sorted; others need [`Document::sorted`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Revision of this state.
    #[serde(default)]
    pub revision: Revision,
    /// Pools, services, queues and the limits of teams.
    #[serde(default)]
    pub fleet: FleetSection,
    /// Granted keys.
    #[serde(default)]
    pub keys: KeysSection,
    /// Sections of the teams.
    #[serde(default, rename = "team", skip_serializing_if = "LiteMap::is_empty")]
    pub teams: LiteMap<TeamId, TeamSection>,
}

impl Document {
    /// Returns the document with every list sorted as the look-ups require: keys by digest, all
    /// other lists by identifier.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.fleet.drained_upstreams.sort();
        self.fleet.pools.sort_by(|a, b| a.id.cmp(&b.id));
        self.fleet.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.fleet.queues.sort_by(|a, b| a.id.cmp(&b.id));
        self.fleet.teams.sort_by(|a, b| a.id.cmp(&b.id));
        self.keys.keys.sort_by_key(|key| key.digest);
        self
    }

    /// Returns the pool with this identifier.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        find(&self.fleet.pools, id, |pool| &pool.id)
    }

    /// Returns the queue with this identifier.
    pub fn queue(&self, id: &QueueId) -> Option<&QueueSpec> {
        find(&self.fleet.queues, id, |queue| &queue.id)
    }

    /// Returns the service with this identifier.
    pub fn service(&self, id: &ServiceId) -> Option<&ServiceSpec> {
        find(&self.fleet.services, id, |service| &service.id)
    }

    /// Returns the limits of the team with this identifier.
    pub fn team(&self, id: &TeamId) -> Option<&TeamSpec> {
        find(&self.fleet.teams, id, |team| &team.id)
    }

    /// Returns whether operators have drained this upstream.
    pub fn is_drained(&self, id: &UpstreamId) -> bool {
        self.fleet.drained_upstreams.binary_search(id).is_ok()
    }

    /// Returns the granted key with this digest.
    ///
    /// The binary search is not constant-time, but it compares keyed digests, whose order cannot be
    /// predicted without the pepper. The candidate is then verified in constant time.
    pub fn key(&self, digest: &KeyDigest) -> Option<&KeySpec> {
        let keys = &self.keys.keys;
        let index = keys.partition_point(|key| key.digest < *digest);
        keys.get(index).filter(|key| key.digest.matches(digest))
    }

    /// Returns the contents of a section; the section of a team that has set nothing is empty.
    pub fn section(&self, id: &SectionId) -> Section {
        match id {
            SectionId::Fleet => Section::Fleet(self.fleet.clone()),
            SectionId::Keys => Section::Keys(self.keys.clone()),
            SectionId::Team(team) => {
                Section::Team(self.teams.get(team).cloned().unwrap_or_default())
            }
        }
    }

    /// Replaces the contents of a section; contents of another kind of section are ignored.
    pub fn set_section(&mut self, id: &SectionId, section: Section) {
        match (id, section) {
            (SectionId::Fleet, Section::Fleet(fleet)) => self.fleet = fleet,
            (SectionId::Keys, Section::Keys(keys)) => self.keys = keys,
            (SectionId::Team(team), Section::Team(body)) => {
                self.teams.insert(team.clone(), body);
            }
            _ => {}
        }
    }

    /// Returns the identifiers of the document's sections, in ascending order.
    pub fn section_ids(&self) -> Vec<SectionId> {
        let teams = self.teams.keys().cloned().map(SectionId::Team);
        [SectionId::Fleet, SectionId::Keys]
            .into_iter()
            .chain(teams)
            .collect()
    }
}

fn find<'a, T, K: Ord>(list: &'a [T], id: &K, id_of: impl Fn(&T) -> &K) -> Option<&'a T> {
    let index = list.binary_search_by(|item| id_of(item).cmp(id)).ok()?;
    Some(&list[index])
}

use rhubarbfall_core::{AvailabilityZoneId, EntryId, Incarnation, LiteMap};
use rhubarbfall_wire::messages::membership::{Roster, RosterMember};

use super::peer_state::PeerState;
use super::state::Gossip;
use crate::Member;

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

impl Gossip {
    /// Adds members and later incarnations of known ones; removed incarnations stay removed.
    pub fn add_members(&mut self, members: impl IntoIterator<Item = (EntryId, Member)>) {
        let mut has_changed = false;
        for (entry, member) in members {
            if self.is_newer(&entry, &member) {
                self.peers.insert(entry, PeerState::new(member));
                has_changed = true;
            }
        }
        if has_changed {
            self.update_roster_state();
        }
    }

    /// Removes a member that the platform lists as gone, or whose row has been deleted.
    pub fn remove_member(&mut self, entry: &EntryId) {
        let Some(peer) = self.peers.remove(entry) else {
            return;
        };
        self.removed.insert(entry.clone(), peer.member.incarnation);
        self.update_roster_state();
    }

    /// Returns every member, this process included, to send to a peer with a different roster.
    #[must_use]
    pub fn roster(&self) -> Roster {
        let own = [(&self.entry, &self.own)];
        let members = self.members().chain(own);
        Roster {
            members: members.map(to_message).collect(),
        }
    }

    /// Adds the members of a peer's roster; malformed ones are skipped.
    pub fn receive_roster(&mut self, roster: &Roster) {
        self.add_members(roster.members.iter().filter_map(from_message));
    }

    /// Returns whether `incarnation` is a later process of this entry, which supersedes this one.
    #[must_use]
    pub fn is_superseded_by(&self, entry: &EntryId, incarnation: Incarnation) -> bool {
        *entry == self.entry && incarnation > self.own.incarnation
    }

    fn is_newer(&self, entry: &EntryId, member: &Member) -> bool {
        if *entry == self.entry || self.removed.get(entry) >= Some(&member.incarnation) {
            return false;
        }
        let known = self.peers.get(entry).map(|peer| peer.member.incarnation);
        known < Some(member.incarnation)
    }

    pub(super) fn update_roster_state(&mut self) {
        let members = self.peers.iter().map(|(entry, peer)| {
            let member = &peer.member;
            (entry.clone(), member.zone.clone(), member.incarnation)
        });
        let members: Vec<_> = members.collect();
        self.freshness.set_members(members);
        self.roster_digest = self.digest();
        self.zones = self.entries_by_zone();
    }

    fn entries_by_zone(&self) -> LiteMap<AvailabilityZoneId, Vec<EntryId>> {
        let own = [(&self.entry, &self.own)];
        let mut members: Vec<_> = self.members().chain(own).collect();
        members.sort_by_key(|(entry, _)| *entry);
        let mut zones: LiteMap<AvailabilityZoneId, Vec<EntryId>> = LiteMap::new();
        for (entry, member) in members {
            match zones.get_mut(&member.zone) {
                Some(entries) => entries.push(entry.clone()),
                None => {
                    zones.insert(member.zone.clone(), vec![entry.clone()]);
                }
            }
        }
        zones
    }

    fn digest(&self) -> u64 {
        let own = [(&self.entry, &self.own)];
        let mut members: Vec<_> = self.members().chain(own).collect();
        members.sort_by_key(|(entry, _)| *entry);
        let mut hash = FNV_OFFSET;
        for (entry, member) in members {
            hash = fnv(hash, entry.as_str().as_bytes());
            hash = fnv(hash, member.zone.as_str().as_bytes());
            hash = fnv(hash, &member.incarnation.get().to_be_bytes());
        }
        hash
    }
}

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    let separated = bytes.iter().chain(&[0]);
    separated.fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

fn to_message((entry, member): (&EntryId, &Member)) -> RosterMember {
    RosterMember {
        entry: entry.to_string(),
        zone: member.zone.to_string(),
        incarnation: member.incarnation.get(),
        address: member.address.to_string(),
    }
}

fn from_message(message: &RosterMember) -> Option<(EntryId, Member)> {
    let member = Member {
        zone: message.zone.parse().ok()?,
        incarnation: Incarnation::new(message.incarnation),
        address: message.address.parse().ok()?,
    };
    Some((message.entry.parse().ok()?, member))
}

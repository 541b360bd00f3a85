use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use prost::Message;
use rhubarbfall_admission::{ServiceDemand, TeamDemand};
use rhubarbfall_core::{AvailabilityZoneId, EntryId, LiteMap, ServiceId};
use rhubarbfall_wire::messages::admission::{
    ServiceSummary, TeamSummary, WORK_SUMMARY_KIND, WorkSummary,
};
use rhubarbfall_wire::{PeerNetwork, Received};

use crate::Shared;

/// Interval between broadcasts of this entry's demand.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of a summary; the entry of an older one counts as unreachable and is left out.
const MAX_SUMMARY_AGE: Duration = Duration::from_secs(3);

/// The demand that the other entries have reported.
#[derive(Debug, Clone, Default)]
pub(super) struct WorkSummaries {
    known: Arc<Mutex<LiteMap<EntryId, EntrySummary>>>,
    sent_at: Arc<Mutex<Option<Instant>>>,
}

#[derive(Debug)]
struct EntrySummary {
    zone: AvailabilityZoneId,
    received_at: Instant,
    services: LiteMap<ServiceId, ServiceDemand>,
}

impl WorkSummaries {
    pub(super) fn register(shared: &Arc<Shared>, network: &PeerNetwork) -> Self {
        let summaries = Self::default();
        let receiver = summaries.clone();
        let clock = Arc::clone(&shared.clock);
        network.register(WORK_SUMMARY_KIND, move |received| {
            receiver.receive(clock.now(), &received);
        });
        summaries
    }

    fn receive(&self, now: Instant, received: &Received) {
        let Ok(message) = WorkSummary::decode(received.payload.as_ref()) else {
            return;
        };
        let services = message.services.iter().filter_map(decode).collect();
        let known = EntrySummary {
            zone: received.zone.clone(),
            received_at: now,
            services,
        };
        self.known.lock().insert(received.sender.clone(), known);
    }

    /// Broadcasts this entry's demand if due, and recomputes the division of each service's slots.
    pub(super) fn exchange_and_divide(&self, shared: &Arc<Shared>, network: &PeerNetwork) {
        let now = shared.clock.now();
        let capacity = shared.dispatcher.capacity_slots();
        if self.is_send_due(now) {
            let own = shared
                .dispatcher
                .with_admission(|admission| admission.summary());
            network.broadcast_all(WORK_SUMMARY_KIND, encode(&own, &capacity).encode_to_vec());
        }
        let mut known = self.known.lock();
        known.retain(|_, known| now.duration_since(known.received_at) < MAX_SUMMARY_AGE);
        let own_zone = &network.identity().zone;
        for (service, capacity_slots) in &capacity {
            let mut zones: LiteMap<&AvailabilityZoneId, ServiceDemand> = LiteMap::new();
            for known in known.values() {
                if let Some(demand) = known.services.get(service) {
                    let zone = zones.entry(&known.zone).or_default();
                    let capacity_slots = zone.capacity_slots.max(demand.capacity_slots);
                    zone.add_all(demand);
                    zone.capacity_slots = capacity_slots;
                }
            }
            let mut zone = zones.remove(&own_zone).unwrap_or_default();
            zone.capacity_slots = *capacity_slots;
            let others: Vec<ServiceDemand> = zones.values().cloned().collect();
            shared
                .dispatcher
                .with_admission(|admission| admission.divide(now, service, &zone, &others));
        }
    }

    fn is_send_due(&self, now: Instant) -> bool {
        let mut sent_at = self.sent_at.lock();
        let is_due = sent_at.is_none_or(|at| now >= at + SEND_INTERVAL);
        if is_due {
            *sent_at = Some(now);
        }
        is_due
    }
}

fn encode(
    own: &LiteMap<ServiceId, ServiceDemand>,
    capacity: &LiteMap<ServiceId, u32>,
) -> WorkSummary {
    let services = capacity.iter().map(|(service, capacity_slots)| {
        let teams = own.get(service).into_iter().flat_map(|demand| {
            demand.teams.iter().map(|(team, demand)| TeamSummary {
                team: team.to_string(),
                running_slots: demand.running_slots,
                waiting_requests: demand.waiting_requests,
            })
        });
        ServiceSummary {
            service: service.to_string(),
            capacity_slots: *capacity_slots,
            teams: teams.collect(),
        }
    });
    WorkSummary {
        services: services.collect(),
    }
}

fn decode(summary: &ServiceSummary) -> Option<(ServiceId, ServiceDemand)> {
    let teams = summary.teams.iter().filter_map(|team| {
        let demand = TeamDemand {
            running_slots: team.running_slots,
            waiting_requests: team.waiting_requests,
        };
        Some((team.team.parse().ok()?, demand))
    });
    let demand = ServiceDemand {
        capacity_slots: summary.capacity_slots,
        teams: teams.collect(),
    };
    Some((summary.service.parse().ok()?, demand))
}

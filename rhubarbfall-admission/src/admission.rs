use std::time::{Duration, Instant};

use rhubarbfall_core::{LiteMap, QueueId, ResultCode, ServiceId, ShareWeight, TeamId};
use rhubarbfall_document::Document;

use crate::AdmissionSettings;
use crate::admission_snapshot::AdmissionSnapshot;
use crate::queue::{Rejection, SubmitOutcome, Ticket, WorkClass, WorkRequest, WorkSlab, WorkState};
use crate::rights::Rights;
use crate::service_queues::ServiceQueues;
use crate::shares::{ServiceDemand, ServiceView, TeamShareSpec, entry_shares};

/// The retry delay where no expected wait is known, and its lower bound when a queue is full.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request is known to have completed at its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// No upstream is running the request.
    Confirmed,
    /// An upstream may still be running the request.
    Unknown,
}

/// Queues, fair shares and rights of one entry: decides which requests wait and which start next.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use rhubarbfall_admission::{
///     Admission, AdmissionSettings, Rights, RightsSettings, SubmitOutcome, WorkClass, WorkRequest,
/// };
/// use rhubarbfall_core::Incarnation;
///
/// let now = Instant::now();
/// let rights = Rights::new("entry-1".parse()?, Incarnation::new(1), RightsSettings::default());
/// let mut admission = Admission::new(AdmissionSettings::default(), rights);
/// let outcome = admission.submit(now, &WorkRequest {
///     team: "house-a".parse()?,
///     queue: "labels-urgent".parse()?,
///     service: "labels".parse()?,
///     class: WorkClass::Urgent,
///     deadline: now + Duration::from_secs(5),
/// });
/// assert!(matches!(outcome, SubmitOutcome::Queued { .. }));
/// // The team holds no right yet, so nothing starts.
/// assert!(admission.start_next(now, &"labels".parse()?, 8).is_empty());
/// # Ok::<(), rhubarbfall_core::ParseIdError>(())
/// ```
#[derive(Debug, Clone)]
pub struct Admission {
    settings: AdmissionSettings,
    rights: Rights,
    work: WorkSlab,
    services: LiteMap<ServiceId, ServiceQueues>,
    weights: LiteMap<TeamId, TeamWeights>,
    limits: LiteMap<TeamId, u32>,
    max_waiting: LiteMap<QueueId, u32>,
    waiting: u32,
    expired: Vec<Ticket>,
}

#[derive(Debug, Clone)]
struct TeamWeights {
    share: ShareWeight,
    queues: LiteMap<QueueId, ShareWeight>,
}

impl Admission {
    /// Creates an instance with empty queues and no document.
    #[must_use]
    pub fn new(settings: AdmissionSettings, rights: Rights) -> Self {
        Self {
            settings,
            rights,
            work: WorkSlab::default(),
            services: LiteMap::new(),
            weights: LiteMap::new(),
            limits: LiteMap::new(),
            max_waiting: LiteMap::new(),
            waiting: 0,
            expired: Vec::new(),
        }
    }

    /// Returns the rights of this entry under the teams' upper limits.
    #[must_use]
    pub const fn rights(&self) -> &Rights {
        &self.rights
    }

    /// Returns the rights mutably, for lending, borrowing and ledger writes.
    pub const fn rights_mut(&mut self) -> &mut Rights {
        &mut self.rights
    }

    /// Applies the limits, weights and queues of a document.
    pub fn set_document(&mut self, document: &Document) {
        let teams = &document.fleet.teams;
        let limits = teams
            .iter()
            .map(|team| (team.id.clone(), team.upper_limit_slots));
        self.rights.set_limits(limits, document.revision);
        let services = document.fleet.services.iter();
        let longest_ms = services.map(|service| service.answer_timeout_ms).max();
        self.rights
            .set_longest_request(Duration::from_millis(longest_ms.unwrap_or_default()));
        self.limits = teams
            .iter()
            .map(|team| (team.id.clone(), team.upper_limit_slots.get()))
            .collect();
        let weights = teams.iter().map(|team| {
            let section = document.teams.get(&team.id);
            let weights = TeamWeights {
                share: team.share_weight,
                queues: section.map_or_else(LiteMap::new, |section| section.queue_weights.clone()),
            };
            (team.id.clone(), weights)
        });
        self.weights = weights.collect();
        let queues = document.fleet.queues.iter();
        self.max_waiting = queues
            .map(|queue| (queue.id.clone(), queue.max_waiting_per_team))
            .collect();
    }

    /// Queues a request for its team, or rejects it before anything has run.
    pub fn submit(&mut self, now: Instant, request: &WorkRequest) -> SubmitOutcome {
        if self.limits.get(&request.team) == Some(&0) {
            return reject(ResultCode::UpperLimitReached, DEFAULT_RETRY_AFTER);
        }
        if self.services.get(&request.service).is_none() {
            self.services
                .insert(request.service.clone(), ServiceQueues::default());
        }
        if let Some(rejection) = self.find_rejection(now, request) {
            return SubmitOutcome::Rejected(rejection);
        }
        let shed = if self.waiting >= self.settings.max_waiting {
            match self.shed(request) {
                Some(shed) => Some(shed),
                None => return reject(ResultCode::Overloaded, DEFAULT_RETRY_AFTER),
            }
        } else {
            None
        };
        SubmitOutcome::Queued {
            ticket: self.enqueue(request),
            shed,
        }
    }

    /// Returns why a request must be rejected: its queue is full or its deadline cannot be met.
    fn find_rejection(&mut self, now: Instant, request: &WorkRequest) -> Option<Rejection> {
        let service = self.services.get_mut(&request.service)?;
        let index = service.find_or_insert(&request.team);
        let queue = &service.queues[index];
        let urgent = queue.waiting(WorkClass::Urgent);
        let ahead = match request.class {
            WorkClass::Urgent => urgent,
            WorkClass::Batch => urgent + queue.waiting(WorkClass::Batch),
        };
        let wait = service.expected_wait(index, ahead);
        let of_queue = self.max_waiting.get(&request.queue).copied();
        let is_full = service.loads[index].waiting >= self.settings.max_waiting_per_team
            || queue.waiting_in(&request.queue) as u32 >= of_queue.unwrap_or(u32::MAX);
        if is_full {
            let retry_after = wait.max(DEFAULT_RETRY_AFTER);
            return Some(Rejection {
                code: ResultCode::QueueFull,
                retry_after,
            });
        }
        let left = request.deadline.saturating_duration_since(now);
        (wait > left).then(|| Rejection {
            code: ResultCode::DeadlineUnreachable,
            retry_after: wait.saturating_sub(left),
        })
    }

    /// Sheds a batch request to make room for an urgent one: the newest one of the team queue with
    /// the most waiting batch requests, over all services.
    fn shed(&mut self, request: &WorkRequest) -> Option<Ticket> {
        if request.class == WorkClass::Batch {
            return None;
        }
        let work = &self.work;
        let teams = self.services.values().flat_map(|service| &service.queues);
        let longest = teams.max_by_key(|queue| queue.waiting(WorkClass::Batch))?;
        let ticket = longest.newest_batch(|ticket| work.is_waiting(ticket))?;
        self.cancel(ticket).then_some(ticket)
    }

    fn enqueue(&mut self, request: &WorkRequest) -> Ticket {
        let weight = self.queue_weight(&request.team, &request.queue);
        let ticket = self.work.insert(request.clone());
        let service = self.services.get_mut(&request.service);
        let service = service.expect("submit inserts the service before queueing");
        let index = service.find_or_insert(&request.team);
        service.queues[index].push(&request.queue, weight, request.class, ticket);
        service.loads[index].waiting += 1;
        self.waiting += 1;
        self.change_waiting(&request.team, 1);
        ticket
    }

    fn queue_weight(&self, team: &TeamId, queue: &QueueId) -> f64 {
        let weights = self.weights.get(team);
        let weight = weights.and_then(|weights| weights.queues.get(queue));
        weight.map_or(1.0, |weight| f64::from(weight.get()))
    }

    fn change_waiting(&mut self, team: &TeamId, change: i32) {
        self.rights.change_waiting(team, change);
    }

    /// Starts waiting requests on at most `free_slots` slots of the service, and returns their
    /// tickets.
    ///
    /// Each holds a right until [`Admission::finish`] is called for it.
    pub fn start_next(
        &mut self,
        now: Instant,
        service: &ServiceId,
        free_slots: u32,
    ) -> Vec<Ticket> {
        let mut starts = Vec::new();
        let Some(queues) = self.services.get_mut(service) else {
            return starts;
        };
        let mut blocked = Vec::new();
        while (starts.len() as u32) < free_slots {
            let Some(index) = queues.most_underserved(&blocked) else {
                break;
            };
            if !self.rights.try_acquire(now, queues.team(index)) {
                blocked.push(index);
                continue;
            }
            let work = &mut self.work;
            let ticket = queues.queues[index].pop(|ticket| work.is_waiting(ticket));
            queues.loads[index].waiting -= 1;
            self.waiting -= 1;
            self.rights.change_waiting(queues.team(index), -1);
            let item = ticket.and_then(|ticket| Some((ticket, work.get_mut(ticket)?)));
            match item {
                Some((ticket, item)) if item.request.deadline > now => {
                    item.state = WorkState::Running { started_at: now };
                    queues.loads[index].running += 1;
                    starts.push(ticket);
                }
                Some((ticket, _)) => {
                    self.rights.release(now, queues.team(index));
                    self.work.remove(ticket);
                    self.expired.push(ticket);
                }
                None => self.rights.release(now, queues.team(index)),
            }
        }
        starts
    }

    /// Removes and returns the requests whose deadline passed while they waited; none has run.
    pub fn take_expired(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.expired)
    }

    /// Records the end of a running request and releases its right, after the request hold time if
    /// its completion is unknown.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, completion: Completion) {
        let Some(item) = self.work.get(ticket) else {
            return;
        };
        let WorkState::Running { started_at } = item.state else {
            return;
        };
        let Some(item) = self.work.remove(ticket) else {
            return;
        };
        let request = item.request;
        if let Some(service) = self.services.get_mut(&request.service) {
            if let Some(index) = service.find(&request.team) {
                service.loads[index].running -= 1;
            }
            service.record_service_time(now.saturating_duration_since(started_at));
        }
        match completion {
            Completion::Confirmed => self.rights.release(now, &request.team),
            Completion::Unknown => self.rights.release_later(now, &request.team),
        }
    }

    /// Removes a waiting request from its queue; returns `false` if the request is not waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        if !self.work.is_waiting(ticket) {
            return false;
        }
        let Some(item) = self.work.remove(ticket) else {
            return false;
        };
        let request = item.request;
        let work = &self.work;
        if let Some(service) = self.services.get_mut(&request.service)
            && let Some(index) = service.find(&request.team)
        {
            let is_waiting = |ticket| work.is_waiting(ticket);
            service.queues[index].remove(&request.queue, request.class, is_waiting);
            service.loads[index].waiting -= 1;
        }
        self.waiting -= 1;
        self.change_waiting(&request.team, -1);
        true
    }

    /// Recomputes the teams' shares of a service's slots.
    ///
    /// `zone` is the demand at the other entries of this zone and `other_zones` that of each other
    /// zone, as far as recent summaries are known; capacities count the upstreams that accept work.
    pub fn divide(
        &mut self,
        now: Instant,
        service: &ServiceId,
        zone: &ServiceDemand,
        other_zones: &[ServiceDemand],
    ) {
        let limits = &self.limits;
        let weights = &self.weights;
        let Some(queues) = self.services.get_mut(service) else {
            return;
        };
        let entry = queues.demand();
        let mut zone = zone.clone();
        zone.add_all(&entry);
        let mut zones = vec![zone];
        zones.extend_from_slice(other_zones);
        let view = ServiceView { entry, zones };
        let spec = |team: &TeamId| TeamShareSpec {
            weight: weights
                .get(team)
                .map_or(1.0, |weights| f64::from(weights.share.get())),
            limit_slots: limits.get(team).copied().unwrap_or_default(),
        };
        queues.divide(now, &entry_shares(&view, spec));
        queues.remove_idle();
    }

    /// Returns the sum of all teams' shares of a service at this entry, in slots.
    #[must_use]
    pub fn wanted_slots(&self, service: &ServiceId) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, ServiceQueues::wanted_slots)
    }

    /// Returns the slots that a team should use in other zones for work that waits at this entry.
    #[must_use]
    pub fn overflow_slots(&self, service: &ServiceId, team: &TeamId) -> f64 {
        let queues = self.services.get(service);
        let overflow = queues.and_then(|queues| queues.overflow_slots.get(team));
        overflow.copied().unwrap_or_default()
    }

    /// Returns the demand at this entry by service, for the exchange with other entries.
    #[must_use]
    pub fn summary(&self) -> LiteMap<ServiceId, ServiceDemand> {
        self.services
            .iter()
            .map(|(id, queues)| (id.clone(), queues.demand()))
            .collect()
    }

    /// Returns the number of requests that wait for a service at this entry.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId) -> u32 {
        self.services.get(service).map_or(0, ServiceQueues::waiting)
    }

    /// Returns a snapshot of queues and rights for the state dump.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> AdmissionSnapshot {
        AdmissionSnapshot {
            waiting_requests: self.waiting,
            services: self.summary(),
            rights: self.rights.snapshot(now),
        }
    }
}

const fn reject(code: ResultCode, retry_after: Duration) -> SubmitOutcome {
    SubmitOutcome::Rejected(Rejection { code, retry_after })
}

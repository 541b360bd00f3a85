use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{CustomerId, QueueId, ServiceId};

use crate::Resources;

/// The operator's configuration of queues, services and customers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// The configuration's version, which increases with each change.
    pub version: u64,
    /// The queues, sorted by name for binary search: there may be a thousand, and each job's queue
    /// is looked up many times a second.
    pub queues: Vec<Queue>,
    /// The services that run the queues' tasks, in no particular order.
    pub services: Vec<Service>,
    /// The customers that may submit work.
    pub customers: Vec<Customer>,
}

/// A queue and the host and path under which callers reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// The name of the queue.
    pub id: QueueId,
    /// The host name that callers use.
    pub host: Arc<str>,
    /// The prefix of the request paths that belong to the queue.
    pub path_prefix: Arc<str>,
    /// The service whose workers run the queue's tasks.
    pub service: ServiceId,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task after which its submission fails; at least 1 applies.
    pub max_attempts: u32,
    /// The factor by which the critical path enters the time allowed for a submission; at least 1
    /// applies.
    pub stretch: f64,
    /// The time allowed for a submission beyond `stretch` times its critical path.
    pub objective: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// The timing of the advice service, if starting the queue's tasks requires its tickets.
    pub advice: Option<AdviceTiming>,
}

/// The timing of calls to the advice service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceTiming {
    /// The base duration of a call.
    pub call_time: Duration,
    /// The additional duration per worker named in the call.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub ticket_validity: Duration,
}

/// A service and its pool of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub id: ServiceId,
    /// Whether the service's workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Whether the service is the spare pool, whose VMs are switched off until another pool needs
    /// them.
    pub is_spare: bool,
}

/// A customer with its keys and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// The name of the customer.
    pub id: CustomerId,
    /// The API keys that are currently valid.
    pub keys: Vec<Arc<str>>,
    /// The submissions per second above which further submissions are ranked as excess.
    pub weight: u32,
    /// The resources that the customer's tasks may use at the same time; zero means no limit.
    pub limit: Resources,
}

impl FleetConfig {
    /// Returns whether starting a queue's tasks requires a ticket from the advice service.
    #[must_use]
    pub fn needs_ticket(&self, queue: &QueueId) -> bool {
        self.queue(queue)
            .is_some_and(|queue| queue.advice.is_some())
    }

    /// Returns the queue with this host and the longest matching path prefix.
    ///
    /// # Examples
    ///
    /// ```
    /// use rhubarbfall_runs::FleetConfig;
    ///
    /// assert!(FleetConfig::default().route("a.example", "/labels/7").is_none());
    /// ```
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| *queue.host == *host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the queue with this name.
    #[must_use]
    pub fn queue(&self, id: &QueueId) -> Option<&Queue> {
        let index = self.queues.binary_search_by(|queue| queue.id.cmp(id));
        index.ok().map(|index| &self.queues[index])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Returns the customer with this name.
    #[must_use]
    pub fn customer(&self, id: &CustomerId) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.id == *id)
    }

    /// Returns the customer that owns an API key.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.keys.iter().any(|held| **held == *key))
    }
}

use std::sync::Arc;
use std::time::Duration;

use rhubarbfall_core::{CustomerId, QueueId, ServiceId};

use crate::Resources;

/// The operator's configuration: queues, services and customers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Rises with each change.
    pub version: u64,
    /// The queues, sorted by name: there may be a thousand, and each job's is looked up many times a
    /// second.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// The customers.
    pub customers: Vec<Customer>,
}

/// A queue, and how callers reach it.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub id: QueueId,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the path begins with.
    pub path_prefix: Arc<str>,
    /// The service whose workers run its tasks.
    pub service: ServiceId,
    /// The rank; 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// How many times its critical path a submission may take.
    pub stretch: f64,
    /// What a submission may take beyond that.
    pub objective: Duration,
    /// Whether callers need no key.
    pub is_public: bool,
    /// How the advice service takes calls, when its tickets are needed to start the queue's tasks.
    pub advice: Option<AdviceTiming>,
}

/// How long the advice service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdviceTiming {
    /// What a call takes.
    pub call_time: Duration,
    /// What each worker that the call names adds.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub ticket_validity: Duration,
}

/// A service: a pool of workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub id: ServiceId,
    /// Whether its workers refuse what does not fit.
    pub enforces_capacity: bool,
    /// Whether its VMs are switched off and wait for another pool.
    pub is_spare: bool,
}

/// A customer with its keys and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// The customer's name.
    pub id: CustomerId,
    /// The keys in force.
    pub keys: Vec<Arc<str>>,
    /// The share when all is full.
    pub weight: u32,
    /// The most that may run at the same time; zero stands for no limit.
    pub limit: Resources,
}

impl FleetConfig {
    /// Returns whether starts of a queue's tasks carry a ticket of the advice service.
    #[must_use]
    pub fn needs_ticket(&self, queue: &QueueId) -> bool {
        self.queue(queue)
            .is_some_and(|queue| queue.advice.is_some())
    }

    /// Finds the queue with this host and the longest matching prefix.
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

    /// Finds a queue by name.
    #[must_use]
    pub fn queue(&self, id: &QueueId) -> Option<&Queue> {
        let index = self.queues.binary_search_by(|queue| queue.id.cmp(id));
        index.ok().map(|index| &self.queues[index])
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.iter().find(|service| service.id == *id)
    }

    /// Finds a customer by name.
    #[must_use]
    pub fn customer(&self, id: &CustomerId) -> Option<&Customer> {
        self.customers.iter().find(|customer| customer.id == *id)
    }

    /// Finds the customer that holds a key.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<&Customer> {
        self.customers
            .iter()
            .find(|customer| customer.keys.iter().any(|held| **held == *key))
    }
}

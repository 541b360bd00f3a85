//! Submissions and configurations for the tests.

use std::time::Duration;

use rhubarbfall_runs::{Customer, FleetConfig, Queue, Resources, Service, Step, Submission};

/// The capacity of a worker on the users' platform.
pub(crate) const WORKER_CAPACITY: Resources = Resources {
    cpu_millis: 64_000,
    memory_mb: 131_072,
    gpus: 0,
};

/// Returns a configuration with these services, of which the last one is the spare pool, and a
/// queue for each of the others.
pub(crate) fn config(services: &[&str]) -> FleetConfig {
    let service = |index: usize, name: &str| Service {
        id: name.parse().expect("valid service name"),
        enforces_capacity: false,
        is_spare: index + 1 == services.len(),
    };
    let queue = |name: &&str| Queue {
        id: name.parse().expect("valid queue name"),
        host: "labels.example".into(),
        path_prefix: format!("/{name}/").into(),
        service: name.parse().expect("valid service name"),
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        objective: Duration::from_millis(600),
        is_public: false,
        advice: None,
    };
    FleetConfig {
        version: 1,
        queues: services.iter().map(queue).collect(),
        services: services
            .iter()
            .enumerate()
            .map(|(index, name)| service(index, name))
            .collect(),
        customers: vec![Customer {
            id: "house-a".parse().expect("valid customer name"),
            keys: vec!["key".into()],
            weight: 1_000,
            limit: Resources::default(),
        }],
    }
}

/// Returns a submission with one step.
pub(crate) fn submission(number: u64, queue: &str, step: Step) -> Submission {
    Submission {
        id: format!("{number:016x}").parse().expect("valid identifier"),
        queue: queue.parse().expect("valid queue name"),
        customer: Some("house-a".parse().expect("valid customer name")),
        program: "print".into(),
        steps: vec![step],
        schedule: None,
        received_unix_ms: 0,
    }
}

/// Returns a step whose tasks are estimated to run for one second.
pub(crate) fn step(tasks: u32, cpu_millis: u64) -> Step {
    Step {
        tasks,
        demand: Resources {
            cpu_millis,
            memory_mb: cpu_millis * 2,
            gpus: 0,
        },
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

//! A worker starts again under its identifier and is cut off soon after, and its owner is lost in
//! between. What reached the worker's present incarnation in terms of the earlier one only the lost
//! owner could have known: the next owner counts shorter leases, and starts the tasks elsewhere while
//! they go on.

#[allow(dead_code, reason = "other test files use more of it")]
mod scheduler_process;
#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;
mod support;

use std::time::{Duration, Instant};

use http::Method;
use rhubarbfall_testing::{Relay, RelayMode};
use scheduler_process::{SchedulerEntry, WAIT_TIMEOUT, active_runs_of, start_entry, status_of};
use stand_in::{Span, StandInSite};

const FIRST_ID: &str = "00000000000000a1";
const SECOND_ID: &str = "00000000000000a2";

/// A task that runs until it is stopped.
const BODY: &str = r#"{"spec":"endless","steps":[{"count":1,"cpu":1000,"mem_mb":100,
    "estimate_ms":200,"long_running":true}]}"#;

/// How far the clock of the worker's first incarnation is ahead of that of the next one: further than
/// the longest lease.
const CLOCK_LEAD: Duration = Duration::from_mins(1);

/// A worker that starts again, its owner, and another worker that is away at first.
struct Fixture {
    site: StandInSite,
    relay: Relay,
    owner: SchedulerEntry,
}

impl Fixture {
    async fn start() -> Self {
        let site = StandInSite::start(2, Duration::from_millis(100)).await;
        site.exit_worker(1);
        site.unlist_worker(&site.worker_id(1));
        site.advance_worker_clock(0, CLOCK_LEAD);
        let relay = Relay::start(site.worker_address(0)).await;
        let relay = relay.expect("the relay starts");
        site.register(0, relay.address());
        let owner = start_entry(&site, "entry-1", &[]);
        let fixture = Self { site, relay, owner };
        fixture.submit(FIRST_ID).await;
        fixture.wait_for_runs_of(FIRST_ID).await;
        fixture
    }

    /// Sends a submission until it is accepted.
    async fn submit(&self, id: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while status_of(&self.owner, Method::POST, id, BODY).await != 200 {
            assert!(Instant::now() < deadline, "{id} is not accepted in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn wait_for_runs_of(&self, id: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while active_runs_of(&self.site, id) == 0 {
            assert!(Instant::now() < deadline, "{id} does not run in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Kills the owner, cuts the worker off, and waits until the next owner has started the task on
    /// the other worker.
    async fn lose_owner_and_worker(&mut self, id: &str) {
        self.owner.child.kill().expect("the owner is killed");
        self.relay.set_mode(RelayMode::Cut);
        self.site.start_worker(1, "w-other".to_owned());
        self.owner = start_entry(&self.site, "entry-1", &[]);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let runs_elsewhere = |span: &Span| span.worker == 1 && span.task.contains(id);
        while !self.site.spans().iter().any(runs_elsewhere) {
            assert!(Instant::now() < deadline, "{id} does not run elsewhere");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Checks that no run began before the earlier ones of its task had ended.
    fn check_runs(&self) {
        let mut spans = self.site.spans();
        spans.sort_by(|a, b| (&a.task, a.from_ms).cmp(&(&b.task, b.from_ms)));
        for pair in spans.windows(2).filter(|pair| pair[0].task == pair[1].task) {
            let is_over = pair[0].to_ms.is_some_and(|to| to <= pair[1].from_ms);
            assert!(is_over, "two runs at once: {pair:?}");
        }
    }
}

/// A lease renewal that was meant for the earlier incarnation.
#[tokio::test(flavor = "multi_thread")]
async fn lease_renewal_for_an_earlier_incarnation_outlasts_no_owner() {
    let mut fixture = Fixture::start().await;
    fixture.site.exit_worker(0);
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.site.restart_worker(0);
    fixture.wait_for_runs_of(FIRST_ID).await;
    fixture.lose_owner_and_worker(FIRST_ID).await;
    fixture.check_runs();
}

/// A start that was sent while the worker was away: the connection for it opens once the next
/// incarnation listens.
#[tokio::test(flavor = "multi_thread")]
async fn start_for_an_earlier_incarnation_outlasts_no_owner() {
    let mut fixture = Fixture::start().await;
    fixture.site.exit_worker_silently(0);
    fixture.submit(SECOND_ID).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.site.restart_worker(0);
    fixture.wait_for_runs_of(SECOND_ID).await;
    fixture.lose_owner_and_worker(SECOND_ID).await;
    fixture.check_runs();
}

//! Load amplification and goodput while half of the upstreams fail, in virtual time.
//!
//! Guards against retries that multiply the load during a partial failure.

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use expect_test::expect;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhubarbfall_core::ResultCode;
use rhubarbfall_routing::{FailedAttempt, HealthReport, RetryDecision, RetryPolicy, UpstreamWatch};

const UPSTREAMS: usize = 10;
const REQUESTS_PER_SECOND: u64 = 200;
const SERVICE_FAILS_FROM_S: u64 = 10;
const SERVICE_FAILS_UNTIL_S: u64 = 40;
const SECONDS: u64 = 60;

/// How failed attempts are retried, and whether failing upstreams are ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryMode {
    /// Always up to three retries, and no ejection.
    ThreeRetries,
    /// A retry budget, and ejection of failing upstreams.
    BudgetAndEjection,
    /// A retry budget, and no ejection.
    BudgetOnly,
}

#[derive(Debug, Default)]
struct Outcome {
    amplification: f64,
    goodput_during: f64,
    goodput_after: f64,
}

struct Simulation {
    mode: RetryMode,
    watch: UpstreamWatch,
    policy: RetryPolicy,
    random: ChaCha8Rng,
    attempts: u64,
}

impl Simulation {
    fn new(mode: RetryMode) -> Self {
        let mut watch = UpstreamWatch::new();
        let listed: Vec<_> = (0..UPSTREAMS)
            .map(|index| (upstream(index), ([127, 0, 0, 1], 1000).into()))
            .collect();
        watch.set_listed(&service(), &listed);
        Self {
            mode,
            watch,
            policy: RetryPolicy::new(1),
            random: ChaCha8Rng::seed_from_u64(2),
            attempts: 0,
        }
    }

    fn check_health(&mut self, now: Instant) {
        for (upstream, _) in self.watch.take_due_checks(now) {
            self.watch
                .on_health(now, &upstream, now, HealthReport::Serving);
        }
    }

    /// Runs one idempotent request; returns whether it succeeded.
    fn request(&mut self, now: Instant, is_failing: bool) -> bool {
        let mut attempts = 0;
        let mut avoided = Vec::new();
        loop {
            attempts += 1;
            self.attempts += 1;
            let chosen = self.choose(now, &avoided);
            let is_success = !is_failing || chosen >= UPSTREAMS / 2;
            if self.mode != RetryMode::ThreeRetries && self.mode != RetryMode::BudgetOnly {
                self.watch
                    .on_attempt(now, &upstream(chosen), now, is_success);
            }
            if is_success {
                self.policy.on_success();
                return true;
            }
            avoided.push(chosen);
            if !self.should_retry(now, attempts) {
                return false;
            }
        }
    }

    fn choose(&mut self, now: Instant, avoided: &[usize]) -> usize {
        let usable = self.watch.usable(now, &service());
        let numbers: Vec<usize> = (0..UPSTREAMS)
            .filter(|index| usable.iter().any(|(id, _)| *id == upstream(*index)))
            .collect();
        let untried: Vec<usize> = numbers
            .iter()
            .copied()
            .filter(|index| !avoided.contains(index))
            .collect();
        let from = if untried.is_empty() {
            &numbers
        } else {
            &untried
        };
        from[self.random.random_range(0..from.len())]
    }

    fn should_retry(&mut self, now: Instant, attempts: u32) -> bool {
        if self.mode == RetryMode::ThreeRetries {
            return attempts <= 3;
        }
        let attempt = FailedAttempt {
            attempts,
            code: ResultCode::UpstreamConnectionLost,
            is_idempotent: true,
            deadline: now + Duration::from_secs(10),
        };
        matches!(self.policy.decide(now, attempt), RetryDecision::Retry(_))
    }
}

fn service() -> rhubarbfall_core::ServiceId {
    "labels".parse().expect("valid service id")
}

fn upstream(index: usize) -> rhubarbfall_core::UpstreamId {
    format!("labels-{index:02}")
        .parse()
        .expect("valid upstream id")
}

fn run(mode: RetryMode) -> Outcome {
    let mut simulation = Simulation::new(mode);
    let start = Instant::now();
    let mut succeeded = (0, 0);
    let mut attempts_during = 0;
    for index in 0..SECONDS * REQUESTS_PER_SECOND {
        let second = index / REQUESTS_PER_SECOND;
        let now = start + Duration::from_micros(index * 1_000_000 / REQUESTS_PER_SECOND);
        simulation.check_health(now);
        let is_failing = (SERVICE_FAILS_FROM_S..SERVICE_FAILS_UNTIL_S).contains(&second);
        let before = simulation.attempts;
        let is_success = u64::from(simulation.request(now, is_failing));
        if is_failing {
            succeeded.0 += is_success;
            attempts_during += simulation.attempts - before;
        } else if second >= SERVICE_FAILS_UNTIL_S {
            succeeded.1 += is_success;
        }
    }
    let during = (SERVICE_FAILS_UNTIL_S - SERVICE_FAILS_FROM_S) * REQUESTS_PER_SECOND;
    let after = (SECONDS - SERVICE_FAILS_UNTIL_S) * REQUESTS_PER_SECOND;
    Outcome {
        amplification: attempts_during as f64 / during as f64,
        goodput_during: succeeded.0 as f64 / during as f64,
        goodput_after: succeeded.1 as f64 / after as f64,
    }
}

/// Maximum mean number of attempts per request while half of the upstreams fail.
const MAX_AMPLIFICATION: f64 = 1.2;

#[test]
fn retries_stay_within_their_bound_while_half_of_the_upstreams_fail() {
    let mut report = String::new();
    for mode in [
        RetryMode::ThreeRetries,
        RetryMode::BudgetOnly,
        RetryMode::BudgetAndEjection,
    ] {
        let outcome = run(mode);
        if mode != RetryMode::ThreeRetries {
            assert!(outcome.amplification <= MAX_AMPLIFICATION, "{outcome:?}");
        }
        let _ = writeln!(
            report,
            "{mode:?}: amplification {:.3}, goodput during {:.3}, after {:.3}",
            outcome.amplification, outcome.goodput_during, outcome.goodput_after,
        );
    }
    expect![[r"
        ThreeRetries: amplification 1.809, goodput during 0.977, after 1.000
        BudgetOnly: amplification 1.054, goodput during 0.529, after 1.000
        BudgetAndEjection: amplification 1.005, goodput during 0.998, after 1.000
    "]]
    .assert_eq(&report);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let now = Instant::now();
    for code in ResultCode::ALL {
        let attempt = |is_idempotent| FailedAttempt {
            attempts: 1,
            code: *code,
            is_idempotent,
            deadline: now + Duration::from_secs(1),
        };
        let decision = RetryPolicy::new(1).decide(now, attempt(false));
        let may_have_run = code.execution() != rhubarbfall_core::Execution::NotRun;
        assert!(!may_have_run || decision == RetryDecision::GiveUp, "{code}");
    }
    let attempt = FailedAttempt {
        attempts: 1,
        code: ResultCode::ConnectFailed,
        is_idempotent: false,
        deadline: now,
    };
    assert_eq!(
        RetryPolicy::new(1).decide(now, attempt),
        RetryDecision::GiveUp
    );
}

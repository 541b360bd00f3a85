//! Routing: claims of non-idempotent requests, health of upstreams, and retries.

mod claim_guard;
mod claim_service;
mod claim_tasks;
mod health_checks;
mod upstreams;

pub use claim_guard::ClaimGuard;
pub use claim_service::ClaimService;
pub(crate) use claim_tasks::run as run_claims;
pub(crate) use health_checks::run as run_health_checks;
pub use upstreams::Upstreams;

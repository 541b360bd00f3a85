//! Routing: claims of non-idempotent requests, the health of upstreams, and repeats.

mod claim_duties;
mod claim_guard;
mod claim_service;
mod health_duties;
mod upstreams;

pub(crate) use claim_duties::run as run_claims;
pub use claim_guard::ClaimGuard;
pub use claim_service::ClaimService;
pub(crate) use health_duties::run as run_health_checks;
pub use upstreams::Upstreams;

//! Upstream choice, health, retries and connections.

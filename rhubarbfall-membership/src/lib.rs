//! Entry membership, zone leases and configuration freshness.

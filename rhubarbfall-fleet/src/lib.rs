//! Pools, disruption permits, maintenance waves and moves.

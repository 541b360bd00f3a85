//! Stand-ins, fault relay and scenario support for tests.

//! Messages between entry processes.

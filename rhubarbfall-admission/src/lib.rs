//! Queues, fair shares and upper limits.

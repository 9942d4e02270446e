//! Links to other nodes: the connections, the calls and runs on them, and counters of their
//! traffic.

pub(crate) mod backlog;
pub(crate) mod large_frame;
pub(crate) mod leases;
pub(crate) mod link;
pub(crate) mod peers;
pub(crate) mod runs;
pub(crate) mod traffic;

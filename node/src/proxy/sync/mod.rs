//! Synchronization of the node's state with the store and with other nodes.

pub(crate) mod peer_sync;
pub(crate) mod store_sync;

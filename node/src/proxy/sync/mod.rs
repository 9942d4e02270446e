//! How the node comes to know it: from the store, and from other nodes.

pub(crate) mod peer_sync;
pub(crate) mod store_sync;

//! Handover of the once-only table to a successor at the end of a graceful stop.

use std::sync::Arc;

use poplar_core::{Handover, InstanceId, Name};
use poplar_kernel::{Registry, RegistryError};
use poplar_wire::Answer;

use crate::directory::Directory;
use crate::links::Links;
use crate::once_table::OnceTable;

/// Path to which the table is posted.
pub(crate) const SUCCEED_PATH: &str = "/succeed";
/// Most members to which the table is offered before it is dropped.
const TRIES: usize = 3;

/// Sends the once-only table of this node to another member of the service.
pub(crate) struct HandoverSender {
    local: InstanceId,
    directory: Arc<Directory>,
    links: Arc<Links>,
    once: Arc<OnceTable>,
}

impl HandoverSender {
    /// Creates the sender with its dependencies from `registry`; `local` is this instance.
    pub(crate) fn new(local: InstanceId, registry: &Registry) -> Result<Self, RegistryError> {
        Ok(Self {
            local,
            directory: registry.find("directory")?,
            links: registry.find("links")?,
            once: registry.find("once")?,
        })
    }

    /// Sends the table to a serving member of the service and returns that member.
    ///
    /// Must be called when no request is running any more. Returns `None` if there is
    /// no sealed table, or if no member accepts it; the outcomes of its requests are unknown from
    /// then on.
    pub(crate) async fn hand_over(&self, service: &Name) -> Option<InstanceId> {
        let handover = self.once.take_handover()?;
        let mut members = self.directory.serving(service);
        members.retain(|member| member.instance != self.local);
        fastrand::shuffle(&mut members);
        for member in members.into_iter().take(TRIES) {
            let Ok(peer) = member.address.parse() else { continue };
            if self.send_table(peer, &handover).await {
                return Some(member.instance);
            }
        }
        None
    }

    async fn send_table(&self, peer: std::net::SocketAddr, handover: &Handover<Answer>) -> bool {
        self.links.exchange(peer, SUCCEED_PATH, handover).await.unwrap_or(false)
    }
}

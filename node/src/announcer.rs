//! Publishes the local target's announcements and stages to the other nodes.
//!
//! Each change becomes a member record: it goes to the directory, to the membership protocol and
//! to the members' stream of the log.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use poplar_core::{ImportanceScale, Incarnation, InstanceId, Moment, Name, Shedding, TargetLimits};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use poplar_wire::{Announcement, MemberRecord, MemberState};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::admission::AdmissionController;
use crate::directory::Directory;
use crate::members::Members;
use crate::target::{Stage, Target};

/// Interval between checks of the target's lease.
const LEASE_POLL: Duration = Duration::from_millis(100);

/// Identity of this node, as it appears in its member records.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) zone: Name,
    pub(crate) peer_address: SocketAddr,
}

/// Service that publishes what the local target announces.
pub(crate) struct Announcer {
    clock: Clock,
    identity: Identity,
    directory: Arc<Directory>,
    members: Arc<Members>,
    target: Arc<Target>,
    admission: Arc<AdmissionController>,
    sequence: AtomicU64,
    successor: Mutex<Option<InstanceId>>,
    records: mpsc::UnboundedSender<MemberRecord>,
}

impl Announcer {
    /// Creates the service; records to be appended to the log go to `records`.
    pub(crate) fn new(
        clock: Clock,
        identity: Identity,
        registry: &Registry,
        records: mpsc::UnboundedSender<MemberRecord>,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            identity,
            directory: registry.find("directory")?,
            members: registry.find("members")?,
            target: registry.find("target")?,
            admission: registry.find("admission")?,
            sequence: AtomicU64::new(0),
            successor: Mutex::default(),
            records,
        })
    }

    /// Applies an announcement; one equal to that of the serving target only renews its lease.
    pub(crate) fn announce(&self, announcement: Announcement) {
        let now = self.clock.now();
        let known = self.target.serving(now).is_some_and(|known| known == announcement);
        let limits = TargetLimits::derive(announcement.slots, announcement.connections);
        self.target.announce(now, announcement);
        if !known {
            let scale = ImportanceScale::new([]);
            self.admission.set_target(limits, scale, Shedding::ByLevel);
            self.publish(MemberState::Serving);
        }
    }

    /// Renews the target's lease; returns false if the target has to announce itself first.
    pub(crate) fn renew(&self) -> bool {
        self.target.renew(self.clock.now())
    }

    /// Sets the target's stage and publishes `state`; returns false if no target has announced
    /// itself.
    pub(crate) fn change_stage(&self, stage: Stage, state: MemberState) -> bool {
        let known = self.target.set_stage(stage);
        if known {
            self.publish(state);
        }
        known
    }

    /// Publishes the instance as draining when the target's lease expires; never returns.
    ///
    /// Otherwise the members would go on sending calls here, each of which costs them a retry
    /// unit. A target that comes back announces itself and is published as serving again.
    pub(crate) async fn watch_lease(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LEASE_POLL).await;
            if self.target.is_overdue(self.clock.now()) {
                self.change_stage(Stage::Left, MemberState::Draining);
            }
        }
    }

    /// Service of the target, if one has announced itself.
    pub(crate) fn service(&self) -> Option<Name> {
        self.target.announced().map(|announced| announced.service)
    }

    /// Publishes that this instance left, and which instance took over its once-only table.
    pub(crate) fn leave(&self, successor: Option<InstanceId>) {
        *self.successor.lock().unwrap_or_else(PoisonError::into_inner) = successor;
        self.change_stage(Stage::Left, MemberState::Left);
        self.members.send_leave();
    }

    fn publish(&self, state: MemberState) {
        let Some(announced) = self.target.announced() else { return };
        let record = MemberRecord {
            instance: self.identity.instance.clone(),
            incarnation: self.identity.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            service: announced.service,
            zone: self.identity.zone.clone(),
            address: self.identity.peer_address.to_string(),
            slots: announced.slots,
            state,
            successor: self.successor.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        };
        self.directory.apply_record(record.clone());
        self.members.announce(record.clone());
        // The receiver lives as long as the process, so a send fails only during shutdown.
        let _ = self.records.send(record);
    }
}

impl Service for Announcer {
    fn name(&self) -> &'static str {
        "announcer"
    }

    fn dump(&self, _now: Moment) -> Value {
        json!({
            "instance": self.identity.instance,
            "incarnation": self.identity.incarnation,
            "zone": self.identity.zone,
            "peer_address": self.identity.peer_address
        })
    }
}

//! Settings of the node, read once at the start.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use poplar_core::{InstanceId, Name};
use poplar_kernel::{Setting, SettingKind, SettingsError, SettingsTable};

/// Every setting of the node, with its kind, default and description.
pub const TABLE: SettingsTable = SettingsTable::new(&[
    Setting {
        name: "instance",
        kind: SettingKind::Name,
        default: None,
        doc: "Name of the instance; must be unique among running instances.",
    },
    Setting {
        name: "customer",
        kind: SettingKind::Name,
        default: None,
        doc: "Customer whose services run here.",
    },
    Setting {
        name: "zone",
        kind: SettingKind::Name,
        default: None,
        doc: "Availability zone of the instance.",
    },
    Setting {
        name: "caller_address",
        kind: SettingKind::Address,
        default: None,
        doc: "Where callers and the local target send calls; port 0 lets the system pick one.",
    },
    Setting {
        name: "peer_address",
        kind: SettingKind::Address,
        default: None,
        doc: "Where other nodes send calls and messages; port 0 lets the system pick one.",
    },
    Setting {
        name: "admin_address",
        kind: SettingKind::Address,
        default: None,
        doc: "For the local target's announcements and operators' reads; best on loopback.",
    },
    Setting {
        name: "advertised_address",
        kind: SettingKind::Addresses,
        default: Some("[]"),
        doc: "Address at which other nodes reach this one, if not its peer_address; at most one.",
    },
    Setting {
        name: "log_address",
        kind: SettingKind::Address,
        default: None,
        doc: "Address of the platform's log.",
    },
    Setting {
        name: "peers",
        kind: SettingKind::Addresses,
        default: Some("[]"),
        doc: "Peer addresses of some nodes, used if the log is down at the start.",
    },
    Setting {
        name: "log_retention_s",
        kind: SettingKind::Count { min: 60, max: 31_536_000, unit: "seconds" },
        default: Some("86400"),
        doc: "Time for which the platform's log keeps a record.",
    },
    Setting {
        name: "log_format",
        kind: SettingKind::Choice(&["text", "json"]),
        default: Some("text"),
        doc: "Format of log lines on standard error: text for people, json for programs.",
    },
]);

/// Settings of one node.
#[derive(Debug, Clone)]
pub struct Settings {
    pub(crate) instance: InstanceId,
    pub(crate) customer: Name,
    pub(crate) zone: Name,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    pub(crate) advertised: Option<SocketAddr>,
    pub(crate) log_address: SocketAddr,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) log_retention_s: u64,
    pub(crate) log_format: String,
    /// Every value as read from the file, for the state dump.
    pub(crate) values: Arc<poplar_kernel::Settings>,
}

impl Settings {
    /// Reads the settings file.
    ///
    /// # Errors
    ///
    /// The first fault found: the file cannot be read, or a setting is unknown, missing or
    /// malformed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let values = TABLE.load(path)?;
        Ok(Self {
            instance: InstanceId(values.name("instance")?),
            customer: values.name("customer")?,
            zone: values.name("zone")?,
            caller_address: values.address("caller_address")?,
            peer_address: values.address("peer_address")?,
            admin_address: values.address("admin_address")?,
            advertised: values.addresses("advertised_address")?.first().copied(),
            log_address: values.address("log_address")?,
            peers: values.addresses("peers")?,
            log_retention_s: values.count("log_retention_s")?,
            log_format: values.choice("log_format")?.to_owned(),
            values: Arc::new(values),
        })
    }
}

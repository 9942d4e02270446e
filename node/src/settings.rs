//! Settings of the node, read once at the start.

use std::net::SocketAddr;
use std::path::Path;

use poplar_core::{InstanceId, Name};
use serde::Deserialize;

/// Settings of one node; see the operators' page for each.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    pub(crate) instance: InstanceId,
    pub(crate) customer: Name,
    pub(crate) zone: Name,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) admin_address: SocketAddr,
    pub(crate) log_address: SocketAddr,
    #[serde(default)]
    pub(crate) peers: Vec<SocketAddr>,
    /// Time for which the platform's log keeps a record, in seconds.
    #[serde(default = "default_retention")]
    pub(crate) log_retention_s: u64,
    #[serde(default = "default_format")]
    pub(crate) log_format: String,
}

/// Why the settings were refused.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    #[error("{path}: {source}")]
    Read { path: String, source: std::io::Error },
    #[error("{path}: {source}")]
    Parse { path: String, source: serde_norway::Error },
}

impl Settings {
    /// Reads the settings file; an unknown or malformed setting stops the start.
    pub(crate) fn load(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: shown.clone(), source })?;
        serde_norway::from_str(&text).map_err(|source| SettingsError::Parse { path: shown, source })
    }
}

fn default_retention() -> u64 {
    86_400
}

fn default_format() -> String {
    "text".to_owned()
}

//! Bindings: which target incarnation alone may run a once-only request.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId};

/// Target incarnation that alone may run a once-only request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Binding {
    /// Instance of the target.
    pub instance: InstanceId,
    /// Incarnation of the node beside it.
    pub incarnation: Incarnation,
    /// Window of that incarnation in which the binding was minted.
    pub window: u64,
}

//! Health checks at the start of a process, which show whether the target beside it is leaving.
//!
//! An earlier process of this node may have acknowledged a leave of which neither the store nor any
//! other node knows: the store may have been away, or have come back from an older copy, and the
//! other processes may have ended as well. Only the target itself then knows that it is leaving, so
//! that no call may be sent to it before it has been asked. See
//! [platform](../../../../docs/design/platform.md).

use std::sync::Arc;
use std::time::Duration;

use poplar_core::Name;

use crate::proxy::state::rules::Rules;
use crate::proxy::statement::Health;
use crate::proxy::target::client::TargetClient;
use crate::proxy::target::local_target::LocalTarget;

/// Pause after the first check without a result; it doubles from one check to the next.
const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest pause between two checks.
const PAUSE_MAX: Duration = Duration::from_secs(1);

/// Asks the target beside this node whether it is leaving, until it is known that it is not.
pub(crate) struct HealthCheck {
    /// Service of the target, by which the rules name the path of the check.
    pub(crate) service: Name,
    pub(crate) rules: Arc<Rules>,
    pub(crate) client: Arc<TargetClient>,
    pub(crate) local_target: Arc<LocalTarget>,
}

impl HealthCheck {
    /// Runs the checks; returns once none is needed any more.
    pub(crate) async fn run(self) {
        let mut pause = PAUSE_MIN;
        while !self.local_target.is_confirmed() {
            let Some(path) = self.wait_path().await else { return };
            let mut lifetimes = self.local_target.lifetimes();
            // The sender is dropped only when the process is about to exit.
            let Ok(known) = lifetimes.wait_for(Option::is_some).await.map(|known| *known) else {
                return;
            };
            match (self.client.check_health(&path).await, known) {
                (Health::Serving, _) => self.local_target.record_confirmed(),
                (Health::Leaving, Some(lifetime)) => {
                    self.local_target.mark_leaving(lifetime);
                    let changed = lifetimes.wait_for(|current| *current != known).await;
                    if changed.is_err() {
                        return;
                    }
                }
                (Health::Leaving | Health::Unknown, _) => {
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MAX);
                }
            }
        }
    }

    /// Waits until the rules name the path of the check.
    async fn wait_path(&self) -> Option<Name> {
        let mut rules = self.rules.watch();
        loop {
            let path =
                rules.borrow_and_update().as_ref().and_then(|it| it.check_path(&self.service));
            if path.is_some() {
                return path;
            }
            rules.changed().await.ok()?;
        }
    }
}

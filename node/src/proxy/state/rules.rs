//! The rules in force at this node. They are only ever replaced by a newer revision.

use std::sync::{Arc, Mutex, PoisonError};

use poplar_core::{
    Importance, ImportanceScale, KeyDigest, Moment, Name, Revision, RouteIndex, RouteRule, RuleSet,
    Workspace, WorkspaceIndex,
};
use poplar_kernel::Service;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Rules in force, with an index over their routes.
#[derive(Debug)]
pub(crate) struct ActiveRules {
    pub(crate) rules: RuleSet,
    index: RouteIndex,
    keys: WorkspaceIndex,
}

impl ActiveRules {
    /// Route that a request with this host and path matches.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.index.find(&self.rules, host, path).map(|idx| &self.rules.routes[idx])
    }

    /// Workspace that holds `key`.
    pub(crate) fn workspace(&self, key: &[u8]) -> Option<&Workspace> {
        let idx = self.keys.find(&KeyDigest::of(key))?;
        self.rules.workspaces.as_ref()?.get(idx)
    }

    /// Whether a request of `route` needs a key.
    pub(crate) fn needs_key(&self, route: &RouteRule) -> bool {
        self.rules.workspaces.is_some() && !route.public
    }

    /// Path of the health check of a service's targets; none if the rules do not name one.
    pub(crate) fn check_path(&self, service: &Name) -> Option<Name> {
        self.rules.services.get(service)?.health.clone()
    }

    /// Scale of the importances that the routes and workspaces have.
    pub(crate) fn importance_scale(&self) -> ImportanceScale {
        ImportanceScale::new(self.importances())
    }

    fn importances(&self) -> impl Iterator<Item = Importance> + '_ {
        let workspaces = self.rules.workspaces.iter().flatten();
        let replaced = workspaces.filter_map(|workspace| workspace.importance);
        self.rules.routes.iter().map(|route| route.importance).chain(replaced)
    }
}

/// Service that holds the rules in force.
#[derive(Debug)]
pub(crate) struct Rules {
    current: watch::Sender<Option<Arc<ActiveRules>>>,
    /// When the current rules were installed.
    installed_at: Mutex<Moment>,
}

impl Rules {
    pub(crate) fn new() -> Self {
        Self { current: watch::Sender::new(None), installed_at: Mutex::default() }
    }

    /// Rules in force; none until the first ones are installed.
    pub(crate) fn current(&self) -> Option<Arc<ActiveRules>> {
        self.current.borrow().clone()
    }

    /// Revision of the rules in force; the default revision, zero, if there are none.
    pub(crate) fn revision(&self) -> Revision {
        self.current.borrow().as_ref().map_or(Revision::default(), |active| active.rules.revision)
    }

    /// Installs `rules` if they are valid and their revision is newer than the current one; returns
    /// whether they are.
    pub(crate) fn install(&self, now: Moment, rules: RuleSet) -> bool {
        let workspaces = rules.workspaces.as_deref().unwrap_or_default();
        let Ok(keys) = WorkspaceIndex::new(workspaces) else { return false };
        let installed = self.current.send_if_modified(|current| {
            let known = current.as_ref().map(|active| active.rules.revision);
            if known.is_some_and(|known| known >= rules.revision) {
                return false;
            }
            let index = RouteIndex::new(&rules);
            *current = Some(Arc::new(ActiveRules { rules, index, keys }));
            true
        });
        if installed {
            *self.installed_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
        }
        installed
    }

    /// Subscribes to changes of the rules.
    pub(crate) fn watch(&self) -> watch::Receiver<Option<Arc<ActiveRules>>> {
        self.current.subscribe()
    }
}

impl Service for Rules {
    fn name(&self) -> &'static str {
        "rules"
    }

    fn dump(&self, now: Moment) -> Value {
        let Some(active) = self.current() else { return Value::Null };
        let since = *self.installed_at.lock().unwrap_or_else(PoisonError::into_inner);
        json!({
            "revision": active.rules.revision,
            "age_ms": now.since(since).as_millis() as u64,
            "routes": active.rules.routes.len(),
            "workspaces": active.rules.workspaces.as_ref().map(Vec::len),
        })
    }
}

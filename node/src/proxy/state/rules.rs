//! The rules in force at this node. They are only ever replaced by a newer revision.

use std::sync::{Arc, Mutex, PoisonError};

use poplar_core::{
    Importance, ImportanceScale, Moment, Name, Revision, RouteIndex, RouteRule, RuleSet,
};
use poplar_kernel::Service;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Rules in force, with an index over their routes.
#[derive(Debug)]
pub(crate) struct ActiveRules {
    pub(crate) rules: RuleSet,
    index: RouteIndex,
}

impl ActiveRules {
    /// Route that a request with this host and path matches.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.index.find(&self.rules, host, path).map(|idx| &self.rules.routes[idx])
    }

    /// Path of the health check of a service's targets; none if the rules do not name one.
    pub(crate) fn check_path(&self, service: &Name) -> Option<Name> {
        self.rules.services.get(service)?.health.clone()
    }

    /// Scale of the importances that the routes have.
    pub(crate) fn importance_scale(&self) -> ImportanceScale {
        ImportanceScale::new(self.importances())
    }

    fn importances(&self) -> impl Iterator<Item = Importance> + '_ {
        self.rules.routes.iter().map(|route| route.importance)
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

    /// Installs `rules` if their revision is newer than the current one; returns whether it is.
    pub(crate) fn install(&self, now: Moment, rules: RuleSet) -> bool {
        let installed = self.current.send_if_modified(|current| {
            let known = current.as_ref().map(|active| active.rules.revision);
            if known.is_some_and(|known| known >= rules.revision) {
                return false;
            }
            let index = RouteIndex::new(&rules);
            *current = Some(Arc::new(ActiveRules { rules, index }));
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
        })
    }
}

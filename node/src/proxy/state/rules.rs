//! The rules in force at this node; they only ever move to a newer revision.

use std::sync::{Arc, Mutex, PoisonError};

use poplar_core::{Importance, ImportanceScale, Moment, Revision, RouteIndex, RouteRule, RuleSet};
use poplar_kernel::Service;
use serde_json::{Value, json};
use tokio::sync::watch;

/// Rules with the index over their routes.
#[derive(Debug)]
pub(crate) struct ActiveRules {
    pub(crate) rules: RuleSet,
    index: RouteIndex,
}

impl ActiveRules {
    /// Route of a request.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.index.find(&self.rules, host, path).map(|idx| &self.rules.routes[idx])
    }

    /// Importances that the routes give.
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
    installed_at: Mutex<Moment>,
}

impl Rules {
    pub(crate) fn new() -> Self {
        Self { current: watch::Sender::new(None), installed_at: Mutex::default() }
    }

    /// Rules in force, if any are known.
    pub(crate) fn current(&self) -> Option<Arc<ActiveRules>> {
        self.current.borrow().clone()
    }

    /// Revision in force; zero if none is.
    pub(crate) fn revision(&self) -> Revision {
        self.current.borrow().as_ref().map_or(Revision::default(), |held| held.rules.revision)
    }

    /// Puts rules in force if they are newer; says whether they were.
    pub(crate) fn install(&self, now: Moment, rules: RuleSet) -> bool {
        let taken = self.current.send_if_modified(|current| {
            let known = current.as_ref().map(|held| held.rules.revision);
            if known.is_some_and(|known| known >= rules.revision) {
                return false;
            }
            let index = RouteIndex::new(&rules);
            *current = Some(Arc::new(ActiveRules { rules, index }));
            true
        });
        if taken {
            *self.installed_at.lock().unwrap_or_else(PoisonError::into_inner) = now;
        }
        taken
    }

    /// Channel on which a change of the rules shows.
    pub(crate) fn watch(&self) -> watch::Receiver<Option<Arc<ActiveRules>>> {
        self.current.subscribe()
    }
}

impl Service for Rules {
    fn name(&self) -> &'static str {
        "rules"
    }

    fn dump(&self, now: Moment) -> Value {
        let Some(held) = self.current() else { return Value::Null };
        let since = *self.installed_at.lock().unwrap_or_else(PoisonError::into_inner);
        json!({
            "revision": held.rules.revision,
            "age_ms": now.since(since).as_millis() as u64,
            "routes": held.rules.routes.len(),
        })
    }
}

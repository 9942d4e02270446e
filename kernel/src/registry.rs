//! Registry through which the services of a process find each other by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use poplar_core::Moment;
use serde_json::{Map, Value};

/// Component of a process that registers under a name and reports its state on request.
pub trait Service: Any + Send + Sync {
    /// Name under which other services find this one and under which the state dump lists it.
    fn name(&self) -> &'static str;

    /// State of the service at `now` for the state dump, in a form that operators can read.
    fn dump(&self, now: Moment) -> Value;
}

/// Failure to find a service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// No service is registered under the name.
    #[error("no service is registered as {0}")]
    Missing(&'static str),
    /// The service registered under the name has another type than the one requested.
    #[error("service {0} is registered with another type than the one requested")]
    WrongType(&'static str),
}

/// Services of one process, by name.
#[derive(Default)]
pub struct Registry {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Service>>>,
}

impl Registry {
    /// Registers `service` under its name; replaces a service registered earlier under that name.
    pub fn register<T: Service>(&self, service: Arc<T>) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.insert(service.name(), service);
    }

    /// Returns the service registered as `name`.
    ///
    /// # Errors
    ///
    /// `Missing` if no service is registered as `name`, `WrongType` if the service is not a `T`.
    pub fn find<T: Service>(&self, name: &'static str) -> Result<Arc<T>, RegistryError> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).ok_or(RegistryError::Missing(name))?;
        let any: Arc<dyn Any + Send + Sync> = service.clone();
        any.downcast().map_err(|_| RegistryError::WrongType(name))
    }

    /// Returns the state of every service at `now`, by name.
    pub fn dump(&self, now: Moment) -> Value {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let states = services.iter().map(|(name, service)| (name.to_string(), service.dump(now)));
        Value::Object(states.collect::<Map<_, _>>())
    }
}

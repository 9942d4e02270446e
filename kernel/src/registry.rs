//! Registry in which the services of a process find each other by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};

use poplar_core::Moment;
use serde_json::{Map, Value};

/// Part of a process that registers under a name and tells its state on request.
pub trait Service: Any + Send + Sync {
    /// Name under which the other services find this one; also its prefix in the logs.
    fn name(&self) -> &'static str;

    /// State for the dump, as a person would want to read it.
    fn dump(&self, now: Moment) -> Value;
}

/// Why a service was not found.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// No service has the name.
    #[error("no service is registered as {0}")]
    Missing(&'static str),
    /// The service of that name has another type.
    #[error("service {0} has another type")]
    WrongType(&'static str),
}

/// Services of one process by name.
#[derive(Default)]
pub struct Registry {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Service>>>,
}

impl Registry {
    /// Registers `service` under its name and replaces an earlier one of that name.
    pub fn register<T: Service>(&self, service: Arc<T>) {
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        services.insert(service.name(), service);
    }

    /// Service that registered as `name`.
    ///
    /// # Errors
    ///
    /// `Missing` if none did, `WrongType` if it isn't a `T`.
    pub fn find<T: Service>(&self, name: &'static str) -> Result<Arc<T>, RegistryError> {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let service = services.get(name).ok_or(RegistryError::Missing(name))?;
        let any: Arc<dyn Any + Send + Sync> = service.clone();
        any.downcast().map_err(|_| RegistryError::WrongType(name))
    }

    /// State of every service, by name.
    pub fn dump(&self, now: Moment) -> Value {
        let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
        let states = services.iter().map(|(name, service)| (name.to_string(), service.dump(now)));
        Value::Object(states.collect::<Map<_, _>>())
    }
}

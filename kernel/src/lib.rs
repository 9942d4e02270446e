//! Micro-kernel of each process: life cycle, clock, service registry, state dump, settings, logs.
//!
//! It depends on no type of service. Services register under a fixed name, find each other by that
//! name and report their own state on request. See [the shape](../../docs/design/shape.md).

mod clock;
mod lifecycle;
mod logs;
mod registry;
mod settings;

pub use clock::Clock;
pub use lifecycle::{Draining, Lifecycle, Serving, Starting, Stopped};
pub use logs::{LogFormat, component_logger, logger_with_output, root_logger};
pub use registry::{Registry, RegistryError, Service};
pub use settings::{Setting, SettingKind, Settings, SettingsError, SettingsTable};

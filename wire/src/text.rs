//! Text forms of values that travel in HTTP headers.

use poplar_core::{Binding, Incarnation, InstanceId};

/// Text form of a binding: window, incarnation and instance, separated by dots.
pub fn binding_text(binding: &Binding) -> String {
    format!("{}.{}.{}", binding.window, binding.incarnation, binding.instance)
}

/// Binding that `text` stands for, if it stands for one.
pub fn parse_binding(text: &str) -> Option<Binding> {
    let mut parts = text.splitn(3, '.');
    let window = parts.next()?.parse().ok()?;
    let incarnation = Incarnation(parts.next()?.parse().ok()?);
    let instance = parts.next().filter(|name| !name.is_empty())?;
    Some(Binding { instance: InstanceId::from(instance), incarnation, window })
}

//! Text form of bindings, as HTTP headers carry them.

use poplar_core::Binding;

/// Formats a binding for [`header::BINDING`](crate::header::BINDING), by its `Display` form.
pub fn format_binding(binding: &Binding) -> String {
    binding.to_string()
}

/// Parses the text form of a binding; `None` if `text` is not one.
pub fn parse_binding(text: &str) -> Option<Binding> {
    text.parse().ok()
}

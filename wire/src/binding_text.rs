//! Text forms of values that travel in HTTP headers.

use poplar_core::Binding;

/// Text form of a binding, as [`Binding`] defines it.
pub fn format_binding(binding: &Binding) -> String {
    binding.to_string()
}

/// Binding that `text` stands for, if it stands for one.
pub fn parse_binding(text: &str) -> Option<Binding> {
    text.parse().ok()
}

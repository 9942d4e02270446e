//! Writes a contract as a contract file, so that an operator can edit the contract in force.

use std::fmt::Write;

use poplar_core::{ClassTerms, Contract, Goal, Name};

use crate::quantity::{format_duration, format_size};

/// Formats `contract` as a contract file; [`parse_contract`](crate::parse_contract) reads the text
/// back as the same contract.
pub fn format_contract(contract: &Contract) -> String {
    let goal = match contract.goal {
        Goal::Goodput => "goodput",
        Goal::Recovery => "recovery",
    };
    let mut text = format!("customer: {}\ngoal: {goal}\n", contract.customer);
    push_entry(&mut text, "services", &format_list(&contract.services));
    text.push_str("classes:\n");
    for (class, terms) in &contract.classes {
        let _ = writeln!(text, "  {class}:");
        push_class_terms(&mut text, terms);
    }
    text
}

fn push_class_terms(text: &mut String, terms: &ClassTerms) {
    push_entry(text, "    service", terms.service.as_str());
    push_entry(text, "    importance", &terms.importance.to_string());
    push_entry(text, "    repeatable", &terms.repeatable.to_string());
    push_entry(text, "    deadline", &format_duration(terms.deadline));
    push_entry(text, "    retries", &terms.retries.to_string());
    if !terms.repeatable {
        push_entry(text, "    repeat_window", &format_duration(terms.repeat_window));
    }
    push_entry(text, "    largest_answer", &format_size(terms.largest_answer));
    if !terms.calls.is_empty() {
        push_entry(text, "    calls", &format_list(&terms.calls));
    }
}

fn push_entry(text: &mut String, key: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{key}: {value}");
}

fn format_list(names: &[Name]) -> String {
    let names: Vec<_> = names.iter().map(Name::as_str).collect();
    format!("[{}]", names.join(", "))
}

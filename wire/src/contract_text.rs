//! Writes a contract as the file that gives it, so that an operator can revise what is in force.

use std::fmt::Write;

use poplar_core::{ClassTerms, Contract, Goal, Name};

use crate::quantity::{size_text, time_text};

/// Text of the file that [`parse_contract`](crate::parse_contract) reads as `contract`.
pub fn contract_text(contract: &Contract) -> String {
    let goal = match contract.goal {
        Goal::Goodput => "goodput",
        Goal::Recovery => "recovery",
    };
    let mut text = format!("customer: {}\ngoal: {goal}\n", contract.customer);
    push(&mut text, "services", &list(&contract.services));
    text.push_str("classes:\n");
    for (class, terms) in &contract.classes {
        let _ = writeln!(text, "  {class}:");
        push_terms(&mut text, terms);
    }
    text
}

fn push_terms(text: &mut String, terms: &ClassTerms) {
    push(text, "    service", terms.service.as_str());
    push(text, "    importance", &terms.importance.to_string());
    push(text, "    repeatable", &terms.repeatable.to_string());
    push(text, "    deadline", &time_text(terms.deadline));
    push(text, "    retries", &terms.retries.to_string());
    if !terms.repeatable {
        push(text, "    repeat_window", &time_text(terms.repeat_window));
    }
    push(text, "    largest_answer", &size_text(terms.largest_answer));
    if !terms.calls.is_empty() {
        push(text, "    calls", &list(&terms.calls));
    }
}

fn push(text: &mut String, key: &str, value: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{key}: {value}");
}

fn list(names: &[Name]) -> String {
    let names: Vec<_> = names.iter().map(Name::as_str).collect();
    format!("[{}]", names.join(", "))
}

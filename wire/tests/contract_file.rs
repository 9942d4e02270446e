//! The example contract files parse to the terms that they state, and no text makes the parser
//! panic.

use std::time::Duration;

use poplar_core::{Goal, Importance, Name};
use poplar_wire::{FILE_LIMIT_BYTES, format_contract, parse_contract};
use quickcheck::{Gen, QuickCheck, Testable};

const ARMOR: &str = include_str!("../../examples/armor.yaml");
const VATUVALE: &str = include_str!("../../examples/vatuvale.yaml");

#[test]
fn the_examples_parse_to_the_terms_they_state() {
    let armor = parse_contract(ARMOR).unwrap();
    assert_eq!((armor.goal, armor.services.len()), (Goal::Goodput, 4));
    let reminder = &armor.classes[&Name::new("book-reminder")];
    assert!(!reminder.repeatable);
    assert_eq!(reminder.repeat_window, Duration::from_secs(600));
    assert_eq!(reminder.largest_answer, 64 << 10);

    let vatuvale = parse_contract(VATUVALE).unwrap();
    assert_eq!(vatuvale.goal, Goal::Recovery);
    let part = &vatuvale.classes[&Name::new("find-part")];
    assert_eq!((part.importance, part.deadline), (Importance(60), Duration::from_millis(1500)));
    assert_eq!(vatuvale.depths().unwrap()[&Name::new("pay-grower")], 3);
}

#[test]
fn a_formatted_contract_parses_to_the_same_contract() {
    for text in [ARMOR, VATUVALE] {
        let contract = parse_contract(text).unwrap();
        assert_eq!(parse_contract(&format_contract(&contract)), Ok(contract));
    }
}

#[test]
fn a_file_above_the_size_limit_is_not_parsed() {
    let error = parse_contract(&"#".repeat(FILE_LIMIT_BYTES + 1)).unwrap_err();
    assert!(error.to_string().contains("allowed are up to"), "{error}");
}

/// The seed and the number of cases are fixed, so that every run has the same result.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(100, 3);
    QuickCheck::new().rng(rng).tests(500).quickcheck(property);
}

#[test]
fn arbitrary_text_parses_to_a_contract_or_an_error() {
    fn property(text: String) -> bool {
        let _ = parse_contract(&text);
        true
    }
    check(property as fn(String) -> bool);
}

#[test]
fn a_corrupted_example_parses_to_a_valid_contract_or_an_error() {
    fn property(at: usize, with: String) -> bool {
        let mut text = ARMOR.to_owned();
        let at = at % text.len();
        let end = (at + 1 + with.len()).min(text.len());
        text.replace_range(at..end, &with);
        parse_contract(&text).is_ok_and(|contract| contract.verify().is_ok())
            || parse_contract(&text).is_err()
    }
    check(property as fn(usize, String) -> bool);
}

//! A settings file is accepted as a whole or rejected with the line and the allowed values.

use poplar_core::Moment;
use poplar_kernel::{Service, Setting, SettingKind, SettingsTable};
use quickcheck::{Gen, QuickCheck, Testable};
use serde_json::json;

const TABLE: SettingsTable = SettingsTable::new(&[
    Setting { name: "zone", kind: SettingKind::Name, default: None, doc: "Zone." },
    Setting { name: "address", kind: SettingKind::Address, default: None, doc: "Address." },
    Setting { name: "peers", kind: SettingKind::Addresses, default: Some("[]"), doc: "Peers." },
    Setting {
        name: "window",
        kind: SettingKind::Count { min: 1, max: 60, unit: "seconds" },
        default: Some("5"),
        doc: "Window.",
    },
    Setting {
        name: "form",
        kind: SettingKind::Choice(&["a", "b"]),
        default: Some("a"),
        doc: "Form.",
    },
]);

const VALID: &str = "# settings\nzone: brest\naddress: 127.0.0.1:0\nwindow: 60\n";

fn error(text: &str) -> String {
    TABLE.parse("node.yaml", text).expect_err("the settings are invalid").to_string()
}

#[test]
fn a_valid_file_gives_every_setting_and_the_dump_shows_them() {
    let settings = TABLE.parse("node.yaml", VALID).unwrap();
    assert_eq!(settings.count("window").unwrap(), 60);
    let dump = json!({
        "zone": "brest", "address": "127.0.0.1:0", "peers": [], "window": 60, "form": "a"
    });
    assert_eq!(settings.dump(Moment::default()), dump);
    assert!(settings.count("form").is_err());
}

#[test]
fn each_error_names_the_line_and_the_allowed_values() {
    let cases = [
        ("zone: x", "zome: x", "line 2: unknown setting `zome`; allowed are zone, address"),
        (
            "zone: x",
            "zone: Brest",
            "line 2: setting `zone`: `Brest` is not usable; allowed are names",
        ),
        ("zone: x", "", "setting `zone` is missing; allowed are names"),
        (
            "window: 9",
            "window: 61",
            "line 4: setting `window`: `61` is not usable; allowed are whole numbers from 1 to 60, in seconds",
        ),
        ("window: 9", "window: 9 s", "line 4: setting `window`: `9 s` is not usable"),
        ("window: 9", "form: c", "line 4: setting `form`: `c` is not usable; allowed are a, b"),
        ("window: 9", "peers: [here]", "line 4: setting `peers`: `- here` is not usable"),
        ("window: 9", "zone: y", "duplicate entry with key \"zone\""),
        ("window: 9", "window: [9", "line 5: "),
    ];
    for (original, replacement, expected) in cases {
        let text =
            "# settings\nzone: x\naddress: 127.0.0.1:0\nwindow: 9\n".replace(original, replacement);
        let error = error(&text);
        assert!(error.starts_with("node.yaml: ") && error.contains(expected), "{error}");
    }
}

#[test]
fn the_help_text_filled_in_is_a_valid_file() {
    let filled =
        TABLE.help().replace("zone:\n", "zone: x\n").replace("address:\n", "address: 1.2.3.4:5\n");
    TABLE.parse("node.yaml", &filled).unwrap();
}

/// The seed and the number of cases are fixed, so that every run has the same result.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(100, 3);
    QuickCheck::new().rng(rng).tests(500).quickcheck(property);
}

#[test]
fn arbitrary_text_gives_settings_or_an_error() {
    fn property(text: String) -> bool {
        let _ = TABLE.parse("node.yaml", &text);
        true
    }
    check(property as fn(String) -> bool);
}

#[test]
fn a_corrupted_valid_file_gives_settings_or_an_error() {
    fn property(at: usize, with: String) -> bool {
        let mut text = VALID.to_owned();
        let at = at % text.len();
        let end = (at + 1 + with.len()).min(text.len());
        text.replace_range(at..end, &with);
        let _ = TABLE.parse("node.yaml", &text);
        true
    }
    check(property as fn(usize, String) -> bool);
}

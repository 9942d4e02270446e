//! Settings files are taken whole or refused with the line and what is allowed.

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

const SOUND: &str = "# settings\nzone: brest\naddress: 127.0.0.1:0\nwindow: 60\n";

fn error(text: &str) -> String {
    TABLE.parse("node.yaml", text).expect_err("a fault").to_string()
}

#[test]
fn a_sound_file_gives_every_setting_and_the_dump_shows_them() {
    let settings = TABLE.parse("node.yaml", SOUND).unwrap();
    assert_eq!(settings.count("window").unwrap(), 60);
    let dump = json!({
        "zone": "brest", "address": "127.0.0.1:0", "peers": [], "window": 60, "form": "a"
    });
    assert_eq!(settings.dump(Moment::default()), dump);
    assert!(settings.count("form").is_err());
}

#[test]
fn each_fault_is_named_with_its_line_and_what_is_allowed() {
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
    for (find, put, expected) in cases {
        let text = "# settings\nzone: x\naddress: 127.0.0.1:0\nwindow: 9\n".replace(find, put);
        let error = error(&text);
        assert!(error.starts_with("node.yaml: ") && error.contains(expected), "{error}");
    }
}

#[test]
fn the_help_filled_in_is_a_sound_file() {
    let filled =
        TABLE.help().replace("zone:\n", "zone: x\n").replace("address:\n", "address: 1.2.3.4:5\n");
    TABLE.parse("node.yaml", &filled).unwrap();
}

/// Cases and their seed are fixed, so that every run has the same verdict.
fn check<P: Testable>(property: P) {
    let rng = Gen::from_size_and_seed(100, 3);
    QuickCheck::new().rng(rng).tests(500).quickcheck(property);
}

#[test]
fn any_text_gives_settings_or_an_error() {
    fn property(text: String) -> bool {
        let _ = TABLE.parse("node.yaml", &text);
        true
    }
    check(property as fn(String) -> bool);
}

#[test]
fn any_damage_to_a_sound_file_gives_settings_or_an_error() {
    fn property(at: usize, with: String) -> bool {
        let mut text = SOUND.to_owned();
        let at = at % text.len();
        let end = (at + 1 + with.len()).min(text.len());
        text.replace_range(at..end, &with);
        let _ = TABLE.parse("node.yaml", &text);
        true
    }
    check(property as fn(usize, String) -> bool);
}

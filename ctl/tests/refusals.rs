//! Broken contracts are refused with file, line, what is wrong and what is allowed.

use std::fmt::Write;
use std::process::Command;

/// One thing that is wrong with a contract which is sound otherwise.
struct Damage {
    name: &'static str,
    find: &'static str,
    put: &'static str,
}

const SOUND: &str = "\
customer: armor
goal: goodput
services: [listings, reminders, archives]
classes:
  book-reminder:
    service: reminders
    importance: 60
    repeatable: false
    deadline: 4 s
    retries: 2
    repeat_window: 10 min
    largest_answer: 64 KiB
    calls: [read-listing, record-booking]
  read-listing:
    service: listings
    importance: 30
    repeatable: true
    deadline: 2 s
    retries: 2
    largest_answer: 256 KiB
    calls: [read-archive]
  record-booking:
    service: archives
    importance: 60
    repeatable: false
    deadline: 2 s
    retries: 1
    repeat_window: 10 min
    largest_answer: 16 KiB
  read-archive:
    service: archives
    importance: 30
    repeatable: true
    deadline: 2 s
    retries: 2
    largest_answer: 256 KiB
";

const DAMAGES: [Damage; 26] = [
    Damage {
        name: "unknown field",
        find: "    retries: 1\n",
        put: "    retries: 1\n    slots: 9\n",
    },
    Damage { name: "unknown top field", find: "goal: goodput\n", put: "goal: goodput\nlimit: 9\n" },
    Damage { name: "missing field", find: "    retries: 1\n", put: "" },
    Damage {
        name: "field twice",
        find: "    retries: 1\n",
        put: "    retries: 1\n    retries: 2\n",
    },
    Damage { name: "wrong unit", find: "deadline: 4 s", put: "deadline: 4 sec" },
    Damage { name: "no unit", find: "deadline: 4 s", put: "deadline: 4" },
    Damage { name: "fraction", find: "deadline: 4 s", put: "deadline: 0.5 s" },
    Damage { name: "no time at all", find: "deadline: 4 s", put: "deadline: 0 s" },
    Damage { name: "too long", find: "deadline: 4 s", put: "deadline: 2 h" },
    Damage { name: "overflow", find: "deadline: 4 s", put: "deadline: 99999999999999999999 h" },
    Damage { name: "size of time", find: "256 KiB\n    calls", put: "256 s\n    calls" },
    Damage { name: "answer too large", find: "16 KiB", put: "16 MiB" },
    Damage { name: "importance", find: "importance: 60", put: "importance: 101" },
    Damage { name: "negative", find: "importance: 60", put: "importance: -1" },
    Damage { name: "retries", find: "retries: 1", put: "retries: 17" },
    Damage { name: "not a truth value", find: "repeatable: false", put: "repeatable: never" },
    Damage { name: "goal", find: "goal: goodput", put: "goal: speed" },
    Damage { name: "name", find: "customer: armor", put: "customer: Armor Ltd" },
    Damage { name: "service twice", find: "[listings,", put: "[listings, listings," },
    Damage { name: "class twice", find: "  record-booking:", put: "  read-listing:" },
    Damage {
        name: "window not wanted",
        find: "    retries: 2\n    largest",
        put: "    retries: 2\n    repeat_window: 1 min\n    largest",
    },
    Damage { name: "window missing", find: "    repeat_window: 10 min\n", put: "" },
    Damage { name: "unknown service", find: "service: listings", put: "service: listing" },
    Damage { name: "unknown callee", find: "calls: [read-archive]", put: "calls: [read-archives]" },
    Damage { name: "not YAML", find: "goal: goodput", put: "goal: \"goodput" },
    Damage { name: "empty", find: SOUND, put: "" },
];

/// Contradictions between classes that are sound one by one.
const CONTRADICTIONS: [Damage; 4] = [
    Damage { name: "circle", find: "calls: [read-archive]", put: "calls: [read-listing]" },
    Damage { name: "once inside repeatable", find: "[read-archive]", put: "[record-booking]" },
    Damage { name: "short window", find: "repeat_window: 10 min", put: "repeat_window: 3 s" },
    Damage { name: "impossible deadline", find: "deadline: 4 s", put: "deadline: 14 ms" },
];

fn check(text: &str) -> (Option<i32>, String) {
    let dir = std::env::temp_dir().join(format!("poplarctl-refusals-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a directory");
    std::fs::write(dir.join("contract.yaml"), text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_poplarctl"))
        .args(["check", "contract.yaml"])
        .current_dir(&dir)
        .output()
        .expect("poplarctl runs");
    std::fs::remove_dir_all(&dir).expect("the directory is still there");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn a_broken_contract_is_refused_with_its_line_and_what_is_allowed() {
    assert_eq!(check(SOUND), (Some(0), String::new()));
    let mut golden = String::new();
    for damage in DAMAGES.iter().chain(&CONTRADICTIONS) {
        assert!(SOUND.contains(damage.find), "{}", damage.name);
        let (code, error) = check(&SOUND.replacen(damage.find, damage.put, 1));
        assert_eq!(code, Some(2), "{}: {error}", damage.name);
        assert!(error.starts_with("poplarctl: contract.yaml: line "), "{error}");
        write!(golden, "{}\n  {error}", damage.name).unwrap();
    }
    insta::assert_snapshot!(golden);
}

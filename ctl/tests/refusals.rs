//! Invalid contracts are refused with an error that names the file, the line, the fault and what is
//! allowed.

use std::fmt::Write;
use std::process::Command;

/// Text replacement that makes [`VALID`] invalid.
struct Defect {
    name: &'static str,
    find: &'static str,
    replacement: &'static str,
}

const VALID: &str = "\
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

const DEFECTS: [Defect; 26] = [
    Defect {
        name: "unknown field",
        find: "    retries: 1\n",
        replacement: "    retries: 1\n    slots: 9\n",
    },
    Defect {
        name: "unknown top field",
        find: "goal: goodput\n",
        replacement: "goal: goodput\nlimit: 9\n",
    },
    Defect { name: "missing field", find: "    retries: 1\n", replacement: "" },
    Defect {
        name: "field twice",
        find: "    retries: 1\n",
        replacement: "    retries: 1\n    retries: 2\n",
    },
    Defect { name: "wrong unit", find: "deadline: 4 s", replacement: "deadline: 4 sec" },
    Defect { name: "no unit", find: "deadline: 4 s", replacement: "deadline: 4" },
    Defect { name: "fraction", find: "deadline: 4 s", replacement: "deadline: 0.5 s" },
    Defect { name: "no time at all", find: "deadline: 4 s", replacement: "deadline: 0 s" },
    Defect { name: "too long", find: "deadline: 4 s", replacement: "deadline: 2 h" },
    Defect {
        name: "overflow",
        find: "deadline: 4 s",
        replacement: "deadline: 99999999999999999999 h",
    },
    Defect { name: "size of time", find: "256 KiB\n    calls", replacement: "256 s\n    calls" },
    Defect { name: "answer too large", find: "16 KiB", replacement: "16 MiB" },
    Defect { name: "importance", find: "importance: 60", replacement: "importance: 101" },
    Defect { name: "negative", find: "importance: 60", replacement: "importance: -1" },
    Defect { name: "retries", find: "retries: 1", replacement: "retries: 17" },
    Defect {
        name: "not a truth value",
        find: "repeatable: false",
        replacement: "repeatable: never",
    },
    Defect { name: "goal", find: "goal: goodput", replacement: "goal: speed" },
    Defect { name: "name", find: "customer: armor", replacement: "customer: Armor Ltd" },
    Defect { name: "service twice", find: "[listings,", replacement: "[listings, listings," },
    Defect { name: "class twice", find: "  record-booking:", replacement: "  read-listing:" },
    Defect {
        name: "window not wanted",
        find: "    retries: 2\n    largest",
        replacement: "    retries: 2\n    repeat_window: 1 min\n    largest",
    },
    Defect { name: "window missing", find: "    repeat_window: 10 min\n", replacement: "" },
    Defect { name: "unknown service", find: "service: listings", replacement: "service: listing" },
    Defect {
        name: "unknown callee",
        find: "calls: [read-archive]",
        replacement: "calls: [read-archives]",
    },
    Defect { name: "not YAML", find: "goal: goodput", replacement: "goal: \"goodput" },
    Defect { name: "empty", find: VALID, replacement: "" },
];

/// Contradictions between classes that are valid on their own.
const CONTRADICTIONS: [Defect; 4] = [
    Defect { name: "circle", find: "calls: [read-archive]", replacement: "calls: [read-listing]" },
    Defect {
        name: "once inside repeatable",
        find: "[read-archive]",
        replacement: "[record-booking]",
    },
    Defect {
        name: "short window",
        find: "repeat_window: 10 min",
        replacement: "repeat_window: 3 s",
    },
    Defect { name: "impossible deadline", find: "deadline: 4 s", replacement: "deadline: 14 ms" },
];

fn check(text: &str) -> (Option<i32>, String) {
    let dir = std::env::temp_dir().join(format!("poplarctl-refusals-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary directory");
    std::fs::write(dir.join("contract.yaml"), text).expect("the contract file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_poplarctl"))
        .args(["check", "contract.yaml"])
        .current_dir(&dir)
        .output()
        .expect("poplarctl starts");
    std::fs::remove_dir_all(&dir).expect("the temporary directory is removed");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn a_broken_contract_is_refused_with_its_line_and_what_is_allowed() {
    assert_eq!(check(VALID), (Some(0), String::new()));
    let mut golden = String::new();
    for defect in DEFECTS.iter().chain(&CONTRADICTIONS) {
        assert!(VALID.contains(defect.find), "{}", defect.name);
        let (code, error) = check(&VALID.replacen(defect.find, defect.replacement, 1));
        assert_eq!(code, Some(2), "{}: {error}", defect.name);
        assert!(error.starts_with("poplarctl: contract.yaml: line "), "{error}");
        write!(golden, "{}\n  {error}", defect.name).unwrap();
    }
    insta::assert_snapshot!(golden);
}

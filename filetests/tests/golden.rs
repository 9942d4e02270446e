//! Checks that each golden file equals the replay of its script. `POPLAR_BLESS=1` overwrites the
//! files that differ instead of reporting them.

use std::path::{Path, PathBuf};
use std::{env, fs};

use poplar_filetests::{LineError, VIOLATION, replay};

/// Paths of all golden files, in a fixed order.
fn golden_files() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("filetests");
    let entries = fs::read_dir(dir).expect("failed to read the directory of golden files");
    let mut files: Vec<_> = entries.flatten().map(|entry| entry.path()).collect();
    files.retain(|path| path.extension().is_some_and(|extension| extension == "txt"));
    files.sort();
    files
}

/// Describes the first line in which two texts differ; `None` if they are equal line by line.
fn first_difference(expected: &str, found: &str) -> Option<String> {
    let longest = expected.lines().count().max(found.lines().count());
    let line = |text: &str, idx| text.lines().nth(idx).unwrap_or("(end of file)").to_owned();
    let differs = |idx: &usize| line(expected, *idx) != line(found, *idx);
    let idx = (0..longest).find(differs)?;
    let (expected, found) = (line(expected, idx), line(found, idx));
    Some(format!("line {}:\n  expected: {expected}\n  found:    {found}", idx + 1))
}

#[test]
fn sessions_match_their_golden_files() {
    let bless = env::var_os("POPLAR_BLESS").is_some_and(|value| value == "1");
    let mut failures = Vec::new();
    let files = golden_files();
    assert!(!files.is_empty(), "no golden files found");
    for path in files {
        let expected = fs::read_to_string(&path).expect("failed to read a golden file");
        let found = match replay(&expected) {
            Ok(found) => found,
            Err(error) => {
                failures.push(format!("{}: {error}", path.display()));
                continue;
            }
        };
        if found.contains(VIOLATION) {
            failures.push(format!(
                "{}: the trace reports a violated invariant:\n{found}",
                path.display()
            ));
        } else if bless && found != expected {
            fs::write(&path, &found).expect("failed to write a golden file");
        } else if let Some(difference) = first_difference(&expected, &found) {
            failures.push(format!("{}: {difference}", path.display()));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn invalid_lines_are_reported_with_their_number() {
    let error_of = |text: &str| replay(text).map_err(|error| (error.line, error.error));
    assert_eq!(error_of("0s start a"), Err((1, LineError::UnknownSession)));
    assert_eq!(error_of("session once\nsoon start a"), Err((2, LineError::InvalidTime)));
    assert_eq!(error_of("session once\n2s start a\n1s kill a"), Err((3, LineError::TimeReversed)));
    assert_eq!(error_of("session once\n\n1s kill a"), Err((3, LineError::UnknownName)));
}

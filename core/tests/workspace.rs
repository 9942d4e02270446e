//! Lookup of workspaces by key.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use poplar_core::{KeyDigest, Name, Workspace, WorkspaceError, WorkspaceIndex};

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect();
    Workspace { name: Name::new(name), keys, importance: None, rate: None }
}

/// Guards against requests that are attributed to another workspace.
#[test]
fn each_key_finds_its_workspace_and_no_other_key_finds_any() {
    let list =
        [workspace("red", &["r1", "r2"]), workspace("blue", &["b1"]), workspace("idle", &[])];
    let index = WorkspaceIndex::new(&list).unwrap();
    let find = |key: &str| index.find(&KeyDigest::of(key.as_bytes()));
    assert_eq!([find("r1"), find("r2"), find("b1")], [Some(0), Some(0), Some(1)]);
    assert_eq!([find(""), find("r"), find("r1 "), find("R1")], [None; 4]);
}

/// Guards against a key whose workspace depends on the order of the list.
#[test]
fn ambiguous_lists_are_rejected() {
    let shared = [workspace("red", &["k"]), workspace("blue", &["k"])];
    let error = WorkspaceIndex::new(&shared).unwrap_err();
    assert_eq!(error, WorkspaceError::SharedKey(Name::new("red"), Name::new("blue")));
    let twice = [workspace("red", &["a"]), workspace("red", &["b"])];
    let error = WorkspaceIndex::new(&twice).unwrap_err();
    assert_eq!(error, WorkspaceError::DuplicateName(Name::new("red")));
    // A key that one workspace lists twice is not ambiguous.
    assert!(WorkspaceIndex::new(&[workspace("red", &["a", "a"])]).is_ok());
}

/// Guards against digests in logs and dumps, which are written with `Debug`.
#[test]
fn debug_output_of_a_workspace_holds_no_digest() {
    let text = format!("{:?}", workspace("red", &["key"]));
    assert!(text.contains("KeyDigest(..)"), "{text}");
}

//! `.ci/test` tolerates failures of exactly the tests listed in KNOWN-RED.txt.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};

/// Stand-in for cargo with three tests, of which `b` fails. It logs the arguments of each call.
const FAKE_CARGO_SCRIPT: &str = r#"#!/usr/bin/env bash
echo "$*" >> "$(dirname "$0")/calls"
case "$*" in
  *--list*) printf 'm::a: test\nm::b: test\nm::bb: test\n' ;;
  *"--skip m::b"|*"--skip m::b "*) exit 0 ;;
  *"--exact m::a") exit 0 ;;
  *) exit 101 ;;
esac
"#;

/// Held while a script is written and run. Without it, a process started by another thread may inherit the script's
/// open file for a moment, and running the script fails with "text file busy".
static SCRIPT_RUN: Mutex<()> = Mutex::new(());

/// Result of a run of `.ci/test` with the stand-in for cargo.
struct ScriptRun {
    directory: PathBuf,
    output: Output,
}

impl ScriptRun {
    /// Returns the arguments of the calls of cargo, one line for each call.
    fn calls(&self) -> String {
        std::fs::read_to_string(self.directory.join("calls")).unwrap_or_default()
    }

    /// Returns standard output followed by standard error.
    fn printed(&self) -> String {
        let text = [&self.output.stdout[..], &self.output.stderr[..]].concat();
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Runs `.ci/test` with this content of KNOWN-RED.txt, or without the file.
fn run(name: &str, known_red: Option<&str>) -> ScriptRun {
    use std::os::unix::fs::PermissionsExt;
    let _running = SCRIPT_RUN.lock().unwrap_or_else(PoisonError::into_inner);
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("directory");
    let cargo = directory.join("cargo");
    std::fs::write(&cargo, FAKE_CARGO_SCRIPT).expect("written");
    std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).expect("allowed");
    let list = directory.join("KNOWN-RED.txt");
    if let Some(text) = known_red {
        std::fs::write(&list, text).expect("written");
    }
    let output = Command::new("bash")
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test"))
        .arg(&list)
        .env("KNOWN_RED_CARGO", &cargo)
        .output()
        .expect("bash");
    ScriptRun { directory, output }
}

#[test]
fn all_tests_run_without_listed_tests() {
    let without = run("none", None);
    assert_eq!(without.calls(), "test --locked --workspace\n");
    assert_eq!(without.output.status.code(), Some(101));
    assert_eq!(run("empty", Some("\n")).calls(), without.calls());
}

#[test]
fn only_listed_tests_may_fail_and_are_printed() {
    let two = run(
        "two",
        Some("m::b | cargo test b, seed 1 | fails | 23\nm::a | cargo test a | gone | 24\n"),
    );
    assert!(two.output.status.success(), "{}", two.printed());
    let others = "test --locked --workspace -- --exact --skip m::b --skip m::a\n";
    assert!(two.calls().contains(others), "{}", two.calls());
    assert!(two.printed().contains("m::b fails"));
    assert!(two.printed().contains("m::a passes now"));
    let other = run("other", Some("m::a | cargo test a | fails | 23"));
    assert!(!other.output.status.success(), "b fails and is not listed");
}

#[test]
fn invalid_lists_are_rejected() {
    for (name, text, reason) in [
        (
            "long",
            "m::a|c|s|1\nm::b|c|s|1\nm::bb|c|s|1\nm::a|c|s|1\n",
            "three",
        ),
        ("short", "m::b | cargo test b | fails\n", "line 1"),
        ("no-command", "m::b | | fails | 23\n", "line 1"),
        ("not-seen", "m::b | cargo test b | | 23\n", "line 1"),
        ("more", "m::b | a | b | 23 | c\n", "line 1"),
        ("unknown", "m::c | cargo test c | fails | 23\n", "no test"),
        ("part", "b | cargo test b | fails | 23\n", "no test"),
    ] {
        let rejected = run(name, Some(text));
        assert_eq!(rejected.output.status.code(), Some(1), "{name}");
        let printed = rejected.printed();
        assert!(printed.contains(reason), "{name}: {printed}");
    }
}

//! `.ci/test` passes over the tests that KNOWN-RED.txt names, and over nothing else.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A cargo that knows three tests, of which `b` fails, and writes down how it was called.
const CARGO: &str = r#"#!/usr/bin/env bash
echo "$*" >> "$(dirname "$0")/calls"
case "$*" in
  *--list*) printf 'm::a: test\nm::b: test\nm::bb: test\n' ;;
  *"--skip m::b"|*"--skip m::b "*) exit 0 ;;
  *"--exact m::a") exit 0 ;;
  *) exit 101 ;;
esac
"#;

struct Try {
    dir: PathBuf,
    out: Output,
}

impl Try {
    fn calls(&self) -> String {
        std::fs::read_to_string(self.dir.join("calls")).unwrap_or_default()
    }
    fn said(&self) -> String {
        let text = [&self.out.stdout[..], &self.out.stderr[..]].concat();
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn run(name: &str, file: Option<&str>) -> Try {
    use std::os::unix::fs::PermissionsExt;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("known-red-{name}"));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("directory");
    let cargo = dir.join("cargo");
    std::fs::write(&cargo, CARGO).expect("written");
    std::fs::set_permissions(&cargo, std::fs::Permissions::from_mode(0o755)).expect("allowed");
    let list = dir.join("KNOWN-RED.txt");
    if let Some(text) = file {
        std::fs::write(&list, text).expect("written");
    }
    let out = Command::new("bash")
        .arg(Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/test"))
        .arg(&list)
        .env("KNOWN_RED_CARGO", &cargo)
        .output()
        .expect("bash");
    Try { dir, out }
}

#[test]
fn without_the_file_everything_runs_and_counts() {
    let t = run("none", None);
    assert_eq!(t.calls(), "test --locked --workspace\n");
    assert_eq!(t.out.status.code(), Some(101));
    assert_eq!(run("empty", Some("\n")).calls(), t.calls());
}

#[test]
fn just_the_tests_named_are_passed_over_and_printed() {
    let t = run("two", Some("m::b | cause | 23\nm::a | gone | 24\n"));
    assert!(t.out.status.success(), "{}", t.said());
    let rest = "test --locked --workspace -- --exact --skip m::b --skip m::a\n";
    assert!(t.calls().contains(rest), "{}", t.calls());
    assert!(t.said().contains("m::b fails"));
    assert!(t.said().contains("m::a passes now"));
    let other = run("other", Some("m::a | cause | 23"));
    assert!(!other.out.status.success(), "b fails and is not named");
}

#[test]
fn a_list_that_says_too_little_or_too_much_fails() {
    for (name, text, why) in [
        ("long", "m::a|c|1\nm::b|c|1\nm::bb|c|1\nm::a|c|1\n", "three"),
        ("short", "m::b | cause\n", "line 1"),
        ("blank", "m::b | | 23\n", "line 1"),
        ("more", "m::b | a | 23 | c\n", "line 1"),
        ("unknown", "m::c | cause | 23\n", "no test"),
        ("part", "b | cause | 23\n", "no test"),
    ] {
        let t = run(name, Some(text));
        assert_eq!(t.out.status.code(), Some(1), "{name}");
        assert!(t.said().contains(why), "{name}: {}", t.said());
    }
}

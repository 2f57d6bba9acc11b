//! Real processes of the program on loopback, against the stand-ins of `review/standin`. The cases need Python 3 and
//! nothing but its standard library.

use std::path::Path;
use std::process::Command;

/// Seed of the choices that a case makes. The processes run on the real clock.
const SEED: &str = "60";
/// Time for which the case submits jobs, in seconds.
const DURATION_S: &str = "60";

/// Whether the layout of this version comes into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Layout {
    Current,
    Earlier,
}

#[test]
fn answered_direct_calls_that_arrive_once_more_start_nothing_again() {
    assert_repeated_calls_start_nothing(Layout::Current);
}

#[test]
fn answered_direct_calls_that_arrive_once_more_start_nothing_again_beside_earlier_versions() {
    assert_repeated_calls_start_nothing(Layout::Earlier);
}

fn assert_repeated_calls_start_nothing(layout: Layout) {
    let case = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/real_processes/repeated_calls.py");
    let record = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("repeated-calls-{layout:?}"));
    std::fs::create_dir_all(&record).expect("folder of the record");
    let output = Command::new("python3")
        .arg(case)
        .env("PROGRAM", env!("CARGO_BIN_EXE_coppergw"))
        .env("RECORD_DIR", &record)
        .env("SEED", SEED)
        .env("DURATION_S", DURATION_S)
        .env(
            "EARLIER_LAYOUT",
            if layout == Layout::Earlier { "1" } else { "0" },
        )
        .env_remove("TROUBLE")
        .output()
        .expect("python3 runs the case");
    let printed = [&output.stdout[..], &output.stderr[..]].concat();
    let printed = String::from_utf8_lossy(&printed);
    println!("{printed}");
    assert!(
        output.status.success(),
        "{printed}record: {}",
        record.display()
    );
}

//! Names that leave the process: fields and values of messages, stored values, keys, settings, log fields, flags.
//! Other programs, other versions and operators' tools read them, so a rename inside the code must not change one.
//!
//! `names.txt` lists what `collector.rs` finds in the sources, one `kind name count` a line. The comparison is exact:
//! a name that is renamed, dropped or added fails the test. Only a deliberate change of an interface edits the list.

mod collector;

use collector::ExternalNames;
use std::path::Path;

const LIST: &str = include_str!("names.txt");

fn names_in_sources() -> ExternalNames {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = ExternalNames::default();
    for folder in ["src", "crates/base/src"] {
        names.collect_folder(&root.join(folder));
    }
    names
}

#[test]
fn external_names_are_unchanged() {
    let listed: Vec<&str> = LIST.lines().collect();
    let found = names_in_sources().lines();
    let missing: Vec<&str> = listed
        .iter()
        .copied()
        .filter(|line| !found.iter().any(|name| name == line))
        .collect();
    let unlisted: Vec<&String> = found
        .iter()
        .filter(|line| !listed.contains(&line.as_str()))
        .collect();
    assert!(
        missing.is_empty() && unlisted.is_empty(),
        "listed but not found:\n{missing:#?}\nfound but not listed:\n{unlisted:#?}"
    );
}

/// Renames each kind of name in a small source and expects the collector to notice.
#[test]
fn renames_are_noticed() {
    const SOURCE: &str = r##"
        #[derive(Serialize)]
        struct Sent {
            #[serde(rename = "deckhand")]
            machine: u32,
            address: u32,
        }
        #[derive(Deserialize)]
        #[serde(rename_all = "snake_case")]
        enum State { UpAndReady }
        #[derive(Subcommand)]
        enum Action {
            #[command(alias = "withdraw")]
            CancelJob { #[arg(long)] node_name: u32 },
        }
        fn run(silent_for_ms: u64) {
            tracing::info!(%machine, after = 3, silent_for_ms, "a sentence");
            call("/orders", format!("block/{machine}/{0:>3}", 3));
            value.expect("unseen");
        }
    "##;
    let before = ExternalNames::of_source(SOURCE).lines();
    let expected = [
        "command cancel-job 1",
        "command withdraw 1",
        "field address 1",
        "field deckhand 1",
        "field up_and_ready 1",
        "flag node-name 1",
        "log after 1",
        "log machine 1",
        "log silent_for_ms 1",
        "text /orders 1",
        "text block/{}/{:>3} 1",
    ];
    assert_eq!(before, expected);
    for (name, renamed) in [
        ("deckhand", "worker"),
        ("address", "endpoint"),
        ("UpAndReady", "Ready"),
        ("CancelJob", "StopJob"),
        ("withdraw", "revoke"),
        ("node_name", "node"),
        ("%machine", "%host"),
        ("after =", "later ="),
        ("silent_for_ms", "quiet_ms"),
        ("/orders", "/commands"),
        ("block/", "part/"),
        (":>3", ":>4"),
    ] {
        let changed = ExternalNames::of_source(&SOURCE.replace(name, renamed)).lines();
        assert_ne!(before, changed, "{name} renamed to {renamed}");
    }
    let inner = SOURCE
        .replace("machine: u32", "host: u32")
        .replace("{machine}", "{host}");
    assert_eq!(before, ExternalNames::of_source(&inner).lines());
}

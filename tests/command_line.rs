//! The command line: commands in the field's terms, and the words of earlier versions, which go on
//! working without being shown.

use clap::{CommandFactory, Parser};
use coppergw::cli::{
    Arguments, Command, CommandError, EXIT_FAILURE, EXIT_INVALID_SETTINGS, EXIT_USAGE, InspectTopic,
};
use coppergw::settings::Settings;
use std::path::{Path, PathBuf};

const NODE: &str = "127.0.0.1:80";

fn parse(arguments: &[&str]) -> Option<Command> {
    let all = [&["coppergw"], arguments].concat();
    Arguments::try_parse_from(all)
        .expect("parses")
        .into_command()
}

fn inspect(topic: &str) -> InspectTopic {
    match parse(&["inspect", "--node", NODE, topic]) {
        Some(Command::Inspect {
            topic, id: None, ..
        }) => topic,
        other => panic!("{topic}: {other:?}"),
    }
}

#[test]
fn a_job_is_cancelled_by_either_word() {
    let expected = Some(Command::Cancel {
        node: NODE.parse().expect("address"),
        id: "req-7".into(),
    });
    for word in ["cancel", "withdraw"] {
        assert_eq!(parse(&[word, "--node", NODE, "req-7"]), expected, "{word}");
    }
}

/// Each topic, the words that name it, and its path, which other versions of the program ask for.
#[test]
fn topics_have_their_terms_and_earlier_words() {
    let table: [(InspectTopic, &[&str], &str); 8] = [
        (InspectTopic::Members, &["members"], "/inspect/members"),
        (InspectTopic::Shards, &["shards", "parts"], "/inspect/parts"),
        (InspectTopic::Machines, &["machines"], "/inspect/machines"),
        (InspectTopic::Fairness, &["fairness"], "/inspect/fairness"),
        (InspectTopic::Layout, &["layout"], "/inspect/layout"),
        (
            InspectTopic::Pipelines,
            &["pipelines"],
            "/inspect/pipelines",
        ),
        (InspectTopic::Jobs, &["jobs"], "/inspect/jobs"),
        (
            InspectTopic::ServiceLevels,
            &["service-levels", "served"],
            "/inspect/served",
        ),
    ];
    for (topic, words, path) in table {
        for word in words {
            assert_eq!(inspect(word), topic, "{word}");
        }
        assert_eq!(topic.path(), path);
    }
}

#[test]
fn help_shows_the_terms_only() {
    let mut command = Arguments::command();
    let general = command.render_long_help().to_string();
    assert!(general.contains("cancel"));
    assert!(!general.contains("withdraw"));
    let inspect = command.find_subcommand_mut("inspect").expect("a command");
    let inspect = inspect.render_long_help().to_string();
    for term in ["- shards", "- service-levels"] {
        assert!(inspect.contains(term), "{term}: {inspect}");
    }
    for word in ["parts", "served"] {
        assert!(!inspect.contains(word), "{word}: {inspect}");
    }
}

#[test]
fn a_settings_file_alone_runs_a_controller() {
    let expected = Some(Command::Serve {
        config: PathBuf::from("s.toml"),
        policy: Some(PathBuf::from("p.lua")),
    });
    let paths = ["--config", "s.toml", "--policy", "p.lua"];
    assert_eq!(parse(&paths), expected);
    assert_eq!(parse(&[&["serve"], &paths[..]].concat()), expected);
    assert_eq!(parse(&[]), None);
}

#[test]
fn what_is_no_command_is_rejected() {
    for arguments in [
        &["coppergw", "remove", "--node", NODE, "req-7"][..],
        &["coppergw", "inspect", "--node", NODE, "everything"],
        &["coppergw", "cancel", "--node", "nowhere", "req-7"],
        &["coppergw", "cancel", "req-7"],
    ] {
        assert!(Arguments::try_parse_from(arguments).is_err());
    }
}

/// Scripts tell failures apart by these numbers.
#[test]
fn exit_codes_tell_failures_apart() {
    assert_eq!(
        (EXIT_FAILURE, EXIT_INVALID_SETTINGS, EXIT_USAGE),
        (1, 2, 64)
    );
    let settings = Settings::load(Path::new("/nowhere/s.toml")).expect_err("no file");
    assert_eq!(
        CommandError::from(settings).exit_code(),
        EXIT_INVALID_SETTINGS
    );
    assert_eq!(CommandError::Usage("").exit_code(), EXIT_USAGE);
    let rejected = CommandError::Rejected {
        status: 404,
        reason: "no such job".into(),
    };
    assert_eq!(rejected.exit_code(), EXIT_FAILURE);
    assert_eq!(rejected.to_string(), "status 404: no such job");
}

//! The command line: the current command names, and those of earlier versions, which remain valid as hidden
//! aliases.

use clap::{CommandFactory, Parser};
use coppergw::cli::{
    Arguments, Command, CommandError, EXIT_FAILURE, EXIT_INVALID_SETTINGS, EXIT_USAGE, InspectTopic,
};
use coppergw::settings::Settings;
use std::path::{Path, PathBuf};

const NODE_ADDRESS: &str = "127.0.0.1:80";

fn parse(arguments: &[&str]) -> Option<Command> {
    let all = [&["coppergw"], arguments].concat();
    Arguments::try_parse_from(all)
        .expect("parses")
        .into_command()
}

fn inspect(topic: &str) -> InspectTopic {
    match parse(&["inspect", "--node", NODE_ADDRESS, topic]) {
        Some(Command::Inspect {
            topic, id: None, ..
        }) => topic,
        other => panic!("{topic}: {other:?}"),
    }
}

#[test]
fn cancel_and_its_alias_are_equivalent() {
    let expected = Some(Command::Cancel {
        node: NODE_ADDRESS.parse().expect("address"),
        id: "req-7".into(),
    });
    for word in ["cancel", "withdraw"] {
        assert_eq!(
            parse(&[word, "--node", NODE_ADDRESS, "req-7"]),
            expected,
            "{word}"
        );
    }
}

/// Each topic with its names and its path, which other versions of the program request.
#[test]
fn topics_have_current_names_and_aliases() {
    let table: [(InspectTopic, &[&str], &str); 9] = [
        (InspectTopic::Members, &["members"], "/inspect/members"),
        (InspectTopic::Shards, &["shards", "parts"], "/inspect/parts"),
        (InspectTopic::Machines, &["machines"], "/inspect/machines"),
        (InspectTopic::Fairness, &["fairness"], "/inspect/fairness"),
        (InspectTopic::Layout, &["layout"], "/inspect/layout"),
        (InspectTopic::Memory, &["memory"], "/inspect/memory"),
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
fn help_omits_aliases() {
    let mut command = Arguments::command();
    let general = command.render_long_help().to_string();
    assert!(general.contains("cancel"));
    assert!(!general.contains("withdraw"));
    let inspect = command.find_subcommand_mut("inspect").expect("a command");
    let inspect = inspect.render_long_help().to_string();
    for name in ["- shards", "- service-levels"] {
        assert!(inspect.contains(name), "{name}: {inspect}");
    }
    for word in ["parts", "served"] {
        assert!(!inspect.contains(word), "{word}: {inspect}");
    }
}

#[test]
fn settings_file_without_a_command_runs_serve() {
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
fn invalid_commands_are_rejected() {
    for arguments in [
        &["coppergw", "remove", "--node", NODE_ADDRESS, "req-7"][..],
        &["coppergw", "inspect", "--node", NODE_ADDRESS, "everything"],
        &["coppergw", "cancel", "--node", "nowhere", "req-7"],
        &["coppergw", "cancel", "req-7"],
    ] {
        assert!(Arguments::try_parse_from(arguments).is_err());
    }
}

/// Scripts depend on these exit codes to distinguish kinds of failure.
#[test]
fn exit_codes_differ_by_kind_of_failure() {
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

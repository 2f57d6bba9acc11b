//! Tests of key names.

use super::*;

/// Guards against a key builder and `parse` disagreeing about the kind or the name in a key.
#[test]
fn parse_returns_kind_and_name_of_every_built_key() {
    let keys = [
        (job("req-1"), KeyKind::Job, "req-1"),
        (block("req-1", 3), KeyKind::Block, "req-1/3"),
        (
            block_part("req-1", 3, 64, 2),
            KeyKind::BlockPart,
            "req-1/3/64/2",
        ),
        (
            dependency_list("req-1", 1),
            KeyKind::DependencyList,
            "req-1/1",
        ),
        (finished_job("req-1"), KeyKind::FinishedJob, "req-1"),
        (machine("m-1"), KeyKind::Machine, "m-1"),
        (machine_type("g8"), KeyKind::MachineTypes, "g8"),
        (MACHINE_TYPES.into(), KeyKind::MachineTypes, ""),
        (scale_out_request("a"), KeyKind::ScaleOutRequest, "a"),
        (termination_batch("a"), KeyKind::TerminationBatch, "a"),
        (counts("a"), KeyKind::Counts, "a"),
        (member("a"), KeyKind::Member, "a"),
        (version("a"), KeyKind::Version, "a"),
        (shard(11), KeyKind::Shard, "11"),
        (LEADER.into(), KeyKind::Leader, ""),
        (LAYOUT.into(), KeyKind::Layout, ""),
        (PRIORITY_BOOSTS.into(), KeyKind::PriorityBoosts, ""),
        (SERVICE_LEVELS.into(), KeyKind::ServiceLevels, ""),
    ];
    for (key, kind, name) in &keys {
        assert_eq!(parse(key), Some((*kind, *name)), "{key}");
    }
    assert_eq!(parse(&team("free")), None, "team keys are never read");
    assert_eq!(
        parse("c/later/x"),
        None,
        "kind that a later version may introduce"
    );
    assert_eq!(parse("job/req-1"), None, "outside the common prefix");
}

//! Tests of the names of keys.

use super::*;

/// Every key is read back as the kind that it was built as, with what names it.
#[test]
fn keys_are_parsed_as_the_kind_that_they_were_built_as() {
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
        (TYPES.into(), KeyKind::MachineTypes, ""),
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
    assert_eq!(parse(&team("free")), None, "nobody reads its value");
    assert_eq!(parse("c/later/x"), None, "of a kind of a later version");
    assert_eq!(parse("job/req-1"), None, "under another prefix");
}

//! Names of the keys in the state service. No other module contains key names.
//!
//! All keys are under one common prefix, so that a single watch delivers every change.

/// Common prefix of all keys.
pub const ROOT_PREFIX: &str = "c/";

/// Prefix of job records.
pub const JOBS: &str = "c/job/";
/// Prefix of machine keys.
pub const MACHINES: &str = "c/host/";

/// Key of the newer layout of stored values. Written once every controller in the settings can read it, and
/// never deleted.
pub const LAYOUT: &str = "c/layout";
/// Key of the leader.
pub const LEADER: &str = "c/leader";
/// Key of the priority boosts of the last fairness round.
pub const PRIORITY_BOOSTS: &str = "c/raises";
/// Key of the totals of ended jobs for each class and team.
pub const SERVICE_LEVELS: &str = "c/served";
/// Key of the machine types as last read from the cloud.
pub const MACHINE_TYPES: &str = "c/types";

/// Prefixes read in the initial load: all except the final states, whose number only grows. Final states are
/// read individually.
pub const INITIAL_LOAD_PREFIXES: &[&str] = &[
    "c/block/",
    "c/charter/",
    "c/counts/",
    MACHINES,
    JOBS,
    LAYOUT,
    LEADER,
    "c/leaving/",
    "c/member/",
    "c/needs/",
    "c/part/",
    PRIORITY_BOOSTS,
    SERVICE_LEVELS,
    "c/slots/",
    "c/team/",
    MACHINE_TYPES,
    "c/version/",
];

/// Kind of the data that a key describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// A controller: [`member`].
    Member,
    /// [`LEADER`].
    Leader,
    /// [`shard`].
    Shard,
    /// [`scale_out_request`].
    ScaleOutRequest,
    /// [`termination_batch`].
    TerminationBatch,
    /// [`machine`].
    Machine,
    /// [`MACHINE_TYPES`] or [`machine_type`].
    MachineTypes,
    /// [`counts`].
    Counts,
    /// [`PRIORITY_BOOSTS`].
    PriorityBoosts,
    /// [`SERVICE_LEVELS`].
    ServiceLevels,
    /// [`version`].
    Version,
    /// [`LAYOUT`].
    Layout,
    /// A job's record: [`job`].
    Job,
    /// [`block`].
    Block,
    /// [`block_part`].
    BlockPart,
    /// [`dependency_list`].
    DependencyList,
    /// [`finished_job`].
    FinishedJob,
}

/// Splits a key into its kind and the name after the kind. Returns `None` for keys of unknown kinds and for
/// keys whose values are never read ([`team`]).
pub fn parse(key: &str) -> Option<(KeyKind, &str)> {
    let rest = key.strip_prefix(ROOT_PREFIX)?;
    let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
    let kind = match kind {
        "member" => KeyKind::Member,
        "leader" => KeyKind::Leader,
        "part" => KeyKind::Shard,
        "charter" => KeyKind::ScaleOutRequest,
        "leaving" => KeyKind::TerminationBatch,
        "host" => KeyKind::Machine,
        "types" => KeyKind::MachineTypes,
        "counts" => KeyKind::Counts,
        "raises" => KeyKind::PriorityBoosts,
        "served" => KeyKind::ServiceLevels,
        "version" => KeyKind::Version,
        "layout" => KeyKind::Layout,
        "job" => KeyKind::Job,
        "block" => KeyKind::Block,
        "slots" => KeyKind::BlockPart,
        "needs" => KeyKind::DependencyList,
        "final" => KeyKind::FinishedJob,
        _ => return None,
    };
    Some((kind, name))
}

/// Returns the key of an unfinished job's record, which contains its first block.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}
/// Returns the key of a block of a job, other than the first.
pub fn block(id: &str, block: u32) -> String {
    format!("c/block/{id}/{block}")
}
/// Returns one of the keys into which a block is split, with `tasks_per_part` tasks each. Their values take
/// effect only once the block's own key specifies this split.
pub fn block_part(id: &str, block: u32, tasks_per_part: u32, part: u32) -> String {
    format!("c/slots/{id}/{block}/{tasks_per_part}/{part}")
}
/// Returns the key of a list of a job's dependencies, in addition to those in its record.
pub fn dependency_list(id: &str, number: u32) -> String {
    format!("c/needs/{id}/{number}")
}
/// Returns the key of a job's final state.
pub fn finished_job(id: &str) -> String {
    format!("c/final/{id}")
}
/// Returns the key of a machine.
pub fn machine(id: &str) -> String {
    format!("{MACHINES}{id}")
}
/// Returns the key of one machine type, used if all machine types do not fit into one value.
pub fn machine_type(name: &str) -> String {
    format!("{MACHINE_TYPES}/{}", sanitised_name(name))
}
/// Returns the key of a scale-out request.
pub fn scale_out_request(name: &str) -> String {
    format!("c/charter/{name}")
}
/// Returns the key of a termination batch.
pub fn termination_batch(name: &str) -> String {
    format!("c/leaving/{name}")
}
/// Returns the key of a controller's task counts, which it takes from the heartbeats of its machines.
pub fn counts(controller: &str) -> String {
    format!("c/counts/{controller}")
}
/// Returns the key of a live controller, which exists as long as the controller's lease.
pub fn member(controller: &str) -> String {
    format!("c/member/{controller}")
}
/// Returns the key of the layout version that a controller has recorded as supported when it was started with
/// a program version that supports it.
pub fn version(controller: &str) -> String {
    format!("c/version/{controller}")
}
/// Returns the key of a shard, with its owner and term.
pub fn shard(number: u32) -> String {
    format!("c/part/{number}")
}
/// Returns the key that is written with every placement of a team with a limit, which serialises such
/// placements.
pub fn team(name: &str) -> String {
    format!("c/team/{}", sanitised_name(name))
}

/// Maximum number of characters of an external name in a key: a key has at most 200 bytes, a character at
/// most 4.
const MAX_EXTERNAL_NAME_CHARS: usize = 40;

/// Replaces whitespace, which is not allowed in keys, in a name from the settings or the cloud, and truncates
/// it.
fn sanitised_name(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_whitespace() { '_' } else { c })
        .take(MAX_EXTERNAL_NAME_CHARS)
        .collect()
}

#[cfg(test)]
mod tests;

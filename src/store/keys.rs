//! Names of the keys in the state service. This is the only place that knows them.
//!
//! Everything lives under one prefix, so that one watch delivers every change.

/// The prefix of all keys.
pub const ALL: &str = "c/";

/// Prefix of job records.
pub const JOBS: &str = "c/job/";
/// Prefix of machines.
pub const MACHINES: &str = "c/host/";

/// Written once every controller of the settings reads the newer forms of values. Never deleted.
pub const LAYOUT: &str = "c/layout";
/// The leader.
pub const LEADER: &str = "c/leader";
/// Priority boosts of the last fairness round.
pub const PRIORITY_BOOSTS: &str = "c/raises";
/// Totals of ended jobs for each class and team.
pub const SERVICE_LEVELS: &str = "c/served";
/// Machine types as last read from the cloud.
pub const TYPES: &str = "c/types";

/// Prefixes read at the start: all but the final states, whose number only grows; they are read one by one.
pub const LOADED: &[&str] = &[
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
    TYPES,
    "c/version/",
];

/// What a key describes.
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
    /// [`TYPES`] or [`machine_type`].
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

/// What a key describes, and what follows its kind; `None` for keys of unknown kinds and for those whose
/// values nobody reads ([`team`]).
pub fn parse(key: &str) -> Option<(KeyKind, &str)> {
    let rest = key.strip_prefix(ALL)?;
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

/// Record of an unfinished job, with its first block.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}
/// One of a job's further blocks.
pub fn block(id: &str, block: u32) -> String {
    format!("c/block/{id}/{block}")
}
/// One of the keys that a block is split into, of `tasks_per_part` tasks each. They hold the block's tasks
/// once the block's own key says so, and mean nothing before.
pub fn block_part(id: &str, block: u32, tasks_per_part: u32, part: u32) -> String {
    format!("c/slots/{id}/{block}/{tasks_per_part}/{part}")
}
/// One of the lists of a job's dependencies beyond those in its record.
pub fn dependency_list(id: &str, number: u32) -> String {
    format!("c/needs/{id}/{number}")
}
/// Final state of a job.
pub fn finished_job(id: &str) -> String {
    format!("c/final/{id}")
}
/// A machine.
pub fn machine(id: &str) -> String {
    format!("{MACHINES}{id}")
}
/// One machine type, where all of them do not fit into one value.
pub fn machine_type(name: &str) -> String {
    format!("{TYPES}/{}", sanitised(name))
}
/// A scale-out request.
pub fn scale_out_request(name: &str) -> String {
    format!("c/charter/{name}")
}
/// A termination batch.
pub fn termination_batch(name: &str) -> String {
    format!("c/leaving/{name}")
}
/// Job counts of a controller, from its machines' heartbeats.
pub fn counts(controller: &str) -> String {
    format!("c/counts/{controller}")
}
/// A controller that is alive: exists as long as its lease.
pub fn member(controller: &str) -> String {
    format!("c/member/{controller}")
}
/// Version that a controller was started with: says which layouts it reads.
pub fn version(controller: &str) -> String {
    format!("c/version/{controller}")
}
/// A shard, with its owner and term.
pub fn shard(number: u32) -> String {
    format!("c/part/{number}")
}
/// Written with every placement of a team that has a limit, so that such placements are serialised.
pub fn team(name: &str) -> String {
    format!("c/team/{}", sanitised(name))
}

/// Most characters of a foreign name in a key: a key has at most 200 bytes, a character at most 4.
const MAX_NAME_CHARS: usize = 40;

/// A name from the settings or the cloud, without the spaces that a key may not hold, and cut.
fn sanitised(name: &str) -> String {
    name.chars()
        .map(|letter| if letter.is_whitespace() { '_' } else { letter })
        .take(MAX_NAME_CHARS)
        .collect()
}

#[cfg(test)]
mod tests;

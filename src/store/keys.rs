//! Names of keys. Everything lives under one prefix, so that one watch tells all.

/// The prefix of all keys.
pub const ALL: &str = "c/";
/// Prefixes read at the start: everything but `c/final/`, which only grows.
pub const LOADED: &[&str] = &[
    "c/block/",
    "c/charter/",
    "c/counts/",
    "c/host/",
    "c/job/",
    "c/layout",
    "c/leader",
    "c/leaving/",
    "c/member/",
    "c/needs/",
    "c/part/",
    "c/raises",
    "c/served",
    "c/slots/",
    "c/team/",
    "c/types",
    "c/version/",
];
/// Written once every controller of the settings reads the newer forms of values. Never deleted.
pub const LAYOUT: &str = "c/layout";
/// The leader.
pub const LEADER: &str = "c/leader";
/// Raises of the last round.
pub const PRIORITY_BOOSTS: &str = "c/raises";
/// What became of the jobs of each class and team.
pub const SERVICE_LEVELS: &str = "c/served";
/// Machine types as last read.
pub const TYPES: &str = "c/types";

/// A job.
pub fn job(id: &str) -> String {
    format!("c/job/{id}")
}
/// One of its blocks.
pub fn block(id: &str, n: u32) -> String {
    format!("c/block/{id}/{n}")
}
/// One of the keys that a block was split into, of `per` slots each. They hold the block's slots once
/// the block says so, and mean nothing before.
pub fn slots(id: &str, n: u32, per: u32, k: u32) -> String {
    format!("c/slots/{id}/{n}/{per}/{k}")
}
/// Jobs that a job waits for, beyond those in its record.
pub fn needs(id: &str, k: u32) -> String {
    format!("c/needs/{id}/{k}")
}
/// One machine type, where all of them do not fit into one value.
pub fn machine_type(sku: &str) -> String {
    format!("{TYPES}/{}", safe(sku))
}
/// That a controller runs a version that knows the newer layout.
pub fn version(node: &str) -> String {
    format!("c/version/{node}")
}
/// How it ended.
pub fn finished_job(id: &str) -> String {
    format!("c/final/{id}")
}
/// A machine.
pub fn machine(id: &str) -> String {
    format!("c/host/{id}")
}
/// A rental about to be made.
pub fn scale_out_request(name: &str) -> String {
    format!("c/charter/{name}")
}
/// Machines on their way back.
pub fn leaving(name: &str) -> String {
    format!("c/leaving/{name}")
}
/// A controller's counts.
pub fn counts(node: &str) -> String {
    format!("c/counts/{node}")
}
/// A controller.
pub fn member(node: &str) -> String {
    format!("c/member/{node}")
}
/// A part.
pub fn shard(n: u32) -> String {
    format!("c/part/{n}")
}
/// Serialises the placements of a capped team.
pub fn team(name: &str) -> String {
    format!("c/team/{}", safe(name))
}

/// Names come from the settings or the cloud; a key holds no spaces and at most 200 bytes.
fn safe(name: &str) -> String {
    name.chars()
        .map(|c| if c.is_whitespace() { '_' } else { c })
        .take(40)
        .collect()
}

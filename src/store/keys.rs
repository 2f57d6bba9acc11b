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
    "c/leader",
    "c/member/",
    "c/part/",
    "c/raises",
    "c/team/",
    "c/types",
];
/// The leader.
pub const LEADER: &str = "c/leader";
/// Raises of the last round.
pub const RAISES: &str = "c/raises";
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
/// How it ended.
pub fn fin(id: &str) -> String {
    format!("c/final/{id}")
}
/// A machine.
pub fn host(id: &str) -> String {
    format!("c/host/{id}")
}
/// A rental about to be made.
pub fn charter(name: &str) -> String {
    format!("c/charter/{name}")
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
pub fn part(n: u32) -> String {
    format!("c/part/{n}")
}
/// Serialises the placements of a capped team.
pub fn team(name: &str) -> String {
    // Names come from the settings; a key holds no spaces and at most 200 bytes.
    let safe: String = name
        .chars()
        .map(|c| if c.is_whitespace() { '_' } else { c })
        .take(40)
        .collect();
    format!("c/team/{safe}")
}

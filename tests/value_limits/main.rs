//! Task blocks within the limits of a state service whose values are small from the start: no lower limits are
//! announced, so that only the limits in force and the storage layout tell in which form blocks are written.

mod acceptance;
#[path = "../common/mod.rs"]
mod common;
mod deployment;
mod layouts;
mod lifecycles;
mod placements;

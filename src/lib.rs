//! coppergw: a cluster scheduler.
#![forbid(unsafe_code)]

pub mod cli;
pub mod fairness;
pub mod hosts;
pub mod ids;
pub mod jobs;
pub mod members;
pub mod node;
pub mod placement;
pub mod policy;
pub mod settings;
pub mod store;
pub mod time;
pub mod wire;
pub mod workers;

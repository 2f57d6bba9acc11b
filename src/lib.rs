//! coppergw: a cluster scheduler.
#![forbid(unsafe_code)]

pub use coppergw_base::{ids, settings, time, wire};

pub mod cli;
pub mod control;
pub mod fairness;
pub mod hosts;
pub mod jobs;
pub mod members;
pub mod node;
pub mod placement;
pub mod policy;
pub mod store;
pub mod teams;
pub mod workers;

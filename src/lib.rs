//! coppergw: a cluster scheduler. `controller` starts all components; every other module implements one of them.
#![forbid(unsafe_code)]

pub use coppergw_base::{ids, refusals, settings, time, wire};

pub mod autoscaler;
pub mod cli;
pub mod controller;
pub mod fairness;
pub mod jobs;
pub mod membership;
pub mod policy;
pub mod quota;
pub mod reconciliation;
pub mod scheduling;
pub mod store;
pub mod workers;

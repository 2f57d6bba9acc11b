//! Jobs: the API for users, the stored form of jobs, and the transactions that change them.

pub mod api;
pub mod commit;
pub mod memory_budget;
pub mod model;
pub mod pipelines;

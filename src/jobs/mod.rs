//! Jobs: the users' requests about them, their stored form, and the transactions that change them.

pub mod api;
pub mod commit;
pub mod model;
pub mod pipelines;

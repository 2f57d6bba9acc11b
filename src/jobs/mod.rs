//! Jobs: what users submit, ask about and withdraw.

pub mod api;
pub mod commit;
pub mod model;
pub mod pipelines;

//! Jobs: what users submit, ask about and withdraw.

pub mod commit;
pub mod front;
pub mod model;
pub mod pipelines;

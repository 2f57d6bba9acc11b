//! Turns wanted changes of jobs into transactions of the state service.
//!
//! Owns no state: everything here is a pure function of the cluster state as this controller sees it.
//! Each change is checked again against that state when it is staged, and its transaction is
//! conditional on the versions that it was staged on (compare-and-swap). A late or repeated
//! transaction therefore changes nothing.

mod block_writer;
mod cancellation;
mod change;
mod draft;
mod garbage_collection;
mod job_transaction;
mod limits;
mod staging;
mod submission;

pub use cancellation::cancel;
pub use change::JobChange;
pub use garbage_collection::collect_garbage;
pub use limits::TransactionLimits;
pub use staging::{HasTeamLimit, StagedTransaction, stage};
pub use submission::accept_submission;

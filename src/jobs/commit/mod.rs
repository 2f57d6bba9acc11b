//! Converts requested changes of jobs into transactions of the state service.
//!
//! This module owns no state: its functions are pure functions of this controller's view of the cluster
//! state. Each change is checked against that view when it is staged, and its transaction is conditional
//! on the key versions in the view (compare-and-swap). A late or repeated transaction therefore has no
//! effect.

mod block_writer;
mod cancellation;
mod change;
mod draft;
mod garbage_collection;
mod job_transaction;
mod limits;
mod plain_sizes;
mod staging;
mod submission;

pub use cancellation::cancel;
pub use change::JobChange;
pub use garbage_collection::collect_garbage;
pub use limits::TransactionLimits;
pub use staging::{StagedTransaction, TeamLimitCheck, stage};
pub use submission::accept_submission;

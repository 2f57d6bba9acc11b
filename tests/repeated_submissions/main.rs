//! Submissions that are repeated after the job was accepted: the answer is the job's state, whatever reason there is by
//! then to refuse the submission, and what it costs the state service to find that out.

#[path = "../common/mod.rs"]
mod common;
mod cost;
mod forwarding;
mod refusals;
mod store;
mod world;

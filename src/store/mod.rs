//! Access to the state service: its client, the names of its keys, and a copy of its contents that watches
//! keep current.

pub mod client;
pub mod cluster_state;
pub mod keys;
mod token_bucket;
pub mod watch_cache;

//! The state service as this program sees it: client, names of keys, view.

pub mod client;
pub mod cluster_state;
pub mod keys;
pub mod watch_cache;

//! The state service as this program sees it: client, names of keys, view.

pub mod client;
pub mod feed;
pub mod keys;
pub mod view;

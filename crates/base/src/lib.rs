//! Code that the controller shares with other programs: protocol types, HTTP client and server, settings, clocks
//! and ids. It contains no scheduling logic.
#![forbid(unsafe_code)]

pub mod ids;
pub mod refusals;
pub mod settings;
pub mod time;
pub mod wire;

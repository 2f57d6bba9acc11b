//! What every program of coppergw shares: the wire's types, client and server; settings; the clock;
//! names. Nothing in here decides anything.
#![forbid(unsafe_code)]

pub mod ids;
pub mod settings;
pub mod time;
pub mod wire;

//! What the controller shares with other programs: protocol types, HTTP client and server, settings, clocks and
//! ids. There are no scheduling decisions here.
#![forbid(unsafe_code)]

pub mod ids;
pub mod settings;
pub mod time;
pub mod wire;

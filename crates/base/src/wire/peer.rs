//! Between controllers: MessagePack by rmp-serde over the same HTTP.

use serde::{Deserialize, Serialize};

/// Path of the peers' only call.
pub const PEER: &str = "/peer";

/// What a controller tells its peers each round.
#[derive(Clone, Debug, Deserialize, Serialize, Default)]
pub struct Hello {
    /// Sender.
    pub node: String,
    /// Whether the sender reaches the state service.
    pub state_ok: bool,
    /// Controllers that the sender cannot reach.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// Machines that were sent to the receiver and came back since the last round.
    pub bounced: Vec<String>,
    /// Machines of the sender that are up although their keys do not say so yet: name, session.
    #[serde(default)]
    pub up: Vec<(String, u64)>,
}

/// Path of users' requests that a controller without the state service passes on.
pub const FORWARD: &str = "/forward";

/// A user's request, passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forward {
    /// Whether it is a POST rather than a GET.
    pub post: bool,
    /// Path.
    pub path: String,
    /// Body as it came.
    pub body: Vec<u8>,
}

/// The answer to pass back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Forwarded {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
    /// Seconds after which the user may come back.
    pub retry_after: Option<u64>,
}

/// Writes MessagePack.
pub fn pack<T: Serialize>(v: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

/// Reads MessagePack.
pub fn unpack<T: serde::de::DeserializeOwned>(b: &[u8]) -> Option<T> {
    rmp_serde::from_slice(b).ok()
}

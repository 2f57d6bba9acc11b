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
    /// Machines that were sent to the receiver and came back since the last round.
    pub bounced: Vec<String>,
}

/// Writes MessagePack.
pub fn pack<T: Serialize>(v: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

/// Reads MessagePack.
pub fn unpack<T: serde::de::DeserializeOwned>(b: &[u8]) -> Option<T> {
    rmp_serde::from_slice(b).ok()
}

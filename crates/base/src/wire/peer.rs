//! Protocol between controllers: MessagePack over HTTP.
//!
//! `serde` attributes map each wire name (`bounced`, `word`, `holds`, ...) to a standard term, here only. Different
//! versions of the program exchange these messages, so names, order and defaults of fields are fixed.

use serde::{Deserialize, Serialize};

/// Path of heartbeats between controllers: POST.
pub const PEER_HEARTBEAT_PATH: &str = "/peer";

/// Heartbeat that a controller sends to each peer in each round; the response has the same type.
#[derive(Clone, Debug, Deserialize, Serialize, Default)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    pub node: String,
    /// Whether the sender reaches the state service.
    #[serde(rename = "state_ok")]
    pub state_service_reachable: bool,
    /// Names of the controllers that the sender cannot reach.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// Machines that were redirected to the receiver and have sent a heartbeat to the sender again since the last
    /// round.
    #[serde(rename = "bounced")]
    pub returned_redirects: Vec<String>,
    /// Machines of the sender that are up while their stored records do not show it yet: name and session.
    #[serde(default)]
    #[serde(rename = "up")]
    pub ready_machines: Vec<(String, u64)>,
    /// Revision up to which the sender's state is complete. The receiver responds with the cancellations after this
    /// revision that it has recorded.
    #[serde(default)]
    #[serde(rename = "rev")]
    pub revision: u64,
    /// In a response: the requested digest. Controllers of the previous version send none.
    #[serde(default)]
    #[serde(rename = "word")]
    pub digest: Option<CancellationDigest>,
}

/// All cancellations after a revision that a controller has recorded. The digest includes every cancellation that
/// the controller, in this or an earlier incarnation, confirmed to a user before it created the digest.
#[derive(Clone, Debug, Deserialize, Serialize, Default, PartialEq, Eq)]
pub struct CancellationDigest {
    /// Revision after which the digest lists cancellations.
    pub after: u64,
    /// Jobs that were cancelled after that revision, each with a revision by which it was cancelled.
    #[serde(rename = "withdrawn")]
    pub cancelled: Vec<(String, u64)>,
    /// Whether the list is complete; a list that does not fit is truncated.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Time since the start of the controller, in microseconds. Only set if the controller has not read the state
    /// service since then; its digest covers this incarnation only.
    #[serde(default)]
    #[serde(rename = "age")]
    pub process_age: Option<u64>,
    /// Time from its response in which the sender confirms no cancellation, in microseconds.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub hold: u64,
}

/// Path of user requests that are forwarded by a controller that cannot reach the state service: POST.
pub const FORWARD_PATH: &str = "/forward";

/// User request that is forwarded to a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedRequest {
    /// Whether the method is POST rather than GET.
    pub post: bool,
    /// Path of the request.
    pub path: String,
    /// Body as received from the user.
    pub body: Vec<u8>,
}

/// Response of the peer to a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body to be sent to the user unchanged.
    pub body: Vec<u8>,
    /// `Retry-After`: seconds after which the user may retry.
    pub retry_after: Option<u64>,
    /// Whether a refused job is one that was never accepted. Earlier versions refuse some accepted jobs, and omit this
    /// field.
    #[serde(rename = "settled", default, skip_serializing_if = "is_false")]
    pub acceptance_settled: bool,
}

fn is_false(flag: &bool) -> bool {
    !flag
}

/// Encodes a message as MessagePack with field names.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes a message from MessagePack; `None` if it is malformed.
pub fn unpack<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

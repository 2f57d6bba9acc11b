//! Protocol between controllers: MessagePack over HTTP.
//!
//! Each wire name that differs from the field's term (`bounced`, `word`, `holds`, ...) is mapped here, once, by
//! `serde` attributes. Versions of the program talk to each other: names, order and defaults of fields are fixed.

use serde::{Deserialize, Serialize};

/// Path of heartbeats between controllers: POST.
pub const PEER_HEARTBEAT_PATH: &str = "/peer";

/// What a controller sends to each peer in each round, and gets as the answer.
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
    /// Machines that were redirected to the receiver and came back since the last round.
    #[serde(rename = "bounced")]
    pub redirected_back: Vec<String>,
    /// Machines of the sender that are up although their stored records do not say so yet: name, session.
    #[serde(default)]
    #[serde(rename = "up")]
    pub ready_machines: Vec<(String, u64)>,
    /// Revision up to which the sender's state is complete. The receiver answers with the
    /// cancellations that it knows of after this revision.
    #[serde(default)]
    #[serde(rename = "rev")]
    pub revision: u64,
    /// In an answer: the requested digest. Controllers of the previous version send none.
    #[serde(default)]
    #[serde(rename = "word")]
    pub digest: Option<CancellationDigest>,
}

/// All that a controller knows of cancellations after a revision. It includes every cancellation that the
/// controller, in this or an earlier incarnation, confirmed to a user before it made the digest.
#[derive(Clone, Debug, Deserialize, Serialize, Default, PartialEq, Eq)]
pub struct CancellationDigest {
    /// Revision after which the digest lists cancellations.
    pub after: u64,
    /// Jobs that were cancelled after it, each with a revision by which it was.
    #[serde(rename = "withdrawn")]
    pub cancelled: Vec<(String, u64)>,
    /// Whether the list is complete; one that does not fit is cut.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Set by a controller that has not read the state service since it started: time since its
    /// start, in microseconds. Its digest covers this incarnation only.
    #[serde(default)]
    #[serde(rename = "age")]
    pub process_age: Option<u64>,
    /// Time from its answer in which the sender confirms no cancellation at all, in microseconds.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub hold: u64,
}

/// Path of users' requests that a controller which cannot reach the state service forwards: POST.
pub const FORWARD_PATH: &str = "/forward";

/// A user's request that is forwarded to a peer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedRequest {
    /// Whether it is a POST rather than a GET.
    pub post: bool,
    /// Path.
    pub path: String,
    /// Body as it came from the user.
    pub body: Vec<u8>,
}

/// The peer's answer to a forwarded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body as the user gets it.
    pub body: Vec<u8>,
    /// `Retry-After`: seconds after which the user may ask again.
    pub retry_after: Option<u64>,
}

/// Encodes MessagePack with field names.
pub fn pack<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Decodes MessagePack; `None` if it is malformed.
pub fn unpack<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

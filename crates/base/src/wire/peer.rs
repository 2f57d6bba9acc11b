//! Between controllers: MessagePack by rmp-serde over the same HTTP.

use serde::{Deserialize, Serialize};

/// Path of the peers' only call.
pub const PEER: &str = "/peer";

/// What a controller tells its peers each round.
#[derive(Clone, Debug, Deserialize, Serialize, Default)]
pub struct PeerHeartbeat {
    /// Sender.
    pub node: String,
    /// Whether the sender reaches the state service.
    #[serde(rename = "state_ok")]
    pub state_service_reachable: bool,
    /// Controllers that the sender cannot reach.
    #[serde(default)]
    pub unreachable: Vec<String>,
    /// Machines that were sent to the receiver and came back since the last round.
    #[serde(rename = "bounced")]
    pub redirected_back: Vec<String>,
    /// Machines of the sender that are up although their keys do not say so yet: name, session.
    #[serde(default)]
    #[serde(rename = "up")]
    pub ready_machines: Vec<(String, u64)>,
    /// The revision up to which the sender's view holds everything. What the receiver knows of
    /// cancellations after it is its word.
    #[serde(default)]
    #[serde(rename = "rev")]
    pub revision: u64,
    /// In an answer: what was asked for. A controller of the version before gives none.
    #[serde(default)]
    #[serde(rename = "word")]
    pub digest: Option<CancellationDigest>,
}

/// All that a controller knows of cancellations after a revision. Whatever it told a user before it gave
/// this is in it, and what earlier lives of it told, too.
#[derive(Clone, Debug, Deserialize, Serialize, Default, PartialEq, Eq)]
pub struct CancellationDigest {
    /// The revision that was asked about.
    pub after: u64,
    /// Jobs that were cancelled after it, and by which revision they were.
    #[serde(rename = "withdrawn")]
    pub cancelled: Vec<(String, u64)>,
    /// Whether these are all. A list that does not fit is cut, and says so.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Of a controller that has not read the state service since it started: how long ago that was, in
    /// microseconds. It speaks for this life only.
    #[serde(default)]
    #[serde(rename = "age")]
    pub process_age: Option<u64>,
    /// For so many microseconds from its answer on it confirms no cancellation, come what may.
    #[serde(default)]
    #[serde(rename = "holds")]
    pub hold: u64,
}

/// Path of users' requests that a controller without the state service passes on.
pub const FORWARD: &str = "/forward";

/// A user's request, passed on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedRequest {
    /// Whether it is a POST rather than a GET.
    pub post: bool,
    /// Path.
    pub path: String,
    /// Body as it came.
    pub body: Vec<u8>,
}

/// The answer to pass back.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedResponse {
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

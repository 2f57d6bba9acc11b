//! Protocols: HTTP/1.1 with CBOR bodies, and MessagePack between controllers.
//!
//! `serde` attributes on the types of this module map each wire name to a standard term; no other code uses the wire
//! names. `tests/golden.rs` compares every message byte for byte.

pub mod client;
pub mod cloud;
pub mod message_sizes;
pub mod peer;
pub mod server;
pub mod state;
pub mod user;
pub mod worker;

use ciborium::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Maximum size of a request body and of a response to a user or a worker, set by the protocol.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Error of a call to another process.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The connection could not be opened, it broke, or the remote host does not implement HTTP.
    #[error("connection: {0}")]
    Connection(String),
    /// This process or its machine has no file descriptor left: nothing was sent, and the state of the remote host is
    /// unknown.
    #[error("no socket to spare")]
    NoFileDescriptors,
    /// Timeout; the request may have been carried out, or may still be carried out later.
    #[error("no answer in time")]
    Timeout,
    /// The response cannot be decoded.
    #[error("malformed: {0}")]
    Malformed(String),
    /// The response has this HTTP status in place of 200.
    #[error("status {0}")]
    Status(u16),
}

/// Body of an error response.
#[derive(Debug, Deserialize, Serialize)]
pub struct ErrorBody {
    /// Human-readable reason.
    pub error: String,
}

/// Encodes a message as CBOR.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    // Most messages fit into this capacity.
    let mut bytes = Vec::with_capacity(256);
    if let Err(error) = ciborium::into_writer(message, &mut bytes) {
        tracing::error!(%error, "cannot encode a message as CBOR");
    }
    bytes
}

/// Maximum nesting depth of a message: the protocols need less, and a malicious body must not exhaust the stack.
const MAX_NESTING_DEPTH: usize = 32;

/// Decodes a CBOR body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_NESTING_DEPTH)
        .map_err(|error| WireError::Malformed(error.to_string()))
}

/// Converts a typed value to a value of the state service.
pub fn to_value<T: Serialize>(typed: &T) -> Value {
    Value::serialized(typed).unwrap_or(Value::Null)
}

/// Converts a value of the state service to a typed value; `None` if its structure differs from the type.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Returns the size of a value in bytes of JSON, the unit of the state service's limit of the value size.
pub fn json_size<T: Serialize>(value: &T) -> usize {
    struct ByteCounter(usize);
    impl std::io::Write for ByteCounter {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.0 += bytes.len();
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let mut counter = ByteCounter(0);
    match serde_json::to_writer(&mut counter, value) {
        Ok(()) => counter.0,
        Err(_) => usize::MAX,
    }
}

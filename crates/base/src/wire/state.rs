//! Protocol of the state service, a consensus-backed key-value store: reads, compare-and-swap transactions,
//! leases, watches.
//!
//! Each themed wire name (`ledger_rev`, `stamp`, `permit`, `guards`, `then`, ...) is mapped to the field's term
//! here, once, by `serde` attributes.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path of transactions: POST.
pub const TRANSACTION_PATH: &str = "/multi";
/// Path of leases: POST grants one.
pub const LEASES_PATH: &str = "/grants";

/// A page of a list of keys.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// Keys with their values, in key order.
    pub items: Vec<Item>,
    /// Whether there are keys after these.
    #[serde(default)]
    pub more: bool,
    /// Revision at which the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// A key with its value.
#[derive(Debug, Deserialize, Serialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the last write of the key.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a read of a key that does not exist, or to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// Revision of the read or of the transaction.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Keys whose preconditions failed; empty if the transaction was carried out.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A condition of a transaction: the version of a key.
#[derive(Debug, Deserialize, Serialize, Clone, PartialEq)]
pub struct Precondition {
    /// Key that is compared.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change of one key.
#[derive(Debug, Deserialize, Serialize, Clone)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a key.
    Put {
        /// Key to write.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease with whose expiry the key is deleted.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        #[serde(rename = "remove")]
        key: String,
    },
}

impl Mutation {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key,
        }
    }
}

/// A compare-and-swap transaction.
#[derive(Debug, Deserialize, Serialize, Clone, Default)]
pub struct Transaction {
    /// All of them must hold, or nothing is changed.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes that are carried out together.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Number of keys of each kind that it writes (`+`) and deletes (`-`), for the log.
    pub fn kinds(&self) -> String {
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for mutation in &self.mutations {
            let kind = mutation.key().split('/').nth(1).unwrap_or_default();
            let operation = match mutation {
                Mutation::Put { .. } => "+",
                Mutation::Delete { .. } => "-",
            };
            *counts.entry((operation, kind)).or_default() += 1;
        }
        let list: Vec<String> = counts
            .iter()
            .map(|((operation, kind), count)| format!("{operation}{kind}:{count}"))
            .collect();
        list.join(" ")
    }

    /// Size of its largest value in bytes of JSON, which is what the limit of values counts.
    pub fn largest(&self) -> usize {
        let size = |mutation: &Mutation| match mutation {
            Mutation::Put { value, .. } => super::json_size(value),
            Mutation::Delete { .. } => 0,
        };
        self.mutations.iter().map(size).max().unwrap_or(0)
    }
}

/// Request for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// A granted lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct Lease {
    /// Id by which the lease is renewed and keys are attached to it.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// Answer to a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision up to which the events are complete.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Events in order of their revisions.
    #[serde(default)]
    #[serde(rename = "log")]
    pub events: Vec<Event>,
}

/// An event as it is decoded: its kind is decided once all fields are read, so that values are decoded once.
#[derive(Deserialize)]
struct AnyEvent {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    remove: Option<String>,
    #[serde(default, rename = "v")]
    value: Option<Value>,
    #[serde(rename = "stamp")]
    version: u64,
}

impl TryFrom<AnyEvent> for Event {
    type Error = &'static str;
    fn try_from(event: AnyEvent) -> Result<Event, &'static str> {
        match (event.put, event.remove) {
            (Some(key), None) => Ok(Event::Put {
                key,
                value: event.value.unwrap_or(Value::Null),
                version: event.version,
            }),
            (None, Some(key)) => Ok(Event::Delete {
                key,
                version: event.version,
            }),
            _ => Err("an event either puts or removes"),
        }
    }
}

/// A change of one key, as a watch reports it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(try_from = "AnyEvent", untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// Key to write.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Revision of the write.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted.
    Delete {
        /// Key to delete.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Path of one key: GET.
pub fn key(key: &str) -> String {
    format!("/keys/{key}")
}

/// Path of a page of the keys under a prefix, behind `after` if that is given: GET.
pub fn list(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(after) => format!("/keys?under={prefix}&after={after}&most=500"),
        None => format!("/keys?under={prefix}&most=500"),
    }
}

/// Path of a watch of a prefix: GET, which waits up to `wait_ms` milliseconds for events after a revision.
pub fn watch(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/watch?under={prefix}&after={after}&hold_ms={wait_ms}")
}

/// Path that renews a lease: POST.
pub fn renew(id: u64) -> String {
    format!("{LEASES_PATH}/{id}/touch")
}

//! Protocol of the state service, a consensus-backed key-value store: reads, compare-and-swap transactions,
//! leases and watches.
//!
//! `serde` attributes map each wire name (`ledger_rev`, `stamp`, `permit`, `guards`, `then`, ...) to a standard term,
//! here only.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path of transactions: POST.
pub const TRANSACTION_PATH: &str = "/multi";
/// Path of leases: POST grants a lease.
pub const LEASES_PATH: &str = "/grants";

/// Page of a list of keys.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// Keys with their values, in key order.
    pub items: Vec<Item>,
    /// Whether more keys follow this page.
    #[serde(default)]
    pub more: bool,
    /// Revision at which the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Key with its value.
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

/// Response to a read of a key that does not exist, or to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// Revision of the read or of the transaction.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Keys whose preconditions failed; empty if the transaction was carried out.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Precondition of a transaction: the version of a key.
#[derive(Debug, Deserialize, Serialize, Clone, PartialEq)]
pub struct Precondition {
    /// Key whose version is compared.
    #[serde(rename = "path")]
    pub key: String,
    /// Version that the key must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Write or deletion of one key.
#[derive(Debug, Deserialize, Serialize, Clone, PartialEq)]
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
        /// Lease to which the key is attached: the key is deleted when the lease expires.
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
    /// Returns the key that is written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key,
        }
    }

    /// Returns the size of the written value in bytes of JSON; 0 for a deletion.
    fn value_bytes(&self) -> usize {
        match self {
            Mutation::Put { value, .. } => super::json_size(value),
            Mutation::Delete { .. } => 0,
        }
    }
}

/// Compare-and-swap transaction.
#[derive(Debug, Deserialize, Serialize, Clone, Default, PartialEq)]
pub struct Transaction {
    /// Preconditions; the transaction changes nothing unless all of them hold.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes that are applied atomically.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// Returns the number of written (`+`) and deleted (`-`) keys of each kind, for the log.
    pub fn mutation_counts(&self) -> String {
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

    /// Returns the size of the largest value in bytes of JSON, the unit of the limit of the value size.
    pub fn largest_value_bytes(&self) -> usize {
        self.mutations
            .iter()
            .map(Mutation::value_bytes)
            .max()
            .unwrap_or(0)
    }

    /// Returns the key of the largest value.
    pub fn largest_value_key(&self) -> Option<&str> {
        let largest = self
            .mutations
            .iter()
            .max_by_key(|mutation| mutation.value_bytes());
        largest.map(Mutation::key)
    }
}

/// Request for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// Time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Granted lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct Lease {
    /// Id with which the lease is renewed and keys are attached to it.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// Response to a watch.
#[derive(Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision up to which the events are complete.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Events in order of revision.
    #[serde(default)]
    #[serde(rename = "log")]
    pub events: Vec<Event>,
}

/// Event during decoding: its kind is determined after all fields are read, so that each value is decoded only once.
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
            _ => Err("an event must have either a written or a deleted key"),
        }
    }
}

/// Change of one key, reported by a watch.
#[derive(Debug, Deserialize, Serialize)]
#[serde(try_from = "AnyEvent", untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// Key that was written.
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
        /// Key that was deleted.
        #[serde(rename = "remove")]
        key: String,
        /// Revision of the deletion.
        #[serde(rename = "stamp")]
        version: u64,
    },
}

/// Returns the path of one key: GET.
pub fn key_path(key: &str) -> String {
    format!("/keys/{key}")
}

/// Returns the path of a page of the keys under a prefix, starting after the key `after` if given: GET.
pub fn list_path(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(after) => format!("/keys?under={prefix}&after={after}&most=500"),
        None => format!("/keys?under={prefix}&most=500"),
    }
}

/// Returns the path of a watch of a prefix: GET, which waits up to `wait_ms` milliseconds for events after a
/// revision.
pub fn watch_path(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/watch?under={prefix}&after={after}&hold_ms={wait_ms}")
}

/// Returns the path that renews a lease: POST.
pub fn lease_renewal_path(id: u64) -> String {
    format!("{LEASES_PATH}/{id}/touch")
}

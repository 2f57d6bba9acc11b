//! State service: keys, transactions, leases, watches.

use ciborium::Value;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path of transactions.
pub const TXN: &str = "/multi";
/// Path of leases.
pub const LEASES: &str = "/grants";

/// A page of keys.
#[derive(Debug, Deserialize, Serialize)]
pub struct Page {
    /// Keys.
    pub items: Vec<Item>,
    /// Whether there are more.
    #[serde(default)]
    pub more: bool,
    /// Revision of the read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// One key.
#[derive(Debug, Deserialize, Serialize)]
pub struct Item {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Answer to a read of one key that is missing, or to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// Revision.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Conditions that failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A condition.
#[derive(Debug, Deserialize, Serialize, Clone, PartialEq)]
pub struct Precondition {
    /// Key.
    #[serde(rename = "path")]
    pub key: String,
    /// Version it must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change.
#[derive(Debug, Deserialize, Serialize, Clone)]
#[serde(untagged)]
pub enum Mutation {
    /// Write a key.
    Put {
        /// Key.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key.
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

/// A transaction.
#[derive(Debug, Deserialize, Serialize, Clone, Default)]
pub struct Transaction {
    /// Conditions.
    #[serde(rename = "guards")]
    pub preconditions: Vec<Precondition>,
    /// Changes.
    #[serde(rename = "then")]
    pub mutations: Vec<Mutation>,
}

impl Transaction {
    /// How many keys of each kind it changes, for the log.
    pub fn kinds(&self) -> String {
        let mut n: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for c in &self.mutations {
            let kind = c.key().split('/').nth(1).unwrap_or_default();
            let what = match c {
                Mutation::Put { .. } => "+",
                Mutation::Delete { .. } => "-",
            };
            *n.entry((what, kind)).or_default() += 1;
        }
        let list: Vec<String> = n
            .iter()
            .map(|((what, kind), n)| format!("{what}{kind}:{n}"))
            .collect();
        list.join(" ")
    }

    /// The size of its largest value, as limits count it.
    pub fn largest(&self) -> usize {
        let size = |c: &Mutation| match c {
            Mutation::Put { value, .. } => super::json_size(value),
            Mutation::Delete { .. } => 0,
        };
        self.mutations.iter().map(size).max().unwrap_or(0)
    }
}

/// Asks for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// Time to live.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct Lease {
    /// Its id.
    #[serde(rename = "permit")]
    pub id: u64,
}

/// What a watch tells.
#[derive(Debug, Deserialize, Serialize)]
pub struct WatchResponse {
    /// Revision up to which it tells.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// Events in order.
    #[serde(default)]
    #[serde(rename = "log")]
    pub events: Vec<Event>,
}

/// An event as it is read: told apart once its fields are there, so that values are read once.
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

/// One event.
#[derive(Debug, Deserialize, Serialize)]
#[serde(try_from = "AnyEvent", untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// Key.
        #[serde(rename = "put")]
        key: String,
        /// Value.
        #[serde(rename = "v")]
        value: Value,
        /// Version.
        #[serde(rename = "stamp")]
        version: u64,
    },
    /// A key was deleted.
    Delete {
        /// Key.
        #[serde(rename = "remove")]
        key: String,
        /// Revision.
        #[serde(rename = "stamp")]
        version: u64,
    },
}
/// Path of one key.
pub fn key(k: &str) -> String {
    format!("/keys/{k}")
}

/// Path of a list.
pub fn list(prefix: &str, after: Option<&str>) -> String {
    match after {
        Some(a) => format!("/keys?under={prefix}&after={a}&most=500"),
        None => format!("/keys?under={prefix}&most=500"),
    }
}

/// Path of a watch.
pub fn watch(prefix: &str, after: u64, wait_ms: u64) -> String {
    format!("/watch?under={prefix}&after={after}&hold_ms={wait_ms}")
}

/// Path of a lease's renewal.
pub fn renew(id: u64) -> String {
    format!("{LEASES}/{id}/touch")
}

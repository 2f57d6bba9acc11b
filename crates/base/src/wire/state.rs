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
    pub ledger_rev: u64,
}

/// One key.
#[derive(Debug, Deserialize, Serialize)]
pub struct Item {
    /// Key.
    pub path: String,
    /// Value.
    pub v: Value,
    /// Version.
    pub stamp: u64,
}

/// Answer to a read of one key that is missing, or to a transaction.
#[derive(Debug, Deserialize, Serialize)]
pub struct Revision {
    /// Revision.
    pub ledger_rev: u64,
    /// Conditions that failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A condition.
#[derive(Debug, Deserialize, Serialize, Clone, PartialEq)]
pub struct Guard {
    /// Key.
    pub path: String,
    /// Version it must have; 0 if it must not exist.
    pub stamp: u64,
}

/// A change.
#[derive(Debug, Deserialize, Serialize, Clone)]
#[serde(untagged)]
pub enum Change {
    /// Write a key.
    Put {
        /// Key.
        put: String,
        /// Value.
        v: Value,
        /// Lease.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        permit: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key.
        remove: String,
    },
}

impl Change {
    /// The key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { put, .. } => put,
            Change::Delete { remove } => remove,
        }
    }
}

/// A transaction.
#[derive(Debug, Deserialize, Serialize, Clone, Default)]
pub struct Txn {
    /// Conditions.
    pub guards: Vec<Guard>,
    /// Changes.
    pub then: Vec<Change>,
}

impl Txn {
    /// How many keys of each kind it changes, for the log.
    pub fn kinds(&self) -> String {
        let mut n: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for c in &self.then {
            let kind = c.key().split('/').nth(1).unwrap_or_default();
            let what = match c {
                Change::Put { .. } => "+",
                Change::Delete { .. } => "-",
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
        let size = |c: &Change| match c {
            Change::Put { v, .. } => super::json_size(v),
            Change::Delete { .. } => 0,
        };
        self.then.iter().map(size).max().unwrap_or(0)
    }
}

/// Asks for a lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct LeaseAsk {
    /// Time to live.
    pub ttl_ms: u64,
}

/// A lease.
#[derive(Debug, Deserialize, Serialize)]
pub struct Lease {
    /// Its id.
    pub permit: u64,
}

/// What a watch tells.
#[derive(Debug, Deserialize, Serialize)]
pub struct Log {
    /// Revision up to which it tells.
    pub ledger_rev: u64,
    /// Events in order.
    #[serde(default)]
    pub log: Vec<Event>,
}

/// An event as it is read: told apart once its fields are there, so that values are read once.
#[derive(Deserialize)]
struct AnyEvent {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    remove: Option<String>,
    #[serde(default)]
    v: Option<Value>,
    stamp: u64,
}

impl TryFrom<AnyEvent> for Event {
    type Error = &'static str;
    fn try_from(e: AnyEvent) -> Result<Event, &'static str> {
        match (e.put, e.remove) {
            (Some(put), None) => Ok(Event::Put {
                put,
                v: e.v.unwrap_or(Value::Null),
                stamp: e.stamp,
            }),
            (None, Some(remove)) => Ok(Event::Delete {
                remove,
                stamp: e.stamp,
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
        put: String,
        /// Value.
        v: Value,
        /// Version.
        stamp: u64,
    },
    /// A key was deleted.
    Delete {
        /// Key.
        remove: String,
        /// Revision.
        stamp: u64,
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

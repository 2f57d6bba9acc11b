//! Dispatch of a change to the function for the kind of its key. Contains no decisions.

use super::ClusterState;
use crate::store::keys::{self, KeyKind};
use crate::wire::from_value;
use ciborium::Value;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

impl ClusterState {
    /// Applies a key's new value, or its deletion, to the data that the key describes. A value that cannot be
    /// decoded is treated as deleted, except for `layout`, which is never downgraded. Keys of unknown kinds
    /// are ignored.
    pub(super) fn apply(&mut self, key: &str, value: Option<&Value>) {
        let Some((kind, name)) = keys::parse(key) else {
            return;
        };
        match kind {
            KeyKind::Member => put_or_remove(&mut self.members, name.to_string(), value),
            KeyKind::Leader => self.leader = value.and_then(from_value),
            KeyKind::Shard => self.apply_shard(name, value),
            KeyKind::ScaleOutRequest => self.apply_scale_out_request(name, value),
            KeyKind::TerminationBatch => self.apply_termination_batch(name, value),
            KeyKind::Machine => self.apply_machine(name, value),
            KeyKind::MachineTypes => self.apply_machine_types(name, value),
            KeyKind::Counts => put_or_remove(&mut self.counts, name.to_string(), value),
            KeyKind::PriorityBoosts => {
                self.priority_boosts = value.and_then(from_value).unwrap_or_default();
            }
            KeyKind::ServiceLevels => {
                self.service_levels = value.and_then(from_value).unwrap_or_default();
            }
            KeyKind::Version => put_or_remove(&mut self.versions, name.to_string(), value),
            KeyKind::Layout => self.layout = value.and_then(from_value).or(self.layout),
            KeyKind::Job => self.apply_job(key, name, value),
            KeyKind::Block => self.apply_block(name, value),
            KeyKind::BlockPart => self.apply_block_part(name, value),
            KeyKind::DependencyList => self.apply_dependency_list(name, value),
            KeyKind::FinishedJob => self.apply_finished_job(key, name, value),
        }
    }

    fn apply_shard(&mut self, name: &str, value: Option<&Value>) {
        if let Ok(number) = name.parse() {
            put_or_remove(&mut self.shards, number, value);
        }
    }
}

/// Inserts a decoded value into a map. Removes the entry if there is no value or it cannot be decoded.
pub(super) fn put_or_remove<K: Ord, V: DeserializeOwned>(
    map: &mut BTreeMap<K, V>,
    key: K,
    value: Option<&Value>,
) {
    match value.and_then(from_value) {
        Some(decoded) => {
            map.insert(key, decoded);
        }
        None => {
            map.remove(&key);
        }
    }
}

//! A transaction that is being built.

use crate::store::cluster_state::ClusterState;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::BTreeMap;

/// Estimated size of a job's specification, of its final state or of the marker of a split block, in bytes.
pub(super) const ESTIMATED_RECORD_BYTES: usize = 512;

/// Preconditions and mutations for one job, and an estimate of their size.
#[derive(Default)]
pub(super) struct TransactionDraft {
    /// Keys and the versions that they must still have. Sorted, so that their order on the wire is
    /// deterministic.
    pub(super) preconditions: BTreeMap<String, u64>,
    /// Mutations in the order in which they are written.
    pub(super) mutations: Vec<Mutation>,
    /// Estimated size of the values in bytes.
    pub(super) bytes: usize,
}

impl TransactionDraft {
    /// Makes the transaction conditional on a key still having its version from `view`.
    pub(super) fn add_precondition(&mut self, view: &ClusterState, key: String) {
        let version = view.version(&key);
        self.preconditions.insert(key, version);
    }

    /// Converts the draft into a transaction.
    pub(super) fn into_transaction(self) -> Transaction {
        Transaction {
            preconditions: self
                .preconditions
                .into_iter()
                .map(|(key, version)| Precondition { key, version })
                .collect(),
            mutations: self.mutations,
        }
    }
}

/// Returns the write of a key without a lease.
pub(super) fn put<T: serde::Serialize>(key: String, value: &T) -> Mutation {
    Mutation::Put {
        key,
        value: to_value(value),
        lease: None,
    }
}

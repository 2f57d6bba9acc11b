//! Deletes the keys of ended jobs that were not deleted when the jobs ended.

use super::limits::TransactionLimits;
use crate::jobs::model::JobId;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use std::collections::BTreeSet;

/// Returns the next transaction that deletes task blocks and dependency lists of ended jobs; `None` if
/// none is left. It is conditional on the absence of each job's record, so that a job that is
/// submitted again under the same id keeps its keys.
pub fn collect_garbage(view: &ClusterState, limits: TransactionLimits) -> Option<Transaction> {
    let mut transaction = Transaction::default();
    let mut checked_jobs: BTreeSet<JobId> = BTreeSet::new();
    let orphaned = view.orphaned_keys().into_iter();
    for (id, key) in orphaned.take(limits.max_mutations) {
        transaction
            .preconditions
            .push(view.precondition(key.as_str()));
        if checked_jobs.insert(id.clone()) {
            transaction.preconditions.push(Precondition {
                key: keys::job(&id),
                version: 0,
            });
        }
        transaction.mutations.push(Mutation::Delete { key });
    }
    (!transaction.mutations.is_empty()).then_some(transaction)
}

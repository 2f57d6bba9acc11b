//! Transactions on machine records, used by several modules of the controller. Their preconditions fail if
//! the state from which they were built has changed.

use super::model::{MachineRecord, TerminationBatch};
use crate::ids::MachineId;
use crate::membership::shard_of;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::BTreeSet;

/// Adds the write of a machine's record to a transaction, with the precondition that the record is unchanged
/// since `view`.
pub fn put_machine(
    transaction: &mut Transaction,
    view: &ClusterState,
    id: &str,
    record: &MachineRecord,
) {
    let key = keys::machine(id);
    transaction
        .preconditions
        .push(view.precondition(key.as_str()));
    transaction.mutations.push(Mutation::Put {
        key,
        value: to_value(record),
        lease: None,
    });
}

/// Returns the transaction that writes a termination batch under the new name `name`, with the precondition
/// that the keys in `unchanged_keys` have not changed since `view`.
pub(super) fn put_termination_batch(
    view: &ClusterState,
    name: &str,
    batch: &TerminationBatch,
    unchanged_keys: Vec<String>,
) -> Transaction {
    let key = keys::termination_batch(name);
    let mut preconditions = vec![Precondition {
        key: key.clone(),
        version: 0,
    }];
    preconditions.extend(unchanged_keys.into_iter().map(|key| view.precondition(key)));
    Transaction {
        preconditions,
        mutations: vec![Mutation::Put {
            key,
            value: to_value(batch),
            lease: None,
        }],
    }
}

/// Returns the transaction that declares several machines dead with one write. When a zone fails, one write
/// per machine would use the write budget for seconds, while the tasks of the zone wait to be placed again.
/// The precondition is that the terms of the machines' shards are unchanged: the write of a partitioned
/// controller may arrive a minute later, when another controller owns the shards.
pub fn declare_dead(view: &ClusterState, name: &str, machines: Vec<MachineId>) -> Transaction {
    let shards: BTreeSet<u32> = machines.iter().map(|id| shard_of(id)).collect();
    let batch = TerminationBatch {
        machines,
        terminated: false,
        declared_dead: true,
    };
    let terms = shards.into_iter().map(keys::shard).collect();
    put_termination_batch(view, name, &batch, terms)
}

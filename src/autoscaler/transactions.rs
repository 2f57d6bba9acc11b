//! Transactions on the records of machines that more than one part of the controller writes. Each holds
//! only on the state from which it was made.

use super::model::{MachineRecord, TerminationBatch};
use crate::ids::MachineId;
use crate::membership::shard_of;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use std::collections::BTreeSet;

/// Adds the write of a machine's record to a transaction, on condition that the record is as `view` has
/// it.
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

/// The write of a termination batch, on condition that the keys in `unchanged` are as `view` has them.
/// `name` was never used before.
pub(super) fn put_termination_batch(
    view: &ClusterState,
    name: &str,
    batch: &TerminationBatch,
    unchanged: Vec<String>,
) -> Transaction {
    let key = keys::termination_batch(name);
    let mut preconditions = vec![Precondition {
        key: key.clone(),
        version: 0,
    }];
    preconditions.extend(unchanged.into_iter().map(|key| view.precondition(key)));
    Transaction {
        preconditions,
        mutations: vec![Mutation::Put {
            key,
            value: to_value(batch),
            lease: None,
        }],
    }
}

/// The write that declares machines dead, many at a time: when a zone fails, a write for each would use
/// the write budget for seconds, while what ran there waits to be placed again. It holds only as long as
/// the terms of the machines' shards do: from a controller that was partitioned away it may arrive a
/// minute later, when another one owns them.
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

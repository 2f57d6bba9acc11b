//! Garbage collection: deletes answered scale-out requests whose machines have separate records, and
//! records and termination batches of terminated machines.

use crate::autoscaler::model::{ScaleOutRequest, TerminationBatch};
use crate::controller::Controller;
use crate::settings::StateLimits;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;

/// Share of the write burst that the deletion of records of terminated machines leaves to other writes.
/// These deletions are never urgent, while marking machines for termination (`terminations`) saves money.
const RESERVED_WRITE_BURST_SHARE: f64 = 0.6;

impl Controller {
    /// Deletes or shrinks one answered scale-out request.
    pub(super) async fn close_scale_out_requests(&self) {
        let transaction = close_scale_out_request(&self.watch_cache.view(), self.state_limits());
        if let Some(transaction) = transaction {
            self.watch_cache.transaction(&transaction).await;
        }
    }

    /// Deletes the records of terminated machines with spare write capacity.
    pub(super) async fn delete_terminated_machines(&self) {
        loop {
            let (level, burst) = self.watch_cache.client().write_budget();
            let spare_writes = (level - burst * RESERVED_WRITE_BURST_SHARE) as usize;
            let deletions = spare_writes.min(self.state_limits().max_mutations);
            if deletions == 0 {
                return;
            }
            let transaction = delete_terminated_records(&self.watch_cache.view(), deletions);
            let Some(transaction) = transaction else {
                return;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Committed(_) => {}
                _ => return,
            }
        }
    }
}

/// Returns the transaction that deletes or shrinks the first answered scale-out request for which that is
/// possible. A request is deleted once each of its machines has a separate record or is terminated. The
/// transaction requires that the records still exist, since a machine named in neither a record nor a
/// request counts as terminated. If one transaction cannot hold preconditions on all records, the request
/// shrinks in several steps and keeps the remaining names.
pub fn close_scale_out_request(view: &ClusterState, limits: StateLimits) -> Option<Transaction> {
    view.scale_out_requests
        .iter()
        .filter(|(_, request)| !request.is_unanswered())
        .find_map(|(name, request)| shrink_request(view, limits, name, request))
}

/// Returns the transaction that deletes or shrinks a request, or `None` if neither is possible yet.
fn shrink_request(
    view: &ClusterState,
    limits: StateLimits,
    name: &str,
    request: &ScaleOutRequest,
) -> Option<Transaction> {
    let key = keys::scale_out_request(name);
    let mut preconditions = vec![view.precondition(key.as_str())];
    let mut kept_machines = Vec::new();
    for machine in &request.machines {
        let record_key = keys::machine(machine);
        let version = view.version(&record_key);
        if version > 0 && preconditions.len() < limits.max_preconditions() {
            preconditions.push(Precondition {
                version,
                key: record_key,
            });
        } else if version > 0 || !view.is_deleted(&record_key) {
            kept_machines.push(machine.clone());
        }
    }
    let in_steps = request.machines.len() >= limits.max_preconditions();
    let step_is_full = preconditions.len() == limits.max_preconditions();
    let mutation = if kept_machines.is_empty() {
        Mutation::Delete { key }
    } else if in_steps && step_is_full && kept_machines.len() < request.machines.len() {
        // Shrinks only in full steps, since each step costs a write.
        Mutation::Put {
            key,
            value: to_value(&ScaleOutRequest {
                machines: kept_machines,
                ..request.clone()
            }),
            lease: None,
        }
    } else {
        return None;
    };
    Some(Transaction {
        preconditions,
        mutations: vec![mutation],
    })
}

/// Returns the transaction that deletes up to `max_deletions` keys: records of terminated machines, and
/// termination batches without remaining records. Returns `None` if there is nothing to delete.
pub fn delete_terminated_records(view: &ClusterState, max_deletions: usize) -> Option<Transaction> {
    let mut transaction = Transaction::default();
    let mutations = &mut transaction.mutations;
    for (name, batch) in &view.termination_batches {
        if !batch.terminated {
            continue;
        }
        let records_left = delete_records(view, batch, max_deletions, mutations);
        // The batch is kept while a scale-out request names one of its machines, since it records that the
        // machine is terminated.
        if records_left || mutations.len() >= max_deletions || is_named_by_request(view, batch) {
            continue;
        }
        mutations.push(Mutation::Delete {
            key: keys::termination_batch(name),
        });
    }
    (!transaction.mutations.is_empty()).then_some(transaction)
}

/// Adds deletions of a batch's records up to `max_deletions`. Returns whether records remain.
fn delete_records(
    view: &ClusterState,
    batch: &TerminationBatch,
    max_deletions: usize,
    mutations: &mut Vec<Mutation>,
) -> bool {
    for id in &batch.machines {
        let key = keys::machine(id);
        if view.version(&key) == 0 {
            continue;
        }
        if mutations.len() >= max_deletions {
            return true;
        }
        mutations.push(Mutation::Delete { key });
    }
    false
}

/// Returns whether a scale-out request names a machine of the batch.
fn is_named_by_request(view: &ClusterState, batch: &TerminationBatch) -> bool {
    let names_one = |request: &ScaleOutRequest| {
        request
            .machines
            .iter()
            .any(|name| batch.machines.iter().any(|id| **id == **name))
    };
    view.scale_out_requests.values().any(names_one)
}

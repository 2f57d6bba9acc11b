//! What scale-out requests and termination batches leave behind: requests whose machines have records of
//! their own, and records of machines that are gone.

use crate::autoscaler::model::{ScaleOutRequest, TerminationBatch};
use crate::controller::Controller;
use crate::settings::StateLimits;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;

/// Share of the burst of writes that is left to others when records of terminated machines are deleted:
/// nobody waits for these, while marking machines (`terminations`) saves money.
const WRITES_RESERVED: f64 = 0.6;

impl Controller {
    /// Closes or shrinks one answered scale-out request.
    pub(super) async fn close_scale_out_requests(&self) {
        let transaction = shrink_scale_out_request(&self.watch_cache.view(), self.state_limits());
        if let Some(transaction) = transaction {
            self.watch_cache.transaction(&transaction).await;
        }
    }

    /// Deletes the records of terminated machines, with writes that nobody else needs.
    pub(super) async fn delete_terminated_machines(&self) {
        loop {
            let (level, burst) = self.watch_cache.client().write_level();
            let spare_writes = (level - burst * WRITES_RESERVED) as usize;
            let deletions = spare_writes.min(self.state_limits().max_mutations);
            if deletions == 0 {
                return;
            }
            let transaction = forget_gone(&self.watch_cache.view(), deletions);
            let Some(transaction) = transaction else {
                return;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Done(_) => {}
                _ => return,
            }
        }
    }
}

/// The write that deletes or shrinks the first answered scale-out request for which that is possible.
/// A request is deleted once each of its machines has a record of its own or is gone. Each record must be
/// there at that moment: a machine named nowhere counts as gone. Where one transaction cannot hold
/// conditions on all records the request shrinks in steps, and keeps the other names meanwhile.
pub fn shrink_scale_out_request(view: &ClusterState, limits: StateLimits) -> Option<Transaction> {
    view.scale_out_requests
        .iter()
        .filter(|(_, request)| !request.open())
        .find_map(|(name, request)| shrink(view, limits, name, request))
}

fn shrink(
    view: &ClusterState,
    limits: StateLimits,
    name: &str,
    request: &ScaleOutRequest,
) -> Option<Transaction> {
    let key = keys::scale_out_request(name);
    let mut preconditions = vec![view.precondition(key.as_str())];
    let mut kept = Vec::new();
    for machine in &request.machines {
        let record_key = keys::machine(machine);
        let version = view.version(&record_key);
        if version > 0 && preconditions.len() < limits.preconditions() {
            preconditions.push(Precondition {
                version,
                key: record_key,
            });
        } else if version > 0 || !view.deleted(&record_key) {
            kept.push(machine.clone());
        }
    }
    let in_steps = request.machines.len() >= limits.preconditions();
    let step_is_full = preconditions.len() == limits.preconditions();
    let mutation = if kept.is_empty() {
        Mutation::Delete { key }
    } else if in_steps && step_is_full && kept.len() < request.machines.len() {
        // Only by full steps: each is a write.
        Mutation::Put {
            key,
            value: to_value(&ScaleOutRequest {
                machines: kept,
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

/// The write that deletes up to `max_deletions` keys: records of terminated machines, and termination
/// batches of which no record is left. `None` if there is nothing to delete.
pub fn forget_gone(view: &ClusterState, max_deletions: usize) -> Option<Transaction> {
    let mut transaction = Transaction::default();
    let mutations = &mut transaction.mutations;
    for (name, batch) in &view.termination_batches {
        if !batch.terminated {
            continue;
        }
        let records_left = delete_records(view, batch, max_deletions, mutations);
        // As long as a scale-out request names one of the machines, the batch says that it is gone.
        if records_left || mutations.len() >= max_deletions || named_by_request(view, batch) {
            continue;
        }
        mutations.push(Mutation::Delete {
            key: keys::termination_batch(name),
        });
    }
    (!transaction.mutations.is_empty()).then_some(transaction)
}

/// Adds deletions of a batch's records up to `max_deletions`. True if some are left.
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

fn named_by_request(view: &ClusterState, batch: &TerminationBatch) -> bool {
    let names_one = |request: &ScaleOutRequest| {
        request
            .machines
            .iter()
            .any(|name| batch.machines.iter().any(|id| **id == **name))
    };
    view.scale_out_requests.values().any(names_one)
}

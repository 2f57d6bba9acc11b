//! Marks a job as cancelled in its record when a user cancels it.

use super::block_writer::{BlockLayout, BlockWriter};
use super::draft::{TransactionDraft, put};
use super::limits::TransactionLimits;
use crate::jobs::model::{JobId, StoredBlock};
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::wire::state::Transaction;

/// Returns the transaction that cancels a job, or one that splits the job's record if that is necessary
/// first. `None` if the job is not in `view`, or if not even the split fits into a transaction.
pub fn cancel(view: &ClusterState, id: &JobId, limits: TransactionLimits) -> Option<Transaction> {
    let job = view.jobs.get(id)?;
    let mut spec = job.spec.as_ref().clone();
    spec.cancelled = true;
    let mut draft = TransactionDraft::default();
    let key = keys::job(id);
    draft.add_precondition(view, key.clone());
    match job.tasks_per_part.first() {
        Some(tasks_per_part) if *tasks_per_part > 0 => {
            let record = (spec, StoredBlock::Split(*tasks_per_part));
            draft.mutations.push(put(key, &record));
        }
        _ => {
            let first = job.blocks.first()?;
            let writer = BlockWriter {
                view,
                id,
                job,
                spec: &spec,
                limits,
            };
            if writer.write(&mut draft, 0, first) == BlockLayout::NewlySplit
                && draft.mutations.len() > limits.max_mutations
            {
                draft = writer.split_unchanged(0)?;
            }
        }
    }
    Some(draft.into_transaction())
}

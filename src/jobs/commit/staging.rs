//! Groups changes by job and merges small transactions. The writes of a job stay in one transaction.

use super::change::JobChange;
use super::draft::TransactionDraft;
use super::job_transaction;
use super::limits::TransactionLimits;
use crate::jobs::model::JobId;
use crate::store::cluster_state::ClusterState;
use crate::wire::state::{Precondition, Transaction};
use foldhash::HashSet;
use std::collections::BTreeMap;

/// Function that returns whether the team with a given name has a limit. Placements of such a team's jobs
/// are conditional on the team's key, so that two controllers cannot exceed the limit concurrently.
pub type TeamLimitCheck<'a> = &'a dyn Fn(&str) -> bool;

/// A transaction with the jobs that it changes.
#[derive(Debug)]
pub struct StagedTransaction {
    /// Transaction for the state service.
    pub transaction: Transaction,
    /// Jobs that the transaction changes. Each job is in at most one transaction at a time.
    pub jobs: Vec<JobId>,
}

/// Converts changes into transactions, in the order of job ids. Jobs in `in_flight` have a transaction in
/// flight and are left out: their changes are determined again once its outcome is known.
pub fn stage(
    view: &ClusterState,
    changes: &[JobChange],
    in_flight: &HashSet<JobId>,
    has_team_limit: TeamLimitCheck<'_>,
    limits: TransactionLimits,
) -> Vec<StagedTransaction> {
    let mut changes_by_job: BTreeMap<&JobId, Vec<&JobChange>> = BTreeMap::new();
    for change in changes {
        if !in_flight.contains(change.job()) {
            changes_by_job.entry(change.job()).or_default().push(change);
        }
    }
    let mut merger = TransactionMerger {
        limits,
        staged: Vec::new(),
        last_bytes: 0,
    };
    for (job, changes) in changes_by_job {
        if let Some(draft) = job_transaction::draft(view, job, &changes, has_team_limit, limits) {
            merger.add(job, draft);
        }
    }
    merger.staged
}

/// Merges the writes of several jobs into transactions.
struct TransactionMerger {
    limits: TransactionLimits,
    staged: Vec<StagedTransaction>,
    /// Estimated size of the last transaction in `staged`, in bytes.
    last_bytes: usize,
}

impl TransactionMerger {
    /// Adds a job's writes to the last transaction if they fit, otherwise to a new one.
    fn add(&mut self, job: &JobId, draft: TransactionDraft) {
        if !self.last_has_room(&draft) {
            self.staged.push(StagedTransaction {
                transaction: Transaction::default(),
                jobs: Vec::new(),
            });
            self.last_bytes = 0;
        }
        let Some(last) = self.staged.last_mut() else {
            return;
        };
        let Transaction {
            preconditions,
            mutations,
        } = &mut last.transaction;
        for (key, version) in draft.preconditions {
            if !preconditions.iter().any(|existing| existing.key == key) {
                preconditions.push(Precondition { key, version });
            }
        }
        // Two jobs of a team with a limit both write the team's key: one put is enough.
        for mutation in draft.mutations {
            if !mutations
                .iter()
                .any(|existing| existing.key() == mutation.key())
            {
                mutations.push(mutation);
            }
        }
        last.jobs.push(job.clone());
        self.last_bytes += draft.bytes;
    }

    fn last_has_room(&self, draft: &TransactionDraft) -> bool {
        let limits = &self.limits;
        let max_mutations = limits.max_merged_mutations.min(limits.max_mutations);
        self.staged.last().is_some_and(|last| {
            let Transaction {
                preconditions,
                mutations,
            } = &last.transaction;
            mutations.len() + draft.mutations.len() <= max_mutations
                && preconditions.len() + draft.preconditions.len()
                    <= limits.max_preconditions_with_reserve()
                && self.last_bytes + draft.bytes <= limits.max_bytes
        })
    }
}

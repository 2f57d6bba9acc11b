//! Groups changes by job and merges small transactions, each job's writes staying together.

use super::change::JobChange;
use super::draft::TransactionDraft;
use super::job_transaction;
use super::limits::TransactionLimits;
use crate::jobs::model::JobId;
use crate::store::cluster_state::ClusterState;
use crate::wire::state::{Precondition, Transaction};
use foldhash::HashSet;
use std::collections::BTreeMap;

/// Whether a team, by its name, has a limit. A placement of such a team's job is conditional on the
/// team's key, so that two controllers cannot exceed the limit together.
pub type HasTeamLimit<'a> = &'a dyn Fn(&str) -> bool;

/// A transaction with the jobs that it changes.
#[derive(Debug)]
pub struct StagedTransaction {
    /// What is sent to the state service.
    pub transaction: Transaction,
    /// Jobs that it changes; each is in one transaction at a time.
    pub jobs: Vec<JobId>,
}

/// Turns changes into transactions, in the order of job ids. Jobs in `busy` have a transaction in
/// flight and are left out: their changes are found again once its outcome is known.
pub fn stage(
    view: &ClusterState,
    changes: &[JobChange],
    busy: &HashSet<JobId>,
    has_team_limit: HasTeamLimit<'_>,
    limits: TransactionLimits,
) -> Vec<StagedTransaction> {
    let mut changes_by_job: BTreeMap<&JobId, Vec<&JobChange>> = BTreeMap::new();
    for change in changes {
        if !busy.contains(change.job()) {
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

/// Fills transactions with the writes of several jobs.
struct TransactionMerger {
    limits: TransactionLimits,
    staged: Vec<StagedTransaction>,
    /// Estimated bytes of the last one of `staged`.
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
            if !preconditions.iter().any(|known| known.key == key) {
                preconditions.push(Precondition { key, version });
            }
        }
        // Two jobs of one team with a limit share the team's key: one put is enough.
        for mutation in draft.mutations {
            if !mutations.iter().any(|known| known.key() == mutation.key()) {
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

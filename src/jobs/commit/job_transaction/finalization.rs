//! The end of a job: its final state replaces its record, and its other keys are deleted.

use super::JobTransactionBuilder;
use crate::jobs::commit::draft::{ESTIMATED_RECORD_BYTES, TransactionDraft, put};
use crate::jobs::model::{FinishedJob, TaskBlock, TaskState};
use crate::store::keys;
use crate::wire::state::Mutation;

/// Final state of a job.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum JobEnd {
    /// All tasks are done.
    Completed,
    /// The job is cancelled, and none of its tasks is on a machine.
    Cancelled,
}

impl JobTransactionBuilder<'_> {
    /// Returns the blocks with the changes applied.
    fn blocks(&self) -> impl Iterator<Item = &TaskBlock> {
        (0u32..)
            .zip(&self.job.blocks)
            .map(|(index, block)| self.changed_blocks.get(&index).unwrap_or(block))
    }

    /// Returns the job's final state if it has ended.
    pub(super) fn job_end(&self) -> Option<JobEnd> {
        let all_tasks = |condition: fn(&TaskState) -> bool| {
            let mut blocks = self.blocks();
            blocks.all(|block| block.all(condition))
        };
        if all_tasks(|state| *state == TaskState::Done) {
            return Some(JobEnd::Completed);
        }
        let cancelled =
            self.job.cancelled() && all_tasks(|state| !matches!(state, TaskState::Placed(_)));
        cancelled.then_some(JobEnd::Cancelled)
    }

    /// Replaces the job's record by its final state, and deletes as many of its other keys as fit into the
    /// transaction; the others are garbage collected later.
    pub(super) fn finalize(mut self, end: JobEnd) -> Option<TransactionDraft> {
        let job_key = keys::job(self.id);
        let job_version = self.view.version(&job_key);
        let finished_job = FinishedJob {
            // A cancelled job stays cancelled, even if all its tasks have completed since.
            cancelled: self.job.cancelled(),
            done: self.blocks().map(TaskBlock::done).sum(),
            finished_at: match self.limits.write_newer_layout {
                true => self.limits.wall_clock,
                false => 0,
            },
        };
        self.draft
            .mutations
            .push(put(keys::finished_job(self.id), &finished_job));
        self.draft.mutations.push(Mutation::Delete { key: job_key });
        self.draft.bytes = ESTIMATED_RECORD_BYTES;
        if !self.limits.write_packed_blocks {
            self.delete_blocks_with_preconditions();
            return Some(self.draft);
        }
        // Both conditions are stable, so the blocks need no preconditions: a task that is done stays done,
        // and a cancelled job gets no placements after the write of its cancellation. The view must
        // contain all earlier placements, though.
        if end == JobEnd::Cancelled && self.job.spec.cancelled && self.view.revision < job_version {
            return None;
        }
        for key in self.view.secondary_keys(self.id) {
            if self.draft.mutations.len() < self.limits.max_mutations {
                self.draft.mutations.push(Mutation::Delete { key });
            }
        }
        Some(self.draft)
    }

    /// Deletes the blocks after the first one, as far as they were written. The job's final state was
    /// determined from the blocks in the view, so their versions are preconditions, as far as these fit.
    fn delete_blocks_with_preconditions(&mut self) {
        let max_preconditions = self.limits.max_preconditions_with_reserve();
        for index in 1..self.job.blocks.len() as u32 {
            let key = keys::block(self.id, index);
            let version = self.view.version(&key);
            if self.draft.preconditions.len() + 1 < max_preconditions {
                self.draft.preconditions.insert(key.clone(), version);
            }
            if version > 0 && self.draft.mutations.len() < self.limits.max_mutations {
                self.draft.mutations.push(Mutation::Delete { key });
            }
        }
    }
}

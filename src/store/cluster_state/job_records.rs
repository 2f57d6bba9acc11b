//! Application of job records: insertion, change of the specification and removal of jobs.

use super::cancellations::CancellationChange;
use super::{ClusterState, Job};
use crate::jobs::model::{JobId, JobSpec, StoredBlock, StoredJobRecord};
use crate::wire::from_value;
use ciborium::Value;
use std::rc::Rc;

impl ClusterState {
    pub(super) fn apply_job(&mut self, key: &str, id: &str, value: Option<&Value>) {
        let id: JobId = id.into();
        let Some(StoredJobRecord(mut spec, first_block)) = value.and_then(from_value) else {
            self.remove_job(&id);
            return;
        };
        spec.set_heartbeat_bytes(&id);
        let was_cancelled = self.jobs.get(&id).is_some_and(|job| job.spec.cancelled);
        if spec.cancelled && !was_cancelled {
            let version = self.version(key);
            self.cancellations.record(&id, version);
        }
        self.put_job(id.clone(), Rc::new(spec));
        self.put_stored_block(&id, 0, Some(first_block));
    }

    /// Sets a job's specification. Its blocks stay unchanged.
    fn put_job(&mut self, id: JobId, spec: Rc<JobSpec>) {
        let usage_differs = |job: &Job| !job.spec.has_same_usage(&spec);
        if self.jobs.get(&id).is_some_and(usage_differs) {
            self.remove_job(&id);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            self.insert_job(id, spec);
            return;
        };
        let change = if spec.cancelled == job.spec.cancelled {
            CancellationChange::Unchanged
        } else {
            CancellationChange::Changed
        };
        job.spec = spec;
        self.refresh_after_record_change(&id, change);
    }

    fn insert_job(&mut self, id: JobId, spec: Rc<JobSpec>) {
        self.indexes.add_gpu_task_size(&spec.resources);
        let dependents = self.dependents.get(&id).cloned();
        self.jobs
            .insert(id.clone(), Job::new(spec, dependents.is_some()));
        self.index_job(&id);
        self.link_dependencies(&id);
        if let Some(dependents) = dependents {
            self.refresh_readiness(dependents.into_iter().collect());
            self.refresh_urgency(vec![id.clone()]);
        }
        self.apply_pending_blocks(&id);
    }

    /// Removes a job. Block keys that still exist keep their values in case the job's record is written
    /// again.
    fn remove_job(&mut self, id: &JobId) {
        self.reset_blocks(id);
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.index_job(id);
        self.indexes.remove_job_bytes(&job);
        self.indexes.remove_gpu_task_size(&job.spec.resources);
        self.unlink_dependencies(id, &job.dependencies);
        self.refresh_urgency(job.dependencies);
        if let Some(dependents) = self.dependents.get(id) {
            self.refresh_readiness(dependents.iter().cloned().collect());
        }
    }

    /// Applies the blocks of a job that were read before its record.
    fn apply_pending_blocks(&mut self, id: &JobId) {
        let blocks: Vec<(u32, StoredBlock)> = self
            .block_keys
            .get_mut(id)
            .into_iter()
            .flatten()
            .filter_map(|(block, stored)| Some((*block, stored.take()?)))
            .collect();
        for (block, stored) in blocks {
            self.put_stored_block(id, block, Some(stored));
        }
    }

    /// Resets every block of a job to the initial state. The values of existing block keys are moved back to
    /// `block_keys`.
    fn reset_blocks(&mut self, id: &JobId) {
        let block_count = self.jobs.get(id).map_or(0, |job| job.blocks.len() as u32);
        for block in 0..block_count {
            let stored = self.stored_block(id, block);
            self.put_block(id, block, None);
            if let (Some(stored), Some(block_keys)) = (stored, self.block_keys.get_mut(id)) {
                block_keys.insert(block, Some(stored));
            }
        }
    }

    /// Returns a block of a known job in the form stored under its key, or `None` if it has no key.
    fn stored_block(&self, id: &JobId, block: u32) -> Option<StoredBlock> {
        if !self.block_keys.get(id)?.contains_key(&block) {
            return None;
        }
        let job = self.jobs.get(id)?;
        match job.tasks_per_part.get(block as usize) {
            Some(0) | None => job
                .blocks
                .get(block as usize)
                .cloned()
                .map(StoredBlock::Plain),
            Some(tasks_per_part) => Some(StoredBlock::Split(*tasks_per_part)),
        }
    }
}

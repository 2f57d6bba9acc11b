//! Cancellations in the order in which they were read, for the digests that peers request
//! (`membership::cancellation_watermark`), and cancellations received in such digests.

use super::ClusterState;
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use std::collections::BTreeSet;

/// Number of cancellations kept. A peer requests those after the revision that it has read itself, which is
/// as old as its outage. If older ones were dropped, the digest is marked as incomplete.
const MAX_CANCELLATIONS: usize = 20_000;

/// The latest cancellations, ordered by the revision at which the job's record was read as cancelled.
#[derive(Default)]
pub(super) struct CancellationLog {
    entries: BTreeSet<(u64, JobId)>,
    /// Revision up to which entries may have been dropped.
    dropped_up_to: u64,
}

impl CancellationLog {
    pub(super) fn record(&mut self, job: &JobId, revision: u64) {
        self.entries.insert((revision, job.clone()));
        while self.entries.len() > MAX_CANCELLATIONS {
            if let Some((revision, _)) = self.entries.pop_first() {
                self.dropped_up_to = revision;
            }
        }
    }

    fn after(&self, revision: u64) -> Option<impl Iterator<Item = &(u64, JobId)>> {
        let start = (revision.saturating_add(1), JobId::from(""));
        (revision >= self.dropped_up_to).then(|| self.entries.range(start..))
    }
}

/// Effect of a change of a job's record, or of a peer's report, on whether the job is cancelled.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CancellationChange {
    Unchanged,
    Changed,
}

impl ClusterState {
    /// Returns all known cancellations after a revision, each with a revision at which it was in effect,
    /// ordered by that revision. Returns `None` if some were dropped. Jobs that had already finished when the
    /// state was loaded are not included: none of their tasks was on a machine whose worker still accepts
    /// commands from an older owner.
    pub fn cancelled_after(&self, revision: u64) -> Option<impl Iterator<Item = &(u64, JobId)>> {
        self.cancellations.after(revision)
    }

    /// Applies a peer's report that a job was cancelled in the state service at or before a revision. The
    /// job's tasks have to stop although its record in this cache is not cancelled yet. A job that is not
    /// known here has no task on the machines of this controller.
    pub fn merge_cancelled(&mut self, id: &str, revision: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled()) else {
            return;
        };
        job.cancelled_by_digest = true;
        self.change_count += 1;
        let id: JobId = id.into();
        // From now on this controller may confirm the cancellation to users, so its own digests must contain
        // it.
        self.cancellations.record(&id, revision);
        self.refresh_after_record_change(&id, CancellationChange::Changed);
    }

    /// Marks the machines of a job as changed after its record changed or its cancellation was reported. If
    /// its cancellation changed, also refreshes its dependents and dependencies in the pipeline.
    pub(super) fn refresh_after_record_change(&mut self, id: &JobId, change: CancellationChange) {
        let Some(job) = self.jobs.get(id) else { return };
        let machines: Vec<MachineId> = job
            .placements()
            .map(|(_, placement)| placement.machine.clone())
            .collect();
        let dependencies = job.dependencies.clone();
        self.changed_machines.extend(machines);
        self.index_job(id);
        if change == CancellationChange::Changed {
            let dependents = self.dependents.get(id).into_iter().flatten();
            self.refresh_readiness(dependents.cloned().collect());
            self.refresh_urgency(dependencies);
        }
    }
}

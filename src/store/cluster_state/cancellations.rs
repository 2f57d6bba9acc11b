//! Cancellations in the order in which they were read, for the digests that peers ask for
//! (`membership::cancellation_watermark`), and cancellations that such digests report.

use super::ClusterState;
use crate::ids::MachineId;
use crate::jobs::model::JobId;
use std::collections::BTreeSet;

/// Cancellations kept. A peer asks for those after the revision that it has read itself, which is as old as
/// its outage; if older ones were dropped, the digest is not complete and says so.
const MAX_CANCELLATIONS: usize = 20_000;

/// The latest cancellations, by the revision at which the job's record was seen to say so.
#[derive(Default)]
pub(super) struct CancellationLog {
    entries: BTreeSet<(u64, JobId)>,
    /// Entries up to this revision may have been dropped.
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

/// Whether a change of a job's record, or a report about it, changed whether it is cancelled.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CancellationChange {
    Unchanged,
    Changed,
}

impl ClusterState {
    /// Every cancellation after a revision that is known here, with a revision at which it stood, in that
    /// order; `None` if some were dropped. Jobs that were over when the state was loaded are not in it:
    /// none of their tasks was on a machine whose worker still obeys an older owner.
    pub fn cancelled_after(&self, revision: u64) -> Option<impl Iterator<Item = &(u64, JobId)>> {
        self.cancellations.after(revision)
    }

    /// A peer reports that a job was cancelled in the state service by a revision: its tasks have to stop
    /// although its record here does not say so yet. A job that is not known has no task on our machines.
    pub fn merge_cancelled(&mut self, id: &str, revision: u64) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| !job.cancelled()) else {
            return;
        };
        job.cancelled_by_digest = true;
        self.epoch += 1;
        let id: JobId = id.into();
        // From here on this controller may confirm it to users, so its own digests have to name it.
        self.cancellations.record(&id, revision);
        self.refresh_after_record_change(&id, CancellationChange::Changed);
    }

    /// After a job's record changed or its cancellation was reported: marks its machines as changed and,
    /// if its cancellation changed, refreshes the jobs around it in its pipeline.
    pub(super) fn refresh_after_record_change(&mut self, id: &JobId, change: CancellationChange) {
        let Some(job) = self.jobs.get(id) else { return };
        let machines: Vec<MachineId> = job
            .placements()
            .map(|(_, placement)| placement.machine.clone())
            .collect();
        let dependencies = job.dependencies.clone();
        self.changed_machines.extend(machines);
        self.index_job(id);
        if change == CancellationChange::Changed
            && let Some(dependents) = self.dependents.get(id)
        {
            let dependents: Vec<JobId> = dependents.iter().cloned().collect();
            self.refresh_readiness(dependents);
            self.refresh_urgency(dependencies);
        }
    }
}

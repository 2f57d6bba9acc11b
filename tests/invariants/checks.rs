//! Invariants that are checked after each event.

use crate::common;
use crate::world::{CANCEL_TIMEOUT, LEASE_DURATION, World};
use coppergw::jobs::model::{JobRecord, TaskState};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::worker::{Command, TaskStatus};

impl World {
    /// Checks that each task recorded as done has completed, and that a finished job keeps its outcome and has no
    /// job record.
    pub(crate) fn check_records(&mut self) {
        for controller in &self.controllers {
            common::indexed(&controller.view);
        }
        for (key, (value, _)) in &self.store.keys {
            if let Some(job) = key.strip_prefix("c/job/") {
                let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
                for (index, state) in block.iter().enumerate() {
                    if *state == TaskState::Done {
                        assert!(
                            self.completed.contains(&format!("{job}/{index}")),
                            "not_done"
                        );
                    }
                }
            }
            if let Some(job) = key.strip_prefix("c/final/") {
                let finished: coppergw::jobs::model::FinishedJob =
                    value.deserialized().expect("final");
                let previous = self
                    .finished_jobs
                    .insert(job.to_string(), !finished.cancelled);
                assert!(
                    previous.is_none_or(|previous| previous != finished.cancelled),
                    "went_back"
                );
                assert!(
                    !self.store.keys.contains_key(&keys::job(job)),
                    "{job} has both a job record and a final record"
                );
            }
        }
    }

    /// Checks that tasks of cancelled jobs end within `CANCEL_TIMEOUT`. An expired lease ends its tasks at the
    /// moment of expiry.
    pub(crate) fn check_cancelled_tasks_ended(&self) {
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for (name, task) in &worker.tasks {
                let cancelled_at = name
                    .split_once('/')
                    .and_then(|(job, _)| self.cancelled_at.get(job));
                if let (Some(cancelled_at), true) =
                    (cancelled_at, task.status != TaskStatus::Exited)
                {
                    let running_until = self.now.min(worker.lease_renewed_at + LEASE_DURATION);
                    assert!(
                        running_until <= cancelled_at + CANCEL_TIMEOUT,
                        "ran_cancelled: {name} on {}",
                        worker.name
                    );
                }
            }
        }
    }
}

/// Asserts that a controller whose view shows a job as cancelled starts none of its tasks.
pub(crate) fn assert_no_cancelled_start(view: &ClusterState, batch: &[Command]) {
    for command in batch {
        if let Command::Start { task, .. } = command {
            let job = task.split_once('/').and_then(|(job, _)| view.jobs.get(job));
            assert!(
                job.is_some_and(|job| !job.cancelled()),
                "start of a task of a cancelled job: {task}"
            );
        }
    }
}

//! What must hold after each event.

use crate::common;
use crate::world::{CANCEL, LEASE, World};
use coppergw::jobs::model::{JobRecord, TaskState};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::worker::{Command, TaskStatus};

impl World {
    /// What is written as done was done; what ended stays ended.
    pub(crate) fn check_records(&mut self) {
        for controller in &self.controllers {
            common::indexed(&controller.view);
        }
        for (key, (value, _)) in &self.store.keys {
            if let Some(job) = key.strip_prefix("c/job/") {
                let JobRecord(_, block): JobRecord = value.deserialized().expect("job");
                for (index, state) in block.0.iter().enumerate() {
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
                let before = self
                    .finished_jobs
                    .insert(job.to_string(), !finished.cancelled);
                assert!(
                    before.is_none_or(|before| before != finished.cancelled),
                    "went_back"
                );
                assert!(
                    !self.store.keys.contains_key(&keys::job(job)),
                    "a job is over and goes on"
                );
            }
        }
    }

    /// What a cancelled job left is gone in time. A lease that has run out ended its tasks when it did.
    pub(crate) fn check_cancelled_are_gone(&self) {
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for (name, task) in &worker.tasks {
                let cancelled_at = name
                    .split_once('/')
                    .and_then(|(job, _)| self.cancelled_at.get(job));
                if let (Some(cancelled_at), true) =
                    (cancelled_at, task.status != TaskStatus::Exited)
                {
                    let until = self.now.min(worker.lease_renewed_at + LEASE);
                    assert!(
                        until <= cancelled_at + CANCEL,
                        "ran_cancelled: {name} on {}",
                        worker.name
                    );
                }
            }
        }
    }
}

/// Nobody who knows that a job is cancelled has a task of it start.
pub(crate) fn assert_no_cancelled_start(view: &ClusterState, list: &[Command]) {
    for command in list {
        if let Command::Start { task, .. } = command {
            let job = task.split_once('/').and_then(|(j, _)| view.jobs.get(j));
            assert!(
                job.is_some_and(|j| !j.cancelled()),
                "{task} is told to start"
            );
        }
    }
}

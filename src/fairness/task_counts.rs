//! Task counts and durations by job, from the heartbeats of a controller's machines. Each controller writes
//! a separate value, which the leader reads in its fairness rounds.

use super::value_limit::truncate_to_size;
use super::{JobTaskCounts, TaskCounts};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::to_value;
use crate::wire::user::JobKind;
use crate::workers::longest_active_tasks;
use std::rc::Rc;

fn median(mut durations: Vec<Micros>) -> Micros {
    durations.sort_unstable();
    durations.get(durations.len() / 2).copied().unwrap_or(0)
}

/// Returns the counts of one job from the phase durations of its finished tasks and of its longest active
/// task.
fn job_task_counts(
    finished: Option<&Vec<[Micros; 2]>>,
    longest: Option<&[Micros; 2]>,
) -> JobTaskCounts {
    let mut count = JobTaskCounts::default();
    if let Some(durations) = finished {
        count.finished = durations.len() as u32;
        for phase in 0..2 {
            count.median_durations[phase] =
                median(durations.iter().map(|phases| phases[phase]).collect());
        }
    }
    // Whole seconds are precise enough, and the stored value changes less often.
    count.longest_durations = longest
        .copied()
        .unwrap_or_default()
        .map(|duration| duration / SECOND * SECOND);
    count
}

impl Controller {
    /// Writes this controller's counts once per fairness round if they changed.
    pub async fn task_counts_loop(self: Rc<Controller>) {
        let mut written = TaskCounts::default();
        loop {
            self.sleep(self.policy.fairness_interval).await;
            if !self.watch_cache.loaded() || !self.watch_cache.is_current() {
                continue;
            }
            let mut counts = self.task_counts();
            {
                let view = self.watch_cache.view();
                let queued = |id: &str| view.jobs.get(id).map_or(0, |job| job.queued());
                counts.jobs =
                    truncate_to_size(counts.jobs, self.max_value_bytes(), &|id, _| queued(id));
            }
            if counts == written {
                continue;
            }
            let transaction = Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Put {
                    key: keys::counts(self.node_name()),
                    value: to_value(&counts),
                    lease: None,
                }],
            };
            if let TransactionOutcome::Committed(_) =
                self.watch_cache.transaction(&transaction).await
            {
                written = counts;
            }
        }
    }

    /// Returns the counts of all jobs with finished or active tasks on this controller's machines. Services
    /// take no part in fairness rounds and are left out.
    fn task_counts(&self) -> TaskCounts {
        let now = self.clock.now();
        let view = self.watch_cache.view();
        let machines = self.workers.machines();
        let longest_active = longest_active_tasks(machines.values(), &view, now);
        let finished = self.workers.task_durations();
        let mut counts = TaskCounts::default();
        for (id, job) in &view.jobs {
            if job.spec.kind == JobKind::Service {
                continue;
            }
            let (finished, longest) = (finished.get(id), longest_active.get(id));
            if finished.is_some() || longest.is_some() {
                counts
                    .jobs
                    .insert(id.to_string(), job_task_counts(finished, longest));
            }
        }
        counts
    }
}

//! Task counts: what each controller knows of its jobs' tasks from the heartbeats of its machines. Each
//! controller writes a value of its own, which the leader reads in its rounds.

use super::value_limit::fitting;
use super::{Counts, JobCount};
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

/// Counts of one job, from the phases of its finished tasks and of the longest active one.
fn job_count(finished: Option<&Vec<[Micros; 2]>>, longest: Option<&[Micros; 2]>) -> JobCount {
    let mut count = JobCount::default();
    if let Some(durations) = finished {
        count.finished = durations.len() as u32;
        for phase in 0..2 {
            count.medians[phase] = median(durations.iter().map(|phases| phases[phase]).collect());
        }
    }
    // Whole seconds are enough, and change the value less often.
    count.longest = longest
        .copied()
        .unwrap_or_default()
        .map(|duration| duration / SECOND * SECOND);
    count
}

impl Controller {
    /// Writes this controller's counts each round, if they changed.
    pub async fn task_counts_loop(self: Rc<Controller>) {
        let mut written = Counts::default();
        loop {
            self.sleep(self.policy.fairness_round).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            let mut counts = self.task_counts();
            {
                let view = self.watch_cache.view();
                let queued = |id: &str| view.jobs.get(id).map_or(0, |job| job.queued());
                counts.jobs = fitting(counts.jobs, self.value_limit(), &|id, _| queued(id));
            }
            if counts == written {
                continue;
            }
            let transaction = Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Put {
                    key: keys::counts(self.me()),
                    value: to_value(&counts),
                    lease: None,
                }],
            };
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&transaction).await {
                written = counts;
            }
        }
    }

    /// Counts of all jobs of which this controller knows anything. Services are in no round.
    fn task_counts(&self) -> Counts {
        let now = self.clock.now();
        let view = self.watch_cache.view();
        let machines = self.workers.machines();
        let longest_active = longest_active_tasks(machines.values(), &view, now);
        let finished = self.workers.durations();
        let mut counts = Counts::default();
        for (id, job) in &view.jobs {
            if job.spec.kind == JobKind::Service {
                continue;
            }
            let (finished, longest) = (finished.get(id), longest_active.get(id));
            if finished.is_some() || longest.is_some() {
                counts
                    .jobs
                    .insert(id.to_string(), job_count(finished, longest));
            }
        }
        counts
    }
}

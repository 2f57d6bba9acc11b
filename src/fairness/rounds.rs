//! Rounds: each controller writes its counts, the leader the raises.

use super::service_levels::table;
use super::{Counts, JobActivity, JobCount, PriorityBoosts, merge, round};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{Micros, wall};
use crate::wire::state::{Mutation, Transaction};
use crate::wire::user::JobKind;
use crate::wire::{json_size, to_value};
use crate::workers::longest_active_tasks;
use std::collections::BTreeMap;
use std::rc::Rc;

fn median(mut list: Vec<Micros>) -> Micros {
    list.sort_unstable();
    list.get(list.len() / 2).copied().unwrap_or(0)
}

/// What fits into one value: those that matter most by `worth`. Jobs without counts are taken as
/// those of which nothing finished yet (T and P are 1), jobs without a raise as equals.
pub fn fitting<T: serde::Serialize, W: Ord>(
    jobs: BTreeMap<String, T>,
    bytes: usize,
    worth: &dyn Fn(&str, &T) -> W,
) -> BTreeMap<String, T> {
    // The braces and the field's name around them.
    const AROUND: usize = 16;
    if json_size(&jobs) + AROUND <= bytes {
        return jobs;
    }
    let mut list: Vec<(W, String, T)> = jobs
        .into_iter()
        .map(|(id, x)| (worth(&id, &x), id, x))
        .collect();
    list.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
    let mut left = bytes.saturating_sub(AROUND);
    let mut out = BTreeMap::new();
    for (_, id, x) in list {
        // Quotes, colon and comma.
        let size = id.len() + json_size(&x) + 4;
        if size > left {
            break;
        }
        left -= size;
        out.insert(id, x);
    }
    out
}

impl Controller {
    /// Writes our counts each round, if they changed.
    pub async fn task_counts_loop(self: Rc<Controller>) {
        let mut last = Counts::default();
        loop {
            self.sleep(self.policy.fairness_round).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            let mut c = self.counts();
            {
                let view = self.watch_cache.view();
                let queued = |id: &str| view.jobs.get(id).map_or(0, |j| j.queued());
                c.jobs = fitting(c.jobs, self.value_limit(), &|id, _| queued(id));
            }
            if c == last {
                continue;
            }
            let v = to_value(&c);
            let t = Transaction {
                preconditions: Vec::new(),
                mutations: vec![Mutation::Put {
                    key: keys::counts(self.me()),
                    value: v,
                    lease: None,
                }],
            };
            if let TransactionOutcome::Done(_) = self.watch_cache.transaction(&t).await {
                last = c;
            }
        }
    }

    fn counts(&self) -> Counts {
        let now = self.clock.now();
        let view = self.watch_cache.view();
        let machines = self.workers.machines();
        let longest = longest_active_tasks(machines.values(), &view, now);
        let durations = self.workers.durations();
        let mut out = Counts::default();
        for (id, j) in &view.jobs {
            // Only where something waits does a raise change anything.
            if j.spec.kind == JobKind::Service {
                continue;
            }
            let d = durations.get(id);
            let l = longest.get(id);
            if d.is_none() && l.is_none() {
                continue;
            }
            let mut c = JobCount::default();
            if let Some(d) = d {
                c.finished = d.len() as u32;
                for k in 0..2 {
                    c.medians[k] = median(d.iter().map(|p| p[k]).collect());
                }
            }
            // Whole seconds are enough, and change the value less often.
            c.longest = l
                .copied()
                .unwrap_or_default()
                .map(|x| x / 1_000_000 * 1_000_000);
            out.jobs.insert(id.to_string(), c);
        }
        out
    }

    /// The leader's round.
    pub async fn fairness_round(&self) {
        self.boost().await;
        self.add_up().await;
    }

    /// Adds up the jobs that ended, and says which class or team gets too little.
    async fn add_up(&self) {
        let t = {
            let view = self.watch_cache.view();
            let rows = table(&view, &self.settings.objectives, wall());
            tracing::debug!(?rows, "served");
            for (who, share) in self
                .service_level_monitor
                .borrow_mut()
                .missed_objectives(&rows, self.clock.now())
            {
                let share = format!("{share:.2}");
                tracing::warn!(
                    who,
                    share,
                    "less than half served: see inspect served, jobs"
                );
            }
            // An older version does not know the key, and there is nothing to say.
            if view.layout.is_none()
                || !view
                    .recent_job_ends()
                    .any(|e| e.revision > view.service_levels.revision)
            {
                return;
            }
            let ends = view.recent_job_ends().cloned();
            let next = view
                .service_levels
                .with(ends, view.revision, self.value_limit());
            Transaction {
                preconditions: vec![view.precondition(keys::SERVICE_LEVELS)],
                mutations: vec![Mutation::Put {
                    key: keys::SERVICE_LEVELS.into(),
                    value: to_value(&next),
                    lease: None,
                }],
            }
        };
        self.watch_cache.transaction(&t).await;
    }

    async fn boost(&self) {
        let next = {
            let view = self.watch_cache.view();
            let list: Vec<JobActivity> = view
                .jobs
                .iter()
                // What waits for other jobs is in no queue yet: Q counts tasks that could start
                // (section 2, algorithm 1), and a raise could not start them.
                .filter(|(_, j)| j.spec.kind != JobKind::Service && j.ready && !j.cancelled())
                .map(|(id, j)| {
                    let (median, performance) =
                        merge(view.counts.values().filter_map(|c| c.jobs.get(&**id)));
                    JobActivity {
                        id: id.to_string(),
                        waiting: j.waiting,
                        running: j.placed,
                        median,
                        performance,
                    }
                })
                .collect();
            let mut next: PriorityBoosts =
                round(&list, self.policy.fairness_threshold, &view.priority_boosts);
            next.jobs = fitting(next.jobs, self.value_limit(), &|_, (n, p)| (*p, *n));
            if next == view.priority_boosts {
                return;
            }
            next
        };
        let t = Transaction {
            preconditions: Vec::new(),
            mutations: vec![Mutation::Put {
                key: keys::PRIORITY_BOOSTS.into(),
                value: to_value(&next),
                lease: None,
            }],
        };
        self.watch_cache.transaction(&t).await;
    }
}

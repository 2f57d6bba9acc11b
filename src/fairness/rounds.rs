//! Rounds: each controller writes its counts, the leader the raises.

use super::service_levels::table;
use super::{Activity, Counts, JobCount, Raises, merge, round};
use crate::controller::Node;
use crate::store::client::Outcome;
use crate::store::keys;
use crate::time::{Micros, wall};
use crate::wire::state::{Change, Txn};
use crate::wire::user::Shape;
use crate::wire::{json_size, to_value};
use crate::workers::longest;
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

impl Node {
    /// Writes our counts each round, if they changed.
    pub async fn counts_loop(self: Rc<Node>) {
        let mut last = Counts::default();
        loop {
            self.sleep(self.policy.fairness_round).await;
            if !self.feed.loaded() || !self.feed.current() {
                continue;
            }
            let mut c = self.counts();
            {
                let view = self.feed.view();
                let queued = |id: &str| view.jobs.get(id).map_or(0, |j| j.queued());
                c.jobs = fitting(c.jobs, self.value_limit(), &|id, _| queued(id));
            }
            if c == last {
                continue;
            }
            let v = to_value(&c);
            let t = Txn {
                guards: Vec::new(),
                then: vec![Change::Put {
                    put: keys::counts(self.me()),
                    v,
                    permit: None,
                }],
            };
            if let Outcome::Done(_) = self.feed.txn(&t).await {
                last = c;
            }
        }
    }

    fn counts(&self) -> Counts {
        let now = self.clock.now();
        let view = self.feed.view();
        let machines = self.fleet.machines();
        let longest = longest(machines.values(), &view, now);
        let durations = self.fleet.durations();
        let mut out = Counts::default();
        for (id, j) in &view.jobs {
            // Only where something waits does a raise change anything.
            if j.spec.kind == Shape::Service {
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
        self.raise().await;
        self.add_up().await;
    }

    /// Adds up the jobs that ended, and says which class or team gets too little.
    async fn add_up(&self) {
        let t = {
            let view = self.feed.view();
            let rows = table(&view, &self.settings.objectives, wall());
            tracing::debug!(?rows, "served");
            for (who, share) in self.served.borrow_mut().fallen(&rows, self.clock.now()) {
                let share = format!("{share:.2}");
                tracing::warn!(
                    who,
                    share,
                    "less than half served: see inspect served, jobs"
                );
            }
            // An older version does not know the key, and there is nothing to say.
            if view.layout.is_none() || !view.ends().any(|e| e.rev > view.served.rev) {
                return;
            }
            let ends = view.ends().cloned();
            let next = view.served.with(ends, view.rev, self.value_limit());
            Txn {
                guards: vec![view.guard(keys::SERVED)],
                then: vec![Change::Put {
                    put: keys::SERVED.into(),
                    v: to_value(&next),
                    permit: None,
                }],
            }
        };
        self.feed.txn(&t).await;
    }

    async fn raise(&self) {
        let next = {
            let view = self.feed.view();
            let list: Vec<Activity> = view
                .jobs
                .iter()
                // What waits for other jobs is in no queue yet: Q counts tasks that could start
                // (section 2, algorithm 1), and a raise could not start them.
                .filter(|(_, j)| j.spec.kind != Shape::Service && j.ready && !j.cancelled())
                .map(|(id, j)| {
                    let (median, performance) =
                        merge(view.counts.values().filter_map(|c| c.jobs.get(&**id)));
                    Activity {
                        id: id.to_string(),
                        waiting: j.waiting,
                        running: j.placed,
                        median,
                        performance,
                    }
                })
                .collect();
            let mut next: Raises = round(&list, self.policy.fairness_threshold, &view.raises);
            next.jobs = fitting(next.jobs, self.value_limit(), &|_, (n, p)| (*p, *n));
            if next == view.raises {
                return;
            }
            next
        };
        let t = Txn {
            guards: Vec::new(),
            then: vec![Change::Put {
                put: keys::RAISES.into(),
                v: to_value(&next),
                permit: None,
            }],
        };
        self.feed.txn(&t).await;
    }
}

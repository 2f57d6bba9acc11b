//! Rounds: each controller writes its counts, the leader the raises.

use super::{Activity, Counts, JobCount, Raises, merge, round};
use crate::node::Node;
use crate::store::client::Outcome;
use crate::store::keys;
use crate::time::Micros;
use crate::wire::state::{Change, Txn};
use crate::wire::to_value;
use crate::wire::user::Shape;
use crate::workers::longest;
use std::rc::Rc;

fn median(mut list: Vec<Micros>) -> Micros {
    list.sort_unstable();
    list.get(list.len() / 2).copied().unwrap_or(0)
}

impl Node {
    /// Writes our counts each round, if they changed.
    pub async fn counts_loop(self: Rc<Node>) {
        let mut last = Counts::default();
        loop {
            self.sleep(self.policy.fairness_round).await;
            if !self.loaded.get() || !self.state_ok() {
                continue;
            }
            let c = self.counts();
            if c == last {
                continue;
            }
            let v = to_value(&c);
            if crate::wire::encode(&v).len() > self.settings.value_bytes / 2 {
                tracing::warn!("too many jobs for one value of counts");
                continue;
            }
            let t = Txn {
                guards: Vec::new(),
                then: vec![Change::Put {
                    put: keys::counts(self.me()),
                    v,
                    permit: None,
                }],
            };
            if let Outcome::Done(rev) = self.store.txn(&t).await {
                self.wrote(&t, rev);
                last = c;
            }
        }
    }

    fn counts(&self) -> Counts {
        let now = self.clock.now();
        let view = self.view.borrow();
        let machines = self.machines.borrow();
        let longest = longest(machines.values(), &view, now);
        let durations = self.durations.borrow();
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
        let next = {
            let view = self.view.borrow();
            let list: Vec<Activity> = view
                .jobs
                .iter()
                .filter(|(_, j)| j.spec.kind != Shape::Service && !j.spec.cancelled)
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
            let next: Raises = round(&list, self.policy.fairness_threshold, &view.raises);
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
        if let Outcome::Done(rev) = self.store.txn(&t).await {
            self.wrote(&t, rev);
        }
    }
}

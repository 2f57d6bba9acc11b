//! Changes of jobs: intents become transactions on blocks. Pure.
//!
//! Each intent is checked again against the view when it is staged, and its transaction guards the
//! versions that it was staged on: a late or repeated transaction changes nothing.

use super::model::{BLOCK, Block, Final, JobId, Placement, Slot};
use crate::members::part_of;
use crate::store::keys;
use crate::store::view::View;
use crate::time::Micros;
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::to_value;
use crate::wire::user::Shape;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::rc::Rc;

/// A wanted change of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Intent {
    /// An attempt has left its machine; `done` if it completed.
    Left {
        /// Job.
        job: JobId,
        /// Task.
        index: u32,
        /// Attempt.
        attempt: u32,
        /// Completed.
        done: bool,
    },
    /// An attempt should stop with this grace.
    Stop {
        /// Job.
        job: JobId,
        /// Task.
        index: u32,
        /// Attempt.
        attempt: u32,
        /// Grace.
        grace: Micros,
    },
    /// Waiting tasks should start on these machines and sessions.
    Place {
        /// Job.
        job: JobId,
        /// Task, machine, session.
        tasks: Vec<(u32, Rc<str>, u64)>,
    },
    /// Whatever the job's slots say about its end should be written.
    Settle {
        /// Job.
        job: JobId,
    },
}

impl Intent {
    /// The job.
    pub fn job(&self) -> &JobId {
        match self {
            Intent::Left { job, .. }
            | Intent::Stop { job, .. }
            | Intent::Place { job, .. }
            | Intent::Settle { job } => job,
        }
    }
}

/// A transaction with the jobs it is about.
#[derive(Debug)]
pub struct Staged {
    /// The transaction.
    pub txn: Txn,
    /// Jobs.
    pub jobs: Vec<JobId>,
}

/// Limits of a transaction.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Puts and deletes.
    pub ops: usize,
    /// Changes of different jobs that go together: one large debt would keep users waiting.
    pub merge: usize,
    /// Bytes overall, with some reserve.
    pub bytes: usize,
}

/// What a team with limits still may use, at staging: the usage is read from the same view whose
/// versions are guarded.
pub type Capped<'a> = &'a dyn Fn(&str) -> bool;

#[derive(Default)]
struct Group {
    guards: BTreeMap<String, u64>,
    changes: Vec<Change>,
    bytes: usize,
}

/// Turns intents into transactions. Jobs in `busy` have a transaction under way and wait.
pub fn stage(
    view: &View,
    intents: &[Intent],
    busy: &HashSet<JobId>,
    capped: Capped<'_>,
    limits: Limits,
) -> Vec<Staged> {
    let mut by_job: BTreeMap<&JobId, Vec<&Intent>> = BTreeMap::new();
    for i in intents {
        if !busy.contains(i.job()) {
            by_job.entry(i.job()).or_default().push(i);
        }
    }
    let mut out: Vec<Staged> = Vec::new();
    let mut bytes = 0;
    for (job, list) in by_job {
        let Some(g) = group(view, job, &list, capped, limits) else {
            continue;
        };
        let room = out.last().is_some_and(|s: &Staged| {
            s.txn.then.len() + g.changes.len() <= limits.merge.min(limits.ops)
                && s.txn.guards.len() + g.guards.len() <= limits.ops * 3
                && bytes + g.bytes <= limits.bytes
        });
        if !room {
            out.push(Staged {
                txn: Txn::default(),
                jobs: Vec::new(),
            });
            bytes = 0;
        }
        if let Some(s) = out.last_mut() {
            for (path, stamp) in g.guards {
                if !s.txn.guards.iter().any(|x| x.path == path) {
                    s.txn.guards.push(Guard { path, stamp });
                }
            }
            // Two jobs of one capped team share its key: one put is enough.
            for c in g.changes {
                if !s.txn.then.iter().any(|x| x.key() == c.key()) {
                    s.txn.then.push(c);
                }
            }
            s.jobs.push(job.clone());
            bytes += g.bytes;
        }
    }
    out
}

fn group(
    view: &View,
    id: &JobId,
    list: &[&Intent],
    capped: Capped<'_>,
    limits: Limits,
) -> Option<Group> {
    let job = view.jobs.get(id)?;
    let spec = &job.spec;
    let mut g = Group::default();
    let mut changed: BTreeMap<u32, Block> = BTreeMap::new();
    let slot = |changed: &BTreeMap<u32, Block>, i: u32| -> Option<Slot> {
        match changed.get(&(i / BLOCK)) {
            Some(b) => b.0.get((i % BLOCK) as usize).cloned(),
            None => job.slot(i).cloned(),
        }
    };
    let set = |changed: &mut BTreeMap<u32, Block>, i: u32, s: Slot| {
        let n = i / BLOCK;
        // A transaction holds so many changes; a group's rest follows in the next one.
        if !changed.contains_key(&n) && changed.len() + 4 > limits.ops && spec.kind != Shape::Gang {
            return;
        }
        if let Some(b) = job.blocks.get(n as usize) {
            let b = changed.entry(n).or_insert_with(|| b.clone());
            if let Some(x) = b.0.get_mut((i % BLOCK) as usize) {
                *x = s;
            }
        }
    };
    let mut placed = false;
    // What is said of an attempt holds only while its machine's part has the same owner: a
    // controller that was cut off may send "its lease ended" and have it delivered a minute later,
    // when a newer owner has long kept that lease alive.
    let owner = |g: &mut Group, host: &str| {
        let part = keys::part(part_of(host));
        let stamp = view.stamp(&part);
        g.guards.insert(part, stamp);
    };
    for intent in list {
        match intent {
            Intent::Left {
                index,
                attempt,
                done,
                ..
            } => match slot(&changed, *index) {
                Some(Slot::Placed(p)) if p.attempt == *attempt => {
                    owner(&mut g, &p.host);
                    let whole = *done && spec.kind == Shape::Gang;
                    if whole {
                        // A gang completes together: if one task is done, every one is.
                        for i in 0..spec.tasks {
                            set(&mut changed, i, Slot::Done);
                        }
                    } else if *done {
                        set(&mut changed, *index, Slot::Done);
                    } else {
                        set(&mut changed, *index, Slot::Waiting(p.attempt));
                    }
                }
                _ => {}
            },
            Intent::Stop {
                index,
                attempt,
                grace,
                ..
            } => {
                if let Some(Slot::Placed(p)) = slot(&changed, *index)
                    && p.attempt == *attempt
                    && p.stop.is_none_or(|g| g > *grace)
                {
                    owner(&mut g, &p.host);
                    let stop = Some(*grace);
                    set(&mut changed, *index, Slot::Placed(Placement { stop, ..p }));
                }
            }
            Intent::Place { tasks, .. } => {
                if spec.cancelled {
                    continue;
                }
                let ready = tasks
                    .iter()
                    .all(|(i, _, _)| matches!(slot(&changed, *i), Some(Slot::Waiting(_))));
                let whole = spec.kind != Shape::Gang
                    || (tasks.len() == spec.tasks as usize
                        && (blocks_of(spec.tasks) + 3) as usize <= limits.ops);
                if !ready || !whole {
                    continue;
                }
                // Tasks of a gang find one another by their attempt: one for all.
                let top = job.slots().map(|(_, s)| s.attempt()).max().unwrap_or(0);
                for (i, host, session) in tasks {
                    // A transaction holds so many conditions; the rest of a large array follows.
                    if spec.kind != Shape::Gang && g.guards.len() + 4 + 2 > limits.ops * 3 {
                        break;
                    }
                    let last = match spec.kind {
                        Shape::Gang => top,
                        _ => slot(&changed, *i).map_or(0, |s| s.attempt()),
                    };
                    set(
                        &mut changed,
                        *i,
                        Slot::Placed(Placement {
                            attempt: last + 1,
                            host: host.clone(),
                            session: *session,
                            stop: None,
                        }),
                    );
                    owner(&mut g, host);
                    let host = keys::host(host);
                    let stamp = view.stamp(&host);
                    g.guards.insert(host, stamp);
                }
                placed = true;
            }
            Intent::Settle { .. } => {}
        }
    }
    let job_key = keys::job(id);
    let job_stamp = view.stamp(&job_key);
    g.guards.insert(job_key.clone(), job_stamp);
    let at = |n: usize| changed.get(&(n as u32)).unwrap_or(&job.blocks[n]);
    let all = |f: &dyn Fn(&Slot) -> bool| (0..job.blocks.len()).all(|n| at(n).0.iter().all(f));
    let done = (0..job.blocks.len())
        .map(|n| at(n).0.iter().filter(|s| **s == Slot::Done).count() as u32)
        .sum();
    let over = all(&|s| *s == Slot::Done);
    let gone = spec.cancelled && all(&|s| !matches!(s, Slot::Placed(_)));
    if over || gone {
        // A cancelled job stays cancelled, even when its tasks all completed meanwhile.
        let fin = Final {
            cancelled: spec.cancelled,
            done,
        };
        g.changes.push(Change::Put {
            put: keys::fin(id),
            v: to_value(&fin),
            permit: None,
        });
        g.changes.push(Change::Delete { remove: job_key });
        for n in 1..job.blocks.len() as u32 {
            let key = keys::block(id, n);
            let stamp = view.stamp(&key);
            // The end is decided on the blocks as they are in the view.
            if g.guards.len() + 1 < limits.ops * 3 {
                g.guards.insert(key.clone(), stamp);
            }
            if stamp > 0 && g.changes.len() < limits.ops {
                g.changes.push(Change::Delete { remove: key });
            }
        }
        g.bytes = 512;
        return Some(g);
    }
    if changed.is_empty() {
        return None;
    }
    for (n, b) in &changed {
        g.bytes += 128
            + b.0
                .iter()
                .map(|s| match s {
                    Slot::Placed(p) => 32 + p.host.len(),
                    _ => 14,
                })
                .sum::<usize>();
        if *n == 0 {
            continue;
        }
        let key = keys::block(id, *n);
        g.guards.insert(key.clone(), view.stamp(&key));
        g.changes.push(Change::Put {
            put: key,
            v: to_value(b),
            permit: None,
        });
    }
    // Placements of a job whose zones matter are decided on each other: one at a time.
    if changed.contains_key(&0) || (placed && (spec.one_zone || spec.spread)) {
        let first = changed.get(&0).unwrap_or(&job.blocks[0]);
        g.changes.push(Change::Put {
            put: job_key,
            v: to_value(&(spec.as_ref(), first)),
            permit: None,
        });
        g.bytes += 512;
    }
    if placed && capped(&spec.team) {
        let key = keys::team(&spec.team);
        g.guards.insert(key.clone(), view.stamp(&key));
        g.changes.push(Change::Put {
            put: key,
            v: to_value(&id.to_string()),
            permit: None,
        });
    }
    (g.changes.len() <= limits.ops && g.guards.len() <= limits.ops * 4).then_some(g)
}

fn blocks_of(tasks: u32) -> u32 {
    super::model::blocks(tasks)
}

/// Deletes blocks whose job is over.
pub fn sweep(view: &View, limits: Limits) -> Option<Txn> {
    let mut t = Txn::default();
    let mut seen = BTreeSet::new();
    for (id, n) in view.orphans().into_iter().take(limits.ops) {
        let key = keys::block(&id, n);
        t.guards.push(Guard {
            path: key.clone(),
            stamp: view.stamp(&key),
        });
        if seen.insert(id.clone()) {
            t.guards.push(Guard {
                path: keys::job(&id),
                stamp: 0,
            });
        }
        t.then.push(Change::Delete { remove: key });
    }
    (!t.then.is_empty()).then_some(t)
}

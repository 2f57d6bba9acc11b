//! Changes of jobs: intents become transactions on blocks. Pure.
//!
//! Each intent is checked again against the view when it is staged, and its transaction guards the
//! versions that it was staged on: a late or repeated transaction changes nothing.

use super::model::{AnyRecord, BLOCK, Block, Final, Ids, JobId, Placement, Slot, Spec, Stored};
use crate::ids::HostId;
use crate::membership::part_of;
use crate::store::cluster_state::{Job, View};
use crate::store::keys;
use crate::time::Micros;
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::user::Shape;
use crate::wire::{json_size, to_value};
use foldhash::HashSet;
use std::collections::{BTreeMap, BTreeSet};

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
        tasks: Vec<(u32, HostId, u64)>,
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
    /// Bytes of a value, counted as JSON, with some reserve.
    pub value: usize,
    /// Whether every controller reads what this version writes.
    pub layout: bool,
    /// Whether blocks are written packed, and split where they outgrow a value.
    pub packed: bool,
    /// Time of day.
    pub wall: Micros,
}

impl Limits {
    /// Conditions that a transaction may have.
    fn guards(&self) -> usize {
        self.ops * 4
    }
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
    // Keys that will change: blocks, or the keys that they were split into.
    let mut units: BTreeSet<(u32, u32)> = BTreeSet::new();
    let unit = |i: u32| match job.split.get((i / BLOCK) as usize) {
        Some(per) if *per > 0 => (i / BLOCK, i % BLOCK / per),
        _ => (i / BLOCK, 0),
    };
    let beside = if limits.packed { 3 } else { 4 };
    let slot = |changed: &BTreeMap<u32, Block>, i: u32| -> Option<Slot> {
        match changed.get(&(i / BLOCK)) {
            Some(b) => b.0.get((i % BLOCK) as usize).cloned(),
            None => job.slot(i).cloned(),
        }
    };
    let mut set = |changed: &mut BTreeMap<u32, Block>, i: u32, s: Slot| {
        let n = i / BLOCK;
        // A transaction holds so many changes; a group's rest follows in the next one.
        let u = unit(i);
        if !units.contains(&u) && units.len() + beside > limits.ops && spec.kind != Shape::Gang {
            return;
        }
        units.insert(u);
        if let Some(b) = job.blocks.get(n as usize) {
            let b = changed.entry(n).or_insert_with(|| b.clone());
            if let Some(x) = b.0.get_mut((i % BLOCK) as usize) {
                *x = s;
            }
        }
    };
    let mut placed = false;
    let mut hosts: BTreeMap<String, u64> = BTreeMap::new();
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
                if job.cancelled() || !job.ready {
                    continue;
                }
                let ready = tasks
                    .iter()
                    .all(|(i, _, _)| matches!(slot(&changed, *i), Some(Slot::Waiting(_))));
                let whole = spec.kind != Shape::Gang
                    || (tasks.len() == spec.tasks as usize
                        && (limits.packed || (blocks_of(spec.tasks) + 3) as usize <= limits.ops));
                if !ready || !whole {
                    continue;
                }
                // Tasks of a gang find one another by their attempt: one for all.
                let top = job.slots().map(|(_, s)| s.attempt()).max().unwrap_or(0);
                for (i, host, session) in tasks {
                    // A transaction holds so many conditions; the rest of a large array follows.
                    if !limits.packed
                        && spec.kind != Shape::Gang
                        && g.guards.len() + hosts.len() + 4 + 2 > limits.ops * 3
                    {
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
                    hosts.insert(host, stamp);
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
    let gone = job.cancelled() && all(&|s| !matches!(s, Slot::Placed(_)));
    if over || gone {
        // A cancelled job stays cancelled, even when its tasks all completed meanwhile.
        let fin = Final {
            cancelled: job.cancelled(),
            done,
            at: if limits.layout { limits.wall } else { 0 },
        };
        g.changes.push(put(keys::fin(id), &fin));
        g.changes.push(Change::Delete { remove: job_key });
        g.bytes = 512;
        if limits.packed {
            // Neither condition can end again, so no block is guarded: what is done stays done, and
            // a cancelled job gets no placement that was not written before its cancellation. What
            // was written before that must be in the view, though.
            if !over && spec.cancelled && view.rev < job_stamp {
                return None;
            }
            // The rest is deleted later, in steps.
            for key in view.keys_of(id) {
                if g.changes.len() < limits.ops {
                    g.changes.push(Change::Delete { remove: key });
                }
            }
            return Some(g);
        }
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
        return Some(g);
    }
    if changed.is_empty() {
        return None;
    }
    let mut split = None;
    for (n, b) in &changed {
        if g.write(view, id, job, spec, *n, b, limits) {
            split = Some(*n);
        }
    }
    // Placements of a job whose zones matter are decided on each other: one at a time.
    if placed
        && (spec.one_zone || spec.spread)
        && !g.changes.iter().any(|c| c.key() == job_key.as_str())
    {
        let first = changed.get(&0).unwrap_or(&job.blocks[0]);
        match (limits.packed, job.split.first()) {
            (true, Some(per)) if *per > 0 => {
                let r = (spec.as_ref(), Stored::Split(*per));
                g.changes.push(put(job_key, &r));
                g.bytes += 512;
            }
            _ => {
                if g.write(view, id, job, spec, 0, first, limits) {
                    split = Some(0);
                }
            }
        }
    }
    if placed && capped(&spec.team) {
        let key = keys::team(&spec.team);
        g.guards.insert(key.clone(), view.stamp(&key));
        g.changes.push(put(key, &id.to_string()));
    }
    // The machines' own keys as well, so that none of them is being returned. That spares a wasted
    // start and is no rule: a machine whose key is gone has nothing on it. Where they are too many
    // for a transaction, the terms of their parts stand for them.
    if !limits.packed || g.guards.len() + hosts.len() <= limits.guards() {
        g.guards.append(&mut hosts);
    }
    if let (true, Some(n)) = (g.changes.len() > limits.ops, split) {
        return split_first(view, id, job, n, limits);
    }
    let fits = g.changes.len() <= limits.ops && g.guards.len() <= limits.guards();
    if !fits && limits.packed {
        tracing::debug!(job = %id, changes = g.changes.len(), "needs more than a transaction");
    }
    fits.then_some(g)
}

fn put<T: serde::Serialize>(key: String, v: &T) -> Change {
    Change::Put {
        put: key,
        v: to_value(v),
        permit: None,
    }
}

/// A key that a block is split into has room to grow: what is placed and done in turns takes more.
const FILL: usize = 75;

impl Group {
    /// Adds the writes that give a block this content, and tells whether that splits the block.
    ///
    /// Blocks of older versions hold up to `BLOCK` slots, whatever fits into a value now. Written
    /// anew, equal slots stand together; what still does not fit is split into keys of fewer slots,
    /// of which later only those are written that change. Block and keys are one transaction, so
    /// there is no moment in between.
    #[allow(clippy::too_many_arguments)]
    fn write(
        &mut self,
        view: &View,
        id: &JobId,
        job: &Job,
        spec: &Spec,
        n: u32,
        b: &Block,
        limits: Limits,
    ) -> bool {
        let key = match n {
            0 => keys::job(id),
            _ => keys::block(id, n),
        };
        self.guards.insert(key.clone(), view.stamp(&key));
        if !limits.packed {
            self.bytes += 128 + b.0.iter().map(plain_bytes).sum::<usize>();
            self.changes.push(match n {
                0 => put(key, &(spec, b)),
                _ => put(key, b),
            });
            if n == 0 {
                self.bytes += 512;
            }
            return false;
        }
        let per = job.split.get(n as usize).copied().unwrap_or(0);
        if per > 0 {
            let old = job.blocks.get(n as usize);
            let leaves: Vec<(u32, Stored)> = leaves(b, per)
                .filter(|(k, leaf)| old.and_then(|o| leaf_of(o, per, *k)) != Some(&leaf.0))
                .map(|(k, leaf)| (k, Stored::Packed(leaf)))
                .collect();
            if leaves.iter().all(|(_, l)| json_size(l) <= limits.value) {
                for (k, leaf) in leaves {
                    let key = keys::slots(id, n, per, k);
                    self.guards.insert(key.clone(), view.stamp(&key));
                    self.bytes += json_size(&leaf);
                    self.changes.push(put(key, &leaf));
                }
                return false;
            }
        } else {
            let stored = Stored::Packed(b.clone());
            let size = match n {
                0 => json_size(&(spec, &stored)),
                _ => json_size(&stored),
            };
            if size <= limits.value {
                self.bytes += size;
                self.changes.push(match n {
                    0 => put(key, &(spec, &stored)),
                    _ => put(key, &stored),
                });
                return false;
            }
        }
        let (per, list) = self.split(view, id, n, b, per, limits);
        self.changes.extend(list);
        let marker = Stored::Split(per);
        self.bytes += 512;
        self.changes.push(match n {
            0 => put(key, &(spec, marker)),
            _ => put(key, &marker),
        });
        true
    }

    /// The writes of the keys that a block is split into, and how many slots are in each. Keys that
    /// hold this already are only guarded.
    fn split(
        &mut self,
        view: &View,
        id: &JobId,
        n: u32,
        b: &Block,
        before: u32,
        limits: Limits,
    ) -> (u32, Vec<Change>) {
        let mut per = (if before == 0 { BLOCK } else { before }).div_ceil(2);
        let most = limits.value * FILL / 100;
        while per > 1 && leaves(b, per).any(|(_, l)| json_size(&Stored::Packed(l)) > most) {
            per = per.div_ceil(2);
        }
        let mut out = Vec::new();
        for (k, leaf) in leaves(b, per) {
            let key = keys::slots(id, n, per, k);
            let stamp = view.stamp(&key);
            let untouched = stamp == 0 && leaf.0.iter().all(|s| *s == Slot::Waiting(0));
            self.guards.insert(key.clone(), stamp);
            if !untouched && view.leaf(id, n, per, k) != Some(&leaf) {
                let leaf = Stored::Packed(leaf);
                self.bytes += json_size(&leaf);
                out.push(put(key, &leaf));
            }
        }
        (per, out)
    }
}

fn plain_bytes(s: &Slot) -> usize {
    match s {
        Slot::Placed(p) => 32 + p.host.len(),
        _ => 14,
    }
}

fn leaf_of(b: &Block, per: u32, k: u32) -> Option<&[Slot]> {
    b.0.chunks(per.max(1) as usize).nth(k as usize)
}

fn leaves(b: &Block, per: u32) -> impl Iterator<Item = (u32, Block)> + '_ {
    b.0.chunks(per.max(1) as usize)
        .enumerate()
        .map(|(k, s)| (k as u32, Block(s.to_vec())))
}

/// Splits a block as it is: what is to change follows once it is written in small keys. Where one
/// transaction cannot hold all of them, some are written first; they mean nothing until the block
/// names them, and the transaction that makes it do so guards the block and every one of them.
fn split_first(view: &View, id: &JobId, job: &Job, n: u32, limits: Limits) -> Option<Group> {
    let b = job.blocks.get(n as usize)?;
    let per = job.split.get(n as usize).copied().unwrap_or(0);
    let mut g = Group::default();
    let job_key = keys::job(id);
    g.guards.insert(job_key.clone(), view.stamp(&job_key));
    let key = match n {
        0 => job_key,
        _ => keys::block(id, n),
    };
    let (per, list) = g.split(view, id, n, b, per, limits);
    if list.len() < limits.ops {
        g.changes = list;
        let marker = Stored::Split(per);
        g.changes.push(match n {
            0 => put(key.clone(), &(job.spec.as_ref(), marker)),
            _ => put(key.clone(), &marker),
        });
    } else {
        let names: HashSet<String> = list
            .iter()
            .take(limits.ops)
            .map(|c| c.key().to_string())
            .collect();
        g.guards.retain(|k, _| names.contains(k));
        g.changes = list.into_iter().take(limits.ops).collect();
    }
    g.guards.insert(key.clone(), view.stamp(&key));
    (g.guards.len() <= limits.guards()).then_some(g)
}

/// The transaction that withdraws a job, or a step towards it where the job's record has to be split
/// first.
pub fn withdraw(view: &View, id: &JobId, limits: Limits) -> Option<Txn> {
    let job = view.jobs.get(id)?;
    let mut spec = job.spec.as_ref().clone();
    spec.cancelled = true;
    let mut g = Group::default();
    let key = keys::job(id);
    g.guards.insert(key.clone(), view.stamp(&key));
    match job.split.first() {
        Some(per) if *per > 0 => g.changes.push(put(key, &(spec, Stored::Split(*per)))),
        _ => {
            let first = job.blocks.first()?;
            if g.write(view, id, job, &spec, 0, first, limits) && g.changes.len() > limits.ops {
                g = split_first(view, id, job, 0, limits)?;
            }
        }
    }
    Some(Txn {
        guards: g
            .guards
            .into_iter()
            .map(|(path, stamp)| Guard { path, stamp })
            .collect(),
        then: g.changes,
    })
}

/// A job's record as it is written when the job is accepted.
fn accepted(spec: Spec, limits: Limits) -> AnyRecord {
    let none = Block::default();
    AnyRecord(
        spec,
        if limits.packed {
            Stored::Packed(none)
        } else {
            Stored::Plain(none)
        },
    )
}

/// The next writes that accept a job: its record, and before it keys of their own for jobs that it
/// needs and that do not fit in there. These come in steps if need be, and mean nothing without the
/// record, which guards them. `None`: it fits into no value.
pub fn acceptance(view: &View, id: &str, mut spec: Spec, limits: Limits) -> Option<Vec<Txn>> {
    let fits = |spec: &Spec| json_size(&accepted(spec.clone(), limits)) <= limits.value;
    let mut extra: Vec<(String, Ids)> = Vec::new();
    if !fits(&spec) {
        let all = std::mem::take(&mut spec.needs).jobs.0;
        // Room for the count of keys.
        spec.needs.keys = u32::MAX;
        if !fits(&spec) {
            return None;
        }
        let mut bytes = usize::MAX;
        for j in all {
            // Quotes around it all, a space between two.
            if bytes.saturating_add(j.len() + 3) > limits.value {
                extra.push((keys::needs(id, extra.len() as u32), Ids::default()));
                bytes = 0;
            }
            bytes += j.len() + 1;
            if let Some((_, list)) = extra.last_mut() {
                list.0.push(j);
            }
        }
        spec.needs.keys = extra.len() as u32;
    }
    // An earlier try may have written others: some jobs were not done then.
    let missing: Vec<&(String, Ids)> = extra
        .iter()
        .enumerate()
        .filter(|(k, (_, list))| view.need_list(id, *k as u32) != Some(&list.0))
        .map(|(_, x)| x)
        .collect();
    if !missing.is_empty() {
        return Some(
            missing
                .chunks(limits.ops)
                .map(|chunk| Txn {
                    guards: chunk.iter().map(|(k, _)| view.guard(k.as_str())).collect(),
                    then: chunk.iter().map(|(k, l)| put(k.clone(), l)).collect(),
                })
                .collect(),
        );
    }
    let none = |path: String| Guard { path, stamp: 0 };
    let mut guards = vec![none(keys::job(id)), none(keys::fin(id))];
    guards.extend(extra.iter().map(|(k, _)| view.guard(k.as_str())));
    (guards.len() <= limits.guards()).then(|| {
        vec![Txn {
            guards,
            then: vec![put(keys::job(id), &accepted(spec, limits))],
        }]
    })
}

fn blocks_of(tasks: u32) -> u32 {
    super::model::blocks(tasks)
}

/// Deletes keys of slots and needs whose job is over.
pub fn sweep(view: &View, limits: Limits) -> Option<Txn> {
    let mut t = Txn::default();
    let mut seen = BTreeSet::new();
    for (id, key) in view.orphans().into_iter().take(limits.ops) {
        t.guards.push(view.guard(key.as_str()));
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

//! Changes of jobs: intents become transactions on blocks. Pure.
//!
//! Each intent is checked again against the view when it is staged, and its transaction guards the
//! versions that it was staged on: a late or repeated transaction changes nothing.

use super::model::{
    BLOCK, FinishedJob, JobId, JobIdList, JobSpec, Placement, StoredBlock, StoredJobRecord,
    TaskBlock, TaskState,
};
use crate::ids::MachineId;
use crate::membership::shard_of;
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::time::Micros;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::user::JobKind;
use crate::wire::{json_size, to_value};
use foldhash::HashSet;
use std::collections::{BTreeMap, BTreeSet};

/// A wanted change of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobChange {
    /// An attempt has left its machine; `done` if it completed.
    AttemptEnded {
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
        tasks: Vec<(u32, MachineId, u64)>,
    },
    /// Whatever the job's slots say about its end should be written.
    Finalize {
        /// Job.
        job: JobId,
    },
}

impl JobChange {
    /// The job.
    pub fn job(&self) -> &JobId {
        match self {
            JobChange::AttemptEnded { job, .. }
            | JobChange::Stop { job, .. }
            | JobChange::Place { job, .. }
            | JobChange::Finalize { job } => job,
        }
    }
}

/// A transaction with the jobs it is about.
#[derive(Debug)]
pub struct StagedTransaction {
    /// The transaction.
    pub transaction: Transaction,
    /// Jobs.
    pub jobs: Vec<JobId>,
}

/// Limits of a transaction.
#[derive(Clone, Copy, Debug)]
pub struct TransactionLimits {
    /// Puts and deletes.
    pub max_mutations: usize,
    /// Changes of different jobs that go together: one large debt would keep users waiting.
    pub max_merged_mutations: usize,
    /// Bytes overall, with some reserve.
    pub max_bytes: usize,
    /// Bytes of a value, counted as JSON, with some reserve.
    pub max_value_bytes: usize,
    /// Whether every controller reads what this version writes.
    pub newer_layout: bool,
    /// Whether blocks are written packed, and split where they outgrow a value.
    pub packed: bool,
    /// Time of day.
    pub wall_clock: Micros,
}

impl TransactionLimits {
    /// Conditions that a transaction may have.
    fn preconditions(&self) -> usize {
        self.max_mutations * 4
    }
}

/// What a team with limits still may use, at staging: the usage is read from the same view whose
/// versions are guarded.
pub type HasTeamLimit<'a> = &'a dyn Fn(&str) -> bool;

#[derive(Default)]
struct Group {
    preconditions: BTreeMap<String, u64>,
    changes: Vec<Mutation>,
    bytes: usize,
}

/// Turns intents into transactions. Jobs in `busy` have a transaction under way and wait.
pub fn stage(
    view: &ClusterState,
    intents: &[JobChange],
    busy: &HashSet<JobId>,
    capped: HasTeamLimit<'_>,
    limits: TransactionLimits,
) -> Vec<StagedTransaction> {
    let mut by_job: BTreeMap<&JobId, Vec<&JobChange>> = BTreeMap::new();
    for i in intents {
        if !busy.contains(i.job()) {
            by_job.entry(i.job()).or_default().push(i);
        }
    }
    let mut out: Vec<StagedTransaction> = Vec::new();
    let mut bytes = 0;
    for (job, list) in by_job {
        let Some(g) = group(view, job, &list, capped, limits) else {
            continue;
        };
        let room = out.last().is_some_and(|s: &StagedTransaction| {
            s.transaction.mutations.len() + g.changes.len()
                <= limits.max_merged_mutations.min(limits.max_mutations)
                && s.transaction.preconditions.len() + g.preconditions.len()
                    <= limits.max_mutations * 3
                && bytes + g.bytes <= limits.max_bytes
        });
        if !room {
            out.push(StagedTransaction {
                transaction: Transaction::default(),
                jobs: Vec::new(),
            });
            bytes = 0;
        }
        if let Some(s) = out.last_mut() {
            for (path, stamp) in g.preconditions {
                if !s.transaction.preconditions.iter().any(|x| x.key == path) {
                    s.transaction.preconditions.push(Precondition {
                        key: path,
                        version: stamp,
                    });
                }
            }
            // Two jobs of one capped team share its key: one put is enough.
            for c in g.changes {
                if !s.transaction.mutations.iter().any(|x| x.key() == c.key()) {
                    s.transaction.mutations.push(c);
                }
            }
            s.jobs.push(job.clone());
            bytes += g.bytes;
        }
    }
    out
}

fn group(
    view: &ClusterState,
    id: &JobId,
    list: &[&JobChange],
    capped: HasTeamLimit<'_>,
    limits: TransactionLimits,
) -> Option<Group> {
    let job = view.jobs.get(id)?;
    let spec = &job.spec;
    let mut g = Group::default();
    let mut changed: BTreeMap<u32, TaskBlock> = BTreeMap::new();
    // Keys that will change: blocks, or the keys that they were split into.
    let mut units: BTreeSet<(u32, u32)> = BTreeSet::new();
    let unit = |i: u32| match job.tasks_per_part.get((i / BLOCK) as usize) {
        Some(per) if *per > 0 => (i / BLOCK, i % BLOCK / per),
        _ => (i / BLOCK, 0),
    };
    let beside = if limits.packed { 3 } else { 4 };
    let slot = |changed: &BTreeMap<u32, TaskBlock>, i: u32| -> Option<TaskState> {
        match changed.get(&(i / BLOCK)) {
            Some(b) => b.0.get((i % BLOCK) as usize).cloned(),
            None => job.slot(i).cloned(),
        }
    };
    let mut set = |changed: &mut BTreeMap<u32, TaskBlock>, i: u32, s: TaskState| {
        let n = i / BLOCK;
        // A transaction holds so many changes; a group's rest follows in the next one.
        let u = unit(i);
        if !units.contains(&u)
            && units.len() + beside > limits.max_mutations
            && spec.kind != JobKind::Gang
        {
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
    let mut machines: BTreeMap<String, u64> = BTreeMap::new();
    // What is said of an attempt holds only while its machine's part has the same owner: a
    // controller that was cut off may send "its lease ended" and have it delivered a minute later,
    // when a newer owner has long kept that lease alive.
    let owner = |g: &mut Group, machine: &str| {
        let shard = keys::shard(shard_of(machine));
        let stamp = view.version(&shard);
        g.preconditions.insert(shard, stamp);
    };
    for intent in list {
        match intent {
            JobChange::AttemptEnded {
                index,
                attempt,
                done,
                ..
            } => match slot(&changed, *index) {
                Some(TaskState::Placed(p)) if p.attempt == *attempt => {
                    owner(&mut g, &p.machine);
                    let whole = *done && spec.kind == JobKind::Gang;
                    if whole {
                        // A gang completes together: if one task is done, every one is.
                        for i in 0..spec.task_count {
                            set(&mut changed, i, TaskState::Done);
                        }
                    } else if *done {
                        set(&mut changed, *index, TaskState::Done);
                    } else {
                        set(&mut changed, *index, TaskState::Waiting(p.attempt));
                    }
                }
                _ => {}
            },
            JobChange::Stop {
                index,
                attempt,
                grace,
                ..
            } => {
                if let Some(TaskState::Placed(p)) = slot(&changed, *index)
                    && p.attempt == *attempt
                    && p.stop.is_none_or(|g| g > *grace)
                {
                    owner(&mut g, &p.machine);
                    let stop = Some(*grace);
                    set(
                        &mut changed,
                        *index,
                        TaskState::Placed(Placement { stop, ..p }),
                    );
                }
            }
            JobChange::Place { tasks, .. } => {
                if job.cancelled() || !job.ready {
                    continue;
                }
                let ready = tasks
                    .iter()
                    .all(|(i, _, _)| matches!(slot(&changed, *i), Some(TaskState::Waiting(_))));
                let whole = spec.kind != JobKind::Gang
                    || (tasks.len() == spec.task_count as usize
                        && (limits.packed
                            || (blocks_of(spec.task_count) + 3) as usize <= limits.max_mutations));
                if !ready || !whole {
                    continue;
                }
                // Tasks of a gang find one another by their attempt: one for all.
                let top = job.slots().map(|(_, s)| s.attempt()).max().unwrap_or(0);
                for (i, machine, session) in tasks {
                    // A transaction holds so many conditions; the rest of a large array follows.
                    if !limits.packed
                        && spec.kind != JobKind::Gang
                        && g.preconditions.len() + machines.len() + 4 + 2 > limits.max_mutations * 3
                    {
                        break;
                    }
                    let last = match spec.kind {
                        JobKind::Gang => top,
                        _ => slot(&changed, *i).map_or(0, |s| s.attempt()),
                    };
                    set(
                        &mut changed,
                        *i,
                        TaskState::Placed(Placement {
                            attempt: last + 1,
                            machine: machine.clone(),
                            session: *session,
                            stop: None,
                        }),
                    );
                    owner(&mut g, machine);
                    let machine = keys::machine(machine);
                    let stamp = view.version(&machine);
                    machines.insert(machine, stamp);
                }
                placed = true;
            }
            JobChange::Finalize { .. } => {}
        }
    }
    let job_key = keys::job(id);
    let job_stamp = view.version(&job_key);
    g.preconditions.insert(job_key.clone(), job_stamp);
    let at = |n: usize| changed.get(&(n as u32)).unwrap_or(&job.blocks[n]);
    let all = |f: &dyn Fn(&TaskState) -> bool| (0..job.blocks.len()).all(|n| at(n).0.iter().all(f));
    let done = (0..job.blocks.len())
        .map(|n| at(n).0.iter().filter(|s| **s == TaskState::Done).count() as u32)
        .sum();
    let over = all(&|s| *s == TaskState::Done);
    let gone = job.cancelled() && all(&|s| !matches!(s, TaskState::Placed(_)));
    if over || gone {
        // A cancelled job stays cancelled, even when its tasks all completed meanwhile.
        let finished_job = FinishedJob {
            cancelled: job.cancelled(),
            done,
            finished_at: if limits.newer_layout {
                limits.wall_clock
            } else {
                0
            },
        };
        g.changes.push(put(keys::finished_job(id), &finished_job));
        g.changes.push(Mutation::Delete { key: job_key });
        g.bytes = 512;
        if limits.packed {
            // Neither condition can end again, so no block is guarded: what is done stays done, and
            // a cancelled job gets no placement that was not written before its cancellation. What
            // was written before that must be in the view, though.
            if !over && spec.cancelled && view.revision < job_stamp {
                return None;
            }
            // The rest is deleted later, in steps.
            for key in view.secondary_keys(id) {
                if g.changes.len() < limits.max_mutations {
                    g.changes.push(Mutation::Delete { key });
                }
            }
            return Some(g);
        }
        for n in 1..job.blocks.len() as u32 {
            let key = keys::block(id, n);
            let stamp = view.version(&key);
            // The end is decided on the blocks as they are in the view.
            if g.preconditions.len() + 1 < limits.max_mutations * 3 {
                g.preconditions.insert(key.clone(), stamp);
            }
            if stamp > 0 && g.changes.len() < limits.max_mutations {
                g.changes.push(Mutation::Delete { key });
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
        && (spec.single_zone || spec.zone_spread)
        && !g.changes.iter().any(|c| c.key() == job_key.as_str())
    {
        let first = changed.get(&0).unwrap_or(&job.blocks[0]);
        match (limits.packed, job.tasks_per_part.first()) {
            (true, Some(per)) if *per > 0 => {
                let r = (spec.as_ref(), StoredBlock::Split(*per));
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
        g.preconditions.insert(key.clone(), view.version(&key));
        g.changes.push(put(key, &id.to_string()));
    }
    // The machines' own keys as well, so that none of them is being returned. That spares a wasted
    // start and is no rule: a machine whose key is gone has nothing on it. Where they are too many
    // for a transaction, the terms of their parts stand for them.
    if !limits.packed || g.preconditions.len() + machines.len() <= limits.preconditions() {
        g.preconditions.append(&mut machines);
    }
    if let (true, Some(n)) = (g.changes.len() > limits.max_mutations, split) {
        return split_first(view, id, job, n, limits);
    }
    let fits =
        g.changes.len() <= limits.max_mutations && g.preconditions.len() <= limits.preconditions();
    if !fits && limits.packed {
        tracing::debug!(job = %id, changes = g.changes.len(), "needs more than a transaction");
    }
    fits.then_some(g)
}

fn put<T: serde::Serialize>(key: String, v: &T) -> Mutation {
    Mutation::Put {
        key,
        value: to_value(v),
        lease: None,
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
        view: &ClusterState,
        id: &JobId,
        job: &Job,
        spec: &JobSpec,
        n: u32,
        b: &TaskBlock,
        limits: TransactionLimits,
    ) -> bool {
        let key = match n {
            0 => keys::job(id),
            _ => keys::block(id, n),
        };
        self.preconditions.insert(key.clone(), view.version(&key));
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
        let per = job.tasks_per_part.get(n as usize).copied().unwrap_or(0);
        if per > 0 {
            let old = job.blocks.get(n as usize);
            let leaves: Vec<(u32, StoredBlock)> = leaves(b, per)
                .filter(|(k, leaf)| old.and_then(|o| leaf_of(o, per, *k)) != Some(&leaf.0))
                .map(|(k, leaf)| (k, StoredBlock::Packed(leaf)))
                .collect();
            if leaves
                .iter()
                .all(|(_, l)| json_size(l) <= limits.max_value_bytes)
            {
                for (k, leaf) in leaves {
                    let key = keys::block_part(id, n, per, k);
                    self.preconditions.insert(key.clone(), view.version(&key));
                    self.bytes += json_size(&leaf);
                    self.changes.push(put(key, &leaf));
                }
                return false;
            }
        } else {
            let stored = StoredBlock::Packed(b.clone());
            let size = match n {
                0 => json_size(&(spec, &stored)),
                _ => json_size(&stored),
            };
            if size <= limits.max_value_bytes {
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
        let marker = StoredBlock::Split(per);
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
        view: &ClusterState,
        id: &JobId,
        n: u32,
        b: &TaskBlock,
        before: u32,
        limits: TransactionLimits,
    ) -> (u32, Vec<Mutation>) {
        let mut per = (if before == 0 { BLOCK } else { before }).div_ceil(2);
        let most = limits.max_value_bytes * FILL / 100;
        while per > 1 && leaves(b, per).any(|(_, l)| json_size(&StoredBlock::Packed(l)) > most) {
            per = per.div_ceil(2);
        }
        let mut out = Vec::new();
        for (k, leaf) in leaves(b, per) {
            let key = keys::block_part(id, n, per, k);
            let stamp = view.version(&key);
            let untouched = stamp == 0 && leaf.0.iter().all(|s| *s == TaskState::Waiting(0));
            self.preconditions.insert(key.clone(), stamp);
            if !untouched && view.block_part(id, n, per, k) != Some(&leaf) {
                let leaf = StoredBlock::Packed(leaf);
                self.bytes += json_size(&leaf);
                out.push(put(key, &leaf));
            }
        }
        (per, out)
    }
}

fn plain_bytes(s: &TaskState) -> usize {
    match s {
        TaskState::Placed(p) => 32 + p.machine.len(),
        _ => 14,
    }
}

fn leaf_of(b: &TaskBlock, per: u32, k: u32) -> Option<&[TaskState]> {
    b.0.chunks(per.max(1) as usize).nth(k as usize)
}

fn leaves(b: &TaskBlock, per: u32) -> impl Iterator<Item = (u32, TaskBlock)> + '_ {
    b.0.chunks(per.max(1) as usize)
        .enumerate()
        .map(|(k, s)| (k as u32, TaskBlock(s.to_vec())))
}

/// Splits a block as it is: what is to change follows once it is written in small keys. Where one
/// transaction cannot hold all of them, some are written first; they mean nothing until the block
/// names them, and the transaction that makes it do so guards the block and every one of them.
fn split_first(
    view: &ClusterState,
    id: &JobId,
    job: &Job,
    n: u32,
    limits: TransactionLimits,
) -> Option<Group> {
    let b = job.blocks.get(n as usize)?;
    let per = job.tasks_per_part.get(n as usize).copied().unwrap_or(0);
    let mut g = Group::default();
    let job_key = keys::job(id);
    g.preconditions
        .insert(job_key.clone(), view.version(&job_key));
    let key = match n {
        0 => job_key,
        _ => keys::block(id, n),
    };
    let (per, list) = g.split(view, id, n, b, per, limits);
    if list.len() < limits.max_mutations {
        g.changes = list;
        let marker = StoredBlock::Split(per);
        g.changes.push(match n {
            0 => put(key.clone(), &(job.spec.as_ref(), marker)),
            _ => put(key.clone(), &marker),
        });
    } else {
        let names: HashSet<String> = list
            .iter()
            .take(limits.max_mutations)
            .map(|c| c.key().to_string())
            .collect();
        g.preconditions.retain(|k, _| names.contains(k));
        g.changes = list.into_iter().take(limits.max_mutations).collect();
    }
    g.preconditions.insert(key.clone(), view.version(&key));
    (g.preconditions.len() <= limits.preconditions()).then_some(g)
}

/// The transaction that withdraws a job, or a step towards it where the job's record has to be split
/// first.
pub fn cancel(view: &ClusterState, id: &JobId, limits: TransactionLimits) -> Option<Transaction> {
    let job = view.jobs.get(id)?;
    let mut spec = job.spec.as_ref().clone();
    spec.cancelled = true;
    let mut g = Group::default();
    let key = keys::job(id);
    g.preconditions.insert(key.clone(), view.version(&key));
    match job.tasks_per_part.first() {
        Some(per) if *per > 0 => g.changes.push(put(key, &(spec, StoredBlock::Split(*per)))),
        _ => {
            let first = job.blocks.first()?;
            if g.write(view, id, job, &spec, 0, first, limits)
                && g.changes.len() > limits.max_mutations
            {
                g = split_first(view, id, job, 0, limits)?;
            }
        }
    }
    Some(Transaction {
        preconditions: g
            .preconditions
            .into_iter()
            .map(|(path, stamp)| Precondition {
                key: path,
                version: stamp,
            })
            .collect(),
        mutations: g.changes,
    })
}

/// A job's record as it is written when the job is accepted.
fn accepted(spec: JobSpec, limits: TransactionLimits) -> StoredJobRecord {
    let none = TaskBlock::default();
    StoredJobRecord(
        spec,
        if limits.packed {
            StoredBlock::Packed(none)
        } else {
            StoredBlock::Plain(none)
        },
    )
}

/// The next writes that accept a job: its record, and before it keys of their own for jobs that it
/// needs and that do not fit in there. These come in steps if need be, and mean nothing without the
/// record, which guards them. `None`: it fits into no value.
pub fn accept_submission(
    view: &ClusterState,
    id: &str,
    mut spec: JobSpec,
    limits: TransactionLimits,
) -> Option<Vec<Transaction>> {
    let fits =
        |spec: &JobSpec| json_size(&accepted(spec.clone(), limits)) <= limits.max_value_bytes;
    let mut extra: Vec<(String, JobIdList)> = Vec::new();
    if !fits(&spec) {
        let all = std::mem::take(&mut spec.dependencies).jobs.0;
        // Room for the count of keys.
        spec.dependencies.keys = u32::MAX;
        if !fits(&spec) {
            return None;
        }
        let mut bytes = usize::MAX;
        for j in all {
            // Quotes around it all, a space between two.
            if bytes.saturating_add(j.len() + 3) > limits.max_value_bytes {
                extra.push((
                    keys::dependency_list(id, extra.len() as u32),
                    JobIdList::default(),
                ));
                bytes = 0;
            }
            bytes += j.len() + 1;
            if let Some((_, list)) = extra.last_mut() {
                list.0.push(j);
            }
        }
        spec.dependencies.keys = extra.len() as u32;
    }
    // An earlier try may have written others: some jobs were not done then.
    let missing: Vec<&(String, JobIdList)> = extra
        .iter()
        .enumerate()
        .filter(|(k, (_, list))| view.dependency_list(id, *k as u32) != Some(&list.0))
        .map(|(_, x)| x)
        .collect();
    if !missing.is_empty() {
        return Some(
            missing
                .chunks(limits.max_mutations)
                .map(|chunk| Transaction {
                    preconditions: chunk
                        .iter()
                        .map(|(k, _)| view.precondition(k.as_str()))
                        .collect(),
                    mutations: chunk.iter().map(|(k, l)| put(k.clone(), l)).collect(),
                })
                .collect(),
        );
    }
    let none = |path: String| Precondition {
        key: path,
        version: 0,
    };
    let mut preconditions = vec![none(keys::job(id)), none(keys::finished_job(id))];
    preconditions.extend(extra.iter().map(|(k, _)| view.precondition(k.as_str())));
    (preconditions.len() <= limits.preconditions()).then(|| {
        vec![Transaction {
            preconditions,
            mutations: vec![put(keys::job(id), &accepted(spec, limits))],
        }]
    })
}

fn blocks_of(tasks: u32) -> u32 {
    super::model::blocks(tasks)
}

/// Deletes keys of slots and needs whose job is over.
pub fn collect_garbage(view: &ClusterState, limits: TransactionLimits) -> Option<Transaction> {
    let mut t = Transaction::default();
    let mut seen = BTreeSet::new();
    for (id, key) in view.orphaned_keys().into_iter().take(limits.max_mutations) {
        t.preconditions.push(view.precondition(key.as_str()));
        if seen.insert(id.clone()) {
            t.preconditions.push(Precondition {
                key: keys::job(&id),
                version: 0,
            });
        }
        t.mutations.push(Mutation::Delete { key });
    }
    (!t.mutations.is_empty()).then_some(t)
}

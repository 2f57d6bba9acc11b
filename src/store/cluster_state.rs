//! The view: what the state service holds, as far as this node has heard. Pure; fed by lists,
//! watches and the node's own transactions.

use crate::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use crate::fairness::service_levels::{self, JobEnd, ServiceLevels};
use crate::fairness::{Counts, PriorityBoosts};
use crate::ids::MachineId;
use crate::jobs::model::{
    BLOCK, FinishedJob, JobId, JobIdList, JobSpec, MachineUsage, Placement, Resources, StoredBlock,
    StoredJobRecord, TaskBlock, TaskState, blocks, fresh,
};
use crate::membership::{Leader, Member, Shard, Version};
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::cloud::MachineType;
use crate::wire::from_value;
use crate::wire::state::Precondition;
use crate::wire::user::{JobKind, Priority};
use ciborium::Value;
use foldhash::{HashMap, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A job with its blocks.
pub struct Job {
    /// Specification.
    pub spec: Rc<JobSpec>,
    /// Blocks; those never written are fresh.
    pub blocks: Vec<TaskBlock>,
    /// Slots that wait.
    pub waiting: u32,
    /// Slots on machines.
    pub placed: u32,
    /// Slots done.
    pub done: u32,
    /// For each block: into keys of how many slots it was split; 0 if it is whole.
    pub split: Vec<u32>,
    /// Jobs that it waits for, as far as they were not done when it was submitted.
    pub dependencies: Vec<JobId>,
    /// Every job that it needs has its durable `done`. The one test that everything which starts,
    /// rents for or counts tasks goes through: a job that is not seen is not proved to be done.
    pub ready: bool,
    /// A job that it needs, directly or through others, is cancelled: then so is this one. It never
    /// started, since that one never got done.
    pub dependency_cancelled: bool,
    /// A peer said that it is cancelled, ahead of its record: in the state service it is.
    pub cancelled_by_digest: bool,
    /// From when its waits count: its submission, or the end of the last job that it needed.
    pub waiting_since: Micros,
    /// Its own rank, or the highest of those that need it.
    pub priority: Priority,
    /// When it must end for its pipeline to keep its deadline: time of day.
    pub deadline_at: Option<Micros>,
    /// How long after its submission the job whose deadline that is has to be done.
    pub deadline_after_submission: Micros,
    /// Whether it needs others or others need it.
    pub in_pipeline: bool,
}

/// What one step of a pipeline takes beyond its run: the end is heard of and written, the next one
/// is placed, told and fetches its image.
const HANDOVER: Micros = 4 * SECOND;

impl Job {
    /// Whether it is cancelled, by its own user or with a job that it needs.
    pub fn cancelled(&self) -> bool {
        self.spec.cancelled || self.dependency_cancelled || self.cancelled_by_digest
    }
    /// Whether what is left is to write its end: all done, or cancelled with nothing placed.
    pub fn is_finished(&self) -> bool {
        (self.cancelled() && self.placed == 0) || self.done == self.spec.task_count
    }
    /// Whether it is a step of a pipeline with a deadline.
    pub fn is_deadline_step(&self) -> bool {
        self.in_pipeline && self.deadline_at.is_some()
    }
    /// Tasks that may start now.
    pub fn queued(&self) -> u32 {
        if self.ready && !self.cancelled() {
            self.waiting
        } else {
            0
        }
    }
    /// A slot.
    pub fn slot(&self, i: u32) -> Option<&TaskState> {
        self.blocks
            .get((i / BLOCK) as usize)?
            .0
            .get((i % BLOCK) as usize)
    }
    /// All slots with their numbers.
    pub fn slots(&self) -> impl Iterator<Item = (u32, &TaskState)> {
        self.blocks
            .iter()
            .flat_map(|b| b.0.iter())
            .enumerate()
            .map(|(i, s)| (i as u32, s))
    }
    /// All placements.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.slots().filter_map(|(i, s)| match s {
            TaskState::Placed(p) => Some((i, p)),
            _ => None,
        })
    }
}

/// What decisions look up instead of going through all jobs and machines. Kept as these change, and
/// equal at any time to what going through all of them would give (`tests/common`).
#[derive(Default, Debug, PartialEq)]
pub struct Indexes {
    /// Jobs with tasks that wait, whether they may start or not.
    pub waiting: BTreeSet<JobId>,
    /// The services among them: few as a rule, and looked for in each pass.
    pub services: BTreeSet<JobId>,
    /// Jobs that are over: what is left is to write their end.
    pub finished: BTreeSet<JobId>,
    /// What each team's placed tasks take.
    pub teams: BTreeMap<String, Resources>,
    /// What tasks with GPUs take, and how many jobs take that: CPUs, GPUs, memory.
    pub gpu_task_sizes: BTreeMap<[i64; 3], u32>,
    /// Machines that take nothing new: draining or closing.
    pub not_accepting: BTreeSet<MachineId>,
    /// Machines by the CPUs that are free on them.
    pub by_free_cpus: BTreeSet<(i64, MachineId)>,
}

/// The view.
#[derive(Default)]
pub struct ClusterState {
    /// Every change up to this revision is in the view.
    pub revision: u64,
    key_versions: HashMap<String, u64>,
    tombstones: HashMap<String, u64>,
    tombstone_order: VecDeque<String>,
    /// Controllers alive.
    pub members: BTreeMap<String, Member>,
    /// The leader.
    pub leader: Option<Leader>,
    /// Parts.
    pub shards: BTreeMap<u32, Shard>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Block keys that exist; with their slots only while the job itself is not known.
    raw_blocks: HashMap<JobId, BTreeMap<u32, Option<StoredBlock>>>,
    /// Keys that blocks were split into, or are about to be: block, slots in each, number.
    leaves: HashMap<JobId, BTreeMap<(u32, u32, u32), TaskBlock>>,
    /// Jobs that jobs need, as far as their records do not hold them.
    dependency_keys: HashMap<JobId, BTreeMap<u32, Vec<JobId>>>,
    /// By job: the unfinished ones that need it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Final states of jobs that unfinished ones need: kept as long as these are there.
    dependency_lookups: HashMap<JobId, FinishedJob>,
    /// Versions that controllers were started with.
    pub versions: BTreeMap<String, Version>,
    /// The newer layout, once every controller of the settings reads it.
    pub layout: Option<Version>,
    /// Machines.
    pub machines: BTreeMap<MachineId, MachineRecord>,
    /// Rentals under way.
    pub scale_out_requests: BTreeMap<String, ScaleOutRequest>,
    /// Machines on their way back to the cloud.
    pub termination_batches: BTreeMap<String, TerminationBatch>,
    /// The same by machine: whether it is gone.
    terminating: HashMap<MachineId, bool>,
    /// What their own keys say of them.
    own_state: HashMap<MachineId, MachineState>,
    /// Counts of the controllers.
    pub counts: BTreeMap<String, Counts>,
    /// Raises of the last round.
    pub priority_boosts: PriorityBoosts,
    /// What became of the jobs of each class and team.
    pub service_levels: ServiceLevels,
    /// Jobs that ended lately.
    ends: VecDeque<JobEnd>,
    /// Machine types.
    pub machine_types: BTreeMap<String, MachineType>,
    finals: HashMap<JobId, FinishedJob>,
    final_order: VecDeque<JobId>,
    /// Tasks on each machine.
    pub tasks_by_machine: BTreeMap<MachineId, BTreeMap<(JobId, u32), Placement>>,
    /// What the tasks on each machine come to.
    pub usage_by_machine: HashMap<MachineId, MachineUsage>,
    index: Indexes,
    /// Where each machine stands in the index of free CPUs.
    free_cpus_by_machine: HashMap<MachineId, i64>,
    /// Machines whose key or tasks changed since this was emptied last.
    pub changed_machines: HashSet<MachineId>,
    /// Counts machines that came or went.
    pub machines_epoch: u64,
    /// Images each machine has probably cached.
    pub images: HashMap<MachineId, HashSet<String>>,
    /// Counts changes, so that loops know when to look again.
    pub epoch: u64,
    /// Cancellations by the revision at which the record was seen to say so: what peers ask for.
    withdrawn: BTreeSet<(u64, JobId)>,
    /// Those up to this revision may be missing from it.
    cancelled_from: u64,
}

const MAX_TOMBSTONES: usize = 20_000;
const FINALS: usize = 20_000;
const ENDS: usize = 5_000;
const WITHDRAWN: usize = 20_000;

impl ClusterState {
    /// Version of a key; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.key_versions.get(key).copied().unwrap_or(0)
    }

    /// The condition that a key is as the view has it.
    pub fn precondition(&self, path: impl Into<String>) -> Precondition {
        let path = path.into();
        Precondition {
            version: self.version(&path),
            key: path,
        }
    }

    /// Whether a key is known to have been deleted.
    pub fn deleted(&self, key: &str) -> bool {
        let gone = |id: &str| self.terminating.get(id) == Some(&true);
        self.tombstones.contains_key(key) || key.strip_prefix("c/host/").is_some_and(gone)
    }

    /// A write at a revision. Older ones than what is known are ignored.
    pub fn put(&mut self, key: &str, v: &Value, stamp: u64) {
        let known = self
            .version(key)
            .max(self.tombstones.get(key).copied().unwrap_or(0));
        if stamp <= known {
            return;
        }
        self.key_versions.insert(key.to_string(), stamp);
        self.tombstones.remove(key);
        self.epoch += 1;
        self.apply(key, Some(v));
    }

    /// A deletion at a revision.
    pub fn delete(&mut self, key: &str, rev: u64) {
        if rev <= self.version(key) || rev <= self.tombstones.get(key).copied().unwrap_or(0) {
            return;
        }
        self.bury(key.to_string(), rev);
        if self.key_versions.remove(key).is_some() {
            self.epoch += 1;
            self.note_end(key, rev);
            self.apply(key, None);
        }
    }

    fn bury(&mut self, key: String, rev: u64) {
        self.tombstones.insert(key.clone(), rev);
        self.tombstone_order.push_back(key);
        while self.tombstone_order.len() > MAX_TOMBSTONES {
            if let Some(k) = self.tombstone_order.pop_front() {
                self.tombstones.remove(&k);
            }
        }
    }

    /// After a full read of a prefix: forget keys that it did not show and that are not newer.
    pub fn retain_prefix(&mut self, prefix: &str, seen: &HashSet<String>, rev: u64) {
        let gone: Vec<String> = self
            .key_versions
            .iter()
            .filter(|(k, s)| k.starts_with(prefix) && **s <= rev && !seen.contains(*k))
            .map(|(k, _)| k.clone())
            .collect();
        for k in gone {
            self.key_versions.remove(&k);
            self.epoch += 1;
            // It went in the gap: counted from where that begins, so that nobody adds it up twice.
            self.note_end(&k, self.revision.saturating_add(1).min(rev));
            self.apply(&k, None);
        }
    }

    /// A job's record is about to go: what it came to is kept for a while.
    fn note_end(&mut self, key: &str, rev: u64) {
        let job = key
            .strip_prefix("c/job/")
            .and_then(|id| Some((id, self.jobs.get(id)?)));
        let Some((id, j)) = job else { return };
        let done = match self.finished_job(id) {
            Some(f) => !f.cancelled,
            None => j.done == j.spec.task_count,
        };
        self.ends.push_back(JobEnd {
            revision: rev,
            class_and_team: service_levels::class_and_team_key(&j.spec.class, &j.spec.team),
            started: done || service_levels::started(j),
            done,
        });
        while self.ends.len() > ENDS {
            self.ends.pop_front();
        }
    }

    /// Every cancellation after a revision that is known here, with a revision at which it stood, in that
    /// order; `None` if some were let go of. Of jobs that were over when the view was loaded nothing is said:
    /// nothing of them was on any machine whose worker still obeys an older owner.
    pub fn cancelled_after(&self, rev: u64) -> Option<impl Iterator<Item = &(u64, JobId)>> {
        let from = (rev.saturating_add(1), JobId::from(""));
        (rev >= self.cancelled_from).then(|| self.withdrawn.range(from..))
    }

    fn note_cancelled(&mut self, id: &JobId, stamp: u64) {
        self.withdrawn.insert((stamp, id.clone()));
        while self.withdrawn.len() > WITHDRAWN {
            if let Some((rev, _)) = self.withdrawn.pop_first() {
                self.cancelled_from = rev;
            }
        }
    }

    /// A peer says that a job was cancelled in the state service by a revision: its tasks have to go although
    /// its record here does not say so yet. A job that is not known has nothing on machines of ours.
    pub fn merge_cancelled(&mut self, id: &str, stamp: u64) {
        let Some(j) = self.jobs.get_mut(id).filter(|j| !j.cancelled()) else {
            return;
        };
        j.cancelled_by_digest = true;
        self.epoch += 1;
        let id: JobId = id.into();
        // From here on users may hear it from us, too: it is part of our own word.
        self.note_cancelled(&id, stamp);
        self.settle_cancelled(&id, true);
    }

    /// A job's record changed, or was told to: its machines are to be looked at, and, if it was cancelled,
    /// the jobs around it.
    fn settle_cancelled(&mut self, id: &JobId, withdrawn: bool) {
        let Some(j) = self.jobs.get(id) else { return };
        let machines: Vec<MachineId> = j.placements().map(|(_, p)| p.machine.clone()).collect();
        let needs = j.dependencies.clone();
        self.changed_machines.extend(machines);
        self.index_job(id);
        if let (true, Some(d)) = (withdrawn, self.dependents.get(id)) {
            let list: Vec<JobId> = d.iter().cloned().collect();
            self.refresh(list);
            self.inherit(needs);
        }
    }

    /// Jobs that ended lately, in the order in which that was heard.
    pub fn ends(&self) -> impl Iterator<Item = &JobEnd> {
        self.ends.iter()
    }

    fn apply(&mut self, key: &str, v: Option<&Value>) {
        let Some(rest) = key.strip_prefix("c/") else {
            return;
        };
        let (kind, id) = rest.split_once('/').unwrap_or((rest, ""));
        match kind {
            "member" => put(&mut self.members, id.to_string(), v),
            "leader" => self.leader = v.and_then(from_value),
            "part" => {
                if let Ok(n) = id.parse() {
                    put(&mut self.shards, n, v);
                }
            }
            "charter" => {
                let old = self.scale_out_requests.get(id).map(|c| c.machines.clone());
                put(&mut self.scale_out_requests, id.to_string(), v);
                self.derive_machines(old.unwrap_or_default(), id);
            }
            "counts" => put(&mut self.counts, id.to_string(), v),
            "raises" => self.priority_boosts = v.and_then(from_value).unwrap_or_default(),
            "served" => self.service_levels = v.and_then(from_value).unwrap_or_default(),
            "types" => {
                // All in one value, or each in one of its own where that would be too large.
                if !id.is_empty() {
                    if let Some(t) = v.and_then(from_value::<MachineType>) {
                        self.machine_types.insert(t.name.clone(), t);
                    }
                } else if let Some(t) = v.and_then(from_value::<Vec<MachineType>>) {
                    self.machine_types = t.into_iter().map(|t| (t.name.clone(), t)).collect();
                }
                let all: Vec<MachineId> = self.machines.keys().cloned().collect();
                for id in all {
                    self.index_machine(&id);
                }
            }
            "version" => put(&mut self.versions, id.to_string(), v),
            "layout" => self.layout = v.and_then(from_value).or(self.layout),
            "needs" => {
                let Some((id, Ok(k))) = id.split_once('/').map(|(i, k)| (i, k.parse())) else {
                    return;
                };
                let id: JobId = id.into();
                let known = self.dependency_keys.entry(id.clone()).or_default();
                match v.and_then(from_value::<JobIdList>) {
                    Some(JobIdList(list)) => {
                        known.insert(k, list);
                    }
                    None => {
                        known.remove(&k);
                    }
                }
                if known.is_empty() {
                    self.dependency_keys.remove(&id);
                }
                self.link(&id);
            }
            "slots" => {
                let mut shards = id.split('/');
                let (Some(id), Some(n), Some(per), Some(k)) =
                    (shards.next(), shards.next(), shards.next(), shards.next())
                else {
                    return;
                };
                let (Ok(n), Ok(per), Ok(k)) = (n.parse(), per.parse(), k.parse()) else {
                    return;
                };
                self.put_leaf(&id.into(), (n, per, k), v.and_then(from_value));
            }
            "host" => {
                let id: MachineId = id.into();
                if v.is_none() {
                    self.images.remove(&id);
                }
                self.changed_machines.insert(id.clone());
                let was = self.machines.contains_key(&id);
                put(&mut self.machines, id.clone(), v);
                self.depart(&id);
                self.machines_epoch += u64::from(was != self.machines.contains_key(&id));
            }
            "leaving" => {
                let old = self.termination_batches.get(id).map(|l| l.machines.clone());
                put(&mut self.termination_batches, id.to_string(), v);
                let new = self
                    .termination_batches
                    .get(id)
                    .cloned()
                    .unwrap_or_default();
                for n in old.into_iter().flatten() {
                    if !new.machines.contains(&n) {
                        if self.terminating.remove(&n) == Some(true) {
                            // A list of the cloud that lags may show it for a while.
                            self.bury(keys::machine(&n), u64::MAX);
                        }
                        // Not returned after all, or gone and its key deleted.
                        if let Some(h) = self.own_state.remove(&n)
                            && let Some(x) = self.machines.get_mut(&n)
                        {
                            x.state = h;
                            self.index_machine(&n);
                        }
                    }
                }
                let before = self.machines.len();
                for n in new.machines {
                    self.terminating.insert(n.clone(), new.terminated);
                    self.changed_machines.insert(n.clone());
                    self.depart(&n);
                }
                self.machines_epoch += u64::from(before != self.machines.len());
            }
            "final" => {
                let id: JobId = id.into();
                if let Some(f) = v.and_then(from_value) {
                    self.remember(&id, f);
                }
                // Final states are kept apart, and only so many: their stamps are not needed.
                self.key_versions.remove(key);
            }
            "job" => {
                let id: JobId = id.into();
                match v.and_then(from_value::<StoredJobRecord>) {
                    Some(StoredJobRecord(spec, first)) => {
                        let before = self.jobs.get(&id).is_some_and(|j| j.spec.cancelled);
                        if spec.cancelled && !before {
                            self.note_cancelled(&id, self.version(key));
                        }
                        self.put_job(id.clone(), Rc::new(spec));
                        self.put_stored(&id, 0, Some(first));
                    }
                    None => self.drop_job(&id),
                }
            }
            "block" => {
                let Some((id, n)) = id.split_once('/') else {
                    return;
                };
                let (id, Ok(n)): (JobId, Result<u32, _>) = (id.into(), n.parse()) else {
                    return;
                };
                let b: Option<StoredBlock> = v.and_then(from_value);
                let known = self.raw_blocks.entry(id.clone()).or_default();
                match (&b, self.jobs.contains_key(&id)) {
                    (None, _) => {
                        known.remove(&n);
                        if known.is_empty() {
                            self.raw_blocks.remove(&id);
                        }
                    }
                    (Some(_), true) => {
                        known.insert(n, None);
                    }
                    (Some(b), false) => {
                        known.insert(n, Some(b.clone()));
                    }
                }
                self.put_stored(&id, n, b);
            }
            _ => {}
        }
    }

    /// A block as its key holds it.
    fn put_stored(&mut self, id: &JobId, n: u32, v: Option<StoredBlock>) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(split) = j.split.get_mut(n as usize) else {
            return;
        };
        let b = match v {
            None => {
                *split = 0;
                None
            }
            Some(StoredBlock::Plain(b) | StoredBlock::Packed(b)) => {
                *split = 0;
                (!b.0.is_empty()).then_some(b)
            }
            Some(StoredBlock::Split(per)) => {
                *split = per;
                let mut b = j.blocks[n as usize].clone();
                for ((m, p, k), leaf) in self.leaves.get(id).into_iter().flatten() {
                    if (*m, *p) == (n, per) {
                        overlay(&mut b, per, *k, leaf);
                    }
                }
                Some(b)
            }
        };
        self.put_block(id, n, b);
    }

    /// One of the keys that a block was split into. It counts once the block says so.
    fn put_leaf(&mut self, id: &JobId, at: (u32, u32, u32), v: Option<StoredBlock>) {
        let (n, per, k) = at;
        let known = self.leaves.entry(id.clone()).or_default();
        let Some(StoredBlock::Plain(leaf) | StoredBlock::Packed(leaf)) = v else {
            known.remove(&at);
            if known.is_empty() {
                self.leaves.remove(id);
            }
            return;
        };
        known.insert(at, leaf.clone());
        let Some(j) = self.jobs.get(id) else { return };
        if per > 0 && j.split.get(n as usize) == Some(&per) {
            let mut b = j.blocks[n as usize].clone();
            overlay(&mut b, per, k, &leaf);
            self.put_block(id, n, Some(b));
        }
    }

    /// What such a key holds, whether it counts already or not.
    pub fn leaf(&self, id: &str, n: u32, per: u32, k: u32) -> Option<&TaskBlock> {
        self.leaves.get(id)?.get(&(n, per, k))
    }

    // ---- pipelines ----

    /// Whether a machine was marked as on its way back together with others.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.terminating.contains_key(id)
    }

    /// Jobs that a job needs, once they are known.
    fn link(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.spec.dependencies.is_empty() {
            return;
        }
        j.dependencies = j.spec.dependencies.jobs.0.clone();
        for list in self.dependency_keys.get(id).into_iter().flatten() {
            j.dependencies.extend(list.1.iter().cloned());
        }
        j.in_pipeline = true;
        for n in j.dependencies.clone() {
            let known = self.finals.get(&n).copied();
            if let (Some(f), false) = (known, self.dependency_lookups.contains_key(&n)) {
                self.dependency_lookups.insert(n.clone(), f);
            }
            if let Some(x) = self.jobs.get_mut(&n) {
                x.in_pipeline = true;
            }
            self.dependents.entry(n).or_default().insert(id.clone());
        }
        self.refresh(vec![id.clone()]);
        self.inherit(vec![id.clone()]);
    }

    /// Works out again whether jobs may start and whether they are cancelled with others. What
    /// cancels a job cancels all behind it at the same moment: there is no write in between.
    fn refresh(&mut self, mut list: Vec<JobId>) {
        while let Some(id) = list.pop() {
            let Some(j) = self.jobs.get(&id) else {
                continue;
            };
            let known = self.dependency_keys.get(&id).map_or(0, BTreeMap::len);
            let mut ready = known >= j.spec.dependencies.keys as usize;
            let (mut doomed, mut since) = (false, j.spec.submitted_at);
            for n in &j.dependencies {
                match (self.dependency_lookups.get(n), self.jobs.get(n)) {
                    (Some(f), _) if !f.cancelled => since = since.max(f.finished_at),
                    (Some(_), _) => doomed = true,
                    (None, Some(x)) => {
                        ready = false;
                        doomed |= x.cancelled();
                    }
                    (None, None) => ready = false,
                }
            }
            let changed = j.dependency_cancelled != doomed;
            if let Some(j) = self.jobs.get_mut(&id) {
                j.ready = ready && !doomed;
                j.dependency_cancelled = doomed;
                j.waiting_since = since;
            }
            self.index_job(&id);
            if changed {
                self.epoch += 1;
                list.extend(self.dependents.get(&id).into_iter().flatten().cloned());
            }
        }
    }

    /// Works out again which rank and time jobs have from those that need them.
    fn inherit(&mut self, mut list: Vec<JobId>) {
        while let Some(id) = list.pop() {
            let Some(j) = self.jobs.get(&id) else {
                continue;
            };
            let mut rank = j.spec.priority;
            let mut due = j.spec.deadline.map(|d| j.spec.submitted_at + d);
            let mut span = j.spec.deadline.unwrap_or(0);
            for d in self.dependents.get(&id).into_iter().flatten() {
                let Some(d) = self.jobs.get(d).filter(|d| !d.cancelled()) else {
                    continue;
                };
                rank = rank.min(d.priority);
                let before = d
                    .deadline_at
                    .map(|t| t.saturating_sub(d.spec.estimated_run_time.saturating_add(HANDOVER)));
                if before.is_some_and(|b| due.is_none_or(|a| b < a)) {
                    due = before;
                    span = d.deadline_after_submission;
                }
            }
            if (rank, due) == (j.priority, j.deadline_at) {
                continue;
            }
            list.extend(j.dependencies.iter().cloned());
            if let Some(j) = self.jobs.get_mut(&id) {
                j.priority = rank;
                j.deadline_at = due;
                j.deadline_after_submission = span;
            }
        }
    }

    /// What is not known of the jobs that a job needs, directly or through others: neither among the
    /// unfinished ones nor how they ended. Until it is, nothing can be said of this one.
    pub fn unknown_above(&self, id: &str) -> Vec<JobId> {
        let mut out = Vec::new();
        let mut seen: HashSet<&str> = HashSet::new();
        let mut list: Vec<&str> = vec![id];
        while let Some(x) = list.pop() {
            for n in self.jobs.get(x).into_iter().flat_map(|j| &j.dependencies) {
                if self.dependency_lookups.contains_key(n) || !seen.insert(n) {
                    continue;
                }
                if self.jobs.contains_key(n) {
                    list.push(n);
                } else {
                    out.push(n.clone());
                }
            }
        }
        out
    }

    /// Tasks that may start now, or, of a job that waits only for some whose tasks all run, within
    /// about the time that a machine takes to boot.
    pub fn queued_or_blocked(&self, j: &Job) -> u32 {
        if j.ready || j.cancelled() {
            return j.queued();
        }
        let ends = |n: &JobId| {
            self.dependency_lookups.contains_key(n)
                || self
                    .jobs
                    .get(n)
                    .is_some_and(|x| x.ready && x.waiting == 0 && x.placed > 0)
        };
        if j.dependencies.iter().all(ends) {
            j.waiting
        } else {
            0
        }
    }

    /// What one of the keys holds that say what a job needs beyond its record.
    pub fn need_list(&self, id: &str, k: u32) -> Option<&Vec<JobId>> {
        self.dependency_keys.get(id)?.get(&k)
    }

    /// The same for all jobs.
    pub fn unknown_dependencies(&self) -> Vec<JobId> {
        self.dependents
            .keys()
            .filter(|n| !self.dependency_lookups.contains_key(*n) && !self.jobs.contains_key(*n))
            .cloned()
            .collect()
    }

    /// How a job ended, if it is at hand in whichever place.
    pub fn ended(&self, id: &str) -> Option<FinishedJob> {
        self.finished_job(id)
            .or_else(|| self.dependency_lookups.get(id).copied())
    }

    /// Whether a job is waited for by unfinished ones.
    pub fn has_dependents(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// A machine that is on its way back is that whatever its own key says; one that is gone does not
    /// come back by a write that was made before its owner heard of it.
    fn depart(&mut self, id: &MachineId) {
        self.overlay_state(id);
        self.index_machine(id);
    }

    fn overlay_state(&mut self, id: &MachineId) {
        match self.terminating.get(id) {
            Some(true) => {
                self.machines.remove(id);
                self.own_state.remove(id);
                self.images.remove(id);
            }
            Some(false) => {
                if let Some(h) = self.machines.get_mut(id)
                    && h.state != MachineState::Returning
                {
                    self.own_state.insert(id.clone(), h.state);
                    h.state = MachineState::Returning;
                }
            }
            None => {}
        }
    }

    /// Machines that a charter names and that have no key yet stand in the view all the same: one
    /// write makes many machines known. Once written, a machine's own key says everything.
    fn derive_machines(&mut self, old: Vec<String>, scale_out_request: &str) {
        let (names, like) = match self.scale_out_requests.get(scale_out_request) {
            Some(c) => (c.machines.clone(), Some(c.machine())),
            None => (Vec::new(), None),
        };
        for n in old.iter().filter(|n| !names.contains(n)) {
            if !self.key_versions.contains_key(&keys::machine(n)) {
                let id = MachineId::from(n.as_str());
                self.machines.remove(&id);
                self.index_machine(&id);
                self.machines_epoch += 1;
            }
        }
        for n in names {
            let key = keys::machine(&n);
            if let Some(h) = &like
                && !self.key_versions.contains_key(&key)
                && !self.deleted(&key)
            {
                let id: MachineId = n.into();
                self.machines.entry(id.clone()).or_insert_with(|| h.clone());
                self.depart(&id);
                self.machines_epoch += 1;
            }
        }
    }

    /// A job's specification: its blocks stay as they are.
    fn put_job(&mut self, id: JobId, spec: Rc<JobSpec>) {
        if self.jobs.get(&id).is_some_and(|j| !j.spec.weighs_as(&spec)) {
            self.drop_job(&id);
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            let withdrawn = spec.cancelled != j.spec.cancelled;
            j.spec = spec;
            self.settle_cancelled(&id, withdrawn);
            return;
        }
        if spec.resources.gpus > 0 {
            *self
                .index
                .gpu_task_sizes
                .entry(spec.resources.amounts())
                .or_default() += 1;
        }
        let tasks = spec.task_count;
        let alone = spec.dependencies.is_empty();
        let waited_for = self.dependents.get(&id).cloned();
        self.jobs.insert(
            id.clone(),
            Job {
                blocks: (0..blocks(tasks)).map(|n| fresh(tasks, n)).collect(),
                waiting: tasks,
                placed: 0,
                done: 0,
                split: vec![0; blocks(tasks) as usize],
                dependencies: Vec::new(),
                ready: alone,
                dependency_cancelled: false,
                cancelled_by_digest: false,
                waiting_since: spec.submitted_at,
                priority: spec.priority,
                deadline_at: spec.deadline.map(|d| spec.submitted_at + d),
                deadline_after_submission: spec.deadline.unwrap_or(0),
                in_pipeline: waited_for.is_some(),
                spec,
            },
        );
        self.index_job(&id);
        self.link(&id);
        if let Some(d) = waited_for {
            self.refresh(d.into_iter().collect());
            self.inherit(vec![id.clone()]);
        }
        let known: Vec<(u32, StoredBlock)> = self
            .raw_blocks
            .get_mut(&id)
            .into_iter()
            .flatten()
            .filter_map(|(n, b)| Some((*n, b.take()?)))
            .collect();
        for (n, b) in known {
            self.put_stored(&id, n, Some(b));
        }
    }

    fn drop_job(&mut self, id: &JobId) {
        for n in 0..self.jobs.get(id).map_or(0, |j| j.blocks.len() as u32) {
            let written = self.raw_blocks.get(id).is_some_and(|m| m.contains_key(&n));
            let old = written
                .then(|| {
                    let j = self.jobs.get(id)?;
                    match j.split.get(n as usize) {
                        Some(0) | None => j.blocks.get(n as usize).cloned().map(StoredBlock::Plain),
                        Some(per) => Some(StoredBlock::Split(*per)),
                    }
                })
                .flatten();
            self.put_block(id, n, None);
            if let (Some(old), Some(m)) = (old, self.raw_blocks.get_mut(id)) {
                m.insert(n, Some(old));
            }
        }
        let Some(j) = self.jobs.remove(id) else {
            return;
        };
        self.index_job(id);
        if j.spec.resources.gpus > 0
            && let Some(n) = self
                .index
                .gpu_task_sizes
                .get_mut(&j.spec.resources.amounts())
        {
            *n -= 1;
            if *n == 0 {
                self.index
                    .gpu_task_sizes
                    .remove(&j.spec.resources.amounts());
            }
        }
        for n in &j.dependencies {
            if let Some(d) = self.dependents.get_mut(n) {
                d.remove(id);
                if d.is_empty() {
                    self.dependents.remove(n);
                    self.dependency_lookups.remove(n);
                }
            }
        }
        self.inherit(j.dependencies);
        if let Some(d) = self.dependents.get(id) {
            self.refresh(d.iter().cloned().collect());
        }
    }

    /// Sets a job's block and follows the slots that differ: the cost is that of the change.
    fn put_block(&mut self, id: &JobId, n: u32, b: Option<TaskBlock>) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let tasks = j.spec.task_count;
        let Some(place) = j.blocks.get_mut(n as usize) else {
            return;
        };
        let old = std::mem::replace(place, b.unwrap_or_else(|| fresh(tasks, n)));
        let mut moved: Vec<MachineId> = Vec::new();
        let before = j.placed;
        let longest = old.0.len().max(place.0.len());
        for k in 0..longest {
            let (was, is) = (old.0.get(k), place.0.get(k));
            if was == is {
                continue;
            }
            let i = n * BLOCK + k as u32;
            match was {
                Some(TaskState::Waiting(_)) => j.waiting -= 1,
                Some(TaskState::Done) => j.done -= 1,
                Some(TaskState::Placed(p)) => {
                    j.placed -= 1;
                    moved.push(p.machine.clone());
                    if let Some(m) = self.tasks_by_machine.get_mut(&p.machine) {
                        m.remove(&(id.clone(), i));
                        if m.is_empty() {
                            self.tasks_by_machine.remove(&p.machine);
                            self.usage_by_machine.remove(&p.machine);
                        } else if let Some(l) = self.usage_by_machine.get_mut(&p.machine) {
                            l.remove(&j.spec);
                        }
                    }
                }
                None => {}
            }
            match is {
                Some(TaskState::Waiting(_)) => j.waiting += 1,
                Some(TaskState::Done) => j.done += 1,
                Some(TaskState::Placed(p)) => {
                    j.placed += 1;
                    moved.push(p.machine.clone());
                    self.tasks_by_machine
                        .entry(p.machine.clone())
                        .or_default()
                        .insert((id.clone(), i), p.clone());
                    self.usage_by_machine
                        .entry(p.machine.clone())
                        .or_default()
                        .add(&j.spec);
                    let im = self.images.entry(p.machine.clone()).or_default();
                    if !im.contains(&j.spec.image) {
                        im.insert(j.spec.image.clone());
                    }
                }
                None => {}
            }
        }
        self.reindex(id, before, moved);
    }

    /// Keeps what is known of all jobs of a team, and of machines and jobs that changed, in the index.
    fn reindex(&mut self, id: &JobId, before: u32, mut moved: Vec<MachineId>) {
        if let Some(j) = self.jobs.get(id).filter(|j| j.placed != before) {
            let n = i64::from(j.placed) - i64::from(before);
            let r = &j.spec.resources;
            let team = &j.spec.team;
            if !self.index.teams.contains_key(team) {
                self.index.teams.insert(team.clone(), Resources::default());
            }
            if let Some(t) = self.index.teams.get_mut(team) {
                t.add(&r.for_tasks(n));
                if *t == Resources::default() {
                    self.index.teams.remove(team);
                }
            }
        }
        moved.sort_unstable();
        moved.dedup();
        for h in moved {
            self.index_machine(&h);
            self.changed_machines.insert(h);
        }
        self.index_job(id);
    }

    fn index_job(&mut self, id: &JobId) {
        let j = self.jobs.get(id);
        set(
            &mut self.index.waiting,
            id,
            j.is_some_and(|j| j.waiting > 0),
        );
        set(
            &mut self.index.services,
            id,
            j.is_some_and(|j| j.waiting > 0 && j.spec.kind == JobKind::Service),
        );
        set(
            &mut self.index.finished,
            id,
            j.is_some_and(Job::is_finished),
        );
    }

    fn index_machine(&mut self, id: &MachineId) {
        let h = self.machines.get(id);
        let leaves =
            |h: &MachineRecord| matches!(h.state, MachineState::Draining | MachineState::Closing);
        set(&mut self.index.not_accepting, id, h.is_some_and(leaves));
        let free = h
            .and_then(|h| self.machine_types.get(&h.machine_type))
            .map(|t| Resources::of_machine(t).cpus - self.usage(id).used.cpus);
        let old = self.free_cpus_by_machine.get(id).copied();
        if old == free {
            return;
        }
        if let Some(n) = old {
            self.index.by_free_cpus.remove(&(n, id.clone()));
            self.free_cpus_by_machine.remove(id);
        }
        if let Some(n) = free {
            self.index.by_free_cpus.insert((n, id.clone()));
            self.free_cpus_by_machine.insert(id.clone(), n);
        }
    }

    /// Jobs with tasks that wait, whether they may start or not.
    pub fn waiting(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.index.waiting)
    }

    /// The services among them.
    pub fn waiting_services(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.jobs_of(&self.index.services)
    }

    fn jobs_of<'a>(
        &'a self,
        ids: &'a BTreeSet<JobId>,
    ) -> impl Iterator<Item = (&'a JobId, &'a Job)> {
        let ids = ids.iter();
        ids.filter_map(|id| Some((id, self.jobs.get(id)?)))
    }

    /// CPUs that are free on a machine.
    pub fn free_cpus(&self, id: &MachineId) -> Option<i64> {
        self.free_cpus_by_machine.get(id).copied()
    }

    /// The index.
    pub fn index(&self) -> &Indexes {
        &self.index
    }

    /// Keeps a final state at hand.
    pub fn remember(&mut self, id: &JobId, f: FinishedJob) {
        if let Some(d) = self.dependents.get(id) {
            let list = d.iter().cloned().collect();
            self.dependency_lookups.insert(id.clone(), f);
            self.epoch += 1;
            self.refresh(list);
        }
        if self.finals.insert(id.clone(), f).is_none() {
            self.final_order.push_back(id.clone());
            while self.final_order.len() > FINALS {
                if let Some(k) = self.final_order.pop_front() {
                    self.finals.remove(&k);
                }
            }
        }
    }

    /// A final state, if it is at hand.
    pub fn finished_job(&self, id: &str) -> Option<FinishedJob> {
        self.finals.get(id).copied()
    }

    /// Keys of slots and of needs that belong to no job, with the job's id.
    pub fn orphaned_keys(&self) -> Vec<(JobId, String)> {
        let gone = |id: &JobId| !self.jobs.contains_key(id);
        let mut out: Vec<(JobId, String)> = Vec::new();
        for (id, m) in self.raw_blocks.iter().filter(|(id, _)| gone(id)) {
            out.extend(m.keys().map(|n| (id.clone(), keys::block(id, *n))));
        }
        for (id, m) in self.leaves.iter().filter(|(id, _)| gone(id)) {
            out.extend(
                m.keys()
                    .map(|(n, per, k)| (id.clone(), keys::slots(id, *n, *per, *k))),
            );
        }
        for (id, m) in self.dependency_keys.iter().filter(|(id, _)| gone(id)) {
            out.extend(m.keys().map(|k| (id.clone(), keys::needs(id, *k))));
        }
        out
    }

    /// Keys of a job besides its record.
    pub fn keys_of(&self, id: &str) -> Vec<String> {
        let mut out: Vec<String> = Vec::new();
        if let Some(m) = self.raw_blocks.get(id) {
            out.extend(m.keys().map(|n| keys::block(id, *n)));
        }
        if let Some(m) = self.leaves.get(id) {
            out.extend(m.keys().map(|(n, per, k)| keys::slots(id, *n, *per, *k)));
        }
        if let Some(m) = self.dependency_keys.get(id) {
            out.extend(m.keys().map(|k| keys::needs(id, *k)));
        }
        out
    }

    /// What the tasks on a machine come to.
    pub fn usage(&self, machine: &MachineId) -> MachineUsage {
        self.usage_by_machine
            .get(machine)
            .copied()
            .unwrap_or_default()
    }

    /// Tasks of unfinished jobs on a machine: a job that is over is on none.
    pub fn tasks_on(&self, machine: &str) -> Option<&BTreeMap<(JobId, u32), Placement>> {
        self.tasks_by_machine.get(machine).filter(|m| !m.is_empty())
    }
}

/// Puts a member into a set, or takes it out.
fn set<T: Ord + Clone>(s: &mut BTreeSet<T>, x: &T, member: bool) {
    if !member {
        s.remove(x);
    } else if !s.contains(x) {
        s.insert(x.clone());
    }
}

/// Puts one of the keys that a block was split into in its place.
fn overlay(b: &mut TaskBlock, per: u32, k: u32, leaf: &TaskBlock) {
    let from = (per as usize).saturating_mul(k as usize);
    for (slot, new) in
        b.0.iter_mut()
            .skip(from)
            .zip(leaf.0.iter().take(per as usize))
    {
        slot.clone_from(new);
    }
}

fn put<K: Ord, V: serde::de::DeserializeOwned>(m: &mut BTreeMap<K, V>, k: K, v: Option<&Value>) {
    match v.and_then(from_value) {
        Some(x) => {
            m.insert(k, x);
        }
        None => {
            m.remove(&k);
        }
    }
}

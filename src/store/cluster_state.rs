//! The view: what the state service holds, as far as this node has heard. Pure; fed by lists,
//! watches and the node's own transactions.

use crate::autoscaler::model::{Charter, Host, HostState, Leaving};
use crate::fairness::service_levels::{self, End, Served};
use crate::fairness::{Counts, Raises};
use crate::ids::HostId;
use crate::jobs::model::{
    AnyRecord, BLOCK, Block, Final, Ids, JobId, Load, Placement, Room, Slot, Spec, Stored, blocks,
    fresh,
};
use crate::membership::{Leader, Member, Part, Version};
use crate::store::keys;
use crate::time::{Micros, SECOND};
use crate::wire::cloud::MachineType;
use crate::wire::from_value;
use crate::wire::state::Guard;
use crate::wire::user::{Rank, Shape};
use ciborium::Value;
use foldhash::{HashMap, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A job with its blocks.
pub struct Job {
    /// Specification.
    pub spec: Rc<Spec>,
    /// Blocks; those never written are fresh.
    pub blocks: Vec<Block>,
    /// Slots that wait.
    pub waiting: u32,
    /// Slots on machines.
    pub placed: u32,
    /// Slots done.
    pub done: u32,
    /// For each block: into keys of how many slots it was split; 0 if it is whole.
    pub split: Vec<u32>,
    /// Jobs that it waits for, as far as they were not done when it was submitted.
    pub needs: Vec<JobId>,
    /// Every job that it needs has its durable `done`. The one test that everything which starts,
    /// rents for or counts tasks goes through: a job that is not seen is not proved to be done.
    pub ready: bool,
    /// A job that it needs, directly or through others, is cancelled: then so is this one. It never
    /// started, since that one never got done.
    pub doomed: bool,
    /// A peer said that it is cancelled, ahead of its record: in the state service it is.
    pub told: bool,
    /// From when its waits count: its submission, or the end of the last job that it needed.
    pub since: Micros,
    /// Its own rank, or the highest of those that need it.
    pub rank: Rank,
    /// When it must end for its pipeline to keep its deadline: time of day.
    pub due: Option<Micros>,
    /// How long after its submission the job whose deadline that is has to be done.
    pub span: Micros,
    /// Whether it needs others or others need it.
    pub piped: bool,
}

/// What one step of a pipeline takes beyond its run: the end is heard of and written, the next one
/// is placed, told and fetches its image.
const HANDOVER: Micros = 4 * SECOND;

impl Job {
    /// Whether it is cancelled, by its own user or with a job that it needs.
    pub fn cancelled(&self) -> bool {
        self.spec.cancelled || self.doomed || self.told
    }
    /// Whether what is left is to write its end: all done, or cancelled with nothing placed.
    pub fn over(&self) -> bool {
        (self.cancelled() && self.placed == 0) || self.done == self.spec.tasks
    }
    /// Whether it is a step of a pipeline with a deadline.
    pub fn step(&self) -> bool {
        self.piped && self.due.is_some()
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
    pub fn slot(&self, i: u32) -> Option<&Slot> {
        self.blocks
            .get((i / BLOCK) as usize)?
            .0
            .get((i % BLOCK) as usize)
    }
    /// All slots with their numbers.
    pub fn slots(&self) -> impl Iterator<Item = (u32, &Slot)> {
        self.blocks
            .iter()
            .flat_map(|b| b.0.iter())
            .enumerate()
            .map(|(i, s)| (i as u32, s))
    }
    /// All placements.
    pub fn placements(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.slots().filter_map(|(i, s)| match s {
            Slot::Placed(p) => Some((i, p)),
            _ => None,
        })
    }
}

/// What decisions look up instead of going through all jobs and machines. Kept as these change, and
/// equal at any time to what going through all of them would give (`tests/common`).
#[derive(Default, Debug, PartialEq)]
pub struct Index {
    /// Jobs with tasks that wait, whether they may start or not.
    pub waiting: BTreeSet<JobId>,
    /// The services among them: few as a rule, and looked for in each pass.
    pub services: BTreeSet<JobId>,
    /// Jobs that are over: what is left is to write their end.
    pub over: BTreeSet<JobId>,
    /// What each team's placed tasks take.
    pub teams: BTreeMap<String, Room>,
    /// What tasks with GPUs take, and how many jobs take that: CPUs, GPUs, memory.
    pub gpu_rooms: BTreeMap<[i64; 3], u32>,
    /// Machines that take nothing new: draining or closing.
    pub leaving: BTreeSet<HostId>,
    /// Machines by the CPUs that are free on them.
    pub free: BTreeSet<(i64, HostId)>,
}

/// The view.
#[derive(Default)]
pub struct View {
    /// Every change up to this revision is in the view.
    pub rev: u64,
    stamps: HashMap<String, u64>,
    tombs: HashMap<String, u64>,
    tomb_order: VecDeque<String>,
    /// Controllers alive.
    pub members: BTreeMap<String, Member>,
    /// The leader.
    pub leader: Option<Leader>,
    /// Parts.
    pub parts: BTreeMap<u32, Part>,
    /// Unfinished jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Block keys that exist; with their slots only while the job itself is not known.
    raw_blocks: HashMap<JobId, BTreeMap<u32, Option<Stored>>>,
    /// Keys that blocks were split into, or are about to be: block, slots in each, number.
    leaves: HashMap<JobId, BTreeMap<(u32, u32, u32), Block>>,
    /// Jobs that jobs need, as far as their records do not hold them.
    need_keys: HashMap<JobId, BTreeMap<u32, Vec<JobId>>>,
    /// By job: the unfinished ones that need it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Final states of jobs that unfinished ones need: kept as long as these are there.
    gates: HashMap<JobId, Final>,
    /// Versions that controllers were started with.
    pub versions: BTreeMap<String, Version>,
    /// The newer layout, once every controller of the settings reads it.
    pub layout: Option<Version>,
    /// Machines.
    pub hosts: BTreeMap<HostId, Host>,
    /// Rentals under way.
    pub charters: BTreeMap<String, Charter>,
    /// Machines on their way back to the cloud.
    pub leaving: BTreeMap<String, Leaving>,
    /// The same by machine: whether it is gone.
    left: HashMap<HostId, bool>,
    /// What their own keys say of them.
    own_state: HashMap<HostId, HostState>,
    /// Counts of the controllers.
    pub counts: BTreeMap<String, Counts>,
    /// Raises of the last round.
    pub raises: Raises,
    /// What became of the jobs of each class and team.
    pub served: Served,
    /// Jobs that ended lately.
    ends: VecDeque<End>,
    /// Machine types.
    pub types: BTreeMap<String, MachineType>,
    finals: HashMap<JobId, Final>,
    final_order: VecDeque<JobId>,
    /// Tasks on each machine.
    pub on_host: BTreeMap<HostId, BTreeMap<(JobId, u32), Placement>>,
    /// What the tasks on each machine come to.
    pub loads: HashMap<HostId, Load>,
    index: Index,
    /// Where each machine stands in the index of free CPUs.
    free_of: HashMap<HostId, i64>,
    /// Machines whose key or tasks changed since this was emptied last.
    pub touched: HashSet<HostId>,
    /// Counts machines that came or went.
    pub hosts_epoch: u64,
    /// Images each machine has probably cached.
    pub images: HashMap<HostId, HashSet<String>>,
    /// Counts changes, so that loops know when to look again.
    pub epoch: u64,
    /// Cancellations by the revision at which the record was seen to say so: what peers ask for.
    withdrawn: BTreeSet<(u64, JobId)>,
    /// Those up to this revision may be missing from it.
    withdrawn_from: u64,
}

const TOMBS: usize = 20_000;
const FINALS: usize = 20_000;
const ENDS: usize = 5_000;
const WITHDRAWN: usize = 20_000;

impl View {
    /// Version of a key; 0 if it does not exist.
    pub fn stamp(&self, key: &str) -> u64 {
        self.stamps.get(key).copied().unwrap_or(0)
    }

    /// The condition that a key is as the view has it.
    pub fn guard(&self, path: impl Into<String>) -> Guard {
        let path = path.into();
        Guard {
            stamp: self.stamp(&path),
            path,
        }
    }

    /// Whether a key is known to have been deleted.
    pub fn deleted(&self, key: &str) -> bool {
        let gone = |id: &str| self.left.get(id) == Some(&true);
        self.tombs.contains_key(key) || key.strip_prefix("c/host/").is_some_and(gone)
    }

    /// A write at a revision. Older ones than what is known are ignored.
    pub fn put(&mut self, key: &str, v: &Value, stamp: u64) {
        let known = self
            .stamp(key)
            .max(self.tombs.get(key).copied().unwrap_or(0));
        if stamp <= known {
            return;
        }
        self.stamps.insert(key.to_string(), stamp);
        self.tombs.remove(key);
        self.epoch += 1;
        self.apply(key, Some(v));
    }

    /// A deletion at a revision.
    pub fn delete(&mut self, key: &str, rev: u64) {
        if rev <= self.stamp(key) || rev <= self.tombs.get(key).copied().unwrap_or(0) {
            return;
        }
        self.bury(key.to_string(), rev);
        if self.stamps.remove(key).is_some() {
            self.epoch += 1;
            self.note_end(key, rev);
            self.apply(key, None);
        }
    }

    fn bury(&mut self, key: String, rev: u64) {
        self.tombs.insert(key.clone(), rev);
        self.tomb_order.push_back(key);
        while self.tomb_order.len() > TOMBS {
            if let Some(k) = self.tomb_order.pop_front() {
                self.tombs.remove(&k);
            }
        }
    }

    /// After a full read of a prefix: forget keys that it did not show and that are not newer.
    pub fn retain_prefix(&mut self, prefix: &str, seen: &HashSet<String>, rev: u64) {
        let gone: Vec<String> = self
            .stamps
            .iter()
            .filter(|(k, s)| k.starts_with(prefix) && **s <= rev && !seen.contains(*k))
            .map(|(k, _)| k.clone())
            .collect();
        for k in gone {
            self.stamps.remove(&k);
            self.epoch += 1;
            // It went in the gap: counted from where that begins, so that nobody adds it up twice.
            self.note_end(&k, self.rev.saturating_add(1).min(rev));
            self.apply(&k, None);
        }
    }

    /// A job's record is about to go: what it came to is kept for a while.
    fn note_end(&mut self, key: &str, rev: u64) {
        let job = key
            .strip_prefix("c/job/")
            .and_then(|id| Some((id, self.jobs.get(id)?)));
        let Some((id, j)) = job else { return };
        let done = match self.fin(id) {
            Some(f) => !f.cancelled,
            None => j.done == j.spec.tasks,
        };
        self.ends.push_back(End {
            rev,
            name: service_levels::name(&j.spec.class, &j.spec.team),
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
    pub fn withdrawn_after(&self, rev: u64) -> Option<impl Iterator<Item = &(u64, JobId)>> {
        let from = (rev.saturating_add(1), JobId::from(""));
        (rev >= self.withdrawn_from).then(|| self.withdrawn.range(from..))
    }

    fn note_withdrawn(&mut self, id: &JobId, stamp: u64) {
        self.withdrawn.insert((stamp, id.clone()));
        while self.withdrawn.len() > WITHDRAWN {
            if let Some((rev, _)) = self.withdrawn.pop_first() {
                self.withdrawn_from = rev;
            }
        }
    }

    /// A peer says that a job was cancelled in the state service by a revision: its tasks have to go although
    /// its record here does not say so yet. A job that is not known has nothing on machines of ours.
    pub fn hear_withdrawn(&mut self, id: &str, stamp: u64) {
        let Some(j) = self.jobs.get_mut(id).filter(|j| !j.cancelled()) else {
            return;
        };
        j.told = true;
        self.epoch += 1;
        let id: JobId = id.into();
        // From here on users may hear it from us, too: it is part of our own word.
        self.note_withdrawn(&id, stamp);
        self.settle_withdrawn(&id, true);
    }

    /// A job's record changed, or was told to: its machines are to be looked at, and, if it was cancelled,
    /// the jobs around it.
    fn settle_withdrawn(&mut self, id: &JobId, withdrawn: bool) {
        let Some(j) = self.jobs.get(id) else { return };
        let hosts: Vec<HostId> = j.placements().map(|(_, p)| p.host.clone()).collect();
        let needs = j.needs.clone();
        self.touched.extend(hosts);
        self.index_job(id);
        if let (true, Some(d)) = (withdrawn, self.dependents.get(id)) {
            let list: Vec<JobId> = d.iter().cloned().collect();
            self.refresh(list);
            self.inherit(needs);
        }
    }

    /// Jobs that ended lately, in the order in which that was heard.
    pub fn ends(&self) -> impl Iterator<Item = &End> {
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
                    put(&mut self.parts, n, v);
                }
            }
            "charter" => {
                let old = self.charters.get(id).map(|c| c.names.clone());
                put(&mut self.charters, id.to_string(), v);
                self.derive_hosts(old.unwrap_or_default(), id);
            }
            "counts" => put(&mut self.counts, id.to_string(), v),
            "raises" => self.raises = v.and_then(from_value).unwrap_or_default(),
            "served" => self.served = v.and_then(from_value).unwrap_or_default(),
            "types" => {
                // All in one value, or each in one of its own where that would be too large.
                if !id.is_empty() {
                    if let Some(t) = v.and_then(from_value::<MachineType>) {
                        self.types.insert(t.sku.clone(), t);
                    }
                } else if let Some(t) = v.and_then(from_value::<Vec<MachineType>>) {
                    self.types = t.into_iter().map(|t| (t.sku.clone(), t)).collect();
                }
                let all: Vec<HostId> = self.hosts.keys().cloned().collect();
                for id in all {
                    self.index_host(&id);
                }
            }
            "version" => put(&mut self.versions, id.to_string(), v),
            "layout" => self.layout = v.and_then(from_value).or(self.layout),
            "needs" => {
                let Some((id, Ok(k))) = id.split_once('/').map(|(i, k)| (i, k.parse())) else {
                    return;
                };
                let id: JobId = id.into();
                let known = self.need_keys.entry(id.clone()).or_default();
                match v.and_then(from_value::<Ids>) {
                    Some(Ids(list)) => {
                        known.insert(k, list);
                    }
                    None => {
                        known.remove(&k);
                    }
                }
                if known.is_empty() {
                    self.need_keys.remove(&id);
                }
                self.link(&id);
            }
            "slots" => {
                let mut parts = id.split('/');
                let (Some(id), Some(n), Some(per), Some(k)) =
                    (parts.next(), parts.next(), parts.next(), parts.next())
                else {
                    return;
                };
                let (Ok(n), Ok(per), Ok(k)) = (n.parse(), per.parse(), k.parse()) else {
                    return;
                };
                self.put_leaf(&id.into(), (n, per, k), v.and_then(from_value));
            }
            "host" => {
                let id: HostId = id.into();
                if v.is_none() {
                    self.images.remove(&id);
                }
                self.touched.insert(id.clone());
                let was = self.hosts.contains_key(&id);
                put(&mut self.hosts, id.clone(), v);
                self.depart(&id);
                self.hosts_epoch += u64::from(was != self.hosts.contains_key(&id));
            }
            "leaving" => {
                let old = self.leaving.get(id).map(|l| l.names.clone());
                put(&mut self.leaving, id.to_string(), v);
                let new = self.leaving.get(id).cloned().unwrap_or_default();
                for n in old.into_iter().flatten() {
                    if !new.names.contains(&n) {
                        if self.left.remove(&n) == Some(true) {
                            // A list of the cloud that lags may show it for a while.
                            self.bury(keys::host(&n), u64::MAX);
                        }
                        // Not returned after all, or gone and its key deleted.
                        if let Some(h) = self.own_state.remove(&n)
                            && let Some(x) = self.hosts.get_mut(&n)
                        {
                            x.state = h;
                            self.index_host(&n);
                        }
                    }
                }
                let before = self.hosts.len();
                for n in new.names {
                    self.left.insert(n.clone(), new.gone);
                    self.touched.insert(n.clone());
                    self.depart(&n);
                }
                self.hosts_epoch += u64::from(before != self.hosts.len());
            }
            "final" => {
                let id: JobId = id.into();
                if let Some(f) = v.and_then(from_value) {
                    self.remember(&id, f);
                }
                // Final states are kept apart, and only so many: their stamps are not needed.
                self.stamps.remove(key);
            }
            "job" => {
                let id: JobId = id.into();
                match v.and_then(from_value::<AnyRecord>) {
                    Some(AnyRecord(spec, first)) => {
                        let before = self.jobs.get(&id).is_some_and(|j| j.spec.cancelled);
                        if spec.cancelled && !before {
                            self.note_withdrawn(&id, self.stamp(key));
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
                let b: Option<Stored> = v.and_then(from_value);
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
    fn put_stored(&mut self, id: &JobId, n: u32, v: Option<Stored>) {
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
            Some(Stored::Plain(b) | Stored::Packed(b)) => {
                *split = 0;
                (!b.0.is_empty()).then_some(b)
            }
            Some(Stored::Split(per)) => {
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
    fn put_leaf(&mut self, id: &JobId, at: (u32, u32, u32), v: Option<Stored>) {
        let (n, per, k) = at;
        let known = self.leaves.entry(id.clone()).or_default();
        let Some(Stored::Plain(leaf) | Stored::Packed(leaf)) = v else {
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
    pub fn leaf(&self, id: &str, n: u32, per: u32, k: u32) -> Option<&Block> {
        self.leaves.get(id)?.get(&(n, per, k))
    }

    // ---- pipelines ----

    /// Whether a machine was marked as on its way back together with others.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.left.contains_key(id)
    }

    /// Jobs that a job needs, once they are known.
    fn link(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        if j.spec.needs.is_empty() {
            return;
        }
        j.needs = j.spec.needs.jobs.0.clone();
        for list in self.need_keys.get(id).into_iter().flatten() {
            j.needs.extend(list.1.iter().cloned());
        }
        j.piped = true;
        for n in j.needs.clone() {
            let known = self.finals.get(&n).copied();
            if let (Some(f), false) = (known, self.gates.contains_key(&n)) {
                self.gates.insert(n.clone(), f);
            }
            if let Some(x) = self.jobs.get_mut(&n) {
                x.piped = true;
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
            let known = self.need_keys.get(&id).map_or(0, BTreeMap::len);
            let mut ready = known >= j.spec.needs.keys as usize;
            let (mut doomed, mut since) = (false, j.spec.submitted);
            for n in &j.needs {
                match (self.gates.get(n), self.jobs.get(n)) {
                    (Some(f), _) if !f.cancelled => since = since.max(f.at),
                    (Some(_), _) => doomed = true,
                    (None, Some(x)) => {
                        ready = false;
                        doomed |= x.cancelled();
                    }
                    (None, None) => ready = false,
                }
            }
            let changed = j.doomed != doomed;
            if let Some(j) = self.jobs.get_mut(&id) {
                j.ready = ready && !doomed;
                j.doomed = doomed;
                j.since = since;
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
            let mut rank = j.spec.rank;
            let mut due = j.spec.deadline.map(|d| j.spec.submitted + d);
            let mut span = j.spec.deadline.unwrap_or(0);
            for d in self.dependents.get(&id).into_iter().flatten() {
                let Some(d) = self.jobs.get(d).filter(|d| !d.cancelled()) else {
                    continue;
                };
                rank = rank.min(d.rank);
                let before = d
                    .due
                    .map(|t| t.saturating_sub(d.spec.estimate.saturating_add(HANDOVER)));
                if before.is_some_and(|b| due.is_none_or(|a| b < a)) {
                    due = before;
                    span = d.span;
                }
            }
            if (rank, due) == (j.rank, j.due) {
                continue;
            }
            list.extend(j.needs.iter().cloned());
            if let Some(j) = self.jobs.get_mut(&id) {
                j.rank = rank;
                j.due = due;
                j.span = span;
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
            for n in self.jobs.get(x).into_iter().flat_map(|j| &j.needs) {
                if self.gates.contains_key(n) || !seen.insert(n) {
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
    pub fn queued_soon(&self, j: &Job) -> u32 {
        if j.ready || j.cancelled() {
            return j.queued();
        }
        let ends = |n: &JobId| {
            self.gates.contains_key(n)
                || self
                    .jobs
                    .get(n)
                    .is_some_and(|x| x.ready && x.waiting == 0 && x.placed > 0)
        };
        if j.needs.iter().all(ends) {
            j.waiting
        } else {
            0
        }
    }

    /// What one of the keys holds that say what a job needs beyond its record.
    pub fn need_list(&self, id: &str, k: u32) -> Option<&Vec<JobId>> {
        self.need_keys.get(id)?.get(&k)
    }

    /// The same for all jobs.
    pub fn unknown_gates(&self) -> Vec<JobId> {
        self.dependents
            .keys()
            .filter(|n| !self.gates.contains_key(*n) && !self.jobs.contains_key(*n))
            .cloned()
            .collect()
    }

    /// How a job ended, if it is at hand in whichever place.
    pub fn ended(&self, id: &str) -> Option<Final> {
        self.fin(id).or_else(|| self.gates.get(id).copied())
    }

    /// Whether a job is waited for by unfinished ones.
    pub fn waited_for(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// A machine that is on its way back is that whatever its own key says; one that is gone does not
    /// come back by a write that was made before its owner heard of it.
    fn depart(&mut self, id: &HostId) {
        self.overlay_state(id);
        self.index_host(id);
    }

    fn overlay_state(&mut self, id: &HostId) {
        match self.left.get(id) {
            Some(true) => {
                self.hosts.remove(id);
                self.own_state.remove(id);
                self.images.remove(id);
            }
            Some(false) => {
                if let Some(h) = self.hosts.get_mut(id)
                    && h.state != HostState::Returning
                {
                    self.own_state.insert(id.clone(), h.state);
                    h.state = HostState::Returning;
                }
            }
            None => {}
        }
    }

    /// Machines that a charter names and that have no key yet stand in the view all the same: one
    /// write makes many machines known. Once written, a machine's own key says everything.
    fn derive_hosts(&mut self, old: Vec<String>, charter: &str) {
        let (names, like) = match self.charters.get(charter) {
            Some(c) => (c.names.clone(), Some(c.host())),
            None => (Vec::new(), None),
        };
        for n in old.iter().filter(|n| !names.contains(n)) {
            if !self.stamps.contains_key(&keys::host(n)) {
                let id = HostId::from(n.as_str());
                self.hosts.remove(&id);
                self.index_host(&id);
                self.hosts_epoch += 1;
            }
        }
        for n in names {
            let key = keys::host(&n);
            if let Some(h) = &like
                && !self.stamps.contains_key(&key)
                && !self.deleted(&key)
            {
                let id: HostId = n.into();
                self.hosts.entry(id.clone()).or_insert_with(|| h.clone());
                self.depart(&id);
                self.hosts_epoch += 1;
            }
        }
    }

    /// A job's specification: its blocks stay as they are.
    fn put_job(&mut self, id: JobId, spec: Rc<Spec>) {
        if self.jobs.get(&id).is_some_and(|j| !j.spec.weighs_as(&spec)) {
            self.drop_job(&id);
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            let withdrawn = spec.cancelled != j.spec.cancelled;
            j.spec = spec;
            self.settle_withdrawn(&id, withdrawn);
            return;
        }
        if spec.room.gpus > 0 {
            *self.index.gpu_rooms.entry(spec.room.amounts()).or_default() += 1;
        }
        let tasks = spec.tasks;
        let alone = spec.needs.is_empty();
        let waited_for = self.dependents.get(&id).cloned();
        self.jobs.insert(
            id.clone(),
            Job {
                blocks: (0..blocks(tasks)).map(|n| fresh(tasks, n)).collect(),
                waiting: tasks,
                placed: 0,
                done: 0,
                split: vec![0; blocks(tasks) as usize],
                needs: Vec::new(),
                ready: alone,
                doomed: false,
                told: false,
                since: spec.submitted,
                rank: spec.rank,
                due: spec.deadline.map(|d| spec.submitted + d),
                span: spec.deadline.unwrap_or(0),
                piped: waited_for.is_some(),
                spec,
            },
        );
        self.index_job(&id);
        self.link(&id);
        if let Some(d) = waited_for {
            self.refresh(d.into_iter().collect());
            self.inherit(vec![id.clone()]);
        }
        let known: Vec<(u32, Stored)> = self
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
                        Some(0) | None => j.blocks.get(n as usize).cloned().map(Stored::Plain),
                        Some(per) => Some(Stored::Split(*per)),
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
        if j.spec.room.gpus > 0
            && let Some(n) = self.index.gpu_rooms.get_mut(&j.spec.room.amounts())
        {
            *n -= 1;
            if *n == 0 {
                self.index.gpu_rooms.remove(&j.spec.room.amounts());
            }
        }
        for n in &j.needs {
            if let Some(d) = self.dependents.get_mut(n) {
                d.remove(id);
                if d.is_empty() {
                    self.dependents.remove(n);
                    self.gates.remove(n);
                }
            }
        }
        self.inherit(j.needs);
        if let Some(d) = self.dependents.get(id) {
            self.refresh(d.iter().cloned().collect());
        }
    }

    /// Sets a job's block and follows the slots that differ: the cost is that of the change.
    fn put_block(&mut self, id: &JobId, n: u32, b: Option<Block>) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let tasks = j.spec.tasks;
        let Some(place) = j.blocks.get_mut(n as usize) else {
            return;
        };
        let old = std::mem::replace(place, b.unwrap_or_else(|| fresh(tasks, n)));
        let mut moved: Vec<HostId> = Vec::new();
        let before = j.placed;
        let longest = old.0.len().max(place.0.len());
        for k in 0..longest {
            let (was, is) = (old.0.get(k), place.0.get(k));
            if was == is {
                continue;
            }
            let i = n * BLOCK + k as u32;
            match was {
                Some(Slot::Waiting(_)) => j.waiting -= 1,
                Some(Slot::Done) => j.done -= 1,
                Some(Slot::Placed(p)) => {
                    j.placed -= 1;
                    moved.push(p.host.clone());
                    if let Some(m) = self.on_host.get_mut(&p.host) {
                        m.remove(&(id.clone(), i));
                        if m.is_empty() {
                            self.on_host.remove(&p.host);
                            self.loads.remove(&p.host);
                        } else if let Some(l) = self.loads.get_mut(&p.host) {
                            l.remove(&j.spec);
                        }
                    }
                }
                None => {}
            }
            match is {
                Some(Slot::Waiting(_)) => j.waiting += 1,
                Some(Slot::Done) => j.done += 1,
                Some(Slot::Placed(p)) => {
                    j.placed += 1;
                    moved.push(p.host.clone());
                    self.on_host
                        .entry(p.host.clone())
                        .or_default()
                        .insert((id.clone(), i), p.clone());
                    self.loads.entry(p.host.clone()).or_default().add(&j.spec);
                    let im = self.images.entry(p.host.clone()).or_default();
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
    fn reindex(&mut self, id: &JobId, before: u32, mut moved: Vec<HostId>) {
        if let Some(j) = self.jobs.get(id).filter(|j| j.placed != before) {
            let n = i64::from(j.placed) - i64::from(before);
            let r = &j.spec.room;
            let team = &j.spec.team;
            if !self.index.teams.contains_key(team) {
                self.index.teams.insert(team.clone(), Room::default());
            }
            if let Some(t) = self.index.teams.get_mut(team) {
                t.give(&r.of_tasks(n));
                if *t == Room::default() {
                    self.index.teams.remove(team);
                }
            }
        }
        moved.sort_unstable();
        moved.dedup();
        for h in moved {
            self.index_host(&h);
            self.touched.insert(h);
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
            j.is_some_and(|j| j.waiting > 0 && j.spec.kind == Shape::Service),
        );
        set(&mut self.index.over, id, j.is_some_and(Job::over));
    }

    fn index_host(&mut self, id: &HostId) {
        let h = self.hosts.get(id);
        let leaves = |h: &Host| matches!(h.state, HostState::Draining | HostState::Closing);
        set(&mut self.index.leaving, id, h.is_some_and(leaves));
        let free = h
            .and_then(|h| self.types.get(&h.kind))
            .map(|t| Room::of(t).cpus - self.load(id).used.cpus);
        let old = self.free_of.get(id).copied();
        if old == free {
            return;
        }
        if let Some(n) = old {
            self.index.free.remove(&(n, id.clone()));
            self.free_of.remove(id);
        }
        if let Some(n) = free {
            self.index.free.insert((n, id.clone()));
            self.free_of.insert(id.clone(), n);
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
    pub fn free_cpus(&self, id: &HostId) -> Option<i64> {
        self.free_of.get(id).copied()
    }

    /// The index.
    pub fn index(&self) -> &Index {
        &self.index
    }

    /// Keeps a final state at hand.
    pub fn remember(&mut self, id: &JobId, f: Final) {
        if let Some(d) = self.dependents.get(id) {
            let list = d.iter().cloned().collect();
            self.gates.insert(id.clone(), f);
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
    pub fn fin(&self, id: &str) -> Option<Final> {
        self.finals.get(id).copied()
    }

    /// Keys of slots and of needs that belong to no job, with the job's id.
    pub fn orphans(&self) -> Vec<(JobId, String)> {
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
        for (id, m) in self.need_keys.iter().filter(|(id, _)| gone(id)) {
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
        if let Some(m) = self.need_keys.get(id) {
            out.extend(m.keys().map(|k| keys::needs(id, *k)));
        }
        out
    }

    /// What the tasks on a machine come to.
    pub fn load(&self, host: &HostId) -> Load {
        self.loads.get(host).copied().unwrap_or_default()
    }

    /// Tasks of unfinished jobs on a machine: a job that is over is on none.
    pub fn tasks_on(&self, host: &str) -> Option<&BTreeMap<(JobId, u32), Placement>> {
        self.on_host.get(host).filter(|m| !m.is_empty())
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
fn overlay(b: &mut Block, per: u32, k: u32, leaf: &Block) {
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

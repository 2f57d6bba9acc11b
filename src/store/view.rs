//! The view: what the state service holds, as far as this node has heard. Pure; fed by lists,
//! watches and the node's own transactions.

use crate::fairness::{Counts, Raises};
use crate::hosts::model::{Charter, Host};
use crate::jobs::model::{
    BLOCK, Block, Final, JobId, Placement, Record, Room, Slot, Spec, blocks, fresh,
};
use crate::members::{Leader, Member, Part};
use crate::store::keys;
use crate::wire::cloud::MachineType;
use crate::wire::from_value;
use ciborium::Value;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
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
}

impl Job {
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
    raw_blocks: HashMap<JobId, BTreeMap<u32, Option<Block>>>,
    /// Machines.
    pub hosts: BTreeMap<Rc<str>, Host>,
    /// Rentals under way.
    pub charters: BTreeMap<String, Charter>,
    /// Counts of the controllers.
    pub counts: BTreeMap<String, Counts>,
    /// Raises of the last round.
    pub raises: Raises,
    /// Machine types.
    pub types: BTreeMap<String, MachineType>,
    finals: HashMap<JobId, Final>,
    final_order: VecDeque<JobId>,
    /// Tasks on each machine.
    pub on_host: BTreeMap<Rc<str>, BTreeMap<(JobId, u32), Placement>>,
    /// What the tasks on each machine take together.
    pub used: HashMap<Rc<str>, Room>,
    /// Machines whose key or tasks changed since this was emptied last.
    pub touched: HashSet<Rc<str>>,
    /// Counts changes of machines' keys.
    pub hosts_epoch: u64,
    /// Images each machine has probably cached.
    pub images: HashMap<Rc<str>, HashSet<String>>,
    /// Counts changes, so that loops know when to look again.
    pub epoch: u64,
}

const TOMBS: usize = 20_000;
const FINALS: usize = 20_000;

impl View {
    /// Version of a key; 0 if it does not exist.
    pub fn stamp(&self, key: &str) -> u64 {
        self.stamps.get(key).copied().unwrap_or(0)
    }

    /// Whether a key is known to have been deleted.
    pub fn deleted(&self, key: &str) -> bool {
        self.tombs.contains_key(key)
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
        self.tombs.insert(key.to_string(), rev);
        self.tomb_order.push_back(key.to_string());
        while self.tomb_order.len() > TOMBS {
            if let Some(k) = self.tomb_order.pop_front() {
                self.tombs.remove(&k);
            }
        }
        if self.stamps.remove(key).is_some() {
            self.epoch += 1;
            self.apply(key, None);
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
            self.apply(&k, None);
        }
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
            "types" => {
                if let Some(t) = v.and_then(from_value::<Vec<MachineType>>) {
                    self.types = t.into_iter().map(|t| (t.sku.clone(), t)).collect();
                }
            }
            "host" => {
                let id: Rc<str> = id.into();
                if v.is_none() {
                    self.images.remove(&id);
                }
                self.hosts_epoch += 1;
                self.touched.insert(id.clone());
                put(&mut self.hosts, id, v);
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
                match v.and_then(from_value::<Record>) {
                    Some(Record(spec, first)) => {
                        self.put_job(id.clone(), Rc::new(spec));
                        let first = (!first.0.is_empty()).then_some(first);
                        self.put_block(&id, 0, first);
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
                let b: Option<Block> = v.and_then(from_value);
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
                self.put_block(&id, n, b);
            }
            _ => {}
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
                self.hosts.remove(n.as_str());
                self.hosts_epoch += 1;
            }
        }
        for n in names {
            let key = keys::host(&n);
            if let Some(h) = &like
                && !self.stamps.contains_key(&key)
                && !self.tombs.contains_key(&key)
            {
                self.hosts.entry(n.into()).or_insert_with(|| h.clone());
                self.hosts_epoch += 1;
            }
        }
    }

    /// A job's specification: its blocks stay as they are.
    fn put_job(&mut self, id: JobId, spec: Rc<Spec>) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|j| j.spec.tasks != spec.tasks || j.spec.room != spec.room)
        {
            self.drop_job(&id);
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.spec = spec;
            let hosts: Vec<Rc<str>> = j.placements().map(|(_, p)| p.host.clone()).collect();
            self.touched.extend(hosts);
            return;
        }
        let tasks = spec.tasks;
        self.jobs.insert(
            id.clone(),
            Job {
                spec,
                blocks: (0..blocks(tasks)).map(|n| fresh(tasks, n)).collect(),
                waiting: tasks,
                placed: 0,
                done: 0,
            },
        );
        let known: Vec<(u32, Block)> = self
            .raw_blocks
            .get_mut(&id)
            .into_iter()
            .flatten()
            .filter_map(|(n, b)| Some((*n, b.take()?)))
            .collect();
        for (n, b) in known {
            self.put_block(&id, n, Some(b));
        }
    }

    fn drop_job(&mut self, id: &JobId) {
        for n in 0..self.jobs.get(id).map_or(0, |j| j.blocks.len() as u32) {
            let written = self.raw_blocks.get(id).is_some_and(|m| m.contains_key(&n));
            let old = written
                .then(|| self.jobs.get(id)?.blocks.get(n as usize).cloned())
                .flatten();
            self.put_block(id, n, None);
            if let (Some(old), Some(m)) = (old, self.raw_blocks.get_mut(id)) {
                m.insert(n, Some(old));
            }
        }
        self.jobs.remove(id);
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
        let room = j.spec.room;
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
                    self.touched.insert(p.host.clone());
                    if let Some(m) = self.on_host.get_mut(&p.host) {
                        m.remove(&(id.clone(), i));
                        if m.is_empty() {
                            self.on_host.remove(&p.host);
                            self.used.remove(&p.host);
                        } else {
                            self.used.entry(p.host.clone()).or_default().take(&room);
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
                    self.touched.insert(p.host.clone());
                    self.on_host
                        .entry(p.host.clone())
                        .or_default()
                        .insert((id.clone(), i), p.clone());
                    self.used.entry(p.host.clone()).or_default().give(&room);
                    let im = self.images.entry(p.host.clone()).or_default();
                    if !im.contains(&j.spec.image) {
                        im.insert(j.spec.image.clone());
                    }
                }
                None => {}
            }
        }
    }

    /// Keeps a final state at hand.
    pub fn remember(&mut self, id: &JobId, f: Final) {
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

    /// Block keys that belong to no job.
    pub fn orphans(&self) -> Vec<(JobId, u32)> {
        self.raw_blocks
            .iter()
            .filter(|(id, _)| !self.jobs.contains_key(*id))
            .flat_map(|(id, m)| m.keys().map(move |n| (id.clone(), *n)))
            .collect()
    }

    /// Tasks of unfinished jobs on a machine: a job that is over is on none.
    pub fn tasks_on(&self, host: &str) -> Option<&BTreeMap<(JobId, u32), Placement>> {
        self.on_host.get(host).filter(|m| !m.is_empty())
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

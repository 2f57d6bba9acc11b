//! The view: what the state service holds, as far as this node has heard. Pure; fed by lists,
//! watches and the node's own transactions.

use crate::fairness::{Counts, Raises};
use crate::hosts::model::{Charter, Host};
use crate::jobs::model::{BLOCK, Block, Final, JobId, Placement, Slot, Spec, blocks, fresh};
use crate::members::{Leader, Member, Part};
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
    raw_blocks: HashMap<JobId, BTreeMap<u32, Block>>,
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
            "charter" => put(&mut self.charters, id.to_string(), v),
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
                self.unindex(&id);
                match v.and_then(from_value::<Spec>) {
                    Some(spec) => {
                        let spec = Rc::new(spec);
                        let known = self.raw_blocks.get(&id);
                        let list = (0..blocks(spec.tasks))
                            .map(|n| {
                                known
                                    .and_then(|m| m.get(&n))
                                    .cloned()
                                    .unwrap_or_else(|| fresh(spec.tasks, n))
                            })
                            .collect();
                        self.jobs.insert(
                            id.clone(),
                            Job {
                                spec,
                                blocks: list,
                                waiting: 0,
                                placed: 0,
                                done: 0,
                            },
                        );
                        self.index(&id);
                    }
                    None => {
                        self.jobs.remove(&id);
                    }
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
                self.unindex(&id);
                if let Some(j) = self.jobs.get_mut(&id)
                    && let Some(place) = j.blocks.get_mut(n as usize)
                {
                    *place = b.clone().unwrap_or_else(|| fresh(j.spec.tasks, n));
                }
                match b {
                    Some(b) => {
                        self.raw_blocks.entry(id.clone()).or_default().insert(n, b);
                    }
                    None => {
                        if let Some(m) = self.raw_blocks.get_mut(&id) {
                            m.remove(&n);
                            if m.is_empty() {
                                self.raw_blocks.remove(&id);
                            }
                        }
                    }
                }
                self.index(&id);
            }
            _ => {}
        }
    }

    fn unindex(&mut self, id: &JobId) {
        if let Some(j) = self.jobs.get(id) {
            for (i, p) in j.placements() {
                if let Some(m) = self.on_host.get_mut(&p.host) {
                    m.remove(&(id.clone(), i));
                }
            }
        }
    }

    fn index(&mut self, id: &JobId) {
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let (mut w, mut p, mut d) = (0, 0, 0);
        for (i, s) in j.blocks.iter().flat_map(|b| b.0.iter()).enumerate() {
            match s {
                Slot::Waiting(_) => w += 1,
                Slot::Done => d += 1,
                Slot::Placed(pl) => {
                    p += 1;
                    self.on_host
                        .entry(pl.host.clone())
                        .or_default()
                        .insert((id.clone(), i as u32), pl.clone());
                    let im = self.images.entry(pl.host.clone()).or_default();
                    if !im.contains(&j.spec.image) {
                        im.insert(j.spec.image.clone());
                    }
                }
            }
        }
        (j.waiting, j.placed, j.done) = (w, p, d);
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

//! Jobs as the program keeps them: specification, blocks of task slots, final state.

use crate::ids::HostId;
use crate::settings::{Settings, milli};
use crate::time::{Micros, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::user::{Rank, Shape, Submission, valid_id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Job id.
pub type JobId = crate::ids::Id;

/// Tasks per block.
pub const BLOCK: u32 = 256;
/// The largest number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// What a task takes of its machine, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Room {
    /// CPUs.
    #[serde(rename = "c")]
    pub cpus: i64,
    /// GPUs.
    #[serde(rename = "g")]
    pub gpus: i64,
    /// Memory in gigabytes.
    #[serde(rename = "m")]
    pub memory: i64,
}

impl Room {
    /// Whether `need` fits into this.
    pub fn fits(&self, need: &Room) -> bool {
        self.cpus >= need.cpus && self.gpus >= need.gpus && self.memory >= need.memory
    }
    /// Takes `need` away.
    pub fn take(&mut self, need: &Room) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory -= need.memory;
    }
    /// Gives `need` back.
    pub fn give(&mut self, need: &Room) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.memory += need.memory;
    }
    /// What so many tasks take together.
    pub fn of_tasks(&self, n: i64) -> Room {
        Room {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }
    /// CPUs, GPUs, memory.
    pub fn amounts(&self) -> [i64; 3] {
        [self.cpus, self.gpus, self.memory]
    }
    /// How many of `need` fit.
    pub fn times(&self, need: &Room) -> i64 {
        let f = |have: i64, n: i64| if n > 0 { have / n } else { i64::MAX };
        f(self.cpus, need.cpus)
            .min(f(self.gpus, need.gpus))
            .min(f(self.memory, need.memory))
            .clamp(0, i64::from(MAX_TASKS))
    }
    /// The room of a whole machine.
    pub fn of(t: &MachineType) -> Room {
        Room {
            cpus: (t.cores * 1000.0 + 1e-6).floor() as i64,
            gpus: (t.accelerators * 1000.0 + 1e-6).floor() as i64,
            memory: (t.ram_gb * 1000.0 + 1e-6).floor() as i64,
        }
    }
}

/// What the tasks on one machine come to: kept as they change, so that nobody has to look at each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// What they take.
    pub used: Room,
    /// Tasks of services.
    pub services: u32,
    /// CPUs that services take.
    pub service_cpus: i64,
    /// CPUs of arrays that make way for services.
    pub low_cpus: i64,
    /// Tasks that are guests on machines with GPUs.
    pub guests: u32,
}

impl Load {
    /// One more task of a job.
    pub fn add(&mut self, s: &Spec) {
        self.used.give(&s.room);
        self.services += u32::from(s.kind == Shape::Service);
        self.service_cpus += s.service_cpus();
        self.low_cpus += s.low_cpus();
        self.guests += u32::from(s.guest());
    }
    /// One less.
    pub fn remove(&mut self, s: &Spec) {
        self.used.take(&s.room);
        self.services -= u32::from(s.kind == Shape::Service);
        self.service_cpus -= s.service_cpus();
        self.low_cpus -= s.low_cpus();
        self.guests -= u32::from(s.guest());
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Class of jobs.
    #[serde(rename = "cl")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "k")]
    pub kind: Shape,
    /// Class rank.
    #[serde(rename = "r")]
    pub rank: Rank,
    /// Tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// What each takes.
    #[serde(rename = "q")]
    pub room: Room,
    /// Image.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image in thousandths of a gigabyte.
    #[serde(rename = "ig")]
    pub image_size: i64,
    /// Allowed machine types.
    #[serde(rename = "ty")]
    pub types: Option<Vec<String>>,
    /// Only allowed zone.
    #[serde(rename = "z")]
    pub zone: Option<String>,
    /// All in one zone.
    #[serde(rename = "oz")]
    pub one_zone: bool,
    /// At most half in one zone.
    #[serde(rename = "sp")]
    pub spread: bool,
    /// Spot allowed.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Estimated run time.
    #[serde(rename = "e")]
    pub estimate: Micros,
    /// Checkpoint interval.
    #[serde(rename = "cp")]
    pub checkpoint: Micros,
    /// Time to save.
    #[serde(rename = "sv")]
    pub save: Micros,
    /// Deadline after submission.
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// Time of day of the submission.
    #[serde(rename = "at")]
    pub submitted: Micros,
    /// Withdrawn by its user.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Jobs that must be done before any task of it starts, as far as they were not done when it was
    /// submitted. Written only once every controller knows pipelines.
    #[serde(rename = "w", default, skip_serializing_if = "Needs::is_empty")]
    pub needs: Needs,
}

/// Jobs that a job waits for. What does not fit into the job's record is in keys of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Needs {
    /// Their ids.
    #[serde(rename = "j", default)]
    pub jobs: Ids,
    /// How many further keys hold more of them.
    #[serde(rename = "k", default)]
    pub keys: u32,
}

impl Needs {
    /// Whether it waits for none.
    pub fn is_empty(&self) -> bool {
        self.jobs.0.is_empty() && self.keys == 0
    }
}

/// Job ids, written as one text of what differs between them: long lists take a few bytes an id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ids(pub Vec<JobId>);

const ID_PREFIX: &str = "req-";

impl Serialize for Ids {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let list: Vec<&str> = self
            .0
            .iter()
            .map(|j| j.strip_prefix(ID_PREFIX).unwrap_or(j))
            .collect();
        s.serialize_str(&list.join(" "))
    }
}

impl<'de> Deserialize<'de> for Ids {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Ids, D::Error> {
        let text = String::deserialize(d)?;
        Ok(Ids(text
            .split_ascii_whitespace()
            .map(|j| format!("{ID_PREFIX}{j}").into())
            .collect()))
    }
}

impl Spec {
    /// Whether its tasks may stay on machines with GPUs as guests: they save when they are stopped,
    /// and everybody who needs GPUs ranks above them, so they are sent away when these come or when
    /// the machine is to be returned. Nobody else without need of GPUs may hold so dear a machine.
    pub fn guest(&self) -> bool {
        self.room.gpus == 0
            && self.kind == Shape::Array
            && self.rank == Rank::Low
            && self.checkpoint > 0
    }
    /// CPUs of a task, if it is a service's.
    fn service_cpus(&self) -> i64 {
        match self.kind {
            Shape::Service => self.room.cpus,
            _ => 0,
        }
    }
    /// CPUs of a task, if it makes way for services.
    fn low_cpus(&self) -> i64 {
        match self.kind {
            Shape::Array if self.rank >= Rank::Normal => self.room.cpus,
            _ => 0,
        }
    }
    /// Whether what tasks come to on a machine is the same for both.
    pub fn weighs_as(&self, other: &Spec) -> bool {
        let what = |s: &Spec| (s.tasks, s.room, s.kind, s.rank, s.checkpoint > 0);
        what(self) == what(other) && self.team == other.team
    }
}

/// Amounts that differ by less are the same.
const TINY: f64 = 1e-6;

/// Why a submission is refused for good.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Answered 400.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// Answered 422.
    #[error("can never run: {0}")]
    Impossible(&'static str),
}

/// Checks a submission against settings and machine types.
pub fn admit(
    s: &Submission,
    settings: &Settings,
    types: &BTreeMap<String, MachineType>,
    now: Micros,
) -> Result<Spec, Refusal> {
    use Refusal::{Impossible, Malformed};
    if !valid_id(&s.id) {
        return Err(Malformed("id"));
    }
    let amount = |v: f64, hi: f64, name| {
        if v.is_finite() && (0.0..=hi).contains(&v) {
            Ok(v)
        } else {
            Err(Malformed(name))
        }
    };
    if s.shards == 0 || s.shards > MAX_TASKS {
        return Err(Malformed("number of tasks"));
    }
    for (text, name) in [
        (&s.jobclass, "class"),
        (&s.owner, "team"),
        (&s.bundle, "image"),
    ] {
        if text.is_empty() || text.len() > 1024 {
            return Err(Malformed(name));
        }
    }
    let room = Room {
        cpus: milli(amount(s.cores, 1e6, "CPUs")?),
        gpus: milli(amount(s.accelerators, 1e6, "GPUs")?),
        memory: milli(amount(s.ram_gb, 1e7, "memory")?),
    };
    let long = 1e9;
    let image_gb = amount(s.size_gb, 1e7, "image size")?;
    let estimate = amount(s.expected_s, long, "estimate")?;
    let checkpoint = amount(s.bookmark_s, long, "checkpoint interval")?;
    let save = amount(s.flush_s, long, "time to save")?;
    let deadline = s.due_s.map(|d| amount(d, long, "deadline")).transpose()?;
    let team = settings.team(&s.owner).ok_or(Impossible("unknown team"))?;
    // Only names that exist are kept: a record stays small whatever the list held.
    let allowed: Option<Vec<String>> = s.rigs.as_ref().map(|l| {
        let mut v: Vec<String> = l
            .iter()
            .filter(|n| types.contains_key(*n))
            .cloned()
            .collect();
        v.sort();
        v.dedup();
        v
    });
    let fits = types.values().any(|t| {
        allowed.as_ref().is_none_or(|l| l.contains(&t.sku))
            && s.yard.as_ref().is_none_or(|z| t.yards.contains(z))
            && Room::of(t).fits(&room)
            // To the last digit: what is kept of the amounts is rounded.
            && [(s.cores, t.cores), (s.accelerators, t.accelerators), (s.ram_gb, t.ram_gb)]
                .iter()
                .all(|(need, have)| *need <= *have + TINY)
    });
    if !fits {
        return Err(Impossible("a task fits no allowed machine type"));
    }
    let at_once = if s.shape == Shape::Array {
        1
    } else {
        i64::from(s.shards)
    };
    let over = |need: f64, kept: i64, max: i64| {
        let all = need * at_once as f64 * 1000.0;
        max > 0 && (kept.saturating_mul(at_once) > max || all > max as f64 + TINY)
    };
    if over(s.cores, room.cpus, team.cpus_max) || over(s.accelerators, room.gpus, team.gpus_max) {
        return Err(Impossible("more than the team's limit"));
    }
    Ok(Spec {
        class: s.jobclass.clone(),
        team: s.owner.clone(),
        kind: s.shape,
        rank: s.rank,
        tasks: s.shards,
        room,
        image: s.bundle.clone(),
        image_size: milli(image_gb),
        types: allowed,
        zone: s.yard.clone(),
        one_zone: s.together,
        spread: s.scatter,
        spot: s.loaners,
        estimate: from_secs(estimate),
        checkpoint: from_secs(checkpoint),
        save: from_secs(save),
        deadline: deadline.map(from_secs),
        submitted: now,
        cancelled: false,
        needs: Needs::default(),
    })
}

/// Where an attempt was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Attempt.
    pub attempt: u32,
    /// Machine.
    pub host: HostId,
    /// Its session.
    pub session: u64,
    /// Asked to stop, with this grace.
    pub stop: Option<Micros>,
}

/// A task's slot in its block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Slot {
    /// On no machine; so many attempts were made.
    Waiting(u32),
    /// On a machine, or about to be.
    Placed(Placement),
    /// Completed.
    Done,
}

impl Slot {
    /// The last attempt used.
    pub fn attempt(&self) -> u32 {
        match self {
            Slot::Waiting(a) => *a,
            Slot::Placed(p) => p.attempt,
            Slot::Done => 0,
        }
    }
}

/// Up to `BLOCK` slots, one value of the state service.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Block(pub Vec<Slot>);

/// How a slot is written: kind, attempt, machine, session, grace in milliseconds plus 1.
type Wire = (u8, u32, String, u64, u64);

impl Serialize for Block {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_seq(self.0.iter().map(|x| -> Wire {
            match x {
                Slot::Waiting(a) => (0, *a, String::new(), 0, 0),
                Slot::Placed(p) => (
                    1,
                    p.attempt,
                    p.host.to_string(),
                    p.session,
                    p.stop.map_or(0, |g| g / 1000 + 1),
                ),
                Slot::Done => (2, 0, String::new(), 0, 0),
            }
        }))
    }
}

impl From<Wire> for Slot {
    fn from((k, attempt, host, session, stop): Wire) -> Slot {
        match k {
            1 => Slot::Placed(Placement {
                attempt,
                host: host.into(),
                session,
                stop: stop.checked_sub(1).map(|ms| ms * 1000),
            }),
            2 => Slot::Done,
            _ => Slot::Waiting(attempt),
        }
    }
}

impl<'de> Deserialize<'de> for Block {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Block, D::Error> {
        let raw: Vec<Wire> = Vec::deserialize(d)?;
        Ok(Block(raw.into_iter().map(Slot::from).collect()))
    }
}

/// Numbers of slots as runs: how many to skip, how many to take, and so on.
type Runs = Vec<u32>;
/// Equal placements but for their machines: what the machines' names begin with, session, attempt,
/// grace in milliseconds plus 1, slots; then, for these slots in order, the rest of each machine's name
/// (a key holds no spaces), and how many slots in a row have it, if not one each.
type PackedRun = (String, u64, u32, u64, Runs, String, Vec<u32>);

/// What equal placements share: session, attempt, grace.
type Alike = (u64, u32, u64);

/// Placements that share all but their machines.
#[derive(Default)]
struct Group<'a> {
    runs: Runs,
    end: u32,
    hosts: Vec<(&'a str, u32)>,
}

impl Group<'_> {
    /// What all names begin with.
    fn prefix(&self) -> String {
        let mut names = self.hosts.iter().map(|(h, _)| *h);
        let first = names.next().unwrap_or_default();
        let mut n = first.len();
        for h in names {
            n = first
                .bytes()
                .zip(h.bytes())
                .take(n)
                .take_while(|(a, b)| a == b)
                .count();
        }
        while !first.is_char_boundary(n) {
            n -= 1;
        }
        first[..n].to_string()
    }
}

/// A block as it is written once every controller reads this: equal slots together. A slot that is
/// in no list was never placed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Packed {
    #[serde(rename = "n", default)]
    len: u32,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    done: Runs,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    waiting: Vec<(u32, Runs)>,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    placed: Vec<PackedRun>,
    /// In place of all that: the slots are in keys of their own, so many in each.
    #[serde(rename = "s", default, skip_serializing_if = "is_zero")]
    split: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

fn add_run(runs: &mut Runs, end: &mut u32, i: u32) {
    match runs.last_mut() {
        Some(n) if *end == i => *n += 1,
        _ => runs.extend([i - *end, 1]),
    }
    *end = i + 1;
}

fn each_run(runs: &[u32], len: u32, mut f: impl FnMut(usize)) {
    let mut at = 0u32;
    for pair in runs.chunks(2) {
        at = at.saturating_add(pair[0]);
        let end = at
            .saturating_add(pair.get(1).copied().unwrap_or(0))
            .min(len);
        while at < end {
            f(at as usize);
            at += 1;
        }
    }
}

impl From<&Block> for Packed {
    fn from(b: &Block) -> Packed {
        let mut out = Packed {
            len: b.0.len() as u32,
            ..Packed::default()
        };
        let mut done_end = 0;
        let mut waiting: BTreeMap<u32, (Runs, u32)> = BTreeMap::new();
        let mut placed: BTreeMap<Alike, Group<'_>> = BTreeMap::new();
        for (i, s) in b.0.iter().enumerate() {
            let i = i as u32;
            match s {
                Slot::Waiting(0) => {}
                Slot::Waiting(a) => {
                    let (runs, end) = waiting.entry(*a).or_default();
                    add_run(runs, end, i);
                }
                Slot::Done => add_run(&mut out.done, &mut done_end, i),
                Slot::Placed(p) => {
                    let grace = p.stop.map_or(0, |g| g / 1000 + 1);
                    let g = placed.entry((p.session, p.attempt, grace)).or_default();
                    add_run(&mut g.runs, &mut g.end, i);
                    match g.hosts.last_mut() {
                        Some((h, n)) if **h == *p.host => *n += 1,
                        _ => g.hosts.push((&p.host, 1)),
                    }
                }
            }
        }
        out.waiting = waiting.into_iter().map(|(a, (r, _))| (a, r)).collect();
        out.placed = placed
            .into_iter()
            .map(|((session, attempt, grace), g)| {
                let prefix = g.prefix();
                let rest: Vec<&str> = g.hosts.iter().map(|(h, _)| &h[prefix.len()..]).collect();
                let mut counts: Vec<u32> = g.hosts.iter().map(|(_, n)| *n).collect();
                if counts.iter().all(|n| *n == 1) {
                    counts.clear();
                }
                let names = rest.join(" ");
                (prefix, session, attempt, grace, g.runs, names, counts)
            })
            .collect();
        out
    }
}

impl From<Packed> for Block {
    fn from(p: Packed) -> Block {
        let len = p.len.min(MAX_TASKS);
        let mut b = Block(vec![Slot::Waiting(0); len as usize]);
        for (a, runs) in &p.waiting {
            each_run(runs, len, |i| b.0[i] = Slot::Waiting(*a));
        }
        for (prefix, session, attempt, grace, runs, names, counts) in &p.placed {
            let mut hosts = names.split(' ').enumerate().flat_map(|(k, rest)| {
                let host: HostId = format!("{prefix}{rest}").into();
                let n = counts.get(k).copied().unwrap_or(1).min(len);
                std::iter::repeat_n(host, n as usize)
            });
            each_run(runs, len, |i| {
                if let Some(host) = hosts.next() {
                    b.0[i] = Slot::Placed(Placement {
                        attempt: *attempt,
                        host,
                        session: *session,
                        stop: grace.checked_sub(1).map(|ms| ms * 1000),
                    });
                }
            });
        }
        each_run(&p.done, len, |i| b.0[i] = Slot::Done);
        b
    }
}

/// A block as it stands in the state service. Every form is read for ever; which one is written
/// depends on what the other controllers read and on the limits.
#[derive(Clone, Debug, PartialEq)]
pub enum Stored {
    /// Slot by slot: what every version reads.
    Plain(Block),
    /// Equal slots together.
    Packed(Block),
    /// The slots are in keys of their own, so many in each.
    Split(u32),
}

impl Serialize for Stored {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            Stored::Plain(b) => b.serialize(s),
            Stored::Packed(b) => Packed::from(b).serialize(s),
            Stored::Split(n) => Packed {
                split: *n,
                ..Packed::default()
            }
            .serialize(s),
        }
    }
}

impl<'de> Deserialize<'de> for Stored {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Stored, D::Error> {
        struct Any;
        impl<'de> serde::de::Visitor<'de> for Any {
            type Value = Stored;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a block")
            }
            fn visit_seq<A: serde::de::SeqAccess<'de>>(self, mut a: A) -> Result<Stored, A::Error> {
                let mut b = Block::default();
                while let Some(w) = a.next_element::<Wire>()? {
                    b.0.push(w.into());
                }
                Ok(Stored::Plain(b))
            }
            fn visit_map<A: serde::de::MapAccess<'de>>(self, a: A) -> Result<Stored, A::Error> {
                let p = Packed::deserialize(serde::de::value::MapAccessDeserializer::new(a))?;
                Ok(match p.split {
                    0 => Stored::Packed(p.into()),
                    n => Stored::Split(n.min(BLOCK)),
                })
            }
        }
        d.deserialize_any(Any)
    }
}

/// How many blocks a job has.
pub fn blocks(tasks: u32) -> u32 {
    tasks.div_ceil(BLOCK)
}

/// An empty block: the slots of block `n` of a job.
pub fn fresh(tasks: u32, n: u32) -> Block {
    let len = tasks.saturating_sub(n * BLOCK).min(BLOCK);
    Block(vec![Slot::Waiting(0); len as usize])
}

/// What a job's key holds: its specification and its first block, so that a small job is one key.
/// An empty block stands for one of which nothing was written yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record(pub Spec, pub Block);

/// The same as it is read, whatever version wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnyRecord(pub Spec, pub Stored);

/// How a job ended. Kept for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Final {
    /// Withdrawn rather than done.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Tasks done.
    #[serde(rename = "d")]
    pub done: u32,
    /// Time of day of the end: the jobs that waited for this one count from here. 0 if the version
    /// that wrote it did not say.
    #[serde(rename = "at", default, skip_serializing_if = "is_never")]
    pub at: Micros,
}

fn is_never(at: &Micros) -> bool {
    *at == 0
}

/// A task's name on the wire.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

/// Reads a task's name.
pub fn parse_task(name: &str) -> Option<(&str, u32)> {
    let (job, i) = name.rsplit_once('/')?;
    Some((job, i.parse().ok()?))
}

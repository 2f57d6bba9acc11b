//! Jobs as the program keeps them: specification, blocks of task slots, final state.

use crate::ids::MachineId;
use crate::settings::{Settings, milli};
use crate::time::{Micros, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::user::{JobKind, Priority, Submission, valid_id};
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
pub struct Resources {
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

impl Resources {
    /// Whether `need` fits into this.
    pub fn fits(&self, need: &Resources) -> bool {
        self.cpus >= need.cpus && self.gpus >= need.gpus && self.memory >= need.memory
    }
    /// Takes `need` away.
    pub fn subtract(&mut self, need: &Resources) {
        self.cpus -= need.cpus;
        self.gpus -= need.gpus;
        self.memory -= need.memory;
    }
    /// Gives `need` back.
    pub fn add(&mut self, need: &Resources) {
        self.cpus += need.cpus;
        self.gpus += need.gpus;
        self.memory += need.memory;
    }
    /// What so many tasks take together.
    pub fn for_tasks(&self, n: i64) -> Resources {
        Resources {
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
    pub fn count_fitting(&self, need: &Resources) -> i64 {
        let f = |have: i64, n: i64| if n > 0 { have / n } else { i64::MAX };
        f(self.cpus, need.cpus)
            .min(f(self.gpus, need.gpus))
            .min(f(self.memory, need.memory))
            .clamp(0, i64::from(MAX_TASKS))
    }
    /// The room of a whole machine.
    pub fn of_machine(t: &MachineType) -> Resources {
        Resources {
            cpus: (t.cpus * 1000.0 + 1e-6).floor() as i64,
            gpus: (t.gpus * 1000.0 + 1e-6).floor() as i64,
            memory: (t.memory_gb * 1000.0 + 1e-6).floor() as i64,
        }
    }
}

/// What the tasks on one machine come to: kept as they change, so that nobody has to look at each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineUsage {
    /// What they take.
    pub used: Resources,
    /// Tasks of services.
    pub services: u32,
    /// CPUs that services take.
    pub service_cpus: i64,
    /// CPUs of arrays that make way for services.
    pub preemptible_cpus: i64,
    /// Tasks that are guests on machines with GPUs.
    pub backfills: u32,
}

impl MachineUsage {
    /// One more task of a job.
    pub fn add(&mut self, s: &JobSpec) {
        self.used.add(&s.resources);
        self.services += u32::from(s.kind == JobKind::Service);
        self.service_cpus += s.service_cpus();
        self.preemptible_cpus += s.low_cpus();
        self.backfills += u32::from(s.backfill());
    }
    /// One less.
    pub fn remove(&mut self, s: &JobSpec) {
        self.used.subtract(&s.resources);
        self.services -= u32::from(s.kind == JobKind::Service);
        self.service_cpus -= s.service_cpus();
        self.preemptible_cpus -= s.low_cpus();
        self.backfills -= u32::from(s.backfill());
    }
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Class of jobs.
    #[serde(rename = "cl")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "k")]
    pub kind: JobKind,
    /// Class rank.
    #[serde(rename = "r")]
    pub priority: Priority,
    /// Tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// What each takes.
    #[serde(rename = "q")]
    pub resources: Resources,
    /// Image.
    #[serde(rename = "i")]
    pub image: String,
    /// Size of the image in thousandths of a gigabyte.
    #[serde(rename = "ig")]
    pub image_size: i64,
    /// Allowed machine types.
    #[serde(rename = "ty")]
    pub machine_types: Option<Vec<String>>,
    /// Only allowed zone.
    #[serde(rename = "z")]
    pub zone: Option<String>,
    /// All in one zone.
    #[serde(rename = "oz")]
    pub single_zone: bool,
    /// At most half in one zone.
    #[serde(rename = "sp")]
    pub zone_spread: bool,
    /// Spot allowed.
    #[serde(rename = "s")]
    pub allow_spot: bool,
    /// Estimated run time.
    #[serde(rename = "e")]
    pub estimated_run_time: Micros,
    /// Checkpoint interval.
    #[serde(rename = "cp")]
    pub checkpoint_interval: Micros,
    /// Time to save.
    #[serde(rename = "sv")]
    pub checkpoint_save_time: Micros,
    /// Deadline after submission.
    #[serde(rename = "d")]
    pub deadline: Option<Micros>,
    /// Time of day of the submission.
    #[serde(rename = "at")]
    pub submitted_at: Micros,
    /// Withdrawn by its user.
    #[serde(rename = "x", default)]
    pub cancelled: bool,
    /// Jobs that must be done before any task of it starts, as far as they were not done when it was
    /// submitted. Written only once every controller knows pipelines.
    #[serde(rename = "w", default, skip_serializing_if = "Dependencies::is_empty")]
    pub dependencies: Dependencies,
}

/// Jobs that a job waits for. What does not fit into the job's record is in keys of its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Dependencies {
    /// Their ids.
    #[serde(rename = "j", default)]
    pub jobs: JobIdList,
    /// How many further keys hold more of them.
    #[serde(rename = "k", default)]
    pub keys: u32,
}

impl Dependencies {
    /// Whether it waits for none.
    pub fn is_empty(&self) -> bool {
        self.jobs.0.is_empty() && self.keys == 0
    }
}

/// Job ids, written as one text of what differs between them: long lists take a few bytes an id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobIdList(pub Vec<JobId>);

const ID_PREFIX: &str = "req-";

impl Serialize for JobIdList {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let list: Vec<&str> = self
            .0
            .iter()
            .map(|j| j.strip_prefix(ID_PREFIX).unwrap_or(j))
            .collect();
        s.serialize_str(&list.join(" "))
    }
}

impl<'de> Deserialize<'de> for JobIdList {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<JobIdList, D::Error> {
        let text = String::deserialize(d)?;
        Ok(JobIdList(
            text.split_ascii_whitespace()
                .map(|j| format!("{ID_PREFIX}{j}").into())
                .collect(),
        ))
    }
}

impl JobSpec {
    /// Whether its tasks may stay on machines with GPUs as guests: they save when they are stopped,
    /// and everybody who needs GPUs ranks above them, so they are sent away when these come or when
    /// the machine is to be returned. Nobody else without need of GPUs may hold so dear a machine.
    pub fn backfill(&self) -> bool {
        self.resources.gpus == 0
            && self.kind == JobKind::Array
            && self.priority == Priority::Low
            && self.checkpoint_interval > 0
    }
    /// CPUs of a task, if it is a service's.
    fn service_cpus(&self) -> i64 {
        match self.kind {
            JobKind::Service => self.resources.cpus,
            _ => 0,
        }
    }
    /// CPUs of a task, if it makes way for services.
    fn low_cpus(&self) -> i64 {
        match self.kind {
            JobKind::Array if self.priority >= Priority::Normal => self.resources.cpus,
            _ => 0,
        }
    }
    /// Whether what tasks come to on a machine is the same for both.
    pub fn weighs_as(&self, other: &JobSpec) -> bool {
        let what = |s: &JobSpec| {
            (
                s.task_count,
                s.resources,
                s.kind,
                s.priority,
                s.checkpoint_interval > 0,
            )
        };
        what(self) == what(other) && self.team == other.team
    }
}

/// Amounts that differ by less are the same.
const TINY: f64 = 1e-6;

/// Why a submission is refused for good.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum AdmissionError {
    /// Answered 400.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// Answered 422.
    #[error("can never run: {0}")]
    Impossible(&'static str),
}

/// Checks a submission against settings and machine types.
pub fn validate(
    s: &Submission,
    settings: &Settings,
    types: &BTreeMap<String, MachineType>,
    now: Micros,
) -> Result<JobSpec, AdmissionError> {
    use AdmissionError::{Impossible, Malformed};
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
    if s.task_count == 0 || s.task_count > MAX_TASKS {
        return Err(Malformed("number of tasks"));
    }
    for (text, name) in [(&s.class, "class"), (&s.team, "team"), (&s.image, "image")] {
        if text.is_empty() || text.len() > 1024 {
            return Err(Malformed(name));
        }
    }
    let room = Resources {
        cpus: milli(amount(s.cpus, 1e6, "CPUs")?),
        gpus: milli(amount(s.gpus, 1e6, "GPUs")?),
        memory: milli(amount(s.memory_gb, 1e7, "memory")?),
    };
    let long = 1e9;
    let image_gb = amount(s.image_gb, 1e7, "image size")?;
    let estimate = amount(s.estimated_run_time_s, long, "estimate")?;
    let checkpoint = amount(s.checkpoint_interval_s, long, "checkpoint interval")?;
    let save = amount(s.checkpoint_save_time_s, long, "time to save")?;
    let deadline = s
        .deadline_s
        .map(|d| amount(d, long, "deadline"))
        .transpose()?;
    let team = settings.team(&s.team).ok_or(Impossible("unknown team"))?;
    // Only names that exist are kept: a record stays small whatever the list held.
    let allowed: Option<Vec<String>> = s.machine_types.as_ref().map(|l| {
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
        allowed.as_ref().is_none_or(|l| l.contains(&t.name))
            && s.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && Resources::of_machine(t).fits(&room)
            // To the last digit: what is kept of the amounts is rounded.
            && [(s.cpus, t.cpus), (s.gpus, t.gpus), (s.memory_gb, t.memory_gb)]
                .iter()
                .all(|(need, have)| *need <= *have + TINY)
    });
    if !fits {
        return Err(Impossible("a task fits no allowed machine type"));
    }
    let at_once = if s.kind == JobKind::Array {
        1
    } else {
        i64::from(s.task_count)
    };
    let over = |need: f64, kept: i64, max: i64| {
        let all = need * at_once as f64 * 1000.0;
        max > 0 && (kept.saturating_mul(at_once) > max || all > max as f64 + TINY)
    };
    if over(s.cpus, room.cpus, team.cpus_max) || over(s.gpus, room.gpus, team.gpus_max) {
        return Err(Impossible("more than the team's limit"));
    }
    Ok(JobSpec {
        class: s.class.clone(),
        team: s.team.clone(),
        kind: s.kind,
        priority: s.priority,
        task_count: s.task_count,
        resources: room,
        image: s.image.clone(),
        image_size: milli(image_gb),
        machine_types: allowed,
        zone: s.zone.clone(),
        single_zone: s.single_zone,
        zone_spread: s.zone_spread,
        allow_spot: s.allow_spot,
        estimated_run_time: from_secs(estimate),
        checkpoint_interval: from_secs(checkpoint),
        checkpoint_save_time: from_secs(save),
        deadline: deadline.map(from_secs),
        submitted_at: now,
        cancelled: false,
        dependencies: Dependencies::default(),
    })
}

/// Where an attempt was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Attempt.
    pub attempt: u32,
    /// Machine.
    pub machine: MachineId,
    /// Its session.
    pub session: u64,
    /// Asked to stop, with this grace.
    pub stop: Option<Micros>,
}

/// A task's slot in its block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// On no machine; so many attempts were made.
    Waiting(u32),
    /// On a machine, or about to be.
    Placed(Placement),
    /// Completed.
    Done,
}

impl TaskState {
    /// The last attempt used.
    pub fn attempt(&self) -> u32 {
        match self {
            TaskState::Waiting(a) => *a,
            TaskState::Placed(p) => p.attempt,
            TaskState::Done => 0,
        }
    }
}

/// Up to `BLOCK` slots, one value of the state service.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct TaskBlock(pub Vec<TaskState>);

/// How a slot is written: kind, attempt, machine, session, grace in milliseconds plus 1.
type Wire = (u8, u32, String, u64, u64);

impl Serialize for TaskBlock {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_seq(self.0.iter().map(|x| -> Wire {
            match x {
                TaskState::Waiting(a) => (0, *a, String::new(), 0, 0),
                TaskState::Placed(p) => (
                    1,
                    p.attempt,
                    p.machine.to_string(),
                    p.session,
                    p.stop.map_or(0, |g| g / 1000 + 1),
                ),
                TaskState::Done => (2, 0, String::new(), 0, 0),
            }
        }))
    }
}

impl From<Wire> for TaskState {
    fn from((k, attempt, machine, session, stop): Wire) -> TaskState {
        match k {
            1 => TaskState::Placed(Placement {
                attempt,
                machine: machine.into(),
                session,
                stop: stop.checked_sub(1).map(|ms| ms * 1000),
            }),
            2 => TaskState::Done,
            _ => TaskState::Waiting(attempt),
        }
    }
}

impl<'de> Deserialize<'de> for TaskBlock {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<TaskBlock, D::Error> {
        let raw: Vec<Wire> = Vec::deserialize(d)?;
        Ok(TaskBlock(raw.into_iter().map(TaskState::from).collect()))
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
    machines: Vec<(&'a str, u32)>,
}

impl Group<'_> {
    /// What all names begin with.
    fn prefix(&self) -> String {
        let mut names = self.machines.iter().map(|(h, _)| *h);
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

impl From<&TaskBlock> for Packed {
    fn from(b: &TaskBlock) -> Packed {
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
                TaskState::Waiting(0) => {}
                TaskState::Waiting(a) => {
                    let (runs, end) = waiting.entry(*a).or_default();
                    add_run(runs, end, i);
                }
                TaskState::Done => add_run(&mut out.done, &mut done_end, i),
                TaskState::Placed(p) => {
                    let grace = p.stop.map_or(0, |g| g / 1000 + 1);
                    let g = placed.entry((p.session, p.attempt, grace)).or_default();
                    add_run(&mut g.runs, &mut g.end, i);
                    match g.machines.last_mut() {
                        Some((h, n)) if **h == *p.machine => *n += 1,
                        _ => g.machines.push((&p.machine, 1)),
                    }
                }
            }
        }
        out.waiting = waiting.into_iter().map(|(a, (r, _))| (a, r)).collect();
        out.placed = placed
            .into_iter()
            .map(|((session, attempt, grace), g)| {
                let prefix = g.prefix();
                let rest: Vec<&str> = g.machines.iter().map(|(h, _)| &h[prefix.len()..]).collect();
                let mut counts: Vec<u32> = g.machines.iter().map(|(_, n)| *n).collect();
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

impl From<Packed> for TaskBlock {
    fn from(p: Packed) -> TaskBlock {
        let len = p.len.min(MAX_TASKS);
        let mut b = TaskBlock(vec![TaskState::Waiting(0); len as usize]);
        for (a, runs) in &p.waiting {
            each_run(runs, len, |i| b.0[i] = TaskState::Waiting(*a));
        }
        for (prefix, session, attempt, grace, runs, names, counts) in &p.placed {
            let mut machines = names.split(' ').enumerate().flat_map(|(k, rest)| {
                let machine: MachineId = format!("{prefix}{rest}").into();
                let n = counts.get(k).copied().unwrap_or(1).min(len);
                std::iter::repeat_n(machine, n as usize)
            });
            each_run(runs, len, |i| {
                if let Some(machine) = machines.next() {
                    b.0[i] = TaskState::Placed(Placement {
                        attempt: *attempt,
                        machine,
                        session: *session,
                        stop: grace.checked_sub(1).map(|ms| ms * 1000),
                    });
                }
            });
        }
        each_run(&p.done, len, |i| b.0[i] = TaskState::Done);
        b
    }
}

/// A block as it stands in the state service. Every form is read for ever; which one is written
/// depends on what the other controllers read and on the limits.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredBlock {
    /// Slot by slot: what every version reads.
    Plain(TaskBlock),
    /// Equal slots together.
    Packed(TaskBlock),
    /// The slots are in keys of their own, so many in each.
    Split(u32),
}

impl Serialize for StoredBlock {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        match self {
            StoredBlock::Plain(b) => b.serialize(s),
            StoredBlock::Packed(b) => Packed::from(b).serialize(s),
            StoredBlock::Split(n) => Packed {
                split: *n,
                ..Packed::default()
            }
            .serialize(s),
        }
    }
}

impl<'de> Deserialize<'de> for StoredBlock {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<StoredBlock, D::Error> {
        struct Any;
        impl<'de> serde::de::Visitor<'de> for Any {
            type Value = StoredBlock;
            fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str("a block")
            }
            fn visit_seq<A: serde::de::SeqAccess<'de>>(
                self,
                mut a: A,
            ) -> Result<StoredBlock, A::Error> {
                let mut b = TaskBlock::default();
                while let Some(w) = a.next_element::<Wire>()? {
                    b.0.push(w.into());
                }
                Ok(StoredBlock::Plain(b))
            }
            fn visit_map<A: serde::de::MapAccess<'de>>(
                self,
                a: A,
            ) -> Result<StoredBlock, A::Error> {
                let p = Packed::deserialize(serde::de::value::MapAccessDeserializer::new(a))?;
                Ok(match p.split {
                    0 => StoredBlock::Packed(p.into()),
                    n => StoredBlock::Split(n.min(BLOCK)),
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
pub fn fresh(tasks: u32, n: u32) -> TaskBlock {
    let len = tasks.saturating_sub(n * BLOCK).min(BLOCK);
    TaskBlock(vec![TaskState::Waiting(0); len as usize])
}

/// What a job's key holds: its specification and its first block, so that a small job is one key.
/// An empty block stands for one of which nothing was written yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord(pub JobSpec, pub TaskBlock);

/// The same as it is read, whatever version wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredJobRecord(pub JobSpec, pub StoredBlock);

/// How a job ended. Kept for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FinishedJob {
    /// Withdrawn rather than done.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Tasks done.
    #[serde(rename = "d")]
    pub done: u32,
    /// Time of day of the end: the jobs that waited for this one count from here. 0 if the version
    /// that wrote it did not say.
    #[serde(rename = "at", default, skip_serializing_if = "is_never")]
    pub finished_at: Micros,
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

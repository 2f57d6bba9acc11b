//! Jobs as the program keeps them: specification, blocks of task slots, final state.

use crate::settings::{Settings, milli};
use crate::time::{Micros, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::user::{Rank, Shape, Submission, valid_id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Job id.
pub type JobId = Rc<str>;

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
}

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
    });
    if !fits {
        return Err(Impossible("a task fits no allowed machine type"));
    }
    let at_once = if s.shape == Shape::Array {
        1
    } else {
        i64::from(s.shards)
    };
    let over = |need: i64, max: i64| max > 0 && need.saturating_mul(at_once) > max;
    if over(room.cpus, team.cpus_max) || over(room.gpus, team.gpus_max) {
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
    })
}

/// Where an attempt was placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Attempt.
    pub attempt: u32,
    /// Machine.
    pub host: Rc<str>,
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

impl<'de> Deserialize<'de> for Block {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Block, D::Error> {
        let raw: Vec<Wire> = Vec::deserialize(d)?;
        Ok(Block(
            raw.into_iter()
                .map(|(k, attempt, host, session, stop)| match k {
                    1 => Slot::Placed(Placement {
                        attempt,
                        host: host.into(),
                        session,
                        stop: stop.checked_sub(1).map(|ms| ms * 1000),
                    }),
                    2 => Slot::Done,
                    _ => Slot::Waiting(attempt),
                })
                .collect(),
        ))
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

/// How a job ended. Kept for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Final {
    /// Withdrawn rather than done.
    #[serde(rename = "x")]
    pub cancelled: bool,
    /// Tasks done.
    #[serde(rename = "d")]
    pub done: u32,
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

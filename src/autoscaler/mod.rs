//! Machines of the cloud: what to rent and what to return. The decisions are pure; the leader
//! carries them out.

pub mod model;
pub mod reconciler;

use crate::ids::MachineId;
use crate::jobs::model::{JobSpec, Resources};
use crate::membership::shard_of;
use crate::policy::Policy;
use crate::quota;
use crate::scheduling::{self, Schedule, backfill_only};
use crate::settings::{Objective, ObjectiveKind, Team};
use crate::store::cluster_state::{ClusterState, Job};
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use crate::wire::user::{JobKind, Priority};
use foldhash::{HashMap, HashMapExt, HashSet};
use model::{MachineRecord, MachineState, ScaleOutRequest, TerminationBatch};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader decides on.
pub struct CapacityForecast<'a> {
    /// The view.
    pub view: &'a ClusterState,
    /// Placement on all machines, those booting included.
    pub schedule: &'a Schedule,
    /// Policy.
    pub policy: &'a Policy,
    /// Aims of the classes.
    pub objectives: &'a [Objective],
    /// Teams.
    pub teams: &'a [Team],
    /// Time of day.
    pub wall_clock: Micros,
    /// Whether a combination of type, zone and kind was refused just now.
    pub refused: &'a dyn Fn(&str, &str, bool) -> bool,
    /// Since when each machine has been empty.
    pub idle_since: &'a HashMap<MachineId, Micros>,
    /// Machines whose names fit into one charter.
    pub machines_per_request: usize,
    /// Whether a machine is known to be up although its key says that it boots.
    pub known_up: &'a dyn Fn(&MachineId) -> bool,
}

/// What to do.
#[derive(Debug, Default, PartialEq)]
pub struct ScalingDecision {
    /// Machines to rent.
    pub scale_out: Vec<ScaleOutRequest>,
    /// Machines to return.
    pub scale_in: Vec<MachineId>,
    /// Machines that should take nothing new.
    pub cordon: Vec<MachineId>,
    /// Closing machines that should go on.
    pub uncordon: Vec<MachineId>,
}

/// A machine that does not come up is given up after so many times its usual boot time, and a while.
const BOOT_TIMES: u64 = 3;
const BOOT_GRACE: Micros = 15 * SECOND;
/// Spot machines replace ordinary ones only well below their price.
const SWAP_BELOW: f64 = 0.7;
/// So many machines' worth of room stays open when machines are closed.
const CLOSE_MARGIN: f64 = 1.5;
/// Idle machines with GPUs that stay, as a share of those in use.
const GPU_MARGIN: f64 = 0.1;
/// The shortest time that a machine is charged for.
const LEAST: Micros = 60 * SECOND;

/// A job bound to a zone is rented for even where its work would fill less of a machine.
const BOUND_LEAST: f64 = 0.2;
/// Work that waited for so long gets what room there is, also on machines that close.
const OVERDUE: Micros = 45 * SECOND;

/// The cloud rents so many machines at most for one request.
const MOST: u64 = 50;

/// A missing lot of tasks of one kind.
struct Missing<'a> {
    types: Vec<&'a MachineType>,
    /// The zones in which they help; any if there are none.
    zones: Option<Vec<&'a str>>,
    spot: bool,
    room: Resources,
    tasks: u32,
    /// Machines that should come, as a fraction.
    wanted: f64,
}

/// The zones in which a machine helps a job now, if it does not in all: its only one, where the rest of it is, or
/// where it may have more tasks.
fn bound<'a>(v: &'a ClusterState, j: &Job, types: &[&'a MachineType]) -> Option<Vec<&'a str>> {
    let s = &j.spec;
    if s.zone.is_none() && !s.zone_spread && !(s.single_zone && j.placed > 0) {
        return None;
    }
    let mut all: Vec<&str> = types
        .iter()
        .flat_map(|t| &t.zones)
        .map(String::as_str)
        .collect();
    all.sort_unstable();
    all.dedup();
    let count = all.len();
    scheduling::retain_open_zones(v, j, &mut all);
    (all.len() < count).then_some(all)
}

/// Work of one job as it should flow.
#[derive(Clone)]
struct Flow<'a> {
    rank: Priority,
    /// Seconds in which it should drain.
    horizon: f64,
    /// Machine seconds.
    work: f64,
    /// Its team, and the machines that the team's limit lets such tasks fill at once.
    limit: Option<(&'a str, f64)>,
}

/// Work of one team with a limit: what of it gets done in a time is bounded, however much waits.
#[derive(Default)]
struct Bounded {
    work: f64,
    /// Machine seconds times machines at once: their mean is weighted by the work.
    weight: f64,
}

impl Bounded {
    fn add(&mut self, work: f64, machines: f64) {
        self.work += work;
        self.weight += work * machines;
    }
    fn within(&self, horizon: f64) -> f64 {
        if self.work <= 0.0 {
            return 0.0;
        }
        self.work.min(self.weight / self.work * horizon)
    }
}

/// Batch work that the same machine types can take.
struct Pool<'a> {
    types: Vec<&'a MachineType>,
    load: Vec<Flow<'a>>,
    /// Machines that the tasks without a place would fill.
    whole: f64,
    /// Machines of the largest gang.
    gang: f64,
    /// Machines that all waiting tasks would fill.
    waits: f64,
    spot: bool,
    /// All of the pool's work may use spot machines.
    all_spot: bool,
    /// Ordinary machines for which gangs wait that keep off spot machines.
    dear: f64,
    room: Resources,
    tasks: u32,
    /// Tasks without a place of jobs that are bound to zones.
    bound: u32,
    /// Machines that tasks without a place would fill, of jobs that have waited for long.
    overdue: f64,
}

impl<'a> Pool<'a> {
    fn new(types: Vec<&'a MachineType>) -> Pool<'a> {
        Pool {
            types,
            load: Vec::new(),
            whole: 0.0,
            gang: 0.0,
            waits: 0.0,
            spot: true,
            all_spot: true,
            dear: 0.0,
            overdue: 0.0,
            bound: 0,
            room: Resources::default(),
            tasks: 0,
        }
    }

    /// Spot machines in place of ordinary ones that run only work which may use them: they were
    /// refused, or taken, when the ordinary ones were rented. These close once the others are up.
    fn swap(&self, o: &CapacityForecast<'a>) -> Option<Missing<'a>> {
        if !self.all_spot || !o.policy.use_spot {
            return None;
        }
        let dear = o
            .view
            .machines
            .iter()
            .filter(|(id, h)| {
                h.state == MachineState::Up
                    && !h.spot
                    && self.types.iter().any(|t| t.name == h.machine_type)
                    && services_on(o, id) == 0
                    && o.view.tasks_on(id).is_some()
            })
            .count();
        let coming = o
            .view
            .machines
            .values()
            .any(|h| h.state == MachineState::Booting && h.spot);
        let types: Vec<&MachineType> = self
            .types
            .iter()
            .filter(|t| {
                t.spot_price_per_hour
                    .is_some_and(|p| p < t.price_per_hour * SWAP_BELOW)
            })
            .filter(|t| t.zones.iter().any(|z| !(o.refused)(&t.name, z, true)))
            .copied()
            .collect();
        if dear == 0 || coming || types.is_empty() {
            return None;
        }
        Some(Missing {
            types,
            zones: None,
            spot: true,
            room: self.room,
            tasks: dear as u32,
            wanted: 1.0,
        })
    }

    /// Machines beyond what the work needs, when everything has its place: work is drawn together
    /// on the others, so that these become empty.
    fn surplus(&self, o: &CapacityForecast<'_>, keep: &mut i64) -> Vec<MachineId> {
        // Of machines with GPUs these are what counts: guests leave when they are asked to.
        let gpus = self.room.gpus > 0;
        let free: f64 = o
            .view
            .machines
            .iter()
            .filter(|(_, h)| h.state == MachineState::Up)
            .filter_map(|(id, h)| {
                let whole =
                    Resources::of_machine(self.types.iter().find(|t| t.name == h.machine_type)?);
                let free = o.schedule.free_resources.get(id)?;
                let (free, whole) = if gpus {
                    (free.gpus, whole.gpus)
                } else {
                    (free.cpus, whole.cpus)
                };
                Some(free.max(0) as f64 / whole.max(1) as f64)
            })
            .sum();
        // Tasks of gangs are not drawn together: what closes already is what this room is for. Counted
        // again at each look it would close every machine in use, and others would be rented.
        let closing = |h: &&MachineRecord| {
            h.state == MachineState::Closing && self.types.iter().any(|t| t.name == h.machine_type)
        };
        let closes = match gpus {
            true => o.view.machines.values().filter(closing).count(),
            false => 0,
        };
        let n = (free - CLOSE_MARGIN - closes as f64).max(0.0) as usize;
        let mut list: Vec<(bool, usize, &MachineId, i64)> = o
            .view
            .machines
            .iter()
            .filter(|(id, h)| {
                h.state == MachineState::Up
                    && services_on(o, id) == 0
                    && o.wall_clock.saturating_sub(h.rented_at) >= LEAST / 2
                    && o.view.tasks_on(id).is_some()
            })
            .filter_map(|(id, h)| {
                let t = self.types.iter().find(|t| t.name == h.machine_type)?;
                let tasks = match o.view.tasks_on(id) {
                    Some(_) if gpus && backfill_only(o.view, id, h) => 0,
                    Some(t) => t.len(),
                    None => 0,
                };
                let room = if ordinary(o, h) {
                    Resources::of_machine(t).cpus
                } else {
                    0
                };
                Some((h.spot, tasks, id, room))
            })
            .collect();
        // The dear ones first, and those with the least on them.
        list.sort();
        let mut out = Vec::new();
        for (_, _, id, room) in list.into_iter().take(n) {
            if *keep >= room {
                *keep -= room;
                out.push(id.clone());
            }
        }
        out
    }

    /// Machines with GPUs beyond those in use, those that what waits can fill, and a margin: they
    /// are the dearest, so they do not stand idle, or with guests, for the usual while.
    fn idle(&self, o: &CapacityForecast<'_>) -> Vec<MachineId> {
        if self.room.gpus == 0 {
            return Vec::new();
        }
        let (mut busy, mut idle) = (0usize, Vec::new());
        for (id, h) in &o.view.machines {
            if h.state != MachineState::Up || !self.types.iter().any(|t| t.name == h.machine_type) {
                continue;
            }
            if !backfill_only(o.view, id, h) {
                busy += 1;
            } else if o.wall_clock.saturating_sub(h.rented_at) >= LEAST {
                idle.push((h.spot, id));
            }
        }
        let need = self.waits + busy as f64 * GPU_MARGIN;
        let n = idle.len().saturating_sub(need.ceil() as usize);
        idle.sort();
        let dear = idle.iter().filter(|x| !x.0).count();
        idle.drain(..dear.min(self.dear.ceil() as usize));
        idle.truncate(n);
        idle.into_iter().map(|x| x.1.clone()).collect()
    }

    /// Machines that should come, seen as a flow: what the machines at hand get through in time
    /// is not rented for; what they do not is shared out over the time left once others are up.
    fn lack(&self, o: &CapacityForecast<'_>) -> f64 {
        let mut have = 0.0;
        let mut count = 0.0;
        for (id, h) in &o.view.machines {
            let Some(t) = self.types.iter().find(|t| t.name == h.machine_type) else {
                continue;
            };
            if !matches!(h.state, MachineState::Up | MachineState::Booting) {
                continue;
            }
            let whole = Resources::of_machine(t);
            let services = services_on(o, id);
            count += 1.0;
            have += 1.0 - (services as f64 / whole.cpus.max(1) as f64).min(1.0);
        }
        let boot = self.types.iter().map(|t| t.boot_time_s).fold(0.0, f64::max);
        let mut load = self.load.clone();
        load.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.horizon.total_cmp(&b.horizon)));
        let mut free = 0.0;
        let mut bounded: BTreeMap<&str, Bounded> = BTreeMap::new();
        let mut lack: f64 = 0.0;
        for f in load {
            let h = f.horizon;
            match f.limit {
                Some((team, machines)) => bounded.entry(team).or_default().add(f.work, machines),
                None => free += f.work,
            }
            let work = free + bounded.values().map(|b| b.within(h)).sum::<f64>();
            lack = lack.max((work - have * h) / (h - boot).max(h / 2.0));
        }
        lack.max(self.gang - count).clamp(0.0, self.whole)
    }
}

/// CPUs that services take on a machine.
fn services_on(o: &CapacityForecast<'_>, id: &MachineId) -> i64 {
    o.view.usage(id).service_cpus
}

/// Types that a job may be given machines of.
fn candidates<'a>(v: &'a ClusterState, s: &JobSpec) -> Vec<&'a MachineType> {
    let mut types: Vec<&MachineType> = v
        .machine_types
        .values()
        .filter(|t| {
            s.machine_types.as_ref().is_none_or(|l| l.contains(&t.name))
                && Resources::of_machine(t).fits(&s.resources)
        })
        .collect();
    // Machines with GPUs cost several times as much: not for those who could do without.
    if s.resources.gpus == 0 && types.iter().any(|t| t.gpus == 0.0) {
        types.retain(|t| t.gpus == 0.0);
    }
    types
}

/// A machine that boots for longer than so many tenths of its usual time is late; it is given up after
/// `LATE_GONE`, if others of its type that were rented no earlier are up.
const LATE: u64 = 17;
const LATE_GONE: u64 = 25;
/// That a machine is up is written so much later where writes are short.
pub const UP_MAX: Micros = 20 * SECOND;
/// The same while its owner's messages tell the others: in the ramp of a large fleet a quarter of all
/// changes said so, one machine at a time, and services waited for these.
pub const UP_TOLD: Micros = 90 * SECOND;

/// Machines that will hardly come up: they are late, and others of their type, rented at the same time or
/// later, are up. A gang would wait for one of them until it is given up, on all the others. If all are
/// late, that is how it is today, and nothing is rented twice.
pub fn late(
    v: &ClusterState,
    wall: Micros,
    tenths: u64,
    up: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    let mut newest: HashMap<&str, Micros> = HashMap::new();
    for h in v.machines.values().filter(|h| h.state == MachineState::Up) {
        let at = newest.entry(&h.machine_type).or_default();
        *at = h.rented_at.max(*at);
    }
    let is_late = |h: &MachineRecord| {
        let Some(t) = v.machine_types.get(&h.machine_type) else {
            return false;
        };
        h.state == MachineState::Booting
            && wall.saturating_sub(h.rented_at) > from_secs(t.boot_time_s) * tenths / 10 + UP_MAX
            && newest
                .get(h.machine_type.as_str())
                .is_some_and(|at| *at >= h.rented_at)
    };
    v.machines
        .iter()
        .filter(|(id, h)| is_late(h) && !up(id))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Those of which the forecast does not expect anything.
pub fn not_expected(
    v: &ClusterState,
    wall: Micros,
    up: &dyn Fn(&MachineId) -> bool,
) -> HashSet<MachineId> {
    late(v, wall, LATE, up)
}

/// Adds the write of a machine's key to a transaction, on condition that it is as the view has it.
pub fn put_machine(t: &mut Transaction, view: &ClusterState, id: &str, h: &MachineRecord) {
    let key = keys::machine(id);
    t.preconditions.push(view.precondition(key.as_str()));
    t.mutations.push(Mutation::Put {
        key,
        value: to_value(h),
        lease: None,
    });
}

/// The write that names machines as on their way back, on condition that some keys are as the view has
/// them. `name` is new each time.
pub fn mark_leaving(
    view: &ClusterState,
    name: &str,
    l: &TerminationBatch,
    held: Vec<String>,
) -> Transaction {
    let key = keys::termination_batch(name);
    let mut preconditions = vec![Precondition {
        key: key.clone(),
        version: 0,
    }];
    preconditions.extend(held.into_iter().map(|k| view.precondition(k)));
    Transaction {
        preconditions,
        mutations: vec![Mutation::Put {
            key,
            value: to_value(l),
            lease: None,
        }],
    }
}

/// The write that gives machines up, many at a time: when a zone falls, a write for each would take all
/// changes for seconds, while what ran there waits to be placed again. It holds only as long as the
/// terms of their parts do: a controller that was cut off may have it delivered a minute later.
pub fn declare_dead(view: &ClusterState, name: &str, names: Vec<MachineId>) -> Transaction {
    let shards: BTreeSet<u32> = names.iter().map(|id| shard_of(id)).collect();
    let l = TerminationBatch {
        machines: names,
        terminated: false,
        declared_dead: true,
    };
    mark_leaving(
        view,
        name,
        &l,
        shards.into_iter().map(keys::shard).collect(),
    )
}

/// Decides.
pub fn decide(o: &CapacityForecast<'_>) -> ScalingDecision {
    let mut out = ScalingDecision::default();
    let v = o.view;
    // Given up: never came up.
    let gone = late(v, o.wall_clock, LATE_GONE, o.known_up);
    for (id, h) in &v.machines {
        let ready = v
            .machine_types
            .get(&h.machine_type)
            .map_or(60 * SECOND, |t| from_secs(t.boot_time_s));
        if h.state == MachineState::Booting
            && (gone.contains(id)
                || o.wall_clock.saturating_sub(h.rented_at) > ready * BOOT_TIMES + BOOT_GRACE)
        {
            out.scale_in.push(id.clone());
        }
        // What fails its tasks, or is not needed, is returned once it is empty.
        let paid = o.wall_clock.saturating_sub(h.rented_at) >= LEAST;
        let leaving =
            h.state == MachineState::Quarantined || (h.state == MachineState::Closing && paid);
        if leaving && v.tasks_on(id).is_none() {
            out.scale_in.push(id.clone());
        }
    }
    let mut missing: Vec<Missing<'_>> = Vec::new();
    let mut pools: BTreeMap<Vec<&str>, Pool<'_>> = BTreeMap::new();
    let unplaced: HashMap<&str, u32> = o
        .schedule
        .unplaced
        .iter()
        .map(|(id, n)| (&**id, *n))
        .collect();
    // What teams' services hold of their limits is not there for anything else.
    let mut held: HashMap<&str, Resources> = HashMap::new();
    for j in v.jobs.values().filter(|j| j.spec.kind == JobKind::Service) {
        let n = i64::from(j.placed + j.queued());
        held.entry(&j.spec.team)
            .or_default()
            .add(&j.spec.resources.for_tasks(n));
    }
    for (id, j) in &v.jobs {
        let s = &j.spec;
        let lacking = unplaced.get(&**id).copied().unwrap_or(0);
        let service = s.kind == JobKind::Service;
        // The next steps of a pipeline count once those before them are about to end.
        let queued = v.queued_or_blocked(j);
        let soon = queued.saturating_sub(o.schedule.limited(id));
        if queued + j.placed == 0 || j.cancelled() || (service && lacking == 0) {
            continue;
        }
        let types = candidates(v, s);
        let Some(per) = types
            .iter()
            .map(|t| Resources::of_machine(t).count_fitting(&s.resources))
            .max()
        else {
            continue;
        };
        let per = per.max(1) as f64;
        let whole = f64::from(lacking) / per;
        if service || s.priority <= Priority::High {
            missing.push(Missing {
                zones: bound(v, j, &types),
                types,
                spot: s.allow_spot && o.policy.use_spot,
                room: s.resources,
                tasks: lacking,
                wanted: whole,
            });
            continue;
        }
        let default = if s.priority == Priority::Low {
            o.policy.drain_low
        } else {
            o.policy.drain_normal
        };
        let run = s.estimated_run_time.max(SECOND) as f64 / 1e6;
        let tasks = f64::from(queued) + f64::from(j.placed) / 2.0;
        let key: Vec<&str> = types.iter().map(|t| t.name.as_str()).collect();
        let zones = (lacking > 0).then(|| bound(v, j, &types)).flatten();
        let pool = pools.entry(key).or_insert_with(|| Pool::new(types));
        let spot = scheduling::may_use_spot(j);
        if s.allow_spot && !spot {
            pool.waits += f64::from(soon) / per;
            pool.dear += f64::from(soon) / per;
            pool.all_spot = false;
            // The forecast places a whole gang or none of it: what is free counts.
            let free: i64 = v
                .machines
                .iter()
                .filter(|(_, h)| !h.spot && pool.types.iter().any(|t| t.name == h.machine_type))
                .filter_map(|(id, _)| o.schedule.free_resources.get(id))
                // Guests leave when they are asked to: only GPUs count where they are needed.
                .map(|f| match s.resources.gpus {
                    0 => f.count_fitting(&s.resources),
                    n => f.gpus / n,
                })
                .sum();
            let short = i64::from(lacking) - free;
            if short > 0 {
                missing.push(Missing {
                    types: pool.types.clone(),
                    zones,
                    spot: false,
                    room: s.resources,
                    tasks: short as u32,
                    wanted: short as f64 / per,
                });
            }
            continue;
        }
        // A floor is for now: the flow says nothing of whether the machines at hand have room in one
        // piece. Tasks that take most of a machine never find any where small ones run.
        let starved = o.schedule.starved.get(id).copied().unwrap_or(0);
        if starved > 0 {
            missing.push(Missing {
                types: pool.types.clone(),
                zones: zones.clone(),
                spot: s.allow_spot && o.policy.use_spot,
                room: s.resources,
                tasks: starved,
                wanted: f64::from(starved) / per,
            });
        }
        let elsewhere = held.get(&*s.team).copied().unwrap_or_default();
        pool.load.push(Flow {
            rank: s.priority,
            horizon: horizon(o, s, default) as f64 / 1e6,
            work: tasks * run / per,
            limit: quota::at_once(o.teams, s, &elsewhere).map(|n| (&*s.team, n as f64 / per)),
        });
        if lacking > 0 && o.wall_clock.saturating_sub(j.waiting_since) > OVERDUE {
            pool.overdue += whole;
        }
        // What other zones get through is no help to it, and what is rented for all comes where it is cheapest:
        // a job bound to a zone that had lost its machines waited there for good.
        if zones.is_some() {
            let due = tasks * run / per / (horizon(o, s, default) as f64 / 1e6);
            missing.push(Missing {
                types: pool.types.clone(),
                zones,
                spot: s.allow_spot && o.policy.use_spot,
                room: s.resources,
                tasks: lacking,
                wanted: whole.min(due.max(BOUND_LEAST)),
            });
            pool.bound += lacking;
            continue;
        }
        pool.whole += whole;
        pool.waits += f64::from(soon) / per;
        if s.kind == JobKind::Gang {
            pool.gang = pool.gang.max(f64::from(s.task_count) / per);
        }
        pool.all_spot &= s.allow_spot && s.zone.is_none();
        pool.room = s.resources;
        if lacking > 0 {
            pool.spot &= s.allow_spot;
            pool.tasks += lacking;
        }
    }
    let mut keep = spare_have(o) - spare_need(o);
    for p in pools.into_values() {
        let idle = p.idle(o);
        for id in idle {
            // What has nothing on it and is paid for need not close first.
            if v.tasks_on(&id).is_none() {
                out.scale_in.push(id);
            } else {
                out.cordon.push(id);
            }
        }
        if p.tasks + p.bound == 0 {
            out.cordon.extend(p.surplus(o, &mut keep));
            if let Some(m) = p.swap(o) {
                missing.push(m);
            }
            continue;
        }
        let mut wanted = p.lack(o);
        let mut overdue = p.overdue;
        // What is closing is nearer than anything rented, and has room for what waited for long.
        for (id, h) in &v.machines {
            if wanted.max(overdue) > 0.2
                && h.state == MachineState::Closing
                && p.types.iter().any(|t| t.name == h.machine_type)
            {
                out.scale_in.retain(|x| x != id);
                out.uncordon.push(id.clone());
                wanted = (wanted - 1.0).max(0.0);
                overdue -= 1.0;
            }
        }
        missing.push(Missing {
            wanted,
            types: p.types,
            zones: None,
            spot: p.spot && o.policy.use_spot,
            room: p.room,
            tasks: p.tasks,
        });
    }
    // Room that services can have at once: free, or taken by what makes way for them.
    if let Some(m) = spare(o) {
        missing.push(m);
    }
    let mut total = v.machines.len() as u64
        + v.scale_out_requests
            .values()
            .filter(|c| c.open())
            .map(|c| u64::from(c.count))
            .sum::<u64>();
    // Sums by what can be rented for it.
    let mut sums: BTreeMap<(String, String, bool), f64> = BTreeMap::new();
    for m in &missing {
        let mut offers: Vec<(f64, &MachineType, &String, bool)> = Vec::new();
        for t in &m.types {
            for z in &t.zones {
                if m.zones.as_ref().is_some_and(|l| !l.contains(&z.as_str())) {
                    continue;
                }
                for spot in [true, false] {
                    if (spot && (!m.spot || t.spot_price_per_hour.is_none()))
                        || (o.refused)(&t.name, z, spot)
                    {
                        continue;
                    }
                    let price = if spot {
                        t.spot_price_per_hour.unwrap_or(t.price_per_hour)
                    } else {
                        t.price_per_hour
                    };
                    let per = Resources::of_machine(t)
                        .count_fitting(&m.room)
                        .max(1)
                        .min(i64::from(m.tasks.max(1)));
                    offers.push((price / per as f64, t, z, spot));
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, t, z, spot)) = offers.first() {
            *sums
                .entry((t.name.clone(), (*z).clone(), *spot))
                .or_default() += m.wanted;
        }
    }
    for ((kind, zone, spot), n) in sums {
        if v.scale_out_requests
            .values()
            .any(|c| c.open() && c.machine_type == kind && c.zone == zone && c.spot == spot)
        {
            continue;
        }
        let mut count = (n - 0.05).ceil().max(0.0) as u64;
        count = count
            .min(o.policy.max_machines.saturating_sub(total))
            .min(MOST)
            .min(o.machines_per_request as u64);
        if count > 0 {
            total += count;
            out.scale_out.push(ScaleOutRequest {
                machine_type: kind,
                zone,
                spot,
                count: count as u32,
                requested_at: o.wall_clock,
                machines: Vec::new(),
            });
        }
    }
    // Return what stands empty and is not about to be used.
    let given: HashSet<MachineId> = out.scale_in.iter().cloned().collect();
    for (id, h) in &v.machines {
        let Some(whole) = v
            .machine_types
            .get(&h.machine_type)
            .map(Resources::of_machine)
        else {
            continue;
        };
        // Guests leave when they are asked to; whoever needs the GPUs counts.
        let backfills = v.tasks_on(id).is_some();
        let empty = h.state == MachineState::Up
            && !given.contains(id)
            && backfill_only(v, id, h)
            && o.schedule.free_resources.get(id).is_some_and(|f| {
                if backfills || whole.gpus > 0 {
                    f.gpus == whole.gpus
                } else {
                    *f == whole
                }
            });
        let long = o
            .idle_since
            .get(id)
            .is_some_and(|at| o.wall_clock.saturating_sub(*at) > o.policy.idle_return);
        if !empty || !long || o.wall_clock.saturating_sub(h.rented_at) < LEAST {
            continue;
        }
        if !h.spot && whole.gpus == 0 {
            if keep < whole.cpus {
                continue;
            }
            keep -= whole.cpus;
        }
        if backfills {
            out.cordon.push(id.clone());
        } else {
            out.scale_in.push(id.clone());
        }
    }
    out
}

/// The time in which a class's backlog should drain: a part of what its aims allow.
fn horizon(o: &CapacityForecast<'_>, spec: &JobSpec, default: Micros) -> Micros {
    let wait = match spec.kind {
        JobKind::Gang => o.policy.gang_wait_share,
        _ => o.policy.wait_share,
    };
    o.objectives
        .iter()
        .filter(|x| x.class == spec.class)
        .filter_map(|x| match x.kind {
            ObjectiveKind::Finished => Some((x.within as f64 * o.policy.finish_share) as Micros),
            ObjectiveKind::Wait => Some((x.within as f64 * wait) as Micros),
            ObjectiveKind::Deadline => None,
        })
        .min()
        .unwrap_or(default)
        .max(SECOND)
}

/// CPUs that should be at hand for services.
fn spare_need(o: &CapacityForecast<'_>) -> i64 {
    let services = o
        .view
        .jobs
        .iter()
        .filter(|(_, j)| j.spec.kind == JobKind::Service && j.ready && !j.cancelled());
    let (mut sum, mut largest) = (0, 0);
    for (id, j) in services {
        let limited = o.schedule.limited(id);
        sum += j.spec.resources.cpus * i64::from(j.placed + j.waiting.saturating_sub(limited));
        largest = largest.max(j.spec.resources.cpus * i64::from(j.spec.task_count));
    }
    ((sum as f64 * o.policy.service_spare) as i64).max(largest)
}

fn ordinary(o: &CapacityForecast<'_>, h: &MachineRecord) -> bool {
    !h.spot
        && o.view
            .machine_types
            .get(&h.machine_type)
            .is_some_and(|t| t.gpus == 0.0)
}

/// CPUs at hand for services: free on ordinary machines, or held there by lower arrays.
fn spare_have(o: &CapacityForecast<'_>) -> i64 {
    let mut sum = 0;
    for (id, h) in &o.view.machines {
        if !ordinary(o, h) {
            continue;
        }
        if let Some(f) = o.schedule.free_resources.get(id) {
            sum += f.cpus.max(0) + o.view.usage(id).preemptible_cpus;
        }
    }
    sum
}

fn spare<'a>(o: &CapacityForecast<'a>) -> Option<Missing<'a>> {
    let lack = spare_need(o) - spare_have(o);
    if lack <= 0 {
        return None;
    }
    let types: Vec<&MachineType> = o
        .view
        .machine_types
        .values()
        .filter(|t| t.gpus == 0.0)
        .collect();
    let per = types.iter().map(|t| Resources::of_machine(t).cpus).max()?;
    Some(Missing {
        types,
        zones: None,
        spot: false,
        room: Resources {
            cpus: 1000,
            gpus: 0,
            memory: 0,
        },
        tasks: (lack / 1000).max(1) as u32,
        wanted: lack as f64 / per.max(1) as f64,
    })
}

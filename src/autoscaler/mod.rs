//! Machines of the cloud: what to rent and what to return. The decisions are pure; the leader
//! carries them out.

pub mod model;
pub mod reconciler;

use crate::ids::HostId;
use crate::jobs::model::{Room, Spec};
use crate::membership::part_of;
use crate::policy::Policy;
use crate::quota;
use crate::scheduling::{self, Plan, only_guests};
use crate::settings::{Objective, ObjectiveKind, Team};
use crate::store::cluster_state::{Job, View};
use crate::store::keys;
use crate::time::{Micros, SECOND, from_secs};
use crate::wire::cloud::MachineType;
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::to_value;
use crate::wire::user::{Rank, Shape};
use foldhash::{HashMap, HashMapExt, HashSet};
use model::{Charter, Host, HostState, Leaving};
use std::collections::{BTreeMap, BTreeSet};

/// What the leader decides on.
pub struct Outlook<'a> {
    /// The view.
    pub view: &'a View,
    /// Placement on all machines, those booting included.
    pub forecast: &'a Plan,
    /// Policy.
    pub policy: &'a Policy,
    /// Aims of the classes.
    pub objectives: &'a [Objective],
    /// Teams.
    pub teams: &'a [Team],
    /// Time of day.
    pub wall: Micros,
    /// Whether a combination of type, zone and kind was refused just now.
    pub refused: &'a dyn Fn(&str, &str, bool) -> bool,
    /// Since when each machine has been empty.
    pub idle_since: &'a HashMap<HostId, Micros>,
    /// Machines whose names fit into one charter.
    pub per_charter: usize,
    /// Whether a machine is known to be up although its key says that it boots.
    pub up: &'a dyn Fn(&HostId) -> bool,
}

/// What to do.
#[derive(Debug, Default, PartialEq)]
pub struct Decision {
    /// Machines to rent.
    pub rent: Vec<Charter>,
    /// Machines to return.
    pub give_back: Vec<HostId>,
    /// Machines that should take nothing new.
    pub close: Vec<HostId>,
    /// Closing machines that should go on.
    pub reopen: Vec<HostId>,
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
    room: Room,
    tasks: u32,
    /// Machines that should come, as a fraction.
    wanted: f64,
}

/// The zones in which a machine helps a job now, if it does not in all: its only one, where the rest of it is, or
/// where it may have more tasks.
fn bound<'a>(v: &'a View, j: &Job, types: &[&'a MachineType]) -> Option<Vec<&'a str>> {
    let s = &j.spec;
    if s.zone.is_none() && !s.spread && !(s.one_zone && j.placed > 0) {
        return None;
    }
    let mut all: Vec<&str> = types
        .iter()
        .flat_map(|t| &t.yards)
        .map(String::as_str)
        .collect();
    all.sort_unstable();
    all.dedup();
    let count = all.len();
    scheduling::keep_open(v, j, &mut all);
    (all.len() < count).then_some(all)
}

/// Work of one job as it should flow.
#[derive(Clone)]
struct Flow<'a> {
    rank: Rank,
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
    room: Room,
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
            room: Room::default(),
            tasks: 0,
        }
    }

    /// Spot machines in place of ordinary ones that run only work which may use them: they were
    /// refused, or taken, when the ordinary ones were rented. These close once the others are up.
    fn swap(&self, o: &Outlook<'a>) -> Option<Missing<'a>> {
        if !self.all_spot || !o.policy.use_spot {
            return None;
        }
        let dear = o
            .view
            .hosts
            .iter()
            .filter(|(id, h)| {
                h.state == HostState::Up
                    && !h.spot
                    && self.types.iter().any(|t| t.sku == h.kind)
                    && services_on(o, id) == 0
                    && o.view.tasks_on(id).is_some()
            })
            .count();
        let coming = o
            .view
            .hosts
            .values()
            .any(|h| h.state == HostState::Booting && h.spot);
        let types: Vec<&MachineType> = self
            .types
            .iter()
            .filter(|t| t.market_price.is_some_and(|p| p < t.rate * SWAP_BELOW))
            .filter(|t| t.yards.iter().any(|z| !(o.refused)(&t.sku, z, true)))
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
    fn surplus(&self, o: &Outlook<'_>, keep: &mut i64) -> Vec<HostId> {
        // Of machines with GPUs these are what counts: guests leave when they are asked to.
        let gpus = self.room.gpus > 0;
        let free: f64 = o
            .view
            .hosts
            .iter()
            .filter(|(_, h)| h.state == HostState::Up)
            .filter_map(|(id, h)| {
                let whole = Room::of(self.types.iter().find(|t| t.sku == h.kind)?);
                let free = o.forecast.free.get(id)?;
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
        let closing =
            |h: &&Host| h.state == HostState::Closing && self.types.iter().any(|t| t.sku == h.kind);
        let closes = match gpus {
            true => o.view.hosts.values().filter(closing).count(),
            false => 0,
        };
        let n = (free - CLOSE_MARGIN - closes as f64).max(0.0) as usize;
        let mut list: Vec<(bool, usize, &HostId, i64)> = o
            .view
            .hosts
            .iter()
            .filter(|(id, h)| {
                h.state == HostState::Up
                    && services_on(o, id) == 0
                    && o.wall.saturating_sub(h.rented) >= LEAST / 2
                    && o.view.tasks_on(id).is_some()
            })
            .filter_map(|(id, h)| {
                let t = self.types.iter().find(|t| t.sku == h.kind)?;
                let tasks = match o.view.tasks_on(id) {
                    Some(_) if gpus && only_guests(o.view, id, h) => 0,
                    Some(t) => t.len(),
                    None => 0,
                };
                let room = if ordinary(o, h) { Room::of(t).cpus } else { 0 };
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
    fn idle(&self, o: &Outlook<'_>) -> Vec<HostId> {
        if self.room.gpus == 0 {
            return Vec::new();
        }
        let (mut busy, mut idle) = (0usize, Vec::new());
        for (id, h) in &o.view.hosts {
            if h.state != HostState::Up || !self.types.iter().any(|t| t.sku == h.kind) {
                continue;
            }
            if !only_guests(o.view, id, h) {
                busy += 1;
            } else if o.wall.saturating_sub(h.rented) >= LEAST {
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
    fn lack(&self, o: &Outlook<'_>) -> f64 {
        let mut have = 0.0;
        let mut count = 0.0;
        for (id, h) in &o.view.hosts {
            let Some(t) = self.types.iter().find(|t| t.sku == h.kind) else {
                continue;
            };
            if !matches!(h.state, HostState::Up | HostState::Booting) {
                continue;
            }
            let whole = Room::of(t);
            let services = services_on(o, id);
            count += 1.0;
            have += 1.0 - (services as f64 / whole.cpus.max(1) as f64).min(1.0);
        }
        let boot = self.types.iter().map(|t| t.ready_s).fold(0.0, f64::max);
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
fn services_on(o: &Outlook<'_>, id: &HostId) -> i64 {
    o.view.load(id).service_cpus
}

/// Types that a job may be given machines of.
fn candidates<'a>(v: &'a View, s: &Spec) -> Vec<&'a MachineType> {
    let mut types: Vec<&MachineType> = v
        .types
        .values()
        .filter(|t| {
            s.types.as_ref().is_none_or(|l| l.contains(&t.sku)) && Room::of(t).fits(&s.room)
        })
        .collect();
    // Machines with GPUs cost several times as much: not for those who could do without.
    if s.room.gpus == 0 && types.iter().any(|t| t.accelerators == 0.0) {
        types.retain(|t| t.accelerators == 0.0);
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
pub fn late(v: &View, wall: Micros, tenths: u64, up: &dyn Fn(&HostId) -> bool) -> HashSet<HostId> {
    let mut newest: HashMap<&str, Micros> = HashMap::new();
    for h in v.hosts.values().filter(|h| h.state == HostState::Up) {
        let at = newest.entry(&h.kind).or_default();
        *at = h.rented.max(*at);
    }
    let is_late = |h: &Host| {
        let Some(t) = v.types.get(&h.kind) else {
            return false;
        };
        h.state == HostState::Booting
            && wall.saturating_sub(h.rented) > from_secs(t.ready_s) * tenths / 10 + UP_MAX
            && newest
                .get(h.kind.as_str())
                .is_some_and(|at| *at >= h.rented)
    };
    v.hosts
        .iter()
        .filter(|(id, h)| is_late(h) && !up(id))
        .map(|(id, _)| id.clone())
        .collect()
}

/// Those of which the forecast does not expect anything.
pub fn not_expected(v: &View, wall: Micros, up: &dyn Fn(&HostId) -> bool) -> HashSet<HostId> {
    late(v, wall, LATE, up)
}

/// Adds the write of a machine's key to a transaction, on condition that it is as the view has it.
pub fn put_host(t: &mut Txn, view: &View, id: &str, h: &Host) {
    let key = keys::host(id);
    t.guards.push(view.guard(key.as_str()));
    t.then.push(Change::Put {
        put: key,
        v: to_value(h),
        permit: None,
    });
}

/// The write that names machines as on their way back, on condition that some keys are as the view has
/// them. `name` is new each time.
pub fn mark_leaving(view: &View, name: &str, l: &Leaving, held: Vec<String>) -> Txn {
    let key = keys::leaving(name);
    let mut guards = vec![Guard {
        path: key.clone(),
        stamp: 0,
    }];
    guards.extend(held.into_iter().map(|k| view.guard(k)));
    Txn {
        guards,
        then: vec![Change::Put {
            put: key,
            v: to_value(l),
            permit: None,
        }],
    }
}

/// The write that gives machines up, many at a time: when a zone falls, a write for each would take all
/// changes for seconds, while what ran there waits to be placed again. It holds only as long as the
/// terms of their parts do: a controller that was cut off may have it delivered a minute later.
pub fn give_up(view: &View, name: &str, names: Vec<HostId>) -> Txn {
    let parts: BTreeSet<u32> = names.iter().map(|id| part_of(id)).collect();
    let l = Leaving {
        names,
        gone: false,
        lost: true,
    };
    mark_leaving(view, name, &l, parts.into_iter().map(keys::part).collect())
}

/// Decides.
pub fn decide(o: &Outlook<'_>) -> Decision {
    let mut out = Decision::default();
    let v = o.view;
    // Given up: never came up.
    let gone = late(v, o.wall, LATE_GONE, o.up);
    for (id, h) in &v.hosts {
        let ready = v
            .types
            .get(&h.kind)
            .map_or(60 * SECOND, |t| from_secs(t.ready_s));
        if h.state == HostState::Booting
            && (gone.contains(id)
                || o.wall.saturating_sub(h.rented) > ready * BOOT_TIMES + BOOT_GRACE)
        {
            out.give_back.push(id.clone());
        }
        // What fails its tasks, or is not needed, is returned once it is empty.
        let paid = o.wall.saturating_sub(h.rented) >= LEAST;
        let leaving = h.state == HostState::Sick || (h.state == HostState::Closing && paid);
        if leaving && v.tasks_on(id).is_none() {
            out.give_back.push(id.clone());
        }
    }
    let mut missing: Vec<Missing<'_>> = Vec::new();
    let mut pools: BTreeMap<Vec<&str>, Pool<'_>> = BTreeMap::new();
    let unplaced: HashMap<&str, u32> = o
        .forecast
        .unplaced
        .iter()
        .map(|(id, n)| (&**id, *n))
        .collect();
    // What teams' services hold of their limits is not there for anything else.
    let mut held: HashMap<&str, Room> = HashMap::new();
    for j in v.jobs.values().filter(|j| j.spec.kind == Shape::Service) {
        let n = i64::from(j.placed + j.queued());
        held.entry(&j.spec.team)
            .or_default()
            .give(&j.spec.room.of_tasks(n));
    }
    for (id, j) in &v.jobs {
        let s = &j.spec;
        let lacking = unplaced.get(&**id).copied().unwrap_or(0);
        let service = s.kind == Shape::Service;
        // The next steps of a pipeline count once those before them are about to end.
        let queued = v.queued_soon(j);
        let soon = queued.saturating_sub(o.forecast.limited(id));
        if queued + j.placed == 0 || j.cancelled() || (service && lacking == 0) {
            continue;
        }
        let types = candidates(v, s);
        let Some(per) = types.iter().map(|t| Room::of(t).times(&s.room)).max() else {
            continue;
        };
        let per = per.max(1) as f64;
        let whole = f64::from(lacking) / per;
        if service || s.rank <= Rank::High {
            missing.push(Missing {
                zones: bound(v, j, &types),
                types,
                spot: s.spot && o.policy.use_spot,
                room: s.room,
                tasks: lacking,
                wanted: whole,
            });
            continue;
        }
        let default = if s.rank == Rank::Low {
            o.policy.drain_low
        } else {
            o.policy.drain_normal
        };
        let run = s.estimate.max(SECOND) as f64 / 1e6;
        let tasks = f64::from(queued) + f64::from(j.placed) / 2.0;
        let key: Vec<&str> = types.iter().map(|t| t.sku.as_str()).collect();
        let zones = (lacking > 0).then(|| bound(v, j, &types)).flatten();
        let pool = pools.entry(key).or_insert_with(|| Pool::new(types));
        let spot = scheduling::spot(j);
        if s.spot && !spot {
            pool.waits += f64::from(soon) / per;
            pool.dear += f64::from(soon) / per;
            pool.all_spot = false;
            // The forecast places a whole gang or none of it: what is free counts.
            let free: i64 = v
                .hosts
                .iter()
                .filter(|(_, h)| !h.spot && pool.types.iter().any(|t| t.sku == h.kind))
                .filter_map(|(id, _)| o.forecast.free.get(id))
                // Guests leave when they are asked to: only GPUs count where they are needed.
                .map(|f| match s.room.gpus {
                    0 => f.times(&s.room),
                    n => f.gpus / n,
                })
                .sum();
            let short = i64::from(lacking) - free;
            if short > 0 {
                missing.push(Missing {
                    types: pool.types.clone(),
                    zones,
                    spot: false,
                    room: s.room,
                    tasks: short as u32,
                    wanted: short as f64 / per,
                });
            }
            continue;
        }
        // A floor is for now: the flow says nothing of whether the machines at hand have room in one
        // piece. Tasks that take most of a machine never find any where small ones run.
        let starved = o.forecast.starved.get(id).copied().unwrap_or(0);
        if starved > 0 {
            missing.push(Missing {
                types: pool.types.clone(),
                zones: zones.clone(),
                spot: s.spot && o.policy.use_spot,
                room: s.room,
                tasks: starved,
                wanted: f64::from(starved) / per,
            });
        }
        let elsewhere = held.get(&*s.team).copied().unwrap_or_default();
        pool.load.push(Flow {
            rank: s.rank,
            horizon: horizon(o, s, default) as f64 / 1e6,
            work: tasks * run / per,
            limit: quota::at_once(o.teams, s, &elsewhere).map(|n| (&*s.team, n as f64 / per)),
        });
        if lacking > 0 && o.wall.saturating_sub(j.since) > OVERDUE {
            pool.overdue += whole;
        }
        // What other zones get through is no help to it, and what is rented for all comes where it is cheapest:
        // a job bound to a zone that had lost its machines waited there for good.
        if zones.is_some() {
            let due = tasks * run / per / (horizon(o, s, default) as f64 / 1e6);
            missing.push(Missing {
                types: pool.types.clone(),
                zones,
                spot: s.spot && o.policy.use_spot,
                room: s.room,
                tasks: lacking,
                wanted: whole.min(due.max(BOUND_LEAST)),
            });
            pool.bound += lacking;
            continue;
        }
        pool.whole += whole;
        pool.waits += f64::from(soon) / per;
        if s.kind == Shape::Gang {
            pool.gang = pool.gang.max(f64::from(s.tasks) / per);
        }
        pool.all_spot &= s.spot && s.zone.is_none();
        pool.room = s.room;
        if lacking > 0 {
            pool.spot &= s.spot;
            pool.tasks += lacking;
        }
    }
    let mut keep = spare_have(o) - spare_need(o);
    for p in pools.into_values() {
        let idle = p.idle(o);
        for id in idle {
            // What has nothing on it and is paid for need not close first.
            if v.tasks_on(&id).is_none() {
                out.give_back.push(id);
            } else {
                out.close.push(id);
            }
        }
        if p.tasks + p.bound == 0 {
            out.close.extend(p.surplus(o, &mut keep));
            if let Some(m) = p.swap(o) {
                missing.push(m);
            }
            continue;
        }
        let mut wanted = p.lack(o);
        let mut overdue = p.overdue;
        // What is closing is nearer than anything rented, and has room for what waited for long.
        for (id, h) in &v.hosts {
            if wanted.max(overdue) > 0.2
                && h.state == HostState::Closing
                && p.types.iter().any(|t| t.sku == h.kind)
            {
                out.give_back.retain(|x| x != id);
                out.reopen.push(id.clone());
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
    let mut total = v.hosts.len() as u64
        + v.charters
            .values()
            .filter(|c| c.open())
            .map(|c| u64::from(c.count))
            .sum::<u64>();
    // Sums by what can be rented for it.
    let mut sums: BTreeMap<(String, String, bool), f64> = BTreeMap::new();
    for m in &missing {
        let mut offers: Vec<(f64, &MachineType, &String, bool)> = Vec::new();
        for t in &m.types {
            for z in &t.yards {
                if m.zones.as_ref().is_some_and(|l| !l.contains(&z.as_str())) {
                    continue;
                }
                for spot in [true, false] {
                    if (spot && (!m.spot || t.market_price.is_none()))
                        || (o.refused)(&t.sku, z, spot)
                    {
                        continue;
                    }
                    let price = if spot {
                        t.market_price.unwrap_or(t.rate)
                    } else {
                        t.rate
                    };
                    let per = Room::of(t)
                        .times(&m.room)
                        .max(1)
                        .min(i64::from(m.tasks.max(1)));
                    offers.push((price / per as f64, t, z, spot));
                }
            }
        }
        offers.sort_by(|a, b| a.0.total_cmp(&b.0));
        if let Some((_, t, z, spot)) = offers.first() {
            *sums
                .entry((t.sku.clone(), (*z).clone(), *spot))
                .or_default() += m.wanted;
        }
    }
    for ((kind, zone, spot), n) in sums {
        if v.charters
            .values()
            .any(|c| c.open() && c.kind == kind && c.zone == zone && c.spot == spot)
        {
            continue;
        }
        let mut count = (n - 0.05).ceil().max(0.0) as u64;
        count = count
            .min(o.policy.max_machines.saturating_sub(total))
            .min(MOST)
            .min(o.per_charter as u64);
        if count > 0 {
            total += count;
            out.rent.push(Charter {
                kind,
                zone,
                spot,
                count: count as u32,
                at: o.wall,
                names: Vec::new(),
            });
        }
    }
    // Return what stands empty and is not about to be used.
    let given: HashSet<HostId> = out.give_back.iter().cloned().collect();
    for (id, h) in &v.hosts {
        let Some(whole) = v.types.get(&h.kind).map(Room::of) else {
            continue;
        };
        // Guests leave when they are asked to; whoever needs the GPUs counts.
        let guests = v.tasks_on(id).is_some();
        let empty = h.state == HostState::Up
            && !given.contains(id)
            && only_guests(v, id, h)
            && o.forecast.free.get(id).is_some_and(|f| {
                if guests || whole.gpus > 0 {
                    f.gpus == whole.gpus
                } else {
                    *f == whole
                }
            });
        let long = o
            .idle_since
            .get(id)
            .is_some_and(|at| o.wall.saturating_sub(*at) > o.policy.idle_return);
        if !empty || !long || o.wall.saturating_sub(h.rented) < LEAST {
            continue;
        }
        if !h.spot && whole.gpus == 0 {
            if keep < whole.cpus {
                continue;
            }
            keep -= whole.cpus;
        }
        if guests {
            out.close.push(id.clone());
        } else {
            out.give_back.push(id.clone());
        }
    }
    out
}

/// The time in which a class's backlog should drain: a part of what its aims allow.
fn horizon(o: &Outlook<'_>, spec: &Spec, default: Micros) -> Micros {
    let wait = match spec.kind {
        Shape::Gang => o.policy.gang_wait_share,
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
fn spare_need(o: &Outlook<'_>) -> i64 {
    let services = o
        .view
        .jobs
        .iter()
        .filter(|(_, j)| j.spec.kind == Shape::Service && j.ready && !j.cancelled());
    let (mut sum, mut largest) = (0, 0);
    for (id, j) in services {
        let limited = o.forecast.limited(id);
        sum += j.spec.room.cpus * i64::from(j.placed + j.waiting.saturating_sub(limited));
        largest = largest.max(j.spec.room.cpus * i64::from(j.spec.tasks));
    }
    ((sum as f64 * o.policy.service_spare) as i64).max(largest)
}

fn ordinary(o: &Outlook<'_>, h: &Host) -> bool {
    !h.spot
        && o.view
            .types
            .get(&h.kind)
            .is_some_and(|t| t.accelerators == 0.0)
}

/// CPUs at hand for services: free on ordinary machines, or held there by lower arrays.
fn spare_have(o: &Outlook<'_>) -> i64 {
    let mut sum = 0;
    for (id, h) in &o.view.hosts {
        if !ordinary(o, h) {
            continue;
        }
        if let Some(f) = o.forecast.free.get(id) {
            sum += f.cpus.max(0) + o.view.load(id).low_cpus;
        }
    }
    sum
}

fn spare<'a>(o: &Outlook<'a>) -> Option<Missing<'a>> {
    let lack = spare_need(o) - spare_have(o);
    if lack <= 0 {
        return None;
    }
    let types: Vec<&MachineType> = o
        .view
        .types
        .values()
        .filter(|t| t.accelerators == 0.0)
        .collect();
    let per = types.iter().map(|t| Room::of(t).cpus).max()?;
    Some(Missing {
        types,
        zones: None,
        spot: false,
        room: Room {
            cpus: 1000,
            gpus: 0,
            memory: 0,
        },
        tasks: (lack / 1000).max(1) as u32,
        wanted: lack as f64 / per.max(1) as f64,
    })
}

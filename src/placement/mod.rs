//! Placement: which waiting task goes to which machine, and who has to make room. A pure function
//! of the view. Every controller computes the same plan over all machines and carries out what
//! falls on its own parts; differing views are settled by the conditional writes.

use crate::hosts::model::{Host, HostState};
use crate::jobs::commit::Intent;
use crate::jobs::model::{JobId, Room, Slot, Spec};
use crate::settings::{Objective, ObjectiveKind, Team};
use crate::store::view::{Job, View};
use crate::time::{Micros, SECOND};
use crate::wire::user::{Rank, Shape};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// What a plan is made from, besides the view.
pub struct Scene<'a> {
    /// The view.
    pub view: &'a View,
    /// Time of day.
    pub wall: Micros,
    /// Teams.
    pub teams: &'a [Team],
    /// Aims of the classes.
    pub objectives: &'a [Objective],
    /// Whether a machine answers, as far as this node can tell.
    pub responsive: &'a dyn Fn(&str) -> bool,
    /// Whether a job should not be tried just now.
    pub held_back: &'a dyn Fn(&str) -> bool,
    /// Also place on machines that are still booting: to see what will be missing then.
    pub forecast: bool,
}

/// A plan.
#[derive(Default, Debug)]
pub struct Plan {
    /// What to change.
    pub intents: Vec<Intent>,
    /// Tasks without a place, by job.
    pub unplaced: Vec<(JobId, u32)>,
    /// Room left on each open machine.
    pub free: BTreeMap<Rc<str>, Room>,
}

/// So many tasks of a job at most in one plan: the next one follows at once.
const PER_JOB: usize = 512;
/// A gang that waited this long keeps free machines from younger ones.
const GANG_PATIENCE: Micros = 40 * SECOND;

struct Spot<'a> {
    id: Rc<str>,
    host: &'a Host,
    free: Room,
    stopping: Room,
    whole: Room,
    /// There are machine types without GPUs.
    elsewhere: bool,
}

/// An entry of the queue: some waiting tasks of a job.
struct Entry<'a> {
    id: &'a JobId,
    job: &'a Job,
    raised: u32,
    from: usize,
    count: usize,
    entitled: bool,
    turn: (bool, u64),
}

/// A task, its machine and the machine's session.
type Target = (u32, Rc<str>, u64);
/// A task to stop: job, number, attempt, what it takes, time to save.
type Victim = (JobId, u32, u32, Room, Micros);

struct Usage {
    cpus: i64,
    gpus: i64,
}

/// Whether a machine is of a type, zone and kind that the job allows.
pub fn allowed(spec: &Spec, h: &Host) -> bool {
    spec.types.as_ref().is_none_or(|t| t.contains(&h.kind))
        && spec.zone.as_ref().is_none_or(|z| *z == h.zone)
        && (spec.spot || !h.spot)
}

/// Turn among jobs of one rank that the fairness loop has not told apart: those that can still meet
/// an aim of their class before those that cannot, and of the former the least work first.
fn turn(s: &Scene<'_>, job: &Job) -> (bool, u64) {
    let spec = &job.spec;
    let age = s.wall.saturating_sub(spec.submitted);
    let mut aims = s
        .objectives
        .iter()
        .filter(|o| o.class == spec.class)
        .peekable();
    let hopeless = aims.peek().is_some()
        && aims.all(|o| {
            let run = match o.kind {
                ObjectiveKind::Finished => spec.estimate,
                ObjectiveKind::Wait => 0,
            };
            age + run > o.within
        });
    let work = u64::from(job.waiting) * (spec.estimate / 1000) * spec.room.cpus.max(1) as u64;
    (hopeless, if hopeless { 0 } else { work })
}

/// Makes the plan.
pub fn plan(s: &Scene<'_>) -> Plan {
    let v = s.view;
    let mut out = Plan::default();
    let elsewhere = v.types.values().any(|t| t.accelerators == 0.0);
    let mut spots: Vec<Spot<'_>> = v
        .hosts
        .iter()
        .filter(|(id, h)| match h.state {
            HostState::Up => (s.responsive)(id),
            HostState::Booting => s.forecast,
            _ => false,
        })
        .filter_map(|(id, host)| {
            let whole = Room::of(v.types.get(&host.kind)?);
            let mut free = whole;
            let mut stopping = Room::default();
            for ((job, _), p) in v.tasks_on(id).into_iter().flatten() {
                if let Some(j) = v.jobs.get(job) {
                    free.take(&j.spec.room);
                    if p.stop.is_some() || j.spec.cancelled {
                        stopping.give(&j.spec.room);
                    }
                }
            }
            Some(Spot {
                id: id.clone(),
                host,
                free,
                stopping,
                whole,
                elsewhere,
            })
        })
        .collect();
    let mut usage: HashMap<&str, Usage> = HashMap::new();
    let mut demand: HashMap<&str, Usage> = HashMap::new();
    for j in v.jobs.values() {
        let team: &str = &j.spec.team;
        let u = usage.entry(team).or_insert(Usage { cpus: 0, gpus: 0 });
        u.cpus += j.spec.room.cpus * i64::from(j.placed);
        u.gpus += j.spec.room.gpus * i64::from(j.placed);
        let d = demand.entry(team).or_insert(Usage { cpus: 0, gpus: 0 });
        d.cpus += j.spec.room.cpus * i64::from(j.placed + j.waiting);
        d.gpus += j.spec.room.gpus * i64::from(j.placed + j.waiting);
    }
    let guarantee = |team: &str| s.teams.iter().find(|t| t.name == team);
    let entitled = |team: &str| {
        guarantee(team).is_some_and(|t| {
            (t.cpus > 0 || t.gpus > 0)
                && demand
                    .get(team)
                    .is_some_and(|d| d.cpus <= t.cpus && d.gpus <= t.gpus)
        })
    };
    // Leave whole machines with GPUs to those who need them: others get only what is beside that.
    let gpu_need = v
        .jobs
        .values()
        .filter(|j| j.spec.room.gpus > 0)
        .map(|j| j.spec.room)
        .fold(Room::default(), |a, r| Room {
            cpus: a.cpus.max(r.cpus),
            gpus: a.gpus.max(r.gpus),
            memory: a.memory.max(r.memory),
        });
    let mut queue: Vec<Entry<'_>> = Vec::new();
    for (id, job) in &v.jobs {
        if job.spec.cancelled {
            continue;
        }
        tidy(v, id, job, s.forecast, &mut out.intents);
        if job.waiting == 0 || (!s.forecast && (s.held_back)(id)) {
            continue;
        }
        let entitled = entitled(&job.spec.team);
        let turn = turn(s, job);
        let waiting = job.waiting as usize;
        let (n, p) = v.raises.jobs.get(&**id).copied().unwrap_or((0, 0));
        let n = if job.spec.kind == Shape::Gang && n > 0 {
            waiting
        } else {
            (n as usize).min(waiting)
        };
        let mut push = |from, count, raised| {
            if count > 0 {
                queue.push(Entry {
                    id,
                    job,
                    raised,
                    from,
                    count,
                    entitled,
                    turn,
                });
            }
        };
        push(0, n, p);
        push(n, waiting - n, 0);
    }
    queue.sort_by(|a, b| {
        (!a.entitled, a.job.spec.rank)
            .cmp(&(!b.entitled, b.job.spec.rank))
            .then(a.turn.0.cmp(&b.turn.0))
            .then((b.raised > 0).cmp(&(a.raised > 0)))
            .then(a.turn.cmp(&b.turn))
            .then(a.job.spec.submitted.cmp(&b.job.spec.submitted))
            .then(a.id.cmp(b.id))
    });
    let mut reserved = false;
    let mut victims: HashMap<(JobId, u32), ()> = HashMap::new();
    for e in &queue {
        let spec = &e.job.spec;
        let team = guarantee(&spec.team);
        let used = usage
            .get(spec.team.as_str())
            .map_or((0, 0), |u| (u.cpus, u.gpus));
        let mut headroom = i64::MAX;
        if let Some(t) = team {
            for (max, used, need) in [
                (t.cpus_max, used.0, spec.room.cpus),
                (t.gpus_max, used.1, spec.room.gpus),
            ] {
                if max > 0 && need > 0 {
                    headroom = headroom.min(((max - used) / need).max(0));
                }
            }
        }
        let waiting: Vec<u32> = e
            .job
            .slots()
            .filter(|(_, x)| matches!(x, Slot::Waiting(_)))
            .map(|(i, _)| i)
            .skip(e.from)
            .take(e.count.min(PER_JOB))
            .collect();
        let mut zones: HashMap<&str, u32> = HashMap::new();
        for (_, p) in e.job.placements() {
            if let Some(h) = v.hosts.get(&p.host) {
                *zones.entry(h.zone.as_str()).or_default() += 1;
            }
        }
        let mut got: Vec<(u32, Rc<str>, u64)> = Vec::new();
        let mut missing = 0u32;
        if spec.kind == Shape::Gang {
            if e.job.waiting != spec.tasks {
                // Part of the old attempt is still on its machines.
                continue;
            }
            if i64::from(spec.tasks) <= headroom {
                got = gang(v, spec, &spots, &gpu_need, &waiting);
            } else {
                continue;
            }
            if got.is_empty() {
                missing = spec.tasks;
                if !reserved && s.wall.saturating_sub(spec.submitted) > GANG_PATIENCE {
                    reserved = true;
                    for sp in spots.iter_mut() {
                        if spec.room.gpus > 0 && allowed(spec, sp.host) && sp.free.fits(&spec.room)
                        {
                            sp.free.take(&spec.room);
                        }
                    }
                }
            }
            for (_, h, _) in &got {
                if let Some(sp) = spots.iter_mut().find(|x| x.id == *h) {
                    sp.free.take(&spec.room);
                }
            }
        } else {
            for i in &waiting {
                if headroom <= 0 {
                    break;
                }
                let choice = best(v, spec, &spots, &zones, &gpu_need);
                // A service starts sooner where lower work makes way beside its image than where
                // the image has to be fetched first.
                let cold = |k: usize| !warm(v, spec, &spots[k]);
                if !s.forecast
                    && spec.kind == Shape::Service
                    && spec.rank <= Rank::High
                    && choice.is_none_or(cold)
                    && make_room(
                        v,
                        e,
                        &mut spots,
                        &zones,
                        &gpu_need,
                        true,
                        &mut victims,
                        &mut out,
                    )
                {
                    continue;
                }
                match choice {
                    Some(k) => {
                        let sp = &mut spots[k];
                        sp.free.take(&spec.room);
                        *zones.entry(sp.host.zone.as_str()).or_default() += 1;
                        got.push((*i, sp.id.clone(), sp.host.session));
                        headroom -= 1;
                    }
                    None => {
                        missing += 1;
                        if !s.forecast && (spec.rank <= Rank::High || e.entitled) {
                            make_room(
                                v,
                                e,
                                &mut spots,
                                &zones,
                                &gpu_need,
                                false,
                                &mut victims,
                                &mut out,
                            );
                        }
                    }
                }
            }
            missing += (e.count - waiting.len()) as u32;
        }
        if !got.is_empty() {
            let u = usage
                .entry(spec.team.as_str())
                .or_insert(Usage { cpus: 0, gpus: 0 });
            u.cpus += spec.room.cpus * got.len() as i64;
            u.gpus += spec.room.gpus * got.len() as i64;
            if !s.forecast {
                split(e.id, spec.kind, got, &mut out.intents);
            }
        }
        if missing > 0 && headroom > 0 {
            out.unplaced.push((e.id.clone(), missing));
        }
    }
    out.free = spots.into_iter().map(|s| (s.id, s.free)).collect();
    out
}

/// One intent per machine for independent tasks, one for a whole gang.
fn split(job: &JobId, kind: Shape, got: Vec<Target>, out: &mut Vec<Intent>) {
    if kind == Shape::Gang {
        out.push(Intent::Place {
            job: job.clone(),
            tasks: got,
        });
        return;
    }
    let mut by: BTreeMap<Rc<str>, Vec<Target>> = BTreeMap::new();
    for t in got {
        by.entry(t.1.clone()).or_default().push(t);
    }
    for tasks in by.into_values() {
        out.push(Intent::Place {
            job: job.clone(),
            tasks,
        });
    }
}

/// Stops what must not go on: gangs that lost a task, tasks on machines about to be taken.
fn tidy(v: &View, id: &JobId, job: &Job, forecast: bool, out: &mut Vec<Intent>) {
    if forecast || job.placed == 0 {
        return;
    }
    let spec = &job.spec;
    let gang = spec.kind == Shape::Gang;
    let draining = |h: &Rc<str>| {
        v.hosts
            .get(h)
            .is_some_and(|h| h.state == HostState::Draining)
    };
    let broken = gang && job.waiting > 0;
    let leave = gang && job.placements().any(|(_, p)| draining(&p.host));
    for (index, p) in job.placements() {
        let grace = if broken {
            Some(0)
        } else if leave || (draining(&p.host) && !gang && spec.checkpoint > 0) {
            Some(spec.save)
        } else if draining(&p.host) && spec.kind == Shape::Service {
            Some(0)
        } else {
            None
        };
        if let Some(grace) = grace
            && p.stop.is_none_or(|g| broken && g > grace)
        {
            out.push(Intent::Stop {
                job: id.clone(),
                index,
                attempt: p.attempt,
                grace,
            });
        }
    }
}

/// What a spot offers this job: on a machine with GPUs, others get what its users leave.
fn offer(spec: &Spec, sp: &Spot<'_>, gpu_need: &Room) -> Room {
    if spec.room.gpus == 0 && sp.whole.gpus > 0 && sp.elsewhere {
        // Such a machine costs several times as much. A service would hold it for long, and so
        // would a stream of short tasks once nobody needs its GPUs: only beside a task that does.
        if spec.kind == Shape::Service || sp.free.gpus == sp.whole.gpus {
            return Room::default();
        }
    }
    if spec.room.gpus == 0 && sp.whole.gpus > 0 && gpu_need.gpus > 0 {
        let n = (sp.whole.gpus / gpu_need.gpus.max(1)).max(1);
        let keep = Room {
            cpus: gpu_need.cpus * n,
            gpus: 0,
            memory: gpu_need.memory * n,
        };
        // Room of tasks with GPUs that are here counts as kept already.
        let mut f = sp.free;
        let gpus_used = sp.whole.gpus - sp.free.gpus;
        let idle = n - gpus_used / gpu_need.gpus.max(1);
        if idle > 0 {
            f.take(&Room {
                cpus: keep.cpus / n * idle,
                gpus: 0,
                memory: keep.memory / n * idle,
            });
        }
        f
    } else {
        sp.free
    }
}

fn zone_ok(spec: &Spec, zones: &HashMap<&str, u32>, zone: &str) -> bool {
    if spec.one_zone && zones.keys().any(|z| *z != zone) {
        return false;
    }
    if spec.spread && zones.get(zone).copied().unwrap_or(0) >= spec.tasks.div_ceil(2) {
        return false;
    }
    true
}

/// Whether the machine has probably cached the job's image.
fn warm(v: &View, spec: &Spec, sp: &Spot<'_>) -> bool {
    v.images
        .get(&sp.id)
        .is_some_and(|i| i.contains(&spec.image))
}

/// Smaller is better.
fn score(v: &View, spec: &Spec, sp: &Spot<'_>) -> (i64, i64) {
    let mut cost = 0;
    if sp.whole.gpus > 0 && spec.room.gpus == 0 {
        cost += 4;
    }
    if sp.host.state == HostState::Booting {
        cost += 8;
    }
    if !warm(v, spec, sp) {
        cost += 2;
    }
    if spec.spot && !sp.host.spot {
        cost += 1;
    }
    // Small tasks are drawn together, so that whole machines stay for those that need one, and
    // empty ones can be returned.
    if spec.kind == Shape::Array && sp.free == sp.whole && sp.whole.times(&spec.room) > 1 {
        cost += 3;
    }
    (cost, sp.free.cpus)
}

fn best(
    v: &View,
    spec: &Spec,
    spots: &[Spot<'_>],
    zones: &HashMap<&str, u32>,
    gpu_need: &Room,
) -> Option<usize> {
    spots
        .iter()
        .enumerate()
        .filter(|(_, sp)| {
            allowed(spec, sp.host)
                && offer(spec, sp, gpu_need).fits(&spec.room)
                && zone_ok(spec, zones, &sp.host.zone)
        })
        .min_by_key(|(_, sp)| score(v, spec, sp))
        .map(|(k, _)| k)
}

fn gang(
    v: &View,
    spec: &Spec,
    spots: &[Spot<'_>],
    gpu_need: &Room,
    waiting: &[u32],
) -> Vec<(u32, Rc<str>, u64)> {
    let mut order: Vec<&Spot<'_>> = spots
        .iter()
        .filter(|sp| allowed(spec, sp.host) && offer(spec, sp, gpu_need).fits(&spec.room))
        .collect();
    order.sort_by_key(|sp| score(v, spec, sp));
    let mut zones: Vec<&str> = order.iter().map(|s| s.host.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    let tries: Vec<Option<&str>> = if spec.one_zone {
        zones.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    for only in tries {
        let mut got = Vec::new();
        let mut per_zone: HashMap<&str, u32> = HashMap::new();
        for sp in &order {
            if only.is_some_and(|z| z != sp.host.zone) {
                continue;
            }
            for _ in 0..offer(spec, sp, gpu_need).times(&spec.room) {
                if got.len() == waiting.len() {
                    break;
                }
                let n = per_zone.entry(sp.host.zone.as_str()).or_default();
                if spec.spread && *n >= spec.tasks.div_ceil(2) {
                    break;
                }
                *n += 1;
                got.push((waiting[got.len()], sp.id.clone(), sp.host.session));
            }
        }
        if got.len() == spec.tasks as usize {
            return got;
        }
    }
    Vec::new()
}

/// Stops lower work on one machine so that one more task fits there. False if none can.
#[allow(clippy::too_many_arguments)]
fn make_room(
    v: &View,
    e: &Entry<'_>,
    spots: &mut [Spot<'_>],
    zones: &HashMap<&str, u32>,
    gpu_need: &Room,
    only_warm: bool,
    victims: &mut HashMap<(JobId, u32), ()>,
    out: &mut Plan,
) -> bool {
    let spec = &e.job.spec;
    let fits = |sp: &Spot<'_>| {
        allowed(spec, sp.host)
            && zone_ok(spec, zones, &sp.host.zone)
            && (!only_warm || warm(v, spec, sp))
    };
    // Room that is on its way already.
    for sp in spots.iter_mut() {
        if fits(sp) {
            let mut soon = offer(spec, sp, gpu_need);
            soon.give(&sp.stopping);
            if soon.fits(&spec.room) {
                sp.free.take(&spec.room);
                return true;
            }
        }
    }
    let mut pick: Option<(i64, usize, Vec<Victim>)> = None;
    for (k, sp) in spots.iter().enumerate() {
        if !fits(sp) {
            continue;
        }
        let mut soon = offer(spec, sp, gpu_need);
        soon.give(&sp.stopping);
        let mut list: Vec<(i64, JobId, u32, u32, Room, Micros)> = Vec::new();
        for ((id, i), p) in v.tasks_on(&sp.id).into_iter().flatten() {
            let Some(j) = v.jobs.get(id) else { continue };
            let lower = j.spec.rank > spec.rank && j.spec.rank >= Rank::Normal;
            if !lower
                || p.stop.is_some()
                || j.spec.kind != Shape::Array
                || victims.contains_key(&(id.clone(), *i))
            {
                continue;
            }
            // Cheapest first: what saves, and what ranks lowest.
            let cost =
                i64::from(j.spec.checkpoint == 0) * 2 + i64::from(j.spec.rank == Rank::Normal);
            list.push((cost, id.clone(), *i, p.attempt, j.spec.room, j.spec.save));
        }
        list.sort_by_key(|x| x.0);
        let mut chosen = Vec::new();
        let mut cost = 0;
        for (c, id, i, a, room, save) in list {
            if soon.fits(&spec.room) {
                break;
            }
            soon.give(&room);
            cost += c + 1;
            chosen.push((id, i, a, room, save));
        }
        if soon.fits(&spec.room) && pick.as_ref().is_none_or(|(c, _, _)| cost < *c) {
            pick = Some((cost, k, chosen));
        }
    }
    let Some((_, k, chosen)) = pick else {
        return false;
    };
    {
        for (id, i, attempt, room, _) in chosen {
            spots[k].stopping.give(&room);
            victims.insert((id.clone(), i), ());
            // No grace: a service waits for this room, and checkpoints are kept anyway.
            out.intents.push(Intent::Stop {
                job: id,
                index: i,
                attempt,
                grace: 0,
            });
        }
        spots[k].free.take(&spec.room);
    }
    true
}

//! Placement: which waiting task goes to which machine, and who has to make room. A pure function
//! of the view and of what a node's machines reported. Each owner places on the machines of its own
//! parts: first the waiting tasks of its own jobs, in priority order, then with the room that is left
//! those of other owners' jobs. One owner places gangs, on everybody's machines. The conditional
//! writes settle what collides all the same.
//!
//! Equal tasks are decided as one run: the cost is that of jobs and of machines with room, not of
//! tasks times machines.

mod bin_packing;
pub mod pending_reason;

use crate::autoscaler::model::{MachineRecord, MachineState};
use crate::fairness::minimum_share::{self, ClassDemand};
use crate::fairness::service_levels;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, JobSpec, Resources, TaskState};
use crate::quota::{QuotaLedger, QuotaVerdict};
use crate::settings::{Objective, ObjectiveKind, Team};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND, from_secs};
use crate::wire::user::{JobKind, Priority};
use bin_packing::{CandidateMachines, Score};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};

/// A machine that may be given tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulableMachine {
    /// Its worker's session.
    pub session: u64,
    /// Whether it belongs to the node that plans; others' machines take gangs, and services that
    /// are the node's own.
    pub owned: bool,
}

/// What a plan is made from, besides the view.
pub struct SchedulingInput<'a> {
    /// The view.
    pub view: &'a ClusterState,
    /// Time of day.
    pub wall_clock: Micros,
    /// Teams.
    pub teams: &'a [Team],
    /// Aims of the classes.
    pub objectives: &'a [Objective],
    /// Which machines may be given tasks.
    pub schedulable: &'a dyn Fn(&MachineId, &MachineRecord) -> Option<SchedulableMachine>,
    /// Room of tasks that have left their machines for certain, although their blocks do not say so
    /// yet: that is bookkeeping which can wait.
    pub freed: &'a HashMap<MachineId, Resources>,
    /// Whether a job should not be tried just now.
    pub in_backoff: &'a dyn Fn(&str) -> bool,
    /// Whether a job is the planning node's own: its tasks come first, and only they push aside.
    pub owns_job: &'a dyn Fn(&str) -> bool,
    /// Whether a machine belongs to the planning node's parts.
    pub owns_machine: &'a dyn Fn(&str) -> bool,
    /// Whether this node places gangs.
    pub place_gangs: bool,
    /// Whether arrays are placed this time: they can wait until a write is worth its while.
    pub place_arrays: bool,
    /// The same for steps of pipelines with a deadline.
    pub place_deadline_steps: bool,
    /// Also place on machines that are still booting: to see what will be missing then.
    pub forecast: bool,
    /// How much of it can be written; `None` for all of it.
    pub write_limit: Option<Writes<'a>>,
}

/// What can be written of a plan: what comes behind is not worked out. While hundreds of jobs wait for
/// writes, a whole plan for the few that can be written was a third of a controller's processor time.
#[derive(Clone, Copy)]
pub struct Writes<'a> {
    /// So many jobs.
    pub jobs: usize,
    /// Whether a job has a transaction under way: what is planned for it is not written now.
    pub busy: &'a dyn Fn(&JobId) -> bool,
}

/// A plan.
#[derive(Default, Debug)]
pub struct Schedule {
    /// What to change.
    pub changes: Vec<JobChange>,
    /// Tasks without a place, by job; those that their team's limit keeps waiting are not among them.
    pub unplaced: Vec<(JobId, u32)>,
    /// Of these, tasks within the floor of a starved class.
    pub starved: HashMap<JobId, u32>,
    /// Tasks that their team's limit keeps waiting, by job.
    pub limited_by_quota: HashMap<JobId, u32>,
    /// Room left on each open machine, in a forecast.
    pub free_resources: BTreeMap<MachineId, Resources>,
}

impl Schedule {
    /// Tasks of a job that its team's limit keeps waiting.
    pub fn limited(&self, id: &JobId) -> u32 {
        self.limited_by_quota.get(id).copied().unwrap_or(0)
    }
}

/// So many tasks of a job at most in one plan: the next one follows at once.
const PER_JOB: usize = 512;
/// A gang that waited this long keeps free machines from younger ones.
const GANG_PATIENCE: Micros = 40 * SECOND;
/// Where more than one machine in so many has room, all are looked through.
const MANY: usize = 4;
/// After this its team's limit keeps room for a gang.
const GANG_MOMENT: Micros = 5 * SECOND;
/// A job's own owner pushes lower work aside for it; others only after this long, in case the owner
/// has no room to make.
const OTHERS_PUSH: Micros = 5 * SECOND;

/// What can be pushed aside on a machine, found out when first asked.
struct Soft {
    stopping: Resources,
    /// All victims together.
    sum: Resources,
    /// Cheapest first.
    victims: Vec<(i64, Victim)>,
}

struct CandidateMachine<'a> {
    id: &'a MachineId,
    machine: &'a MachineRecord,
    session: u64,
    mine: bool,
    booting: bool,
    free: Resources,
    whole: Resources,
    images: Option<&'a HashSet<String>>,
    soft: Option<Soft>,
    backfills: Option<Backfills>,
    /// There are machine types without GPUs.
    elsewhere: bool,
}

/// An entry of the queue: some waiting tasks of a job.
#[derive(Clone, Copy)]
struct Entry<'a> {
    id: &'a JobId,
    job: &'a Job,
    boosted: u32,
    from: usize,
    count: usize,
    entitled: bool,
    home: bool,
    rank: Priority,
    turn: (bool, u64),
    /// Goes before other arrays for the floor of its class.
    floored: bool,
    /// Goes before its equals, so that its job begins.
    begins: bool,
}

impl<'a> Entry<'a> {
    fn turn_at_limit(&self) -> QuotaVerdict<'a> {
        match self.job.spec.kind {
            JobKind::Gang => QuotaVerdict::Gang(self.id),
            _ if self.job.spec.priority <= Priority::High => QuotaVerdict::WithinGuarantee,
            _ if self.floored => QuotaVerdict::MinimumShare,
            _ => QuotaVerdict::Ordinary,
        }
    }
}

/// A task, its machine and the machine's session.
type Target = (u32, MachineId, u64);
/// A task to stop: job, number, attempt, what it takes.
type Victim = (JobId, u32, u32, Resources);
/// What two jobs must share for a machine to suit either as well: what they take, service, guest, spot,
/// types, zone.
type Kind<'a> = (
    [i64; 3],
    bool,
    bool,
    bool,
    Option<&'a Vec<String>>,
    Option<&'a String>,
);

/// Whether a machine has nothing on it but guests.
pub fn backfill_only(v: &ClusterState, id: &MachineId, h: &MachineRecord) -> bool {
    v.tasks_on(id).is_none_or(|t| {
        v.usage(id).backfills as usize == t.len()
            && v.machine_types
                .get(&h.machine_type)
                .is_some_and(|t| t.gpus > 0.0)
            && elsewhere(v)
    })
}

/// Whether there are machine types without GPUs.
fn elsewhere(v: &ClusterState) -> bool {
    v.machine_types.values().any(|t| t.gpus == 0.0)
}

/// Machines with GPUs, as those without need of them see them.
#[derive(Clone, Copy)]
struct Gpus {
    /// The most that a task with GPUs takes.
    need: Resources,
    /// Whether such a task waits: then only what is beside its needs is offered.
    waits: bool,
}

/// Whether a machine is of a type, zone and kind that the job allows.
pub fn machine_allowed(spec: &JobSpec, h: &MachineRecord) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|t| t.contains(&h.machine_type))
        && spec.zone.as_ref().is_none_or(|z| *z == h.zone)
        && (spec.allow_spot || !h.spot)
}

/// Attempts that a gang may lose before it keeps off spot machines.
const LOST_ON_SPOT: u32 = 2;

/// Whether a job's tasks may go to spot machines now. One of a gang's machines taken ends the whole
/// attempt, and what was done since the last checkpoint with it: on many spot machines, taken more
/// often than it saves, a large gang gets nowhere and pays for all of them again and again.
pub fn may_use_spot(job: &Job) -> bool {
    let lost = || job.slot(0).map_or(0, TaskState::attempt);
    job.spec.allow_spot
        && (job.spec.kind != JobKind::Gang || job.spec.task_count == 1 || lost() < LOST_ON_SPOT)
}

fn kind_of(s: &JobSpec) -> Kind<'_> {
    (
        [s.resources.cpus, s.resources.gpus, s.resources.memory],
        s.kind == JobKind::Service,
        s.backfill(),
        s.allow_spot,
        s.machine_types.as_ref(),
        s.zone.as_ref(),
    )
}

/// Rank and turn of a job. Turn is among jobs of one rank that the fairness loop has not told apart:
/// those that can still meet an aim of their class before those that cannot, and of the former the
/// least work first. The jobs of a pipeline with a deadline have the rank of the highest that needs
/// them and go by slack, least first: they must end in time for all that comes after them. Once no
/// aim of the pipeline can be met any more, each is a job of its own class again.
fn turn(s: &SchedulingInput<'_>, job: &Job) -> (Priority, bool, u64) {
    let spec = &job.spec;
    if let Some(due) = job.deadline_at.filter(|_| job.in_pipeline) {
        let times = s
            .objectives
            .iter()
            .filter(|o| o.kind == ObjectiveKind::Deadline)
            .map(|o| o.times)
            .max()
            .unwrap_or(1000);
        let latest =
            due.saturating_add(job.deadline_after_submission / 1000 * times.saturating_sub(1000));
        if s.wall_clock.saturating_add(spec.estimated_run_time) < latest {
            return (
                job.priority,
                false,
                due.saturating_sub(spec.estimated_run_time),
            );
        }
    }
    let age = s.wall_clock.saturating_sub(job.waiting_since);
    let mut aims = s
        .objectives
        .iter()
        .filter(|o| o.class == spec.class && o.kind != ObjectiveKind::Deadline)
        .peekable();
    let hopeless = aims.peek().is_some()
        && aims.all(|o| {
            let run = match o.kind {
                ObjectiveKind::Finished => spec.estimated_run_time,
                _ => 0,
            };
            age + run > o.within
        });
    let work = u64::from(job.waiting)
        * (spec.estimated_run_time / 1000)
        * spec.resources.cpus.max(1) as u64;
    (spec.priority, hopeless, if hopeless { 0 } else { work })
}

/// One task of an array of which none was ever started goes before its equals after this long: with the least work
/// first the largest of a class came last for as long as smaller ones came, and some began after a third of a day.
/// Not gangs: with the oldest of these first, the small ones waited behind large ones that nobody had room for.
const BEGIN: Micros = 120 * SECOND;

/// Whether an array has waited for so long that it should begin. Its own owner goes first: all would take the same.
fn late_to_begin(s: &SchedulingInput<'_>, job: &Job, home: bool) -> bool {
    let age = s.wall_clock.saturating_sub(job.waiting_since);
    let own = if home { BEGIN } else { BEGIN + OTHERS_PUSH };
    let array = job.spec.kind == JobKind::Array && !job.in_pipeline;
    array && !s.forecast && age >= own && !service_levels::started(job)
}

/// Among those that should begin the oldest goes first.
fn oldest(a: &Entry<'_>, b: &Entry<'_>) -> std::cmp::Ordering {
    match a.begins && b.begins {
        true => a.job.waiting_since.cmp(&b.job.waiting_since),
        false => std::cmp::Ordering::Equal,
    }
}

/// Makes the plan.
pub fn schedule<'a>(s: &SchedulingInput<'a>) -> Schedule {
    let v = s.view;
    let mut out = Schedule::default();
    let elsewhere = elsewhere(v);
    let mut teams = QuotaLedger::open(v, s.teams);
    // Leave whole machines with GPUs to those who need them: others get only what is beside that.
    let mut gpus = Gpus {
        need: Resources::default(),
        waits: false,
    };
    // A pass for services alone looks at these alone: nobody else is offered what GPUs leave.
    let all_wait = s.forecast || s.place_arrays || s.place_deadline_steps;
    gpus.waits = all_wait
        && v.waiting()
            .any(|(_, j)| j.spec.resources.gpus > 0 && j.queued() > 0);
    for [cpus, g, memory] in v.indexes().gpu_task_sizes.keys() {
        gpus.need = Resources {
            cpus: gpus.need.cpus.max(*cpus),
            gpus: gpus.need.gpus.max(*g),
            memory: gpus.need.memory.max(*memory),
        };
    }
    if !s.forecast {
        drain_machines(s, &mut out.changes);
    }
    let mut queue: Vec<Entry<'_>> = Vec::new();
    let all = all_wait.then(|| v.waiting());
    let services = (!all_wait).then(|| v.waiting_services());
    let waiting = all.into_iter().flatten();
    for (id, job) in waiting.chain(services.into_iter().flatten()) {
        let kind = job.spec.kind;
        let queued = if s.forecast {
            v.queued_or_blocked(job)
        } else {
            job.queued()
        };
        if queued == 0
            || (kind == JobKind::Gang && !s.place_gangs)
            || (kind == JobKind::Array
                && !if job.is_deadline_step() {
                    s.place_deadline_steps
                } else {
                    s.place_arrays
                })
            || (!s.forecast && (s.in_backoff)(id))
        {
            continue;
        }
        let entitled = teams.entitled(&job.spec.team);
        let (rank, hopeless, order) = turn(s, job);
        let turn = (hopeless, order);
        let home = kind == JobKind::Gang || (s.owns_job)(id);
        let waiting = job.waiting as usize;
        let crate::fairness::PriorityBoost { tasks: n, level: p } = v
            .priority_boosts
            .jobs
            .get(&**id)
            .copied()
            .unwrap_or_default();
        let n = if kind == JobKind::Gang && n > 0 {
            waiting
        } else {
            (n as usize).min(waiting)
        };
        let begins = usize::from(late_to_begin(s, job, home));
        let rest = n.max(begins);
        for (from, count, boosted) in [
            (0, begins, p),
            (begins, rest - begins, p),
            (rest, waiting - rest, 0),
        ] {
            if count > 0 {
                queue.push(Entry {
                    id,
                    job,
                    boosted,
                    from,
                    count,
                    entitled,
                    home,
                    rank,
                    turn,
                    floored: false,
                    begins: count == begins && from == 0,
                });
            }
        }
    }
    // A pass for services alone has nobody whom these would keep waiting.
    if s.place_deadline_steps {
        reserve_for_gangs(s, &mut teams);
    }
    if s.place_arrays {
        protect_starved(s, &mut teams, &mut queue);
    }
    queue.sort_by(|a, b| {
        (!a.entitled, a.rank, !a.floored)
            .cmp(&(!b.entitled, b.rank, !b.floored))
            .then(b.begins.cmp(&a.begins))
            .then_with(|| oldest(a, b))
            .then(a.turn.0.cmp(&b.turn.0))
            .then(b.home.cmp(&a.home))
            .then((b.boosted > 0).cmp(&(a.boosted > 0)))
            .then(a.turn.cmp(&b.turn))
            .then(a.job.waiting_since.cmp(&b.job.waiting_since))
            .then(a.id.cmp(b.id))
    });
    if queue.is_empty() && !s.forecast {
        // Nothing waits for a place: no machine has to be looked at.
        return out;
    }
    let rooms: HashMap<&str, Resources> = v
        .machine_types
        .iter()
        .map(|(k, t)| (k.as_str(), Resources::of_machine(t)))
        .collect();
    let see = |(id, machine): (&'a MachineId, &'a MachineRecord)| {
        let open = (s.schedulable)(id, machine)?;
        let whole = *rooms.get(machine.machine_type.as_str())?;
        let mut free = whole;
        free.subtract(&v.usage(id).used);
        if let Some(f) = s.freed.get(id) {
            free.add(f);
        }
        Some(CandidateMachine {
            id,
            machine,
            session: open.session,
            mine: open.owned,
            booting: s.forecast && machine.state == MachineState::Booting,
            free,
            whole,
            images: v.images.get(id),
            soft: None,
            backfills: None,
            elsewhere,
        })
    };
    // Gangs may send guests away, and the forecast tells of every machine; else those with room are
    // enough until somebody has to be pushed aside.
    let mut all = s.forecast || queue.iter().any(|e| e.job.spec.kind == JobKind::Gang);
    let candidates: Vec<CandidateMachine<'_>> = if all {
        v.machines.iter().filter_map(see).collect()
    } else {
        let least = queue
            .iter()
            .map(|e| e.job.spec.resources.cpus)
            .min()
            .unwrap_or(0);
        let ids = with_room(s, least);
        if ids.len() * MANY > v.machines.len() {
            // Cheaper in a row than one by one; the order is the same.
            let candidates = v.machines.iter().filter_map(see);
            candidates.filter(|sp| sp.free.cpus >= least).collect()
        } else {
            let found = ids.into_iter();
            found
                .filter_map(|id| see((id, v.machines.get(id)?)))
                .collect()
        }
    };
    let mut candidates = CandidateMachines::new(candidates);
    // Those that come are full: they count only for who pushes others aside.
    let mut complete = |candidates: &mut CandidateMachines<'a>| {
        if !std::mem::replace(&mut all, true) {
            let known: HashSet<&MachineId> = candidates.list.iter().map(|s| s.id).collect();
            let others = v.machines.iter().filter(|(id, _)| !known.contains(id));
            candidates.list.extend(others.filter_map(see));
        }
    };
    let mut reserved = false;
    // Kinds of tasks for which no machine had room: room only becomes less.
    let mut full: HashSet<Kind<'_>> = HashSet::new();
    let mut blocked_by_unacknowledged_start: HashSet<(Kind<'_>, Priority)> = HashSet::new();
    // Where jobs have their tasks to which zones matter, with what this plan gives them: such a job may stand in
    // several entries, and each took the half of its tasks that may be in one zone.
    let mut spread: HashMap<&JobId, HashMap<&str, u32>> = HashMap::new();
    // Jobs with something to write. Arrays are written after all others, so that they never use up what
    // those behind them could have.
    let (mut firsts, mut arrays) = (0, 0);
    for e in &queue {
        let spec = &e.job.spec;
        let array = spec.kind == JobKind::Array && !e.job.is_deadline_step();
        if let Some(w) = &s.write_limit {
            if firsts >= w.jobs {
                break;
            }
            if array && arrays >= w.jobs {
                continue;
            }
        }
        let turn = e.turn_at_limit();
        let headroom = teams.headroom(spec, turn);
        // What a limit keeps waiting waits for no machine.
        let may = u32::try_from(headroom)
            .unwrap_or(u32::MAX)
            .min(e.count as u32);
        if may < e.count as u32 {
            *out.limited_by_quota.entry(e.id.clone()).or_default() += e.count as u32 - may;
        }
        let mut got: Vec<Target> = Vec::new();
        let mut missing = 0u32;
        if spec.kind == JobKind::Gang {
            // While part of the old attempt is still on its machines, nothing starts.
            if e.job.waiting != spec.task_count {
                continue;
            }
            if may < spec.task_count {
                // All of it or nothing.
                out.limited_by_quota.insert(e.id.clone(), spec.task_count);
                continue;
            }
            got = gang(v, e.job, &mut candidates, &gpus, s.forecast, &mut out);
            if got.is_empty() {
                missing = spec.task_count;
                if !reserved && s.wall_clock.saturating_sub(e.job.waiting_since) > GANG_PATIENCE {
                    reserved = true;
                    for k in 0..candidates.list.len() {
                        let sp = &candidates.list[k];
                        if spec.resources.gpus > 0
                            && machine_allowed(spec, sp.machine)
                            && sp.free.fits(&spec.resources)
                        {
                            candidates.take(k, &spec.resources);
                        }
                    }
                }
            }
        } else if headroom > 0 {
            let zoned = spec.single_zone || spec.zone_spread;
            let kind = kind_of(spec);
            let blocked = !zoned && full.contains(&kind) && !(e.home && kind.1);
            let pushes = !s.forecast
                && (e.home || s.wall_clock.saturating_sub(e.job.waiting_since) > OTHERS_PUSH)
                && (spec.priority <= Priority::High || e.entitled);
            if blocked
                && (!pushes || blocked_by_unacknowledged_start.contains(&(kind, spec.priority)))
            {
                missing = may;
            } else {
                let waiting: Vec<u32> = e
                    .job
                    .slots()
                    .filter(|(_, x)| matches!(x, TaskState::Waiting(_)))
                    .map(|(i, _)| i)
                    .skip(e.from)
                    .take((may as usize).min(PER_JOB))
                    .collect();
                let count = waiting.len();
                let mut rest = count;
                let mut run = Run {
                    spec,
                    home: e.home,
                    gpus,
                    zones: spread.remove(e.id).unwrap_or_else(|| zones(v, e.job)),
                    waiting,
                    got: Vec::new(),
                };
                if zoned {
                    while rest > 0 && run.one(&mut candidates) {
                        rest -= 1;
                    }
                } else {
                    let order = candidates.best(kind, &run, count);
                    if order.is_empty() {
                        full.insert(kind);
                    }
                    // A service starts sooner where lower work makes way beside its image than
                    // where the image has to be fetched first.
                    let prefers = pushes && spec.kind == JobKind::Service;
                    let cold = order
                        .iter()
                        .position(|(_, k)| !warm(spec, &candidates.list[*k]))
                        .filter(|_| prefers)
                        .unwrap_or(order.len());
                    rest -= run.fill(&mut candidates, &order[..cold], rest);
                    if prefers && rest > 0 {
                        complete(&mut candidates);
                    }
                    while prefers && rest > 0 && preempt(v, &run, &mut candidates, true, &mut out) {
                        rest -= 1;
                    }
                    rest -= run.fill(&mut candidates, &order[cold..], rest);
                }
                missing = rest as u32 + may - count as u32;
                if pushes && rest > 0 {
                    complete(&mut candidates);
                }
                while pushes && rest > 0 {
                    if !preempt(v, &run, &mut candidates, false, &mut out) {
                        if !zoned {
                            blocked_by_unacknowledged_start.insert((kind, spec.priority));
                        }
                        break;
                    }
                    rest -= 1;
                }
                if zoned {
                    spread.insert(e.id, run.zones);
                }
                got = run.got;
            }
        }
        // In the forecast what has no place yet will have one: the limit is for all of it together.
        let counted = if s.forecast { missing } else { 0 };
        teams.start(spec, got.len() as i64 + i64::from(counted), turn);
        if !got.is_empty() && !s.forecast {
            if s.write_limit.is_some_and(|w| !(w.busy)(e.id)) {
                *if array { &mut arrays } else { &mut firsts } += 1;
            }
            out.changes.push(JobChange::Place {
                job: e.id.clone(),
                tasks: got,
            });
        }
        if missing > 0 && e.floored {
            *out.starved.entry(e.id.clone()).or_default() += missing;
        }
        if missing > 0 {
            out.unplaced.push((e.id.clone(), missing));
        }
    }
    if s.forecast {
        let free = candidates.list.iter().map(|s| (s.id.clone(), s.free));
        out.free_resources = free.collect();
    }
    out
}

/// Keeps, of each limit that binds, what one gang needs, once it has waited a moment and if the machines for
/// it are there: the one that waited longest for what it takes, so that small ones go first and large
/// ones have their turn with age. Otherwise a large gang of a team at its limit never starts: small
/// tasks take what becomes free. Where the machines are what is missing, nothing is kept; the forecast,
/// which has them come, takes it that the team's arrays will have made room by then.
fn reserve_for_gangs<'a>(s: &SchedulingInput<'a>, teams: &mut QuotaLedger<'a>) {
    let v = s.view;
    let mut next: BTreeMap<&str, (Micros, &JobId, &Job)> = BTreeMap::new();
    // Age over what it takes, compared without dividing.
    let before = |a: (Micros, &JobId, &Job), b: (Micros, &JobId, &Job)| {
        let cpus = |j: &Job| {
            j.spec
                .resources
                .for_tasks(i64::from(j.spec.task_count))
                .cpus
                .max(1) as u128
        };
        let of = |x: (Micros, &JobId, &Job), y: &Job| u128::from(x.0) * cpus(y);
        (of(a, b.2), b.1) > (of(b, a.2), a.1)
    };
    for (id, j) in v.waiting() {
        let age = s.wall_clock.saturating_sub(j.waiting_since);
        if j.spec.kind == JobKind::Gang
            && j.queued() == j.spec.task_count
            && age > GANG_MOMENT
            && teams.binds(&j.spec.team)
        {
            let n = next.entry(&j.spec.team).or_insert((age, id, j));
            if before((age, id, j), *n) {
                *n = (age, id, j);
            }
        }
    }
    for (age, id, j) in next.into_values() {
        let spec = &j.spec;
        let (mut gangs, mut arrays) = (Resources::default(), Resources::default());
        for x in v.jobs.values().filter(|x| x.spec.team == spec.team) {
            let runs = x.spec.resources.for_tasks(i64::from(x.placed));
            match x.spec.kind {
                JobKind::Gang => gangs.add(&runs),
                JobKind::Array => arrays.add(&runs),
                JobKind::Service => {}
            }
        }
        // Gangs get their share by this and no more: they are large, and arrays would get nothing.
        if gangs.cpus as f64 > (gangs.cpus + arrays.cpus) as f64 * minimum_share::SHARE {
            // Arrays take what becomes free: machines rented for a gang would stand idle.
            if s.forecast {
                teams.close_gangs(&spec.team);
            }
            continue;
        }
        if s.forecast {
            teams.reserve_for_gang(id, spec, true, arrays);
            continue;
        }
        let mut there = 0;
        for (machine, h) in &v.machines {
            if there >= i64::from(spec.task_count) {
                break;
            }
            let Some(t) = v.machine_types.get(&h.machine_type) else {
                continue;
            };
            // While the last of them boot the limit makes room.
            let soon = h.rented_at + from_secs(t.boot_time_s) / 2 < s.wall_clock;
            let counts = h.state == MachineState::Up || (h.state == MachineState::Booting && soon);
            if counts && machine_allowed(spec, h) {
                let mut free = Resources::of_machine(t);
                free.subtract(&v.usage(machine).used);
                // Guests leave when they are asked to: where GPUs are needed only these count.
                there += match spec.resources.gpus {
                    0 => free.count_fitting(&spec.resources),
                    n => free.gpus / n,
                };
            }
        }
        if there >= i64::from(spec.task_count) {
            teams.reserve_for_gang(id, spec, age > GANG_PATIENCE, Resources::default());
        }
    }
}

/// Lets the longest waiting tasks of starved classes go before other arrays, as far as the floor of their
/// class goes (`fairness::minimum_share`): where a team's limit binds within the team, else among all others.
/// Services and what ranks high stay before them.
fn protect_starved<'a>(
    s: &SchedulingInput<'a>,
    teams: &mut QuotaLedger<'a>,
    queue: &mut Vec<Entry<'a>>,
) {
    let v = s.view;
    let array = |j: &Job| j.spec.kind == JobKind::Array && j.ready && !j.cancelled();
    let overdue = |j: &Job| {
        s.wall_clock.saturating_sub(j.waiting_since)
            > minimum_share::overdue_after(s.objectives, &j.spec.class)
    };
    // Also others': what a team's limit keeps for a class, all controllers keep.
    let lower =
        |j: &Job| j.spec.priority > Priority::Normal && array(j) && j.waiting > 0 && overdue(j);
    if !v.waiting().any(|(_, j)| lower(j)) {
        return;
    }
    let binding: HashSet<&str> = s
        .teams
        .iter()
        .map(|t| &*t.name)
        .filter(|t| teams.binds(t))
        .collect();
    let scope = |j: &'a Job| binding.get(&*j.spec.team).copied();
    let mut classes: BTreeMap<(Option<&str>, &str), ClassDemand> = BTreeMap::new();
    for j in v.jobs.values().filter(|j| array(j)) {
        let c = classes
            .entry((scope(j), &*j.spec.class))
            .or_insert(ClassDemand {
                priority: j.spec.priority,
                waiting: 0,
                running: 0,
                mean_run_time_us: 0.0,
                overdue: false,
            });
        let cpus = |n: u32| j.spec.resources.cpus * i64::from(n);
        c.add(cpus(j.waiting), cpus(j.placed), j.spec.estimated_run_time);
        c.overdue |= j.waiting > 0 && overdue(j);
    }
    // Each controller raises so many, its own jobs first: together they take the floor once. Whoever has
    // a machine with room places them; where a task needs a whole machine that is seldom its owner.
    let owners = match s.forecast {
        true => 1,
        false => v.members.len().max(1) as i64,
    };
    let mut floors: BTreeMap<(Option<&str>, &str), i64> = BTreeMap::new();
    let scopes: BTreeSet<Option<&str>> = classes.keys().map(|k| k.0).collect();
    for scope in scopes {
        let of = || classes.iter().filter(|(k, _)| k.0 == scope);
        let list: Vec<ClassDemand> = of().map(|(_, c)| c.clone()).collect();
        for ((k, _), cpus) in of().zip(minimum_share::minimum_share(&list)) {
            if let Some(team) = scope {
                teams.reserve_minimum_share(team, cpus);
            }
            floors.insert(*k, (cpus + owners - 1) / owners);
        }
    }
    let mut order: Vec<usize> = (0..queue.len()).filter(|k| lower(queue[*k].job)).collect();
    order.sort_by_key(|k| {
        let e = &queue[*k];
        (!e.home, e.job.waiting_since, e.id, e.from)
    });
    for k in order {
        let e = &mut queue[k];
        let Some(left) = floors.get_mut(&(scope(e.job), &*e.job.spec.class)) else {
            continue;
        };
        let each = e.job.spec.resources.cpus.max(1);
        // The first one also where the floor is smaller than a task.
        let n = (*left + each - 1).div_euclid(each).clamp(0, e.count as i64);
        if n == 0 {
            continue;
        }
        *left -= n * each;
        let n = n as usize;
        let (from, count) = (e.from, e.count);
        let rest = Entry {
            from: from + n,
            count: count - n,
            ..*e
        };
        e.count = n;
        e.floored = true;
        e.rank = Priority::Normal;
        if rest.count > 0 {
            queue.push(rest);
        }
    }
}

/// Machines on which so many CPUs may be free, in order of their names.
fn with_room<'a>(s: &SchedulingInput<'a>, least: i64) -> Vec<&'a MachineId> {
    let index = s.view.indexes();
    let from = (least, MachineId::from(""));
    let mut ids: Vec<&MachineId> = index.by_free_cpus.range(from..).map(|x| &x.1).collect();
    let short = |id: &MachineId| s.view.free_cpus(id).is_some_and(|n| n < least);
    ids.extend(s.freed.keys().filter(|id| short(id)));
    ids.sort_unstable();
    ids
}

/// How many tasks of a job are in each zone; only asked for jobs to which it matters.
fn zones<'a>(v: &'a ClusterState, job: &Job) -> HashMap<&'a str, u32> {
    let mut zones = HashMap::new();
    if job.spec.single_zone || job.spec.zone_spread {
        for (_, p) in job.placements() {
            if let Some(h) = v.machines.get(&p.machine) {
                *zones.entry(h.zone.as_str()).or_default() += 1;
            }
        }
    }
    zones
}

/// Equal tasks of one job looking for machines.
struct Run<'a> {
    spec: &'a JobSpec,
    home: bool,
    gpus: Gpus,
    zones: HashMap<&'a str, u32>,
    waiting: Vec<u32>,
    got: Vec<Target>,
}

impl<'a> Run<'a> {
    fn suits(&self, sp: &CandidateMachine<'_>) -> bool {
        // A service may go to another owner's machine: on a small fleet its own owner has few that
        // hold its image. Arrays do not, so that owners seldom take the same room.
        (sp.mine || (self.home && self.spec.kind == JobKind::Service))
            && sp.free.cpus >= self.spec.resources.cpus
            && machine_allowed(self.spec, sp.machine)
    }

    /// Places up to `n` tasks in this order and tells how many.
    fn fill(
        &mut self,
        candidates: &mut CandidateMachines<'a>,
        order: &[(Score, usize)],
        n: usize,
    ) -> usize {
        let mut placed = 0;
        for (_, k) in order {
            while placed < n
                && offer(self.spec, &candidates.list[*k], &self.gpus).fits(&self.spec.resources)
            {
                self.take(candidates, *k);
                placed += 1;
            }
        }
        placed
    }

    /// Places one task of a job whose zones matter.
    fn one(&mut self, candidates: &mut CandidateMachines<'a>) -> bool {
        let best = candidates
            .list
            .iter()
            .enumerate()
            .filter(|(_, sp)| {
                self.suits(sp)
                    && offer(self.spec, sp, &self.gpus).fits(&self.spec.resources)
                    && zone_ok(self.spec, &self.zones, &sp.machine.zone)
            })
            .min_by_key(|(k, sp)| (score(self.spec, sp, warm(self.spec, sp)), *k))
            .map(|(k, _)| k);
        let Some(k) = best else { return false };
        let zone: &'a str = &candidates.list[k].machine.zone;
        *self.zones.entry(zone).or_default() += 1;
        self.take(candidates, k);
        true
    }

    fn take(&mut self, candidates: &mut CandidateMachines<'_>, k: usize) {
        candidates.take(k, &self.spec.resources);
        let sp = &candidates.list[k];
        let i = self.waiting[self.got.len()];
        self.got.push((i, sp.id.clone(), sp.session));
    }
}

/// Stops what must not go on: gangs that lost a task, tasks on machines about to be taken. Gangs are
/// stopped by the one who places them, with one write, others by the owner of their machine.
fn drain_machines(s: &SchedulingInput<'_>, out: &mut Vec<JobChange>) {
    let v = s.view;
    let draining = |h: &MachineId| {
        v.machines
            .get(h)
            .is_some_and(|h| h.state == MachineState::Draining)
    };
    if s.place_gangs {
        // Gangs of which a task waits while others are placed, and those on machines about to be taken.
        let mut gangs: BTreeSet<&JobId> = v.indexes().waiting.iter().collect();
        for machine in v.indexes().not_accepting.iter().filter(|h| draining(h)) {
            gangs.extend(
                v.tasks_on(machine)
                    .into_iter()
                    .flat_map(|t| t.keys())
                    .map(|k| &k.0),
            );
        }
        for id in gangs {
            let Some(job) = v.jobs.get(id) else { continue };
            if job.placed == 0 || job.spec.kind != JobKind::Gang || job.cancelled() {
                continue;
            }
            let broken = job.waiting > 0;
            let grace = if broken {
                0
            } else {
                job.spec.checkpoint_save_time
            };
            for (index, p) in job.placements() {
                if p.stop.is_none_or(|g| broken && g > grace) {
                    out.push(JobChange::Stop {
                        job: id.clone(),
                        index,
                        attempt: p.attempt,
                        grace,
                    });
                }
            }
        }
    }
    for machine in &v.indexes().not_accepting {
        let Some(h) = v.machines.get(machine) else {
            continue;
        };
        let closing = h.state == MachineState::Closing
            && v.tasks_on(machine).is_some()
            && backfill_only(v, machine, h);
        if (h.state != MachineState::Draining && !closing) || !(s.owns_machine)(machine) {
            continue;
        }
        for ((id, index), p) in v.tasks_on(machine).into_iter().flatten() {
            let Some(j) = v.jobs.get(id).filter(|j| !j.cancelled()) else {
                continue;
            };
            let grace = match j.spec.kind {
                JobKind::Array if j.spec.checkpoint_interval > 0 => j.spec.checkpoint_save_time,
                JobKind::Service => 0,
                _ => continue,
            };
            if p.stop.is_none() {
                out.push(JobChange::Stop {
                    job: id.clone(),
                    index: *index,
                    attempt: p.attempt,
                    grace,
                });
            }
        }
    }
}

/// What a spot offers this job: on a machine with GPUs, guests get what its users leave.
fn offer(spec: &JobSpec, sp: &CandidateMachine<'_>, gpus: &Gpus) -> Resources {
    if spec.resources.gpus > 0 || sp.whole.gpus == 0 || !sp.elsewhere && gpus.need.gpus == 0 {
        return sp.free;
    }
    if sp.elsewhere && !spec.backfill() {
        return Resources::default();
    }
    if sp.elsewhere && !gpus.waits {
        return sp.free;
    }
    let per = gpus.need.gpus.max(1);
    let n = (sp.whole.gpus / per).max(1);
    // Room of tasks with GPUs that are here counts as kept already.
    let idle = n - (sp.whole.gpus - sp.free.gpus) / per;
    let mut f = sp.free;
    if idle > 0 {
        f.subtract(&Resources {
            cpus: gpus.need.cpus * idle,
            gpus: 0,
            memory: gpus.need.memory * idle,
        });
    }
    f
}

fn zone_ok(spec: &JobSpec, zones: &HashMap<&str, u32>, zone: &str) -> bool {
    if spec.single_zone && zones.keys().any(|z| *z != zone) {
        return false;
    }
    if spec.zone_spread && zones.get(zone).copied().unwrap_or(0) >= spec.task_count.div_ceil(2) {
        return false;
    }
    true
}

/// Keeps the zones to which one more task of a job may go, by what it has elsewhere.
pub fn retain_open_zones(v: &ClusterState, job: &Job, list: &mut Vec<&str>) {
    let s = &job.spec;
    let has = zones(v, job);
    list.retain(|z| s.zone.as_ref().is_none_or(|x| x == z) && zone_ok(s, &has, z));
}

/// Whether the machine has probably cached the job's image.
fn warm(spec: &JobSpec, sp: &CandidateMachine<'_>) -> bool {
    sp.images.is_some_and(|i| i.contains(&spec.image))
}

/// Smaller is better. `warm`: taken as having the job's image.
fn score(spec: &JobSpec, sp: &CandidateMachine<'_>, warm: bool) -> Score {
    let mut cost = 0;
    if sp.whole.gpus > 0 && spec.resources.gpus == 0 {
        cost += 4;
    }
    if sp.booting {
        cost += 8;
    }
    if !warm {
        cost += 2;
    }
    if spec.allow_spot && !sp.machine.spot {
        cost += 1;
    }
    if spec.kind == JobKind::Service && !sp.mine {
        cost += 1;
    }
    // Small tasks are drawn together, so that whole machines stay for those that need one, and
    // empty ones can be returned.
    if spec.kind == JobKind::Array
        && sp.free == sp.whole
        && sp.whole.count_fitting(&spec.resources) > 1
    {
        cost += 3;
    }
    (cost, sp.free.cpus)
}

/// Machines for a whole gang, or none. Where guests hold the room of some of them, these are told to
/// save and leave, and the gang waits for them.
fn gang(
    v: &ClusterState,
    job: &Job,
    candidates: &mut CandidateMachines<'_>,
    gpus: &Gpus,
    forecast: bool,
    out: &mut Schedule,
) -> Vec<Target> {
    let spec: &JobSpec = &job.spec;
    let may = may_use_spot(job);
    let mut order: Vec<(Score, usize, Resources)> = Vec::new();
    for (k, sp) in candidates.list.iter_mut().enumerate() {
        if !machine_allowed(spec, sp.machine) || (sp.machine.spot && !may) {
            continue;
        }
        let now = offer(spec, sp, gpus);
        if now.fits(&spec.resources) {
            order.push((score(spec, sp, warm(spec, sp)), k, now));
            continue;
        }
        if spec.resources.gpus == 0 || sp.free.gpus < spec.resources.gpus || !sp.elsewhere {
            continue;
        }
        if sp.backfills.is_none() {
            sp.backfills = Some(backfills(v, sp));
        }
        let mut soon = now;
        if let Some(g) = &sp.backfills {
            soon.add(&g.sum);
        }
        if soon.fits(&spec.resources) {
            // Those that are leaving already before those that would have to.
            let (a, b) = score(spec, sp, warm(spec, sp));
            let rank =
                16 + 16 * i64::from(sp.backfills.as_ref().is_some_and(|g| !g.list.is_empty()));
            order.push(((a + rank, b), k, soon));
        }
    }
    order.sort_unstable_by_key(|x| (x.0, x.1));
    let mut zones: Vec<&str> = order
        .iter()
        .map(|x| candidates.list[x.1].machine.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let tries: Vec<Option<&str>> = if spec.single_zone {
        zones.into_iter().map(Some).collect()
    } else {
        vec![None]
    };
    for only in tries {
        let mut got: Vec<usize> = Vec::new();
        let mut per_zone: HashMap<&str, u32> = HashMap::new();
        for (_, k, room) in &order {
            let zone = candidates.list[*k].machine.zone.as_str();
            if only.is_some_and(|z| z != zone) {
                continue;
            }
            for _ in 0..room.count_fitting(&spec.resources) {
                if got.len() == spec.task_count as usize {
                    break;
                }
                let n = per_zone.entry(zone).or_default();
                if spec.zone_spread && *n >= spec.task_count.div_ceil(2) {
                    break;
                }
                *n += 1;
                got.push(*k);
            }
        }
        if got.len() < spec.task_count as usize {
            continue;
        }
        let mut ready = true;
        for k in &got {
            ready &= candidates.list[*k].free.fits(&spec.resources);
            candidates.take(*k, &spec.resources);
        }
        if ready || forecast {
            return got
                .iter()
                .enumerate()
                .map(|(i, k)| {
                    (
                        i as u32,
                        candidates.list[*k].id.clone(),
                        candidates.list[*k].session,
                    )
                })
                .collect();
        }
        for k in got {
            if let Some(g) = &mut candidates.list[k].backfills {
                out.changes.append(&mut g.list);
            }
        }
        return Vec::new();
    }
    Vec::new()
}

/// Guests on a machine with GPUs: what they hold together, and how those leave that stay as yet.
struct Backfills {
    sum: Resources,
    list: Vec<JobChange>,
}

fn backfills(v: &ClusterState, sp: &CandidateMachine<'_>) -> Backfills {
    let mut g = Backfills {
        sum: Resources::default(),
        list: Vec::new(),
    };
    for ((id, index), p) in v.tasks_on(sp.id).into_iter().flatten() {
        let Some(j) = v.jobs.get(id).filter(|j| j.spec.backfill()) else {
            continue;
        };
        g.sum.add(&j.spec.resources);
        if p.stop.is_none() && !j.cancelled() {
            g.list.push(JobChange::Stop {
                job: id.clone(),
                index: *index,
                attempt: p.attempt,
                grace: j.spec.checkpoint_save_time,
            });
        }
    }
    g
}

/// What lower work on a machine could make way.
fn soft(v: &ClusterState, spec: &JobSpec, sp: &CandidateMachine<'_>) -> Soft {
    let mut s = Soft {
        stopping: Resources::default(),
        sum: Resources::default(),
        victims: Vec::new(),
    };
    for ((id, i), p) in v.tasks_on(sp.id).into_iter().flatten() {
        let Some(j) = v.jobs.get(id) else { continue };
        if p.stop.is_some() || j.cancelled() {
            s.stopping.add(&j.spec.resources);
        } else if j.spec.priority > spec.priority
            && j.spec.priority >= Priority::Normal
            && j.spec.kind == JobKind::Array
        {
            // Cheapest first: what saves, and what ranks lowest.
            let cost = i64::from(j.spec.checkpoint_interval == 0) * 2
                + i64::from(j.spec.priority == Priority::Normal);
            s.sum.add(&j.spec.resources);
            s.victims
                .push((cost, (id.clone(), *i, p.attempt, j.spec.resources)));
        }
    }
    s.victims.sort_by_key(|x| x.0);
    s
}

/// Stops lower work on one machine so that one more task fits there. False if none can.
fn preempt(
    v: &ClusterState,
    run: &Run<'_>,
    candidates: &mut CandidateMachines<'_>,
    only_warm: bool,
    out: &mut Schedule,
) -> bool {
    let spec = run.spec;
    let mut pick: Option<(i64, usize, usize)> = None;
    for (k, sp) in candidates.list.iter_mut().enumerate() {
        if !sp.mine
            || !machine_allowed(spec, sp.machine)
            || !zone_ok(spec, &run.zones, &sp.machine.zone)
            || (only_warm && !warm(spec, sp))
        {
            continue;
        }
        if sp.soft.is_none() {
            sp.soft = Some(soft(v, spec, sp));
        }
        let offer = offer(spec, sp, &run.gpus);
        let Some(s) = &sp.soft else { continue };
        let mut soon = offer;
        soon.add(&s.stopping);
        if soon.fits(&spec.resources) {
            // Room that is on its way already.
            candidates.take(k, &spec.resources);
            return true;
        }
        let mut most = soon;
        most.add(&s.sum);
        if !most.fits(&spec.resources) {
            continue;
        }
        let mut cost = 0;
        let mut n = 0;
        for (c, (id, _, _, room)) in &s.victims {
            if soon.fits(&spec.resources) {
                break;
            }
            // Found out for a higher job: this one may not push all of them.
            if v.jobs
                .get(id)
                .is_none_or(|j| j.spec.priority <= spec.priority)
            {
                break;
            }
            soon.add(room);
            cost += c + 1;
            n += 1;
        }
        if soon.fits(&spec.resources) && pick.is_none_or(|(c, _, _)| cost < c) {
            pick = Some((cost, k, n));
        }
    }
    let Some((_, k, n)) = pick else {
        return false;
    };
    let sp = &mut candidates.list[k];
    if let Some(s) = &mut sp.soft {
        for (_, (id, i, attempt, room)) in s.victims.drain(..n) {
            s.stopping.add(&room);
            s.sum.subtract(&room);
            // No grace: a service waits for this room, and checkpoints are kept anyway.
            out.changes.push(JobChange::Stop {
                job: id,
                index: i,
                attempt,
                grace: 0,
            });
        }
    }
    candidates.take(k, &spec.resources);
    true
}

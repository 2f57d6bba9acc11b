//! What one pass writes: which intents, in which order, as far as the budget of writes goes. Pure.

use crate::ids::MachineId;
use crate::jobs::commit::{HasTeamLimit, JobChange, StagedTransaction, TransactionLimits, stage};
use crate::jobs::model::{JobId, Resources, TaskState};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::{Micros, SECOND};
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::collections::BTreeMap;

/// Arrays and gangs are placed this often: what became free meanwhile is one write.
const ARRAY_ROUND: Micros = 2 * SECOND / 5;
/// Arrays get this share of a second's budget at the latest after this, whatever else waits.
const ARRAY_LATEST: Micros = 2 * SECOND;
const ARRAY_SHARE: f64 = 0.25;
/// Exits of array tasks of which nobody waits to hear are written this much later, together.
const LAZY: Micros = 2 * SECOND;
const LAZY_MAX: Micros = 8 * SECOND;
/// Ends of jobs that are written together at most.
const ENDS: usize = 4;
/// Exits that were asked for come in numbers: so much later one write takes them together.
const ASKED: Micros = 3 * SECOND / 10;
/// What must run again, or may end a job, is written after this.
const SOON: Micros = 2 * SECOND / 5;
/// Shares of the burst of writes that stay for what comes before: placements of arrays leave room
/// for services and acceptances, bookkeeping also for arrays. Ends of jobs leave none: with 15 % kept
/// back they starved while changes were short, and the next steps of pipelines with them.
const ARRAY_RESERVE: f64 = 0.25;
/// See `ARRAY_RESERVE`.
pub const BOOKKEEPING_RESERVE: f64 = 0.5;

/// How long it can wait until what is known of a job's attempts is written.
fn patience(j: &Job, lefts: &[JobChange]) -> Micros {
    let done = |i: &JobChange| matches!(i, JobChange::AttemptEnded { done: true, .. });
    let all = lefts.len() as u32 >= j.placed;
    if j.cancelled() {
        // Its user has the answer, and the room is known to be free.
        return if all { SOON } else { LAZY };
    }
    if j.spec.kind != JobKind::Array {
        return 0;
    }
    // Room that was made for someone: others see it only once it is written.
    let asked = |i: &JobChange| match i {
        JobChange::AttemptEnded { index, .. } => {
            matches!(j.slot(*index), Some(TaskState::Placed(p)) if p.stop.is_some())
        }
        _ => false,
    };
    if lefts.iter().any(asked) {
        return ASKED;
    }
    match lefts.iter().all(done) {
        true if all && j.waiting == 0 => 0,
        true => LAZY,
        false => SOON,
    }
}

/// What a pass wants of a plan.
pub struct PlanRequest<'a> {
    /// The room of tasks that left.
    pub freed: &'a HashMap<MachineId, Resources>,
    /// Whether arrays take part.
    pub arrays: bool,
    /// Whether gangs and steps of pipelines do.
    pub deadline_steps: bool,
    /// For how many jobs something can be written; `None` for any number.
    pub max_jobs: Option<usize>,
}

/// What makes the plan of a pass.
pub type Planner<'a> = &'a dyn Fn(&PlanRequest<'_>) -> Vec<JobChange>;

/// A plan is made for so many jobs more than there are writes, times the writes: some of what it finds
/// cannot be staged.
const PLAN_TIMES: usize = 2;
const PLAN_MORE: usize = 8;

/// What a pass decides on.
pub struct ReconcileInput<'a> {
    /// The view.
    pub view: &'a ClusterState,
    /// What machines' reports prove about attempts, and the blocks do not say yet.
    pub ended_attempts: &'a BTreeMap<MachineId, Vec<JobChange>>,
    /// Jobs with a transaction under way.
    pub jobs_in_flight: &'a HashSet<JobId>,
    /// Changes that could be written at once, and the most that this ever is.
    pub write_budget: (f64, f64),
    /// Limits of a transaction.
    pub limits: TransactionLimits,
    /// Teams with limits.
    pub has_team_limit: HasTeamLimit<'a>,
    /// The plan.
    pub plan: Planner<'a>,
    /// Now.
    pub now: Micros,
}

/// What is remembered from pass to pass.
#[derive(Default)]
pub struct WriteSchedule {
    left_since: HashMap<JobId, Micros>,
    arrays_at: Micros,
    steps_at: Micros,
}

impl WriteSchedule {
    /// The transactions of this pass, most worth first, as far as the budget of writes goes. What is
    /// left out is found again in the next pass.
    pub fn decide(&mut self, p: &ReconcileInput<'_>) -> Vec<StagedTransaction> {
        let (view, now) = (p.view, p.now);
        let mut freed: HashMap<MachineId, Resources> = HashMap::new();
        let mut by_job: BTreeMap<JobId, Vec<JobChange>> = BTreeMap::new();
        for (machine, list) in p.ended_attempts {
            for i in list {
                if let Some(j) = view.jobs.get(i.job()) {
                    freed
                        .entry(machine.clone())
                        .or_default()
                        .add(&j.spec.resources);
                    by_job.entry(i.job().clone()).or_default().push(i.clone());
                }
            }
        }
        let since = &mut self.left_since;
        since.retain(|j, _| by_job.contains_key(j));
        // Ends of jobs and exits that were asked for, those that others wait for and the longest known
        // first: what is left out for want of writes must not be the same jobs each time.
        let mut ends: Vec<(Micros, &JobId)> = Vec::new();
        let mut books: Vec<(Micros, &JobId)> = Vec::new();
        for (id, list) in &by_job {
            let Some(j) = view.jobs.get(id) else { continue };
            let at = *since.entry(id.clone()).or_insert(now);
            let wait = patience(j, list);
            if now.saturating_sub(at) >= wait {
                if wait <= ASKED { &mut ends } else { &mut books }.push((at, id));
            }
        }
        // What is over, and what was withdrawn before it was placed.
        ends.extend(view.indexes().finished.iter().map(|id| (0, id)));
        ends.sort_by_key(|(at, id)| (!view.has_dependents(id), *at, *id));
        let (mut level, burst) = p.write_budget;
        let waited = now.saturating_sub(self.arrays_at);
        let late = waited >= ARRAY_LATEST;
        if level < 0.0 && !late {
            // Nothing can be written, so nothing is worked out.
            return Vec::new();
        }
        let arrays = waited >= ARRAY_ROUND && (late || level > burst * ARRAY_RESERVE);
        // A few writes place hundreds of tasks: never starved by a flood of services.
        let keep_arrays = if late {
            ARRAY_RESERVE.min(level / burst - ARRAY_SHARE)
        } else {
            ARRAY_RESERVE
        };
        if arrays {
            self.arrays_at = now;
        }
        // Never arrays without steps: these come first, and would find their room taken.
        let steps = arrays || now.saturating_sub(self.steps_at) >= ARRAY_ROUND;
        if steps {
            self.steps_at = now;
        }
        let mut later: Vec<JobChange> = Vec::new();
        // In the plan's order, each job's intents together.
        let mut first: Vec<(JobId, Vec<JobChange>)> = Vec::new();
        let mut places: HashMap<JobId, usize> = HashMap::new();
        let wish = PlanRequest {
            freed: &freed,
            arrays,
            deadline_steps: steps,
            // Arrays that are late have a share of their own, whatever stands before them.
            max_jobs: (!late).then(|| level as usize * PLAN_TIMES + PLAN_MORE),
        };
        for i in (p.plan)(&wish) {
            // A step of a pipeline that has its deadline before it goes with services and gangs.
            let array = matches!(&i, JobChange::Place { job, .. }
            if view.jobs.get(job).is_some_and(|j| {
                j.spec.kind == JobKind::Array && !j.is_deadline_step()
            }));
            if array {
                later.push(i);
                continue;
            }
            let id = i.job().clone();
            let k = *places.entry(id.clone()).or_insert_with(|| {
                // A write of a block takes along what else is to be said of its job.
                let known = by_job.get(&id).cloned().unwrap_or_default();
                first.push((id, known));
                first.len() - 1
            });
            first[k].1.push(i);
        }
        let mut busy = p.jobs_in_flight.clone();
        let mut out = Vec::new();
        let mut add = |intents: &[JobChange], keep: f64| {
            // Users who wait for an answer come before all of it. What cannot be written now is not
            // even worked out.
            if intents.is_empty() || level < burst * keep {
                return;
            }
            for s in stage(view, intents, &busy, p.has_team_limit, p.limits) {
                let n = s.transaction.mutations.len() as f64;
                if level < burst * keep {
                    return;
                }
                level -= n;
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let of = |f: &dyn Fn(&JobChange) -> usize| intents.iter().map(f).sum::<usize>();
                    let places = of(&|i| match i {
                        JobChange::Place { tasks, .. } => tasks.len(),
                        _ => 0,
                    });
                    let lefts = of(&|i| usize::from(matches!(i, JobChange::AttemptEnded { .. })));
                    let stops = of(&|i| usize::from(matches!(i, JobChange::Stop { .. })));
                    let jobs = s.jobs.len();
                    let first = s.jobs.first();
                    let class = first.and_then(|j| view.jobs.get(j)).map(|j| &*j.spec.class);
                    let first = first.map(|j| &**j);
                    tracing::debug!(
                        keep, n, jobs, places, lefts, stops, level, first, class, "staged"
                    );
                }
                busy.extend(s.jobs.iter().cloned());
                out.push(s);
            }
        };
        for (_, list) in &first {
            add(list, 0.0);
        }
        for chunk in ends.chunks(ENDS) {
            let list: Vec<JobChange> = chunk
                .iter()
                .flat_map(|(_, id)| {
                    let known = by_job.get(*id).into_iter().flatten().cloned();
                    known.chain([JobChange::Finalize { job: (*id).clone() }])
                })
                .collect();
            add(&list, 0.0);
        }
        for i in later {
            let mut list = by_job.get(i.job()).cloned().unwrap_or_default();
            list.push(i);
            add(&list, keep_arrays);
        }
        books.sort();
        for (at, id) in books {
            let keep = if now.saturating_sub(at) > LAZY_MAX {
                ARRAY_RESERVE / 2.0
            } else {
                BOOKKEEPING_RESERVE
            };
            add(&by_job[id], keep);
        }
        out
    }
}

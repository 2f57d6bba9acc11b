//! What one pass writes: which changes, in which order, as far as the write budget goes.
//!
//! Pure but for [`WriteSchedule`], which remembers from pass to pass when what was due; only the
//! reconciliation loop changes it.

use super::write_delay::{STOPPED_DELAY, write_delay};
use crate::ids::MachineId;
use crate::jobs::commit::{HasTeamLimit, JobChange, StagedTransaction, TransactionLimits, stage};
use crate::jobs::model::{JobId, Resources};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::collections::BTreeMap;

/// Interval between placements of arrays and gangs: what becomes free meanwhile is one write.
const ARRAY_ROUND: Micros = 2 * SECOND / 5;
/// Arrays get their share of the budget at the latest after this, whatever else waits.
const MAX_ARRAY_WAIT: Micros = 2 * SECOND;
/// Share of a second's budget that arrays get then. A few writes place hundreds of tasks, so that
/// this is enough for them never to starve behind a flood of services.
const OVERDUE_ARRAY_SHARE: f64 = 0.25;
/// Share of the burst that placements of arrays leave to services and accepted submissions. Job ends
/// leave none: with a reserve kept back they starved while the budget was short, and the next steps
/// of pipelines with them.
const ARRAY_RESERVE: f64 = 0.25;
/// Share of the burst that bookkeeping leaves to everything else, arrays included.
pub const BOOKKEEPING_RESERVE: f64 = 0.5;
/// Bookkeeping that has waited longer than this is written from half the reserve of arrays on.
const MAX_BOOKKEEPING_WAIT: Micros = 8 * SECOND;
/// Job ends that are staged together at most: a larger transaction would overdraw the budget by more.
const ENDS_PER_TRANSACTION: usize = 4;
/// A plan covers this many jobs for each write that the budget allows, as some of what it finds cannot
/// be staged.
const PLANNED_JOBS_PER_WRITE: usize = 2;
/// Jobs that a plan covers beyond that, so that a budget near zero does not hide what could be staged.
const EXTRA_PLANNED_JOBS: usize = 8;

/// What a pass wants of a plan.
pub struct PlanRequest<'a> {
    /// Resources of tasks that have left their machine, although their blocks do not say so yet.
    pub freed: &'a HashMap<MachineId, Resources>,
    /// Whether arrays are placed.
    pub arrays: bool,
    /// Whether gangs and pipeline steps with a deadline are placed.
    pub deadline_steps: bool,
    /// Number of jobs for which something can be written; `None` for any number.
    pub max_jobs: Option<usize>,
}

/// Makes the plan of a pass.
pub type Planner<'a> = &'a dyn Fn(&PlanRequest<'_>) -> Vec<JobChange>;

/// This controller's share of the state service's limit of mutations.
#[derive(Clone, Copy, Debug)]
pub struct WriteBudget {
    /// Mutations that can be written at once; negative if the budget is overdrawn.
    pub available: f64,
    /// The most that `available` ever is.
    pub burst: f64,
}

/// What a pass decides on.
pub struct ReconcileInput<'a> {
    /// The cluster state as this controller sees it.
    pub view: &'a ClusterState,
    /// What heartbeats prove about attempts and the blocks do not say yet, by machine.
    pub ended_attempts: &'a BTreeMap<MachineId, Vec<JobChange>>,
    /// Jobs with a transaction in flight.
    pub jobs_in_flight: &'a HashSet<JobId>,
    /// What may be written.
    pub write_budget: WriteBudget,
    /// Limits of a transaction.
    pub limits: TransactionLimits,
    /// Tells the teams with limits.
    pub has_team_limit: HasTeamLimit<'a>,
    /// Makes the plan.
    pub plan: Planner<'a>,
    /// Monotonic time of the pass.
    pub now: Micros,
}

/// What is remembered from pass to pass about writes that wait.
#[derive(Default)]
pub struct WriteSchedule {
    /// Since when a job has ended attempts that are not written.
    unwritten_since: HashMap<JobId, Micros>,
    last_array_round: Micros,
    last_deadline_step_round: Micros,
}

/// Ended attempts of jobs that the view knows.
struct EndedAttempts {
    /// Resources that they leave, by machine.
    freed: HashMap<MachineId, Resources>,
    by_job: BTreeMap<JobId, Vec<JobChange>>,
}

/// A job with ended attempts whose write is due, and since when they are known.
type DueJob<'a> = (Micros, &'a JobId);

/// Writes that are due, apart from what the plan asks for.
struct DueWrites<'a> {
    /// Ends of jobs, and ends of attempts that someone waits for.
    urgent: Vec<DueJob<'a>>,
    /// The others.
    bookkeeping: Vec<DueJob<'a>>,
}

/// What takes part in the plan of a pass.
struct PlanRound {
    arrays: bool,
    deadline_steps: bool,
    /// Whether arrays have waited too long and may overdraw the budget.
    arrays_overdue: bool,
    /// Share of the burst that placements of arrays leave to others.
    array_reserve: f64,
}

/// The changes of a plan, in the order of their writes.
struct PlannedChanges {
    /// For services, gangs and pipeline steps with a deadline: a list a job, in the plan's order.
    first: Vec<Vec<JobChange>>,
    /// Placements of other arrays.
    arrays: Vec<JobChange>,
}

impl WriteSchedule {
    /// The transactions of this pass, the most urgent first, as far as the write budget goes. What is
    /// left out is found again in the next pass.
    pub fn decide(&mut self, input: &ReconcileInput<'_>) -> Vec<StagedTransaction> {
        let ended = EndedAttempts::collect(input);
        let mut due = self.due_writes(input, &ended);
        let Some(round) = self.next_round(input) else {
            return Vec::new();
        };
        let planned = plan(input, &ended, &round);
        let mut stager = Stager::new(input);
        for changes in &planned.first {
            stager.add(changes, 0.0);
        }
        for jobs in due.urgent.chunks(ENDS_PER_TRANSACTION) {
            stager.add(&ended.with_finalize(jobs), 0.0);
        }
        for placement in planned.arrays {
            let mut changes = ended.of_job(placement.job());
            changes.push(placement);
            stager.add(&changes, round.array_reserve);
        }
        due.bookkeeping.sort();
        for (since, job) in due.bookkeeping {
            let overdue = input.now.saturating_sub(since) > MAX_BOOKKEEPING_WAIT;
            let reserve = match overdue {
                true => ARRAY_RESERVE / 2.0,
                false => BOOKKEEPING_RESERVE,
            };
            stager.add(&ended.by_job[job], reserve);
        }
        stager.staged
    }

    /// Finds the writes that are due. Urgent ones are sorted so that those that other jobs wait for
    /// and the longest known come first: what is left out for want of budget must not be the same jobs
    /// each time.
    fn due_writes<'a>(
        &mut self,
        input: &ReconcileInput<'a>,
        ended: &'a EndedAttempts,
    ) -> DueWrites<'a> {
        let view = input.view;
        self.unwritten_since
            .retain(|job, _| ended.by_job.contains_key(job));
        let mut due = DueWrites {
            urgent: Vec::new(),
            bookkeeping: Vec::new(),
        };
        for (id, changes) in &ended.by_job {
            let Some(job) = view.jobs.get(id) else {
                continue;
            };
            let since = *self.unwritten_since.entry(id.clone()).or_insert(input.now);
            let delay = write_delay(job, changes);
            if input.now.saturating_sub(since) < delay {
                continue;
            }
            match delay <= STOPPED_DELAY {
                true => due.urgent.push((since, id)),
                false => due.bookkeeping.push((since, id)),
            }
        }
        // Jobs that have ended, and those that were cancelled before they were placed.
        let finished = &view.indexes().finished;
        due.urgent.extend(finished.iter().map(|id| (0, id)));
        due.urgent
            .sort_by_key(|(since, id)| (!view.has_dependents(id), *since, *id));
        due
    }

    /// What takes part in the plan of this pass. `None` while nothing can be written, so that nothing
    /// needs to be worked out.
    fn next_round(&mut self, input: &ReconcileInput<'_>) -> Option<PlanRound> {
        let WriteBudget { available, burst } = input.write_budget;
        let now = input.now;
        let waited = now.saturating_sub(self.last_array_round);
        let arrays_overdue = waited >= MAX_ARRAY_WAIT;
        if available < 0.0 && !arrays_overdue {
            return None;
        }
        let arrays = waited >= ARRAY_ROUND && (arrays_overdue || available > burst * ARRAY_RESERVE);
        let array_reserve = match arrays_overdue {
            true => ARRAY_RESERVE.min(available / burst - OVERDUE_ARRAY_SHARE),
            false => ARRAY_RESERVE,
        };
        if arrays {
            self.last_array_round = now;
        }
        // Never arrays without pipeline steps: these come first, and would find their resources taken.
        let deadline_steps =
            arrays || now.saturating_sub(self.last_deadline_step_round) >= ARRAY_ROUND;
        if deadline_steps {
            self.last_deadline_step_round = now;
        }
        Some(PlanRound {
            arrays,
            deadline_steps,
            arrays_overdue,
            array_reserve,
        })
    }
}

impl EndedAttempts {
    fn collect(input: &ReconcileInput<'_>) -> EndedAttempts {
        let mut ended = EndedAttempts {
            freed: HashMap::new(),
            by_job: BTreeMap::new(),
        };
        for (machine, changes) in input.ended_attempts {
            for change in changes {
                let Some(job) = input.view.jobs.get(change.job()) else {
                    continue;
                };
                ended
                    .freed
                    .entry(machine.clone())
                    .or_default()
                    .add(&job.spec.resources);
                ended
                    .by_job
                    .entry(change.job().clone())
                    .or_default()
                    .push(change.clone());
            }
        }
        ended
    }

    /// A job's ended attempts: whatever else is written of a job takes them along.
    fn of_job(&self, job: &JobId) -> Vec<JobChange> {
        self.by_job.get(job).cloned().unwrap_or_default()
    }

    /// The changes that write the ended attempts of jobs, and their ends where they have ended.
    fn with_finalize(&self, jobs: &[DueJob<'_>]) -> Vec<JobChange> {
        jobs.iter()
            .flat_map(|(_, id)| {
                let ended = self.by_job.get(*id).into_iter().flatten().cloned();
                ended.chain([JobChange::Finalize { job: (*id).clone() }])
            })
            .collect()
    }
}

/// Makes the plan and sorts its changes by urgency.
fn plan(input: &ReconcileInput<'_>, ended: &EndedAttempts, round: &PlanRound) -> PlannedChanges {
    let writes = input.write_budget.available as usize;
    let changes = (input.plan)(&PlanRequest {
        freed: &ended.freed,
        arrays: round.arrays,
        deadline_steps: round.deadline_steps,
        // Overdue arrays have a share of their own, whatever stands before them.
        max_jobs: (!round.arrays_overdue)
            .then(|| writes * PLANNED_JOBS_PER_WRITE + EXTRA_PLANNED_JOBS),
    });
    let mut planned = PlannedChanges {
        first: Vec::new(),
        arrays: Vec::new(),
    };
    let mut positions: HashMap<JobId, usize> = HashMap::new();
    for change in changes {
        if places_array(input.view, &change) {
            planned.arrays.push(change);
            continue;
        }
        let job = change.job();
        let position = *positions.entry(job.clone()).or_insert_with(|| {
            planned.first.push(ended.of_job(job));
            planned.first.len() - 1
        });
        planned.first[position].push(change);
    }
    planned
}

/// Whether a change places tasks of an array. Arrays that are pipeline steps with a deadline are
/// written with services and gangs.
fn places_array(view: &ClusterState, change: &JobChange) -> bool {
    matches!(change, JobChange::Place { job, .. } if view.jobs.get(job).is_some_and(|job| {
        job.spec.kind == JobKind::Array && !job.is_deadline_step()
    }))
}

/// Stages changes as long as the write budget lasts.
struct Stager<'a> {
    input: &'a ReconcileInput<'a>,
    /// What is left of the budget.
    available: f64,
    /// Jobs with a transaction in flight, or one of this pass.
    busy: HashSet<JobId>,
    staged: Vec<StagedTransaction>,
}

impl<'a> Stager<'a> {
    fn new(input: &'a ReconcileInput<'a>) -> Stager<'a> {
        Stager {
            input,
            available: input.write_budget.available,
            busy: input.jobs_in_flight.clone(),
            staged: Vec::new(),
        }
    }

    /// Stages changes while the budget is not below this share of its burst. Users who wait for an
    /// answer come before all of it, and what cannot be written now is not even worked out.
    fn add(&mut self, changes: &[JobChange], reserve: f64) {
        let input = self.input;
        let min_available = input.write_budget.burst * reserve;
        if changes.is_empty() || self.available < min_available {
            return;
        }
        let transactions = stage(
            input.view,
            changes,
            &self.busy,
            input.has_team_limit,
            input.limits,
        );
        for transaction in transactions {
            if self.available < min_available {
                return;
            }
            self.available -= transaction.transaction.mutations.len() as f64;
            self.log(changes, &transaction, reserve);
            self.busy.extend(transaction.jobs.iter().cloned());
            self.staged.push(transaction);
        }
    }

    fn log(&self, changes: &[JobChange], staged: &StagedTransaction, reserve: f64) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let count = |test: fn(&JobChange) -> usize| changes.iter().map(test).sum::<usize>();
        let placements = count(|change| match change {
            JobChange::Place { tasks, .. } => tasks.len(),
            _ => 0,
        });
        let ended = count(|change| usize::from(matches!(change, JobChange::AttemptEnded { .. })));
        let stops = count(|change| usize::from(matches!(change, JobChange::Stop { .. })));
        let first_job = staged.jobs.first();
        let class = first_job
            .and_then(|id| self.input.view.jobs.get(id))
            .map(|job| &*job.spec.class);
        tracing::debug!(
            reserve,
            mutations = staged.transaction.mutations.len(),
            jobs = staged.jobs.len(),
            placements,
            ended,
            stops,
            available = self.available,
            first_job = first_job.map(|id| &**id),
            class,
            "transaction staged"
        );
    }
}

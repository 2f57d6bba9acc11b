//! Selects the changes that one reconciliation pass writes, and their order, within the write budget.
//!
//! The functions have no side effects except on [`WriteSchedule`], which keeps the times of pending and
//! recent writes between passes; only the reconciliation loop changes it.

use super::write_delay::{STOPPED_TASK_WRITE_DELAY, write_delay};
use crate::ids::MachineId;
use crate::jobs::commit::{JobChange, StagedTransaction, TeamLimitCheck, TransactionLimits, stage};
use crate::jobs::model::{JobId, Resources};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::user::JobKind;
use foldhash::{HashMap, HashMapExt, HashSet};
use std::collections::BTreeMap;

/// Interval between placements of arrays and gangs. Resources freed within one interval are assigned
/// with one write.
const ARRAY_PLACEMENT_INTERVAL: Micros = 2 * SECOND / 5;
/// Time after which arrays are overdue and get `OVERDUE_ARRAY_SHARE` regardless of other waiting writes.
const ARRAY_OVERDUE_DELAY: Micros = 2 * SECOND;
/// Share of a second's budget that overdue arrays may use. A few writes place hundreds of tasks, so this
/// is enough to keep arrays from starving behind a large number of services.
const OVERDUE_ARRAY_SHARE: f64 = 0.25;
/// Share of the burst that placements of arrays leave to services and accepted submissions. Job ends
/// leave no reserve: with one, job ends and the pipeline steps that depend on them starved while the
/// budget was short.
const ARRAY_RESERVE_SHARE: f64 = 0.25;
/// Share of the burst that bookkeeping leaves to all other writes, including arrays.
pub const BOOKKEEPING_RESERVE_SHARE: f64 = 0.5;
/// Time after which bookkeeping is overdue and leaves only half of `ARRAY_RESERVE_SHARE` as its reserve.
const BOOKKEEPING_OVERDUE_DELAY: Micros = 8 * SECOND;
/// Maximum number of job ends staged together. A larger transaction could overdraw the budget by more.
const MAX_JOB_ENDS_PER_TRANSACTION: usize = 4;
/// Number of jobs that a plan covers for each write that the budget allows, since some planned changes
/// cannot be staged.
const PLANNED_JOBS_PER_WRITE: usize = 2;
/// Additional jobs that a plan covers, so that a budget near zero does not exclude jobs whose changes
/// could be staged.
const EXTRA_PLANNED_JOBS: usize = 8;

/// Parameters of the plan that a pass requests.
pub struct PlanRequest<'a> {
    /// Resources of tasks that have left their machine, by machine. The stored task blocks do not record
    /// this yet.
    pub released_resources: &'a HashMap<MachineId, Resources>,
    /// Whether arrays are placed.
    pub place_arrays: bool,
    /// Whether gangs and pipeline steps with a deadline are placed.
    pub place_deadline_steps: bool,
    /// Number of jobs for which changes can be written; `None` for no limit.
    pub max_jobs: Option<usize>,
}

/// Computes the plan of a pass.
pub type Planner<'a> = &'a dyn Fn(&PlanRequest<'_>) -> Vec<JobChange>;

/// This controller's share of the state service's mutation limit, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct WriteBudget {
    /// Number of mutations that can be written now; negative if the budget is overdrawn.
    pub available: f64,
    /// Maximum of `available`.
    pub burst: f64,
}

/// Input of one pass.
pub struct ReconcileInput<'a> {
    /// Cluster state in this controller's watch cache.
    pub view: &'a ClusterState,
    /// Ended attempts, by machine, that heartbeats prove and the stored task blocks do not record yet.
    pub ended_attempts: &'a BTreeMap<MachineId, Vec<JobChange>>,
    /// Jobs with a transaction in flight.
    pub jobs_in_flight: &'a HashSet<JobId>,
    /// Mutations that may be written.
    pub write_budget: WriteBudget,
    /// Limits of a transaction.
    pub limits: TransactionLimits,
    /// Returns whether a team has a limit.
    pub has_team_limit: TeamLimitCheck<'a>,
    /// Computes the plan.
    pub plan: Planner<'a>,
    /// Monotonic time of the pass.
    pub now: Micros,
}

/// Times of pending writes and of the last placements, kept between passes.
#[derive(Default)]
pub struct WriteSchedule {
    /// Time since which a job has ended attempts that are not written.
    unwritten_since: HashMap<JobId, Micros>,
    last_array_placement: Micros,
    last_deadline_step_placement: Micros,
}

/// Ended attempts of jobs that are in the view.
struct EndedAttempts {
    /// Resources that the ended attempts free, by machine.
    released_resources: HashMap<MachineId, Resources>,
    by_job: BTreeMap<JobId, Vec<JobChange>>,
}

/// A job with ended attempts whose write is due, and the time since which the ends are known.
type DueJob<'a> = (Micros, &'a JobId);

/// Writes that are due, excluding the changes of the plan.
struct DueWrites<'a> {
    /// Ends of jobs, and ends of attempts for which other work waits.
    urgent: Vec<DueJob<'a>>,
    /// All other ends of attempts.
    bookkeeping: Vec<DueJob<'a>>,
}

/// Kinds of jobs that the plan of a pass includes, and the budget of arrays.
struct PlanRound {
    place_arrays: bool,
    place_deadline_steps: bool,
    /// Whether arrays have waited for `ARRAY_OVERDUE_DELAY` and may overdraw the budget.
    arrays_overdue: bool,
    /// Share of the burst that placements of arrays leave to other writes.
    array_reserve: f64,
}

/// Changes of a plan, in the order in which they are written.
struct PlannedChanges {
    /// Changes of services, gangs and pipeline steps with a deadline: one list per job, in the order of
    /// the plan.
    prioritized: Vec<Vec<JobChange>>,
    /// Placements of other arrays.
    array_placements: Vec<JobChange>,
}

impl WriteSchedule {
    /// Returns the transactions of this pass that fit the write budget, the most urgent first. Changes
    /// that do not fit are computed again in the next pass.
    pub fn stage_due_writes(&mut self, input: &ReconcileInput<'_>) -> Vec<StagedTransaction> {
        let ended = EndedAttempts::collect(input);
        let mut due = self.due_writes(input, &ended);
        let Some(round) = self.next_round(input) else {
            return Vec::new();
        };
        let planned = plan(input, &ended, &round);
        let mut stager = Stager::new(input);
        for changes in &planned.prioritized {
            stager.add(changes, 0.0);
        }
        for jobs in due.urgent.chunks(MAX_JOB_ENDS_PER_TRANSACTION) {
            stager.add(&ended.with_finalize(jobs), 0.0);
        }
        for placement in planned.array_placements {
            let mut changes = ended.for_job(placement.job());
            changes.push(placement);
            stager.add(&changes, round.array_reserve);
        }
        due.bookkeeping.sort();
        for (since, job) in due.bookkeeping {
            let overdue = input.now.saturating_sub(since) > BOOKKEEPING_OVERDUE_DELAY;
            let reserve = match overdue {
                true => ARRAY_RESERVE_SHARE / 2.0,
                false => BOOKKEEPING_RESERVE_SHARE,
            };
            stager.add(&ended.by_job[job], reserve);
        }
        stager.staged
    }

    /// Returns the writes that are due. Urgent writes of jobs with dependents come first, then those known
    /// for the longest time, so that a short budget does not leave out the same jobs in every pass.
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
            match delay <= STOPPED_TASK_WRITE_DELAY {
                true => due.urgent.push((since, id)),
                false => due.bookkeeping.push((since, id)),
            }
        }
        // Jobs that have ended, and jobs that were cancelled before they were placed.
        let finished = &view.indexes().finished;
        due.urgent.extend(finished.iter().map(|id| (0, id)));
        due.urgent
            .sort_by_key(|(since, id)| (!view.has_dependents(id), *since, *id));
        due
    }

    /// Selects the kinds of jobs that the plan of this pass includes. Returns `None` while nothing can be
    /// written, so that no plan is computed.
    fn next_round(&mut self, input: &ReconcileInput<'_>) -> Option<PlanRound> {
        let WriteBudget { available, burst } = input.write_budget;
        let now = input.now;
        let waited = now.saturating_sub(self.last_array_placement);
        let arrays_overdue = waited >= ARRAY_OVERDUE_DELAY;
        if available < 0.0 && !arrays_overdue {
            return None;
        }
        let place_arrays = waited >= ARRAY_PLACEMENT_INTERVAL
            && (arrays_overdue || available > burst * ARRAY_RESERVE_SHARE);
        let array_reserve = match arrays_overdue {
            true => ARRAY_RESERVE_SHARE.min(available / burst - OVERDUE_ARRAY_SHARE),
            false => ARRAY_RESERVE_SHARE,
        };
        if place_arrays {
            self.last_array_placement = now;
        }
        // Arrays are never placed without pipeline steps: steps have precedence, and arrays would take
        // their resources.
        let place_deadline_steps = place_arrays
            || now.saturating_sub(self.last_deadline_step_placement) >= ARRAY_PLACEMENT_INTERVAL;
        if place_deadline_steps {
            self.last_deadline_step_placement = now;
        }
        Some(PlanRound {
            place_arrays,
            place_deadline_steps,
            arrays_overdue,
            array_reserve,
        })
    }
}

impl EndedAttempts {
    fn collect(input: &ReconcileInput<'_>) -> EndedAttempts {
        let mut ended = EndedAttempts {
            released_resources: HashMap::new(),
            by_job: BTreeMap::new(),
        };
        for (machine, changes) in input.ended_attempts {
            for change in changes {
                let Some(job) = input.view.jobs.get(change.job()) else {
                    continue;
                };
                ended
                    .released_resources
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

    /// Returns the ended attempts of a job. They are included in any other write of the job.
    fn for_job(&self, job: &JobId) -> Vec<JobChange> {
        self.by_job.get(job).cloned().unwrap_or_default()
    }

    /// Returns the changes that record the ended attempts of jobs and finalize the jobs that have ended.
    fn with_finalize(&self, jobs: &[DueJob<'_>]) -> Vec<JobChange> {
        jobs.iter()
            .flat_map(|(_, id)| {
                let ended = self.by_job.get(*id).into_iter().flatten().cloned();
                ended.chain([JobChange::Finalize { job: (*id).clone() }])
            })
            .collect()
    }
}

/// Computes the plan and groups its changes by urgency.
fn plan(input: &ReconcileInput<'_>, ended: &EndedAttempts, round: &PlanRound) -> PlannedChanges {
    let writes = input.write_budget.available as usize;
    let changes = (input.plan)(&PlanRequest {
        released_resources: &ended.released_resources,
        place_arrays: round.place_arrays,
        place_deadline_steps: round.place_deadline_steps,
        // Overdue arrays have a separate share of the budget, regardless of the jobs ahead of them.
        max_jobs: (!round.arrays_overdue)
            .then(|| writes * PLANNED_JOBS_PER_WRITE + EXTRA_PLANNED_JOBS),
    });
    let mut planned = PlannedChanges {
        prioritized: Vec::new(),
        array_placements: Vec::new(),
    };
    let mut positions: HashMap<JobId, usize> = HashMap::new();
    for change in changes {
        if places_array(input.view, &change) {
            planned.array_placements.push(change);
            continue;
        }
        let job = change.job();
        let position = *positions.entry(job.clone()).or_insert_with(|| {
            planned.prioritized.push(ended.for_job(job));
            planned.prioritized.len() - 1
        });
        planned.prioritized[position].push(change);
    }
    planned
}

/// Returns whether a change places tasks of an array. Pipeline steps with a deadline are excluded: they
/// are written with services and gangs.
fn places_array(view: &ClusterState, change: &JobChange) -> bool {
    matches!(change, JobChange::Place { job, .. } if view.jobs.get(job).is_some_and(|job| {
        job.spec.kind == JobKind::Array && !job.is_deadline_step()
    }))
}

/// Stages changes until the write budget is used up.
struct Stager<'a> {
    input: &'a ReconcileInput<'a>,
    /// Remaining mutations of the budget.
    available: f64,
    /// Jobs with a transaction in flight or staged in this pass.
    jobs_in_flight: HashSet<JobId>,
    staged: Vec<StagedTransaction>,
}

impl<'a> Stager<'a> {
    fn new(input: &'a ReconcileInput<'a>) -> Stager<'a> {
        Stager {
            input,
            available: input.write_budget.available,
            jobs_in_flight: input.jobs_in_flight.clone(),
            staged: Vec::new(),
        }
    }

    /// Stages changes while the budget is at least the `reserve` share of its burst. Requests of users
    /// who wait for a response have precedence over all of these writes, and transactions that cannot be
    /// written now are not computed.
    fn add(&mut self, changes: &[JobChange], reserve: f64) {
        let input = self.input;
        let min_available = input.write_budget.burst * reserve;
        if changes.is_empty() || self.available < min_available {
            return;
        }
        let transactions = stage(
            input.view,
            changes,
            &self.jobs_in_flight,
            input.has_team_limit,
            input.limits,
        );
        for transaction in transactions {
            if self.available < min_available {
                return;
            }
            self.available -= transaction.transaction.mutations.len() as f64;
            self.log_staged(changes, &transaction, reserve);
            self.jobs_in_flight.extend(transaction.jobs.iter().cloned());
            self.staged.push(transaction);
        }
    }

    fn log_staged(&self, changes: &[JobChange], staged: &StagedTransaction, reserve: f64) {
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

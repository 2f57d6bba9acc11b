//! Read-only endpoints for operators, on the address for controllers: this controller's copy of the cluster
//! state in JSON-like bodies. The names in these bodies are fixed, because operators' scripts read them.

use super::super::model::JobId;
use super::super::pipelines::job_answer;
use crate::controller::Controller;
use crate::fairness::service_levels::service_level_rows;
use crate::ids::MachineId;
use crate::scheduling::pending_reason::{self, PendingReason, PendingStatus};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::wall_clock_now;
use crate::wire::server::Response;
use crate::wire::user::Priority;
use crate::wire::worker::TaskStatus;
use crate::workers::WorkerState;
use foldhash::{HashMap, HashSet};
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Largest number of jobs with dependencies in one answer, which is limited to 64 KiB.
const MAX_SHOWN_PIPELINES: usize = 200;

/// Path of the overview of pending jobs. The path of a single job is `/inspect/jobs/<id>`.
const JOBS_PATH: &str = "/inspect/jobs";

/// Largest number of jobs that are listed by their memory.
const MAX_SHOWN_JOBS_BY_MEMORY: usize = 10;

/// Answer to `inspect memory`. All sizes are estimates in bytes.
#[derive(Serialize)]
struct MemoryReport<'a> {
    unfinished_jobs: usize,
    used_bytes: usize,
    /// Size up to which jobs of any priority are accepted; `None` if the settings contain no limit.
    max_bytes: Option<usize>,
    /// Size up to which jobs of normal and low priority are accepted.
    max_bytes_normal_priority: Option<usize>,
    /// Number of submissions that this controller deferred because of these limits.
    refused_submissions: u64,
    /// Largest jobs with their sizes, largest first.
    largest_jobs: Vec<(&'a str, usize)>,
}

/// State of a worker in `inspect machines`, as known to the owner of its shard.
#[derive(Serialize)]
struct WorkerReport {
    /// Fencing token of the messages to the worker: term and increments.
    token: String,
    /// Highest token that the worker has reported.
    reported_token: String,
    session: u64,
    /// Number of direct starts that the worker may still execute.
    possible_direct_starts: usize,
}

impl WorkerReport {
    fn new(worker: &WorkerState) -> WorkerReport {
        WorkerReport {
            token: worker.token().to_string(),
            reported_token: worker.heartbeat.fencing_token.to_string(),
            session: worker.session,
            possible_direct_starts: worker.possible_direct_starts(),
        }
    }
}

impl Controller {
    /// Handles an operator's request.
    pub fn handle_inspection_request(&self, path: &str) -> Response {
        if !self.watch_cache.loaded() {
            return Response::error(
                503,
                "the state service has not answered yet: this controller knows nothing",
            );
        }
        let view = self.watch_cache.view();
        match path {
            "/inspect/members" => Response::with_body(200, &(&view.members, &view.leader)),
            "/inspect/parts" => Response::with_body(200, &view.shards),
            "/inspect/machines" => self.inspect_machines(&view),
            "/inspect/commands" => Response::with_body(200, self.workers.counters()),
            "/inspect/layout" => Response::with_body(200, &(&view.versions, &view.layout)),
            "/inspect/memory" => self.inspect_memory(&view),
            "/inspect/pipelines" => inspect_pipelines(&view),
            "/inspect/served" => {
                let rows = service_level_rows(&view, &self.settings.objectives, wall_clock_now());
                Response::with_body(200, &rows)
            }
            JOBS_PATH => {
                let reasons = self.pending_reasons(&view);
                Response::with_body(
                    200,
                    &pending_reason::count_pending(&view, wall_clock_now(), &reasons),
                )
            }
            "/inspect/fairness" => Response::with_body(200, &(&view.counts, &view.priority_boosts)),
            _ => match path
                .strip_prefix(JOBS_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
            {
                Some(id) => self.inspect_job(&view, &id.into()),
                None => Response::status(404),
            },
        }
    }

    /// Returns the memory of unfinished jobs, the budget for it, and the jobs that take most of it.
    fn inspect_memory(&self, view: &ClusterState) -> Response {
        let mut largest: Vec<(&str, usize)> = view
            .jobs
            .iter()
            .map(|(id, job)| (&**id, job.estimated_bytes()))
            .collect();
        largest.sort_by_key(|(_, bytes)| Reverse(*bytes));
        largest.truncate(MAX_SHOWN_JOBS_BY_MEMORY);
        let budget = self.job_memory_budget;
        let max_bytes = |priority| budget.map(|budget| budget.max_bytes(priority));
        Response::with_body(
            200,
            &MemoryReport {
                unfinished_jobs: view.jobs.len(),
                used_bytes: view.indexes().job_bytes,
                max_bytes: max_bytes(Priority::Production),
                max_bytes_normal_priority: max_bytes(Priority::Normal),
                refused_submissions: self.memory_refusals.total(),
                largest_jobs: largest,
            },
        )
    }

    /// Returns a job's state and the reason why it is pending.
    fn inspect_job(&self, view: &ClusterState, id: &JobId) -> Response {
        let Some(job) = view.jobs.get(id) else {
            let reason = "not among the unfinished jobs; see coppergw show";
            return Response::error(404, reason);
        };
        let reason = self.pending_reasons(view)(id, job);
        let dependencies: Vec<&str> = match reason {
            Some((PendingReason::Dependency, _)) => {
                job.dependencies.iter().map(|id| &**id).collect()
            }
            _ => Vec::new(),
        };
        Response::with_body(200, &(job_answer(view, id), reason, dependencies))
    }

    /// Returns a function that gives the reason why a job is pending. Task failures and image fetches are
    /// included only for the machines of this controller's shards.
    fn pending_reasons(
        &self,
        view: &ClusterState,
    ) -> impl Fn(&JobId, &Job) -> PendingStatus + use<> {
        let schedule = self.forecast(view, false);
        let now = self.clock.now();
        let fetching = self.fetching_tasks();
        let backing_off: HashSet<JobId> = view
            .waiting()
            .filter(|(id, _)| self.workers.in_backoff(id, now))
            .map(|(id, _)| id.clone())
            .collect();
        move |id, job| {
            let fetching = fetching.get(id).copied().unwrap_or(0);
            let in_backoff = backing_off.contains(id);
            pending_reason::pending_reason(&schedule, id, job, in_backoff, fetching)
        }
    }

    /// Returns the machines, each with the number of tasks on it and, if this controller owns its shard, the state
    /// of its worker.
    fn inspect_machines(&self, view: &ClusterState) -> Response {
        let workers = self.workers.machines();
        let machines: BTreeMap<&str, _> = view
            .machines
            .iter()
            .map(|(id, record)| {
                let task_count = view.tasks_on(id).map_or(0, |tasks| tasks.len());
                let worker = workers.get(id).map(WorkerReport::new);
                let id: &MachineId = id;
                (&**id, (record, task_count, worker))
            })
            .collect();
        Response::with_body(200, &machines)
    }

    /// Returns the number of tasks of each job that fetch their image on the machines of this controller's
    /// shards.
    fn fetching_tasks(&self) -> HashMap<JobId, u32> {
        let mut fetching: HashMap<JobId, u32> = HashMap::default();
        for machine in self.workers.machines().values() {
            let tasks = machine.tasks.iter();
            for ((job, _), _) in tasks.filter(|(_, task)| task.status == TaskStatus::Fetching) {
                *fetching.entry(job.clone()).or_default() += 1;
            }
        }
        fetching
    }
}

/// Returns the unfinished jobs that have dependencies.
fn inspect_pipelines(view: &ClusterState) -> Response {
    let jobs: BTreeMap<&str, _> = view
        .jobs
        .iter()
        .filter(|(_, job)| !job.dependencies.is_empty())
        .filter_map(|(id, _)| {
            let id: &str = id;
            Some((id, job_answer(view, id)?))
        })
        .take(MAX_SHOWN_PIPELINES)
        .collect();
    Response::with_body(200, &jobs)
}

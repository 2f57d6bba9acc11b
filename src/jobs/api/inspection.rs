//! What an operator may look at, over the address for controllers: the state that this controller holds, as
//! JSON-like bodies whose words are fixed for operators' scripts.

use super::super::model::JobId;
use super::super::pipelines::answer;
use crate::controller::Controller;
use crate::fairness::service_levels::table;
use crate::ids::MachineId;
use crate::scheduling::pending_reason::{self, PendingReason, Reason};
use crate::store::cluster_state::{ClusterState, Job};
use crate::time::wall;
use crate::wire::server::Response;
use crate::wire::worker::TaskStatus;
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;

/// Jobs with dependencies that are shown at the most: an answer may hold 64 KiB.
const MAX_PIPELINES: usize = 200;

/// Path of the pending jobs; a job's own page is below it.
const JOBS_PATH: &str = "/inspect/jobs";

impl Controller {
    /// Answers an operator's request.
    pub fn inspect(&self, path: &str) -> Response {
        if !self.watch_cache.loaded() {
            return Response::refusal(
                503,
                "the state service has not answered yet: this controller knows nothing",
            );
        }
        let view = self.watch_cache.view();
        match path {
            "/inspect/members" => Response::with(200, &(&view.members, &view.leader)),
            "/inspect/parts" => Response::with(200, &view.shards),
            "/inspect/machines" => inspect_machines(&view),
            "/inspect/layout" => Response::with(200, &(&view.versions, &view.layout)),
            "/inspect/pipelines" => inspect_pipelines(&view),
            "/inspect/served" => {
                let rows = table(&view, &self.settings.objectives, wall());
                Response::with(200, &rows)
            }
            JOBS_PATH => {
                let reasons = self.pending_reasons(&view);
                Response::with(200, &pending_reason::count(&view, wall(), &reasons))
            }
            "/inspect/fairness" => Response::with(200, &(&view.counts, &view.priority_boosts)),
            _ => match path
                .strip_prefix(JOBS_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
            {
                Some(id) => self.inspect_job(&view, &id.into()),
                None => Response::status(404),
            },
        }
    }

    /// A job's state and why it is pending.
    fn inspect_job(&self, view: &ClusterState, id: &JobId) -> Response {
        let Some(job) = view.jobs.get(id) else {
            let reason = "not among the unfinished jobs; see coppergw show";
            return Response::refusal(404, reason);
        };
        let reason = self.pending_reasons(view)(id, job);
        let dependencies: Vec<&str> = match reason {
            Some((PendingReason::Dependency, _)) => {
                job.dependencies.iter().map(|id| &**id).collect()
            }
            _ => Vec::new(),
        };
        Response::with(200, &(answer(view, id), reason, dependencies))
    }

    /// Gives why a job is pending, as this controller sees it: failures and image fetches are known of its own
    /// machines only.
    fn pending_reasons(&self, view: &ClusterState) -> impl Fn(&JobId, &Job) -> Reason + use<> {
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
            let backs_off = backing_off.contains(id);
            pending_reason::pending_reason(&schedule, id, job, backs_off, fetching)
        }
    }

    /// Number of tasks of each job that fetch their image on our machines.
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

/// Machines, each with the number of tasks on it.
fn inspect_machines(view: &ClusterState) -> Response {
    let machines: BTreeMap<&str, _> = view
        .machines
        .iter()
        .map(|(id, record)| {
            let task_count = view.tasks_on(id).map_or(0, |tasks| tasks.len());
            let id: &MachineId = id;
            (&**id, (record, task_count))
        })
        .collect();
    Response::with(200, &machines)
}

/// Unfinished jobs that have dependencies.
fn inspect_pipelines(view: &ClusterState) -> Response {
    let jobs: BTreeMap<&str, _> = view
        .jobs
        .iter()
        .filter(|(_, job)| !job.dependencies.is_empty())
        .filter_map(|(id, _)| {
            let id: &str = id;
            Some((id, answer(view, id)?))
        })
        .take(MAX_PIPELINES)
        .collect();
    Response::with(200, &jobs)
}

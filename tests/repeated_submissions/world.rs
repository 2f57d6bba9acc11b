//! A controller, the state service that it uses, and submissions to it.

use crate::common::state_service::load;
use crate::common::{self, SETTINGS};
use crate::store::{ServiceState, StateService};
use async_executor::LocalExecutor;
use coppergw::controller::Controller;
use coppergw::jobs::model::{FinishedJob, JobIdList, JobRecord, TaskBlock};
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion};
use coppergw::policy::Policy;
use coppergw::settings::Settings;
use coppergw::store::keys;
use coppergw::wire::server::{Request, Response};
use coppergw::wire::user::{JobAnswer, JobKind, Status};
use coppergw::wire::{decode, encode};
use http_types::Method;
use serde_json::{Value, json};
use std::rc::Rc;

/// Id of a job that another controller accepts at the moment of its repeated submission.
pub(crate) const JUST_ACCEPTED_JOB: &str = "req-000009";
/// Id of a job that was never submitted before.
pub(crate) const NEW_JOB: &str = "req-900000";
/// Announcement of lower limits in the settings.
pub(crate) const ANNOUNCED_LIMITS: &str =
    "[deployment.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\n[deployment.cloud]";
/// Number of machine types, and the bytes of the name of each. A record that allows all of them is larger than 2 KiB.
const MACHINE_TYPE_COUNT: usize = 50;
const MACHINE_TYPE_NAME_BYTES: usize = 60;

/// A job that was accepted before, by another controller or before a restart.
pub(crate) struct AcceptedJob {
    pub(crate) id: &'static str,
    pub(crate) kind: &'static str,
    pub(crate) status: Status,
    /// The job on which an unfinished step of a pipeline depends.
    dependency: Option<&'static str>,
}

const fn accepted(id: &'static str, kind: &'static str, status: Status) -> AcceptedJob {
    AcceptedJob {
        id,
        kind,
        status,
        dependency: None,
    }
}

const fn accepted_step(id: &'static str, status: Status, dependency: &'static str) -> AcceptedJob {
    AcceptedJob {
        dependency: Some(dependency),
        ..accepted(id, "batch", status)
    }
}

/// Each kind of job with each end, unfinished jobs, and unfinished steps of pipelines.
pub(crate) const ACCEPTED_JOBS: [AcceptedJob; 11] = [
    accepted("req-000001", "batch", Status::Done),
    accepted("req-000002", "batch", Status::Cancelled),
    accepted("req-000003", "group", Status::Done),
    accepted("req-000004", "group", Status::Cancelled),
    accepted("req-000005", "standing", Status::Cancelled),
    accepted("req-000006", "batch", Status::Pending),
    accepted("req-000007", "group", Status::Pending),
    accepted("req-000008", "standing", Status::Pending),
    accepted_step("req-000011", Status::Pending, "req-000001"),
    accepted_step("req-000012", Status::Pending, "req-000006"),
    accepted_step("req-000013", Status::Cancelled, "req-000002"),
];

impl AcceptedJob {
    fn is_unfinished(&self) -> bool {
        self.status == Status::Pending || self.dependency.is_some()
    }

    fn record(&self) -> JobRecord {
        let mut spec = common::spec(JobKind::Array, 1);
        spec.dependencies.jobs = JobIdList(self.dependency.into_iter().map(Into::into).collect());
        JobRecord(spec, TaskBlock::default())
    }

    fn end(&self) -> FinishedJob {
        FinishedJob {
            cancelled: self.status == Status::Cancelled,
            done: 1,
            finished_at: 1,
        }
    }
}

/// Returns the names of all machine types of the cloud.
pub(crate) fn machine_type_names() -> Vec<String> {
    let name = |number| format!("{number:0>MACHINE_TYPE_NAME_BYTES$}");
    (0..MACHINE_TYPE_COUNT).map(name).collect()
}

/// Returns a state service with machine types, a layout in force and the accepted jobs.
pub(crate) fn service_state() -> ServiceState {
    let mut state = ServiceState::default();
    let types = machine_type_names();
    let types = types
        .iter()
        .map(|name| common::machine_type(name, 16.0, 0.0));
    let types: Vec<_> = types.collect();
    state.store.put(keys::MACHINE_TYPES.into(), &types);
    let layout = LayoutVersion {
        layout_version: LAYOUT_VERSION,
    };
    state.store.put(keys::LAYOUT.into(), &layout);
    for job in &ACCEPTED_JOBS {
        if job.is_unfinished() {
            state.store.put(keys::job(job.id), &job.record());
        } else {
            state.store.put(keys::finished_job(job.id), &job.end());
        }
    }
    state
}

/// A loaded controller and its state service.
#[derive(Clone)]
pub(crate) struct World {
    pub(crate) controller: Rc<Controller>,
    pub(crate) service: StateService,
}

impl World {
    /// Runs a test with a controller that has just loaded the state. `edit` changes its settings.
    pub(crate) fn run<F: Future<Output = ()>>(
        state: ServiceState,
        edit: impl Fn(String) -> String,
        test: impl FnOnce(World) -> F,
    ) {
        let service = StateService::start(state);
        let settings = SETTINGS.replace("127.0.0.1:4", &service.address.to_string());
        let settings = Settings::parse("s.toml", &edit(settings)).expect("settings");
        let executor = Rc::new(LocalExecutor::new());
        let controller = Controller::new(settings, Policy::default(), executor.clone());
        let world = World {
            controller,
            service,
        };
        async_io::block_on(executor.run(async {
            load(&world.controller).await;
            test(world.clone()).await;
        }));
    }

    /// Accepts a job on another controller. This one reads it at its next watch.
    pub(crate) fn accept_elsewhere(&self, id: &str) {
        let record = JobRecord(common::spec(JobKind::Array, 1), TaskBlock::default());
        self.service.state().store.put(keys::job(id), &record);
    }

    /// Sends a submission.
    pub(crate) async fn submit(&self, submission: &Value) -> Response {
        self.request(Method::Post, "/api/jobs", encode(submission))
            .await
    }

    /// Sends all submissions at the same time and returns the answers in their order.
    pub(crate) async fn submit_all(&self, submissions: Vec<Value>) -> Vec<Response> {
        let submit = |submission: Value| {
            let world = self.clone();
            let answer = async move { world.submit(&submission).await };
            self.controller.executor.spawn(answer)
        };
        let tasks: Vec<_> = submissions.into_iter().map(submit).collect();
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    }

    /// Sends a user's request.
    pub(crate) async fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Response {
        let request = Request {
            method,
            path: path.into(),
            body: Some(body),
            body_start: Vec::new(),
        };
        self.controller.handle_user_request(&request).await
    }
}

/// Returns a submission that is accepted unless something is changed.
pub(crate) fn submission(id: &str, kind: &str) -> Value {
    json!({"id": id, "jobclass": "c", "owner": "free", "shape": kind, "rank": "normal", "shards": 1, "cores": 1.0,
        "accelerators": 0.0, "ram_gb": 1.0, "bundle": "i", "size_gb": 1.0, "together": false, "scatter": false,
        "loaners": false, "expected_s": 10.0, "bookmark_s": 0.0, "flush_s": 0.0})
}

/// Returns the state of a job in an answer.
pub(crate) fn status_in(answer: &Response) -> Status {
    let state: JobAnswer = decode(&answer.body).expect("the state of a job");
    state.status
}

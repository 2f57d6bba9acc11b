//! Answers to submissions when the unfinished jobs use the memory reserved for them.

use crate::common::state_service::{Keys, StateService, load};
use crate::common::{self, SETTINGS, spec};
use crate::heap::HeapGrowth;
use async_executor::LocalExecutor;
use ciborium::Value;
use coppergw::controller::Controller;
use coppergw::jobs::model::{JobRecord, TaskBlock};
use coppergw::policy::Policy;
use coppergw::settings::Settings;
use coppergw::store::keys;
use coppergw::wire::server::{Request, Response};
use coppergw::wire::user::{JobKind, Priority, Submission};
use coppergw::wire::{decode, encode, to_value};
use http_types::Method;
use std::rc::Rc;

/// Number of unfinished jobs: more than fit into a megabyte.
const UNFINISHED_JOBS: u32 = 500;
/// Id of one of them.
const ACCEPTED_JOB: &str = "req-000007";
/// Id of a job that was not submitted before.
const NEW_JOB: &str = "req-900000";

fn stored_keys() -> Vec<Keys> {
    let record = JobRecord(spec(JobKind::Array, 1), TaskBlock::default());
    vec![
        Keys {
            names: (0..UNFINISHED_JOBS)
                .map(|number| keys::job(&format!("req-{number:06}")))
                .collect(),
            value: to_value(&record),
        },
        Keys {
            names: vec![keys::MACHINE_TYPES.to_string()],
            value: to_value(&vec![common::machine_type("cpu", 16.0, 0.0)]),
        },
    ]
}

/// Returns a controller with this memory whose state service has the unfinished jobs.
fn controller(executor: &Rc<LocalExecutor<'static>>, memory_mb: u32) -> Rc<Controller> {
    let service = StateService::bind(stored_keys());
    let settings = SETTINGS
        .replace("127.0.0.1:4", &service.address().to_string())
        .replace(
            "[deployment.machine_limits]",
            &format!("[deployment.machine_limits]\nram_mb = {memory_mb}.0"),
        );
    service.serve_in_background();
    let settings = Settings::parse("s.toml", &settings).expect("settings");
    Controller::new(settings, Policy::default(), executor.clone())
}

async fn submit(controller: &Controller, id: &str) -> Response {
    let submission = Submission {
        id: id.into(),
        class: "c".into(),
        team: "free".into(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        task_count: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        single_zone: false,
        zone_spread: false,
        allow_spot: false,
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
        dependencies: None,
    };
    let request = Request {
        method: Method::Post,
        path: "/api/jobs".into(),
        body: Some(encode(&submission)),
        body_start: Vec::new(),
    };
    controller.handle_user_request(&request).await
}

/// Runs a test with a loaded controller of this memory.
fn with_controller<F: Future<Output = ()>>(memory_mb: u32, test: impl FnOnce(Rc<Controller>) -> F) {
    let _growth = HeapGrowth::start();
    let executor = Rc::new(LocalExecutor::new());
    let controller = controller(&executor, memory_mb);
    async_io::block_on(executor.run(async {
        load(&controller).await;
        test(controller.clone()).await;
    }));
}

/// Guards against jobs that are accepted without the memory for them, and against jobs that are refused for good: users
/// retry after 429, and a job that was accepted before is still answered for.
#[test]
fn submission_is_deferred_while_there_is_no_memory_for_the_job() {
    with_controller(1, |controller| async move {
        let deferred = submit(&controller, NEW_JOB).await;
        assert_eq!((deferred.status, deferred.retry_after), (429, Some(5)));
        let accepted_before = submit(&controller, ACCEPTED_JOB).await;
        assert_eq!(accepted_before.status, 200);
        let report = controller.handle_inspection_request("/inspect/memory");
        let report: Value = decode(&report.body).expect("a report");
        let field = |name: &str| {
            let fields = report.as_map().expect("fields");
            let found = fields.iter().find(|(key, _)| key.as_text() == Some(name));
            let number = found.and_then(|(_, value)| value.as_integer());
            u64::try_from(number.expect("a number")).expect("a size")
        };
        assert_eq!(field("unfinished_jobs"), u64::from(UNFINISHED_JOBS));
        assert_eq!(field("refused_submissions"), 1);
        assert!(field("used_bytes") > field("max_bytes"));
        assert!(field("max_bytes") > field("max_bytes_normal_priority"));
    });
}

/// Guards against a budget that refuses ordinary jobs.
#[test]
fn submission_is_accepted_while_there_is_memory_for_the_job() {
    with_controller(104, |controller| async move {
        assert_eq!(submit(&controller, NEW_JOB).await.status, 201);
    });
}

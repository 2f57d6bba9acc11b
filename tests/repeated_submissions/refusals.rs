//! Repeated submissions of accepted jobs, for each reason to refuse or to defer a submission.

use crate::store::ServiceState;
use crate::world::{
    ACCEPTED_JOBS, ANNOUNCED_LIMITS, AcceptedJob, JUST_ACCEPTED_JOB, NEW_JOB, World,
    machine_type_names, service_state, status_in, submission,
};
use coppergw::jobs::model::FinishedJob;
use coppergw::store::keys;
use coppergw::wire::encode;
use coppergw::wire::server::Request;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::Status;
use http_types::Method;
use serde_json::{Value, json};

/// A reason to refuse a submission.
struct RefusalCase {
    state: ServiceState,
    /// Text of the settings that is replaced.
    settings: (&'static str, &'static str),
    change: Box<dyn Fn(&mut Value)>,
    /// Status for a job that was never accepted.
    status: u16,
}

impl RefusalCase {
    fn new(status: u16, change: impl Fn(&mut Value) + 'static) -> RefusalCase {
        RefusalCase {
            state: service_state(),
            settings: ("", ""),
            change: Box::new(change),
            status,
        }
    }

    fn with_settings(self, from: &'static str, to: &'static str) -> RefusalCase {
        RefusalCase {
            settings: (from, to),
            ..self
        }
    }

    fn with_state(mut self, change: impl FnOnce(&mut ServiceState)) -> RefusalCase {
        change(&mut self.state);
        self
    }

    fn submission(&self, id: &str, kind: &str) -> Value {
        let mut submission = submission(id, kind);
        (self.change)(&mut submission);
        submission
    }

    /// Asserts that each accepted job is answered for with its state, and that a job that was never accepted is refused.
    fn check(mut self, prepare: impl FnOnce(&World)) {
        let state = std::mem::take(&mut self.state);
        let (from, to) = self.settings;
        let edit = |settings: String| match from {
            "" => settings,
            _ => settings.replace(from, to),
        };
        World::run(state, edit, |world| async move {
            prepare(&world);
            let jobs = ACCEPTED_JOBS.iter().map(|job| (job.id, job.kind));
            let jobs = jobs.chain([(JUST_ACCEPTED_JOB, "batch"), (NEW_JOB, "batch")]);
            world.accept_elsewhere(JUST_ACCEPTED_JOB);
            let submissions = jobs.map(|(id, kind)| self.submission(id, kind));
            let answers = world.submit_all(submissions.collect()).await;
            for (AcceptedJob { id, status, .. }, answer) in ACCEPTED_JOBS.iter().zip(&answers) {
                assert_eq!(answer.status, 200, "{id}");
                assert_eq!(status_in(answer), *status, "{id}");
            }
            let [.., just_accepted, never_accepted] = &answers[..] else {
                panic!("an answer for each submission");
            };
            assert_eq!(just_accepted.status, 200, "{JUST_ACCEPTED_JOB}");
            assert_eq!(never_accepted.status, self.status, "{NEW_JOB}");
        });
    }
}

fn allow_all_machine_types(submission: &mut Value) {
    submission["rigs"] = json!(machine_type_names());
}

fn wait_for(submission: &mut Value, dependencies: impl Iterator<Item = u32>) {
    let name = |number| format!("req-{number:06}");
    submission["waits_on"] = json!(dependencies.map(name).collect::<Vec<_>>());
}

/// Guards against 400 for a job that is done: its record did not fit into the announced smaller values any more.
#[test]
fn job_accepted_before_limits_were_announced_is_answered_with_its_state() {
    RefusalCase::new(400, allow_all_machine_types)
        .with_settings("[deployment.cloud]", ANNOUNCED_LIMITS)
        .check(|_| {});
}

/// Guards against 503 for a job that is done: the limits fell before the controllers agreed on a layout, and the state
/// service does not take the record.
#[test]
fn job_accepted_before_limits_fell_is_answered_with_its_state() {
    RefusalCase::new(503, allow_all_machine_types)
        .with_state(|state| state.write_status = Some(400))
        .check(|_| {});
}

/// Guards against 400 or 422 for an accepted job whose submission is repeated with a different content, or after teams
/// or machine types have changed.
#[test]
fn accepted_job_is_answered_with_its_state_if_its_submission_is_inadmissible() {
    let set = |field: &'static str, value: Value| {
        move |submission: &mut Value| submission[field] = value.clone()
    };
    RefusalCase::new(400, set("rank", Value::Null)).check(|_| {});
    RefusalCase::new(400, set("cores", json!(-1.0))).check(|_| {});
    RefusalCase::new(400, set("waits_on", json!(["req-x"]))).check(|_| {});
    RefusalCase::new(422, set("owner", json!("nobody"))).check(|_| {});
    RefusalCase::new(422, set("rigs", json!(["gone"]))).check(|_| {});
}

/// Guards against 400 for an accepted job whose repeated submission cannot be decoded to its end, or is too large.
#[test]
fn accepted_job_is_answered_with_its_state_if_its_body_is_cut_off_or_too_large() {
    World::run(
        service_state(),
        |settings| settings,
        |world| async move {
            for (id, status) in [(ACCEPTED_JOBS[0].id, 200), (NEW_JOB, 400)] {
                let mut body = encode(&submission(id, "batch"));
                body.truncate(body.len() / 2);
                let cut_off = world.request(Method::Post, "/api/jobs", body.clone()).await;
                assert_eq!(cut_off.status, status, "{id}, cut off");
                let too_large = Request {
                    method: Method::Post,
                    path: "/api/jobs".into(),
                    body: None,
                    body_start: body,
                };
                let too_large = world.controller.handle_user_request(&too_large).await;
                assert_eq!(too_large.status, status, "{id}, too large");
            }
        },
    );
}

/// Guards against a refusal or an endless deferral of an accepted step of a pipeline because of its dependencies.
#[test]
fn accepted_step_of_a_pipeline_is_answered_with_its_state_whatever_its_dependencies() {
    let never_accepted = |submission: &mut Value| wait_for(submission, 800_000..800_001);
    RefusalCase::new(422, never_accepted).check(|_| {});
    let own_id = |submission: &mut Value| submission["waits_on"] = json!([submission["id"]]);
    RefusalCase::new(422, own_id).check(|_| {});
    RefusalCase::new(503, |submission| wait_for(submission, 1..2))
        .with_state(|state| drop(state.store.keys.remove(keys::LAYOUT)))
        .check(|_| {});
    let many = 700_000..700_045;
    let ends = many
        .clone()
        .map(|number| keys::finished_job(&format!("req-{number:06}")));
    RefusalCase::new(503, move |submission| wait_for(submission, many.clone()))
        .with_settings("rps = 200.0", "rps = 20000.0")
        .with_state(|state| {
            let end = FinishedJob {
                cancelled: false,
                done: 1,
                finished_at: 1,
            };
            ends.for_each(|key| state.store.put(key, &end));
        })
        .check(|_| {});
}

/// Guards against 429 or 503 for a job that is done, for as long as a controller is overloaded or knows too little.
#[test]
fn accepted_job_is_answered_with_its_state_while_new_ones_are_deferred() {
    RefusalCase::new(429, |_| {})
        .with_settings(
            "[deployment.machine_limits]",
            "[deployment.machine_limits]\nram_mb = 0.001",
        )
        .check(|_| {});
    RefusalCase::new(503, |_| {})
        .with_state(|state| drop(state.store.keys.remove(keys::MACHINE_TYPES)))
        .check(|_| {});
    RefusalCase::new(429, |_| {})
        .with_state(|state| state.write_status = Some(429))
        .check(|_| {});
    RefusalCase::new(429, |_| {}).check(|world| {
        let key = keys::finished_job("req-000000");
        let queued = Transaction {
            preconditions: Vec::new(),
            mutations: vec![Mutation::Delete { key }; 1000],
        };
        let controller = world.controller.clone();
        let write = async move { controller.watch_cache.transaction(&queued).await };
        world.controller.executor.spawn(write).detach();
    });
}

/// Guards against a refusal that rests on a comparison which does not name every existing key.
#[test]
fn jobs_that_a_conflict_does_not_name_are_looked_up_again() {
    RefusalCase::new(422, |submission| submission["owner"] = json!("nobody"))
        .with_state(|state| state.names_one_failed_key = true)
        .check(|_| {});
}

/// Guards against a refusal for an accepted job while the state service cannot say whether it was accepted.
#[test]
fn nothing_is_refused_while_the_state_service_does_not_answer() {
    let edit = |settings: String| settings.replace("[deployment.cloud]", ANNOUNCED_LIMITS);
    World::run(service_state(), edit, |world| async move {
        world.service.state().outage_status = Some(503);
        let unknown_team = |job: &mut Value| job["owner"] = json!("nobody");
        for change in [allow_all_machine_types, unknown_team] {
            let mut submission = submission(ACCEPTED_JOBS[0].id, "batch");
            change(&mut submission);
            assert_eq!(world.submit(&submission).await.status, 503);
        }
    });
}

/// Guards against 404 or 503 for an accepted job that is asked about or cancelled under announced limits.
#[test]
fn questions_and_cancellations_are_answered_for_finished_jobs_under_announced_limits() {
    let edit = |settings: String| settings.replace("[deployment.cloud]", ANNOUNCED_LIMITS);
    World::run(service_state(), edit, |world| async move {
        for AcceptedJob { id, status, .. } in &ACCEPTED_JOBS {
            let path = format!("/api/jobs/{id}");
            let answer = world.request(Method::Get, &path, Vec::new()).await;
            assert_eq!((answer.status, status_in(&answer)), (200, *status), "{id}");
        }
        let finished = |job: &&AcceptedJob| job.status != Status::Pending;
        for job in ACCEPTED_JOBS.iter().filter(finished) {
            let path = format!("/api/jobs/{}/withdraw", job.id);
            let answer = world.request(Method::Post, &path, Vec::new()).await;
            assert_eq!(
                (answer.status, status_in(&answer)),
                (200, job.status),
                "{}",
                job.id
            );
        }
        let unknown = format!("/api/jobs/{NEW_JOB}");
        assert_eq!(
            world
                .request(Method::Get, &unknown, Vec::new())
                .await
                .status,
            404
        );
    });
}

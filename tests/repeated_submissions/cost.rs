//! Requests to the state service that a flood of refused submissions costs.

use crate::world::{
    ANNOUNCED_LIMITS, NEW_JOB, World, machine_type_names, service_state, submission,
};
use async_io::Timer;
use coppergw::wire::state::{Mutation, Transaction};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Number of submissions of a flood, each of a job that was never accepted.
const FLOOD_SIZE: u32 = 400;
/// Interval between two submissions of a flood.
const FLOOD_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of requests per second that lookups may take, whatever the number of submissions.
const MAX_LOOKUPS_PER_S: f64 = 5.0;

/// Settings with less memory than a job takes.
const NO_MEMORY: &str = "[deployment.machine_limits]\nram_mb = 0.001";
/// Time within which a watch delivers a change.
const WATCH_DELAY: Duration = Duration::from_millis(500);

/// What a flood of submissions cost, and how it was answered.
struct FloodReport {
    requests: usize,
    elapsed_s: f64,
    statuses: Vec<u16>,
}

async fn send_flood(world: &World, change: impl Fn(&mut Value)) -> FloodReport {
    world.service.state().requests = 0;
    let start = Instant::now();
    let mut answers = Vec::new();
    for number in 0..FLOOD_SIZE {
        let mut submission = submission(&format!("req-9{number:05}"), "batch");
        change(&mut submission);
        let world = world.clone();
        let executor = world.controller.executor.clone();
        answers.push(executor.spawn(async move { world.submit(&submission).await.status }));
        Timer::after(FLOOD_INTERVAL).await;
    }
    let mut statuses = Vec::new();
    for answer in answers {
        statuses.push(answer.await);
    }
    FloodReport {
        requests: world.service.state().requests,
        elapsed_s: start.elapsed().as_secs_f64(),
        statuses,
    }
}

/// Asserts the cost of a flood of submissions that are refused with `status`.
fn check_flood(name: &str, from: &str, to: &str, status: u16, change: impl Fn(&mut Value)) {
    let edit = |settings: String| settings.replace(from, to);
    World::run(service_state(), edit, |world| async move {
        let report = send_flood(&world, change).await;
        println!(
            "{name}: {} requests for {FLOOD_SIZE} submissions in {:.1} s",
            report.requests, report.elapsed_s
        );
        assert!(
            report
                .statuses
                .iter()
                .all(|answered| *answered == status || *answered == 503)
        );
        assert!(report.statuses.contains(&status));
        let max_requests = 1.0 + report.elapsed_s * MAX_LOOKUPS_PER_S;
        assert!(report.requests as f64 <= max_requests, "{name}");
    });
}

/// Guards against a request to the state service for each refused submission: a flood of them would delay all others.
#[test]
fn flood_of_refused_submissions_shares_a_few_lookups() {
    let unchanged = "[deployment.cloud]";
    let unknown_team = |job: &mut Value| job["owner"] = json!("nobody");
    check_flood("unknown team", unchanged, unchanged, 422, unknown_team);
    let all_types = |job: &mut Value| job["rigs"] = json!(machine_type_names());
    check_flood(
        "record too large",
        unchanged,
        ANNOUNCED_LIMITS,
        400,
        all_types,
    );
    let limits = "[deployment.machine_limits]";
    check_flood("no memory", limits, NO_MEMORY, 429, |_| {});
}

/// Guards against a lookup for each retry of a deferred submission, and against a retry that is deferred although the
/// job was accepted meanwhile.
#[test]
fn retries_of_a_deferred_submission_cost_nothing() {
    let edit = |settings: String| settings.replace("[deployment.machine_limits]", NO_MEMORY);
    World::run(service_state(), edit, |world| async move {
        let submission = submission(NEW_JOB, "batch");
        assert_eq!(world.submit(&submission).await.status, 429);
        world.service.state().requests = 0;
        for _ in 0..10 {
            assert_eq!(world.submit(&submission).await.status, 429);
        }
        assert_eq!(world.service.state().requests, 0);
        world.accept_elsewhere(NEW_JOB);
        Timer::after(WATCH_DELAY).await;
        assert_eq!(world.submit(&submission).await.status, 200);
    });
}

/// Guards against lookups of deferred submissions that take requests which others wait for.
#[test]
fn flood_of_deferred_submissions_costs_nothing_while_the_request_budget_is_exhausted() {
    let edit = |settings: String| settings.replace("[deployment.machine_limits]", NO_MEMORY);
    World::run(service_state(), edit, |world| async move {
        let client = world.controller.watch_cache.client();
        client.set_rate_limits(0.001, 1.0);
        let waiting = Transaction {
            preconditions: Vec::new(),
            mutations: Vec::<Mutation>::new(),
        };
        for _ in 0..3 {
            let (controller, transaction) = (world.controller.clone(), waiting.clone());
            let request = async move { controller.watch_cache.transaction(&transaction).await };
            world.controller.executor.spawn(request).detach();
        }
        Timer::after(FLOOD_INTERVAL).await;
        let submission = submission(NEW_JOB, "batch");
        world.service.state().requests = 0;
        assert_eq!(world.submit(&submission).await.status, 503);
        assert_eq!(world.service.state().requests, 0);
    });
}

//! What a pass writes: never more than the budget of changes takes, the most urgent first.

mod common;

use common::{LIMITS, spec};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, StagedTransaction};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, Placement, TaskBlock, TaskState};
use coppergw::reconciliation::decide::{ReconcileInput, WriteBudget, WriteSchedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;
use foldhash::HashSet;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A cluster state with so many jobs that were cancelled before they were placed, and arrays of which one task
/// of two has left its machine.
fn view(
    cancelled_jobs: usize,
    running_jobs: usize,
) -> (ClusterState, BTreeMap<MachineId, Vec<JobChange>>) {
    let mut v = ClusterState::default();
    let mut ended: BTreeMap<MachineId, Vec<JobChange>> = BTreeMap::new();
    for k in 0..cancelled_jobs + running_jobs {
        let id = format!("req-{k:06}");
        let (cancelled, slots) = if k < cancelled_jobs {
            (true, vec![TaskState::Waiting(0); 2])
        } else {
            let placed = |n: usize| {
                TaskState::Placed(Placement {
                    attempt: 1,
                    machine: format!("m-{n:06}").into(),
                    session: 1,
                    stop: None,
                })
            };
            let attempt_ended = JobChange::AttemptEnded {
                job: id.as_str().into(),
                index: 0,
                attempt: 1,
                done: true,
            };
            ended
                .entry(format!("m-{k:06}").into())
                .or_default()
                .push(attempt_ended);
            (false, vec![placed(k), placed(k + 1)])
        };
        let s = JobSpec {
            cancelled,
            ..spec(JobKind::Array, 2)
        };
        v.put(
            &keys::job(&id),
            &to_value(&JobRecord(s, TaskBlock(slots))),
            k as u64 + 1,
        );
    }
    (v, ended)
}

fn jobs(staged: &[StagedTransaction]) -> Vec<JobId> {
    staged.iter().flat_map(|s| s.jobs.clone()).collect()
}

/// The most that may be written at once.
const BURST: f64 = 30.0;

fn budget(available: f64) -> WriteBudget {
    WriteBudget {
        available,
        burst: BURST,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// A debt of changes keeps users waiting for their answers: a pass adds one transaction to it at
    /// the most, and bookkeeping none. What was left out comes later, each job once.
    #[test]
    fn a_pass_keeps_to_the_budget_and_gets_through(
        cancelled_jobs in 0usize..60,
        running_jobs in 0usize..40,
        level in -10.0f64..30.0,
    ) {
        let (v, ended) = view(cancelled_jobs, running_jobs);
        let mut schedule = WriteSchedule::default();
        let mut busy: HashSet<JobId> = HashSet::default();
        let mut written = 0;
        for round in 0..60u64 {
            let level = if round == 0 { level } else { BURST };
            let staged = schedule.decide(&ReconcileInput {
                view: &v,
                ended_attempts: &ended,
                jobs_in_flight: &busy,
                write_budget: budget(level),
                limits: LIMITS,
                has_team_limit: &|_| false,
                plan: &|_| Vec::new(),
                now: (100 + round) * SECOND,
            });
            let changes: usize = staged.iter().map(|s| s.transaction.mutations.len()).sum();
            prop_assert!(changes as f64 <= level.max(0.0) + LIMITS.max_merged_mutations as f64);
            prop_assert!(level >= 0.0 || changes == 0);
            let done = jobs(&staged);
            written += done.len();
            for j in done {
                prop_assert!(busy.insert(j), "a job under way is staged again");
            }
        }
        prop_assert_eq!(written, cancelled_jobs + running_jobs);
    }
}

/// Ends, for which others wait, come before what only its owner needs to know.
#[test]
fn ends_come_before_bookkeeping() {
    let (v, ended) = view(4, 4);
    let mut schedule = WriteSchedule::default();
    let mut at = |now, available| {
        schedule.decide(&ReconcileInput {
            view: &v,
            ended_attempts: &ended,
            jobs_in_flight: &HashSet::default(),
            write_budget: budget(available),
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|_| Vec::new(),
            now,
        })
    };
    at(100 * SECOND, -1.0);
    // Long known by now, and still not at the expense of what comes first.
    let staged = jobs(&at(110 * SECOND, 2.0));
    assert_eq!(staged.len(), 4);
    assert!(staged.iter().all(|j| v.jobs[j].cancelled()));
}

/// Nothing is planned while nothing can be written; arrays that waited long for their share still are, and
/// then all of them, since they may have more than what is left.
#[test]
fn nothing_is_planned_in_debt() {
    let (v, ended) = view(4, 0);
    let mut schedule = WriteSchedule::default();
    let mut requests = |now, level| {
        let seen = std::cell::RefCell::new(Vec::new());
        schedule.decide(&ReconcileInput {
            view: &v,
            ended_attempts: &ended,
            jobs_in_flight: &HashSet::default(),
            write_budget: budget(level),
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|request| {
                seen.borrow_mut().push((request.arrays, request.max_jobs));
                Vec::new()
            },
            now,
        });
        seen.into_inner()
    };
    const NOW: u64 = 100 * SECOND;
    requests(NOW, 30.0);
    assert_eq!(requests(NOW + SECOND / 2, -1.0), []);
    assert_eq!(requests(NOW + SECOND / 2, 4.0), [(false, Some(16))]);
    assert_eq!(requests(NOW + 2 * SECOND, -1.0), [(true, None)]);
}

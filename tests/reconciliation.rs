//! Writes of a reconciliation pass: never more than the budget of mutations allows, the most urgent first.

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

/// Returns a cluster state with jobs that were cancelled before they were placed, and with arrays of which
/// one of two tasks has ended; and the ended attempts of each machine.
fn view(
    cancelled_jobs: usize,
    running_jobs: usize,
) -> (ClusterState, BTreeMap<MachineId, Vec<JobChange>>) {
    let mut view = ClusterState::default();
    let mut ended: BTreeMap<MachineId, Vec<JobChange>> = BTreeMap::new();
    for index in 0..cancelled_jobs + running_jobs {
        let id = format!("req-{index:06}");
        let (cancelled, slots) = if index < cancelled_jobs {
            (true, vec![TaskState::Waiting(0); 2])
        } else {
            let placed = |machine: usize| {
                TaskState::Placed(Placement {
                    attempt: 1,
                    machine: format!("m-{machine:06}").into(),
                    session: 1,
                    stop_grace_period: None,
                })
            };
            let attempt_ended = JobChange::AttemptEnded {
                job: id.as_str().into(),
                index: 0,
                attempt: 1,
                done: true,
            };
            ended
                .entry(format!("m-{index:06}").into())
                .or_default()
                .push(attempt_ended);
            (false, vec![placed(index), placed(index + 1)])
        };
        let spec = JobSpec {
            cancelled,
            ..spec(JobKind::Array, 2)
        };
        view.put(
            &keys::job(&id),
            &to_value(&JobRecord(spec, TaskBlock::from(slots))),
            index as u64 + 1,
        );
    }
    (view, ended)
}

fn jobs(staged: &[StagedTransaction]) -> Vec<JobId> {
    staged.iter().flat_map(|s| s.jobs.clone()).collect()
}

/// Most mutations that may be written at once.
const BURST_CHANGES: f64 = 30.0;

fn budget(available: f64) -> WriteBudget {
    WriteBudget {
        available,
        burst: BURST_CHANGES,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// A negative budget of mutations delays the responses to users: a pass exceeds the budget by one
    /// transaction at most, and with bookkeeping never. Changes that were left out are written later, each
    /// job once.
    #[test]
    fn passes_keep_the_write_budget(
        cancelled_jobs in 0usize..60,
        running_jobs in 0usize..40,
        available in -10.0f64..30.0,
    ) {
        let (view, ended) = view(cancelled_jobs, running_jobs);
        let mut schedule = WriteSchedule::default();
        let mut staged_jobs: HashSet<JobId> = HashSet::default();
        let mut written = 0;
        for round in 0..60u64 {
            let available = if round == 0 { available } else { BURST_CHANGES };
            let staged = schedule.stage_due_writes(&ReconcileInput {
                view: &view,
                ended_attempts: &ended,
                jobs_in_flight: &staged_jobs,
                write_budget: budget(available),
                limits: LIMITS,
                has_team_limit: &|_| false,
                plan: &|_| Vec::new(),
                now: (100 + round) * SECOND,
            });
            let changes: usize = staged.iter().map(|s| s.transaction.mutations.len()).sum();
            prop_assert!(changes as f64 <= available.max(0.0) + LIMITS.max_merged_mutations as f64);
            prop_assert!(available >= 0.0 || changes == 0);
            let round_jobs = jobs(&staged);
            written += round_jobs.len();
            for job in round_jobs {
                prop_assert!(staged_jobs.insert(job), "a job with a transaction in flight is staged again");
            }
        }
        prop_assert_eq!(written, cancelled_jobs + running_jobs);
    }
}

/// Final states, for which other jobs wait, are written before changes that only the owner of the job needs.
#[test]
fn final_states_precede_bookkeeping() {
    let (view, ended) = view(4, 4);
    let mut schedule = WriteSchedule::default();
    let mut decide_at = |now, available| {
        schedule.stage_due_writes(&ReconcileInput {
            view: &view,
            ended_attempts: &ended,
            jobs_in_flight: &HashSet::default(),
            write_budget: budget(available),
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|_| Vec::new(),
            now,
        })
    };
    decide_at(100 * SECOND, -1.0);
    // The ended attempts have been known for long, and still do not precede the final states.
    let staged = jobs(&decide_at(110 * SECOND, 2.0));
    assert_eq!(staged.len(), 4);
    assert!(staged.iter().all(|j| view.jobs[j].cancelled()));
}

/// Nothing is planned while nothing can be written. Arrays that have waited long for their share still are,
/// and then all of them, since they are allowed to exceed the remaining budget.
#[test]
fn nothing_is_planned_on_a_negative_budget() {
    let (view, ended) = view(4, 0);
    let mut schedule = WriteSchedule::default();
    let mut requests = |now, available| {
        let recorded = std::cell::RefCell::new(Vec::new());
        schedule.stage_due_writes(&ReconcileInput {
            view: &view,
            ended_attempts: &ended,
            jobs_in_flight: &HashSet::default(),
            write_budget: budget(available),
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|request| {
                recorded
                    .borrow_mut()
                    .push((request.place_arrays, request.max_jobs));
                Vec::new()
            },
            now,
        });
        recorded.into_inner()
    };
    const NOW: u64 = 100 * SECOND;
    requests(NOW, 30.0);
    assert_eq!(requests(NOW + SECOND / 2, -1.0), []);
    assert_eq!(requests(NOW + SECOND / 2, 4.0), [(false, Some(16))]);
    assert_eq!(requests(NOW + 2 * SECOND, -1.0), [(true, None)]);
}

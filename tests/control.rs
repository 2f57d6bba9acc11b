//! What a pass writes: never more than the budget of changes takes, the most urgent first.

mod common;

use common::{LIMITS, spec};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, StagedTransaction};
use coppergw::jobs::model::{JobId, JobRecord, JobSpec, Placement, TaskBlock, TaskState};
use coppergw::reconciliation::decide::{ReconcileInput, WriteSchedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::to_value;
use coppergw::wire::user::JobKind;
use foldhash::HashSet;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A view with so many jobs that were withdrawn before they were placed, and arrays of which one task
/// of two has left its machine.
fn view(withdrawn: usize, running: usize) -> (ClusterState, BTreeMap<MachineId, Vec<JobChange>>) {
    let mut v = ClusterState::default();
    let mut lefts: BTreeMap<MachineId, Vec<JobChange>> = BTreeMap::new();
    for k in 0..withdrawn + running {
        let id = format!("req-{k:06}");
        let (cancelled, slots) = if k < withdrawn {
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
            let left = JobChange::AttemptEnded {
                job: id.as_str().into(),
                index: 0,
                attempt: 1,
                done: true,
            };
            lefts
                .entry(format!("m-{k:06}").into())
                .or_default()
                .push(left);
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
    (v, lefts)
}

fn jobs(staged: &[StagedTransaction]) -> Vec<JobId> {
    staged.iter().flat_map(|s| s.jobs.clone()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(31), ..ProptestConfig::default() })]

    /// A debt of changes keeps users waiting for their answers: a pass adds one transaction to it at
    /// the most, and bookkeeping none. What was left out comes later, each job once.
    #[test]
    fn a_pass_keeps_to_the_budget_and_gets_through(
        withdrawn in 0usize..60,
        running in 0usize..40,
        level in -10.0f64..30.0,
    ) {
        const BURST: f64 = 30.0;
        let (v, lefts) = view(withdrawn, running);
        let mut rounds = WriteSchedule::default();
        let mut busy: HashSet<JobId> = HashSet::default();
        let mut written = 0;
        for round in 0..60u64 {
            let level = if round == 0 { level } else { BURST };
            let staged = rounds.decide(&ReconcileInput {
                view: &v,
                ended_attempts: &lefts,
                jobs_in_flight: &busy,
                write_budget: (level, BURST),
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
        prop_assert_eq!(written, withdrawn + running);
    }
}

/// Ends, for which others wait, come before what only its owner needs to know.
#[test]
fn ends_come_before_bookkeeping() {
    let (v, lefts) = view(4, 4);
    let mut rounds = WriteSchedule::default();
    let mut at = |now, budget| {
        rounds.decide(&ReconcileInput {
            view: &v,
            ended_attempts: &lefts,
            jobs_in_flight: &HashSet::default(),
            write_budget: budget,
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|_| Vec::new(),
            now,
        })
    };
    at(100 * SECOND, (-1.0, 30.0));
    // Long known by now, and still not at the expense of what comes first.
    let staged = jobs(&at(110 * SECOND, (2.0, 30.0)));
    assert_eq!(staged.len(), 4);
    assert!(staged.iter().all(|j| v.jobs[j].cancelled()));
}

/// Nothing is planned while nothing can be written; arrays that waited long for their share still are, and
/// then all of them, since they may have more than what is left.
#[test]
fn nothing_is_planned_in_debt() {
    let (v, lefts) = view(4, 0);
    let mut rounds = WriteSchedule::default();
    let mut wishes = |now, level| {
        let seen = std::cell::RefCell::new(Vec::new());
        rounds.decide(&ReconcileInput {
            view: &v,
            ended_attempts: &lefts,
            jobs_in_flight: &HashSet::default(),
            write_budget: (level, 30.0),
            limits: LIMITS,
            has_team_limit: &|_| false,
            plan: &|w| {
                seen.borrow_mut().push((w.arrays, w.max_jobs));
                Vec::new()
            },
            now,
        });
        seen.into_inner()
    };
    const NOW: u64 = 100 * SECOND;
    wishes(NOW, 30.0);
    assert_eq!(wishes(NOW + SECOND / 2, -1.0), []);
    assert_eq!(wishes(NOW + SECOND / 2, 4.0), [(false, Some(16))]);
    assert_eq!(wishes(NOW + 2 * SECOND, -1.0), [(true, None)]);
}

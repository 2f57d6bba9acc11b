//! Races of a cancellation, a status query or a repeated submission with the end of the last task of a job. There are
//! two controllers, lost answers and delayed transactions, and no other failures. No answer contradicts an earlier one.

mod common;

use common::{LIMITS, Store, spec};
use coppergw::jobs::commit::{JobChange, accept_submission, cancel, stage};
use coppergw::jobs::model::{
    FinishedJob, JobId, JobRecord, JobSpec, Placement, TaskBlock, TaskState, unplaced_block,
};
use coppergw::jobs::pipelines::job_answer;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Status};
use foldhash::{HashMap, HashSet, HashSetExt};
use proptest::prelude::*;

/// Ids and task counts of the jobs: an array, an array of two blocks, a gang, and a job that depends on the first.
const JOBS: [(&str, u32); 4] = [("req-0", 2), ("req-1", 258), ("req-2", 3), ("req-3", 1)];

#[derive(Default)]
struct Controller {
    view: ClusterState,
    /// Number of entries of the change log that are in the view.
    log_position: usize,
}

struct World {
    store: Store,
    controllers: [Controller; 2],
    /// Transactions that are applied later.
    delayed: Vec<Transaction>,
    /// Last status that a user received, by job.
    reported_status: HashMap<&'static str, Status>,
    /// Jobs for which a user requested the cancellation.
    cancel_requested: HashSet<&'static str>,
    /// Tasks that have completed, by job.
    completed_tasks: HashMap<&'static str, HashSet<u32>>,
}

fn job_spec(job_index: usize) -> JobSpec {
    let (_, tasks) = JOBS[job_index];
    let kind = [
        JobKind::Array,
        JobKind::Array,
        JobKind::Gang,
        JobKind::Array,
    ][job_index];
    let mut job_spec = spec(kind, tasks);
    if job_index == 3 {
        job_spec.dependencies.jobs.0 = vec![JOBS[0].0.into()];
    }
    job_spec
}

impl World {
    fn new() -> World {
        let mut world = World {
            store: Store::default(),
            controllers: Default::default(),
            delayed: Vec::new(),
            reported_status: HashMap::default(),
            cancel_requested: HashSet::new(),
            completed_tasks: HashMap::default(),
        };
        for (job_index, (id, tasks)) in JOBS.into_iter().enumerate() {
            let placed = TaskState::Placed(Placement {
                attempt: 1,
                machine: "m-1".into(),
                session: 1,
                stop_grace_period: None,
            });
            let mut first_block = unplaced_block(tasks, 0);
            let mut second_block = unplaced_block(tasks, 1);
            if job_index != 3 {
                first_block = TaskBlock::uniform(first_block.len(), placed.clone());
                second_block = TaskBlock::uniform(second_block.len(), placed);
            }
            world
                .store
                .put(keys::job(id), &JobRecord(job_spec(job_index), first_block));
            if !second_block.is_empty() {
                world.store.put(keys::block(id, 1), &second_block);
            }
        }
        (0..2).for_each(|node| world.sync(node));
        world
    }

    /// Applies all changes in the state service to the view of a controller.
    fn sync(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        self.store
            .update_view(&mut controller.view, &mut controller.log_position);
    }

    /// Sends a transaction and returns whether it was applied and answered; its mutations are then in the view. The
    /// generated `outcome` selects whether it is delayed, applied without an answer, or applied twice.
    fn write(&mut self, node: usize, transaction: Transaction, outcome: u8) -> bool {
        match outcome % 6 {
            0 => self.delayed.push(transaction),
            1 => {
                self.store.apply(&transaction);
            }
            2 => {
                // The transaction is applied now and again later.
                self.store.apply(&transaction);
                self.delayed.push(transaction);
            }
            _ => {
                if self.store.apply(&transaction) {
                    let revision = self.store.rev;
                    for mutation in &transaction.mutations {
                        match mutation {
                            Mutation::Put {
                                key: changed_key,
                                value: changed_value,
                                ..
                            } => self.controllers[node].view.put(
                                changed_key,
                                changed_value,
                                revision,
                            ),
                            Mutation::Delete { key: changed_key } => {
                                self.controllers[node].view.delete(changed_key, revision);
                            }
                        }
                    }
                    return true;
                }
            }
        }
        false
    }

    /// Returns the status of a job if it is final according to the view of a controller.
    fn final_status(&self, node: usize, id: &str) -> Option<Status> {
        let answer = job_answer(&self.controllers[node].view, id)?;
        matches!(answer.status, Status::Done | Status::Cancelled).then_some(answer.status)
    }

    /// Records a status that a user receives, and checks it against the earlier ones.
    fn record_answer(&mut self, job_index: usize, status: Status) {
        let (id, tasks) = JOBS[job_index];
        let all_completed = self.completed_tasks.get(id).map_or(0, HashSet::len) == tasks as usize;
        assert!(status != Status::Done || all_completed, "not_done: {id}");
        let cancel_requested = self.cancel_requested.contains(id)
            || (job_index == 3 && self.cancel_requested.contains(JOBS[0].0));
        assert!(
            status != Status::Cancelled || cancel_requested,
            "{id}: cancelled without a request"
        );
        let previous = self.reported_status.get(id).copied();
        let final_status =
            previous.filter(|previous| matches!(previous, Status::Done | Status::Cancelled));
        assert!(
            final_status.is_none_or(|final_status| final_status == status),
            "went_back: {id} was {previous:?}, is {status:?}"
        );
        self.reported_status.insert(id, status);
    }

    /// Restarts a controller. Final states are not loaded at the start.
    fn restart(&mut self, node: usize) {
        let mut view = ClusterState::default();
        for (key, (value, version)) in &self.store.keys {
            if !JOBS.iter().any(|(id, _)| *key == keys::finished_job(id)) {
                view.put(key, value, *version);
            }
        }
        view.revision = self.store.rev;
        let log_position = self.store.log.len();
        self.controllers[node] = Controller { view, log_position };
    }

    /// Reads the final states of a job and of its ancestors from the state service.
    fn read_final(&mut self, node: usize, id: &str) {
        let mut ids: Vec<JobId> = self.controllers[node].view.unknown_ancestors(id);
        ids.push(id.into());
        for id in ids {
            if let Some((value, version)) = self.store.keys.get(&keys::finished_job(&id)) {
                self.controllers[node]
                    .view
                    .put(&keys::finished_job(&id), value, *version);
            }
        }
    }

    /// Answers a status query: a final state comes from the view, any other state from a new read.
    fn query_status(&mut self, node: usize, job_index: usize) -> Status {
        let id = JOBS[job_index].0;
        if self.final_status(node, id).is_none() {
            self.read_final(node, id);
            self.sync(node);
            self.read_final(node, id);
        }
        let answer = job_answer(&self.controllers[node].view, id);
        let status = answer.expect("forgotten: 404").status;
        self.record_answer(job_index, status);
        status
    }

    /// Cancels a job for a user, unless its status is final.
    fn cancel(&mut self, node: usize, job_index: usize, outcome: u8) {
        self.cancel_requested.insert(JOBS[job_index].0);
        let status = self.query_status(node, job_index);
        if matches!(status, Status::Done | Status::Cancelled) {
            return;
        }
        let id: JobId = JOBS[job_index].0.into();
        if let Some(transaction) = cancel(&self.controllers[node].view, &id, LIMITS)
            && self.write(node, transaction, outcome)
        {
            self.query_status(node, job_index);
        }
    }

    /// Repeats the submission of a job.
    fn resubmit(&mut self, node: usize, job_index: usize, outcome: u8) {
        let id = JOBS[job_index].0;
        if job_answer(&self.controllers[node].view, id).is_some() {
            self.query_status(node, job_index);
            return;
        }
        let transactions = accept_submission(
            &self.controllers[node].view,
            id,
            job_spec(job_index),
            LIMITS,
        )
        .expect("the job fits");
        for transaction in transactions {
            assert!(
                !self.write(node, transaction, outcome),
                "{id} is accepted twice"
            );
        }
        self.query_status(node, job_index);
    }

    /// Records up to `count` ended attempts, as the owner of the machine does, and the end of the job, which any
    /// controller may write. Attempts of completed tasks have ended, and all attempts of a cancelled job.
    fn record_exits(&mut self, node: usize, job_index: usize, count: usize, outcome: u8) {
        let id: JobId = JOBS[job_index].0.into();
        let Some(job) = self.controllers[node].view.jobs.get(&id) else {
            return;
        };
        let completed_tasks = self.completed_tasks.get(JOBS[job_index].0);
        let cancelled = job.cancelled();
        let is_completed = |index: &u32| completed_tasks.is_some_and(|tasks| tasks.contains(index));
        let mut changes: Vec<JobChange> = Vec::new();
        for (index, placement) in job
            .placements()
            .filter(|(index, _)| cancelled || is_completed(index))
            .take(count)
        {
            changes.push(JobChange::AttemptEnded {
                job: id.clone(),
                index,
                attempt: placement.attempt,
                done: is_completed(&index),
            });
        }
        changes.push(JobChange::Finalize { job: id });
        for staged in stage(
            &self.controllers[node].view,
            &changes,
            &HashSet::new(),
            &|_| false,
            LIMITS,
        ) {
            self.write(node, staged.transaction, outcome);
        }
    }

    /// Completes tasks of a job, those of a gang together. The last job starts once the first one is done.
    fn complete(&mut self, job_index: usize, count: u32) {
        let (id, tasks) = JOBS[job_index];
        let started = job_index != 3 || self.reported_status.get(JOBS[0].0) == Some(&Status::Done);
        let completed_tasks = self.completed_tasks.entry(id).or_default();
        let newly_completed = if job_index == 2 { tasks } else { count };
        let first = completed_tasks.len() as u32;
        if started {
            completed_tasks.extend(first..(first + newly_completed).min(tasks));
        }
    }

    /// Places the only task of the dependent job, if its dependency allows it.
    fn start_dependent_job(&mut self, node: usize) {
        self.sync(node);
        let place = JobChange::Place {
            job: JOBS[3].0.into(),
            tasks: vec![(0, "m-1".into(), 1)],
        };
        for staged in stage(
            &self.controllers[node].view,
            &[place],
            &HashSet::new(),
            &|_| false,
            LIMITS,
        ) {
            self.store.apply(&staged.transaction);
        }
    }

    /// Executes one generated step, then checks the records.
    fn step(&mut self, operation: u8, selector: u8, outcome: u8) {
        let (node, job_index) = (selector as usize % 2, selector as usize / 2 % 4);
        match operation % 16 {
            0 | 1 => self.sync(node),
            2 => self.complete(job_index, 1 + u32::from(outcome)),
            3..=6 => self.record_exits(node, job_index, 1 + usize::from(outcome) * 2, outcome),
            7 => self.cancel(node, job_index, outcome),
            8..=10 => {
                self.query_status(node, job_index);
            }
            11 | 12 => self.resubmit(node, job_index, outcome),
            13 if outcome >= 200 => self.restart(node),
            13 => self.start_dependent_job(node),
            _ if !self.delayed.is_empty() => {
                let transaction = self.delayed.remove(outcome as usize % self.delayed.len());
                self.store.apply(&transaction);
            }
            _ => {}
        }
        // The last job starts only after the durable end of its dependency.
        let dependency_end = self.store.keys.get(&keys::finished_job(JOBS[0].0));
        let dependency =
            dependency_end.map(|(value, _)| value.deserialized::<FinishedJob>().expect("final"));
        let is_placed = |controller: &Controller| {
            controller
                .view
                .jobs
                .get(JOBS[3].0)
                .is_some_and(|job| job.placed > 0)
        };
        let may_start = dependency.is_some_and(|finished| !finished.cancelled);
        assert!(
            may_start || !self.controllers.iter().any(is_placed),
            "too_early"
        );
        for (id, _) in JOBS {
            let has_job_record = self.store.keys.contains_key(&keys::job(id));
            let finished_job = self.store.keys.get(&keys::finished_job(id));
            assert!(
                has_job_record != finished_job.is_some(),
                "{id}: should have either a job record or a final record"
            );
            if let Some((value, _)) = finished_job {
                let finished: FinishedJob = value.deserialized().expect("final");
                let status = self.reported_status.get(id);
                let contradicting_status = if finished.cancelled {
                    Status::Done
                } else {
                    Status::Cancelled
                };
                assert!(status != Some(&contradicting_status), "went_back: {id}");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(40), ..ProptestConfig::default() })]

    #[test]
    fn final_status_never_changes(steps in proptest::collection::vec(any::<(u8, u8, u8)>(), 20..200)) {
        let mut world = World::new();
        for (operation, selector, outcome) in steps {
            world.step(operation, selector, outcome);
        }
        // Once all transactions have been applied, both controllers answer with the same status.
        let delayed: Vec<Transaction> = std::mem::take(&mut world.delayed);
        for transaction in &delayed {
            world.store.apply(transaction);
        }
        for job_index in 0..JOBS.len() {
            prop_assert_eq!(world.query_status(0, job_index), world.query_status(1, job_index));
        }
    }
}

/// The last task has completed and its block records it, but the end of the job is neither written nor answered to a
/// user. An earlier cancellation arrives now: the job is cancelled, and no user has received any other final status.
#[test]
fn cancellation_between_last_exit_and_job_end() {
    let mut world = World::new();
    world.complete(1, 300);
    world.cancel(1, 1, 0);
    assert_eq!(world.delayed.len(), 1, "the cancellation should be delayed");
    world.record_exits(0, 1, 300, 3);
    world.record_exits(0, 1, 300, 3);
    while let Some(transaction) = world.delayed.pop() {
        world.store.apply(&transaction);
    }
    let (first_status, second_status) = (world.query_status(0, 1), world.query_status(1, 1));
    assert_eq!(first_status, second_status);
    (0..2).for_each(|node| world.record_exits(node, 1, 300, 3));
    assert_eq!(world.query_status(0, 1), first_status);
}

/// The job record is deleted when the cancellation arrives: the job was `done` and stays `done`.
#[test]
fn cancellation_after_job_end_has_no_effect() {
    let mut world = World::new();
    world.complete(0, 2);
    world.cancel(1, 0, 0);
    for _ in 0..2 {
        world.record_exits(0, 0, 9, 3);
    }
    assert_eq!(world.query_status(0, 0), Status::Done);
    while let Some(transaction) = world.delayed.pop() {
        assert!(
            !world.store.apply(&transaction),
            "the delayed cancellation should fail its precondition"
        );
    }
    world.cancel(1, 0, 3);
    assert_eq!(world.reported_status["req-0"], Status::Done);
    world.resubmit(1, 0, 3);
    assert!(!world.store.keys.contains_key(&keys::job("req-0")));
}

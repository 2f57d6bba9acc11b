//! Two controllers and a state service that checks its limits at each write and the tasks after it.

use crate::common::limited_store::LimitedStore;
use crate::common::{self, LIMITS};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{
    JobChange, StagedTransaction, TransactionLimits, accept_submission, cancel, collect_garbage,
    stage,
};
use coppergw::jobs::model::{JobId, JobSpec, Placement, TaskState};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::Transaction;
use coppergw::wire::user::JobKind;
use foldhash::{HashSet, HashSetExt};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of the largest value that a controller leaves unused.
const VALUE_RESERVE_BYTES: usize = 48;
/// Number of machines.
const MACHINE_COUNT: u32 = 400;
/// Number of different sessions of machines.
const SESSION_COUNT: u32 = 60;
/// Multiplier that maps neighbouring tasks to distant machines.
const SCATTERING_FACTOR: u32 = 2_654_435_761;

/// An attempt of a task: job, index of the task and number of the attempt.
type Attempt = (JobId, u32, u32);

/// A controller's copy of the state.
#[derive(Default)]
pub(crate) struct Controller {
    pub(crate) view: ClusterState,
    log_position: usize,
}

/// A state service with small values and the controllers that write to it.
pub(crate) struct Deployment {
    pub(crate) store: LimitedStore,
    pub(crate) controllers: [Controller; 2],
    /// Applies each change at once.
    observer: Controller,
    /// Whether the layout of this version is in force.
    pub(crate) packed: bool,
}

impl Deployment {
    /// Creates a deployment with a largest value in bytes, and most mutations of a transaction.
    pub(crate) fn new(limits: (usize, usize), packed: bool) -> Deployment {
        Deployment {
            store: LimitedStore::new(limits),
            controllers: Default::default(),
            observer: Controller::default(),
            packed,
        }
    }

    pub(crate) fn limits(&self) -> TransactionLimits {
        let (max_value_bytes, max_mutations) = self.store.limits;
        TransactionLimits {
            max_mutations,
            max_merged_mutations: max_mutations / 2,
            max_value_bytes: max_value_bytes - VALUE_RESERVE_BYTES,
            write_newer_layout: self.packed,
            write_packed_blocks: self.packed,
            ..LIMITS
        }
    }

    /// Reads all changes of the state service.
    pub(crate) fn sync(&mut self, controller: usize) {
        let Controller { view, log_position } = &mut self.controllers[controller];
        self.store.update_view(view, log_position);
        common::indexed(view);
    }

    /// Accepts a job; its specification fits into a value.
    pub(crate) fn submit(&mut self, id: &str, spec: &JobSpec) {
        let transactions =
            accept_submission(&self.controllers[0].view, id, spec.clone(), self.limits());
        for transaction in transactions.expect("the record fits into a value") {
            self.store.check_limits(&transaction);
            assert!(self.store.apply(&transaction));
        }
        self.sync(0);
    }

    /// Cancels a job as a user would, who tries again.
    pub(crate) fn cancel(&mut self, controller: usize, id: &JobId) {
        for _ in 0..8 {
            self.sync(controller);
            let view = &self.controllers[controller].view;
            if view.jobs.get(id).is_none_or(|job| job.cancelled()) {
                return;
            }
            let cancelled = cancel(view, id, self.limits()).expect("a transaction that fits");
            self.store.check_limits(&cancelled);
            self.store.apply(&cancelled);
        }
        panic!("the cancellation of {id} is never written");
    }

    /// Places up to `count` waiting tasks of each job of an array or service, and all tasks of each gang.
    pub(crate) fn placements(&self, controller: usize, count: usize, salt: u32) -> Vec<JobChange> {
        let jobs = self.controllers[controller].view.jobs.iter();
        jobs.map(|(id, job)| JobChange::Place {
            job: id.clone(),
            tasks: match job.spec.kind {
                JobKind::Gang => job
                    .waiting_indexes()
                    .map(|index| place(index, salt))
                    .collect(),
                _ => job
                    .waiting_indexes()
                    .take(count)
                    .map(|index| place(index, salt))
                    .collect(),
            },
        })
        .filter(|change| !matches!(change, JobChange::Place { tasks, .. } if tasks.is_empty()))
        .collect()
    }

    /// Ends every attempt for which `ends` returns whether its task is done.
    pub(crate) fn ends(
        &self,
        controller: usize,
        ends: impl Fn(u32, &Placement) -> Option<bool>,
    ) -> Vec<JobChange> {
        let jobs = self.controllers[controller].view.jobs.iter();
        jobs.flat_map(|(id, job)| {
            let ended = job.placements().filter_map(|(index, placement)| {
                Some(JobChange::AttemptEnded {
                    job: id.clone(),
                    index,
                    attempt: placement.attempt,
                    done: ends(index, placement)?,
                })
            });
            ended
                .chain([JobChange::Finalize { job: id.clone() }])
                .collect::<Vec<_>>()
        })
        .collect()
    }

    /// Writes changes of a controller, and checks the state after each transaction. A controller that gets a
    /// conflict reads the state again.
    pub(crate) fn write(&mut self, controller: usize, changes: &[JobChange]) {
        let view = &self.controllers[controller].view;
        let staged = stage(view, changes, &HashSet::new(), &|_| false, self.limits());
        let mut conflict = false;
        for StagedTransaction { transaction, .. } in staged {
            conflict |= !self.commit(&transaction, changes);
        }
        if conflict {
            self.sync(controller);
        }
    }

    /// Writes one transaction if its preconditions hold. Asserts that it fits, and that every attempt that is no
    /// longer placed was ended by one of the changes.
    pub(crate) fn commit(&mut self, transaction: &Transaction, changes: &[JobChange]) -> bool {
        self.store.check_limits(transaction);
        let before = self.placed_attempts();
        if !self.store.apply(transaction) {
            return false;
        }
        let Controller { view, log_position } = &mut self.observer;
        self.store.update_view(view, log_position);
        let after = self.placed_attempts();
        for lost in before.difference(&after) {
            assert!(self.is_ended(lost, changes), "{lost:?} is lost");
        }
        true
    }

    /// Returns whether one of the changes ends an attempt: its own end or, in a gang, that of a task that is done.
    fn is_ended(&self, (job, index, attempt): &Attempt, changes: &[JobChange]) -> bool {
        let observed = self.observer.view.jobs.get(job);
        let is_gang = observed.is_none_or(|job| job.spec.kind == JobKind::Gang);
        changes.iter().any(|change| match change {
            JobChange::AttemptEnded {
                job: of,
                index: task,
                attempt: number,
                done,
            } => of == job && ((task, number) == (index, attempt) || (is_gang && *done)),
            _ => false,
        })
    }

    fn placed_attempts(&self) -> BTreeSet<Attempt> {
        let jobs = self.observer.view.jobs.iter();
        jobs.flat_map(|(id, job)| {
            job.placements()
                .map(|(index, placement)| (id.clone(), index, placement.attempt))
        })
        .collect()
    }

    /// Deletes the remaining keys of ended jobs.
    pub(crate) fn collect_garbage(&mut self) {
        loop {
            self.sync(0);
            let Some(deletions) = collect_garbage(&self.controllers[0].view, self.limits()) else {
                return;
            };
            self.store.check_limits(&deletions);
            assert!(self.store.apply(&deletions));
        }
    }

    /// Returns the numbers of unfinished tasks, by job.
    pub(crate) fn unfinished_tasks(&self) -> BTreeMap<String, u32> {
        let jobs = self.controllers[0].view.jobs.iter();
        jobs.map(|(id, job)| (id.to_string(), job.waiting + job.placed))
            .collect()
    }

    /// Returns the number of placed tasks.
    pub(crate) fn placed_tasks(&self) -> u32 {
        let jobs = self.controllers[0].view.jobs.values();
        jobs.map(|job| job.placed).sum()
    }

    /// Returns the keys of jobs, without those of ended ones.
    pub(crate) fn keys_of_jobs(&self) -> Vec<&String> {
        let of_jobs = |key: &&String| {
            ["c/job/", "c/block/", "c/slots/", "c/needs/"]
                .iter()
                .any(|prefix| key.starts_with(prefix))
        };
        self.store.keys.keys().filter(of_jobs).collect()
    }

    /// Returns whether any block of a job is stored in parts.
    pub(crate) fn has_parts(&self, id: &str) -> bool {
        let prefix = format!("c/slots/{id}/");
        self.store.keys.keys().any(|key| key.starts_with(&prefix))
    }

    /// Returns the state of a task in the state service.
    pub(crate) fn stored_task(&self, id: &str, index: u32) -> Option<TaskState> {
        let mut view = ClusterState::default();
        for (key, (value, version)) in &self.store.keys {
            view.put(key, value, *version);
        }
        view.jobs.get(id)?.task_state(index).cloned()
    }

    /// Returns the version of a job's record.
    pub(crate) fn record_version(&self, id: &str) -> u64 {
        self.store
            .keys
            .get(&keys::job(id))
            .map_or(0, |(_, version)| *version)
    }
}

/// Returns the place of a task. Neighbouring tasks are on machines with different names and sessions, so that few
/// of them share an entry of a packed block.
pub(crate) fn place(index: u32, salt: u32) -> (u32, MachineId, u64) {
    let scattered = (index + salt).wrapping_mul(SCATTERING_FACTOR) / MACHINE_COUNT;
    let machine = scattered % MACHINE_COUNT;
    let session = u64::from(machine % SESSION_COUNT) + 1;
    (index, format!("m-{machine:06}").into(), session)
}

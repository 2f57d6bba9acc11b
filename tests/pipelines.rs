//! Property tests of pipelines during a rolling upgrade and a reduction of the state service's limits, under
//! generated orders of submissions, cancellations, restarts and delayed transactions. The store checks every
//! write against its limits; the version in production is represented by the types with which it reads and
//! writes.

mod common;

use common::limited_store::LimitedStore;
use coppergw::autoscaler::model::{MachineRecord, MachineState, ScaleOutRequest};
use coppergw::autoscaler::reconciler::close_scale_out_request;
use coppergw::fairness::rounds::truncate_to_size;
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{
    JobChange, TransactionLimits, accept_submission, cancel, collect_garbage, stage,
};
use coppergw::jobs::model::{
    FinishedJob, JobId, JobIdList, JobRecord, JobSpec, Placement, Resources, StoredBlock,
    TaskBlock, TaskState,
};
use coppergw::jobs::pipelines::{DependencyCheck, check_dependencies, job_answer};
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion, Member, layout_supported_by_all};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Priority, Status};
use coppergw::wire::{from_value, json_size, to_value};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const CONTROLLER_COUNT: usize = 3;
/// Largest value in bytes and most mutations per transaction at the start.
const INITIAL_LIMITS: (usize, usize) = (32 * 1024, 16);
/// Largest value in bytes and most mutations per transaction after the limits were lowered.
const LOWERED_LIMITS: (usize, usize) = (2 * 1024, 5);

/// Job specification as the version in production decodes it. That version drops a record that it cannot
/// decode, and the job with it.
#[derive(serde::Deserialize)]
#[allow(dead_code)]
struct OldJobSpec {
    cl: String,
    t: String,
    k: JobKind,
    r: Priority,
    n: u32,
    q: Resources,
    i: String,
    ig: i64,
    ty: Option<Vec<String>>,
    z: Option<String>,
    oz: bool,
    sp: bool,
    s: bool,
    e: u64,
    cp: u64,
    sv: u64,
    d: Option<u64>,
    at: u64,
    #[serde(default)]
    x: bool,
}
type OldTaskState = (u8, u32, String, u64, u64);
type OldJobRecord = (OldJobSpec, Vec<OldTaskState>);

fn spec(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        class: "claim-score".into(),
        team: "fleet-desk".into(),
        priority: Priority::Low,
        image: "image-of-some-length-07".into(),
        image_size: 900,
        machine_types: Some(vec!["umurenge-16".into(), "imbaraga-24".into()]),
        estimated_run_time: 25_000_000,
        checkpoint_interval: 15_000_000,
        checkpoint_save_time: 6_000_000,
        deadline: Some(150_000_000),
        submitted_at: 1_700_000_000_000_000,
        ..common::spec(kind, tasks)
    }
}

impl LimitedStore {
    fn job(&self, id: &str) -> Option<JobSpec> {
        let (value, _) = self.keys.get(&keys::job(id))?;
        Some(from_value::<coppergw::jobs::model::StoredJobRecord>(value)?.0)
    }
    fn finished_job(&self, id: &str) -> Option<FinishedJob> {
        from_value(&self.keys.get(&keys::finished_job(id))?.0)
    }
    /// Returns whether the job or one of its ancestors is cancelled, according to the stored state alone.
    fn cancelled(&self, dependencies: &HashMap<String, Vec<String>>, id: &str) -> bool {
        match self.finished_job(id) {
            Some(finished) => finished.cancelled,
            None => {
                self.job(id).is_some_and(|s| s.cancelled)
                    || dependencies
                        .get(id)
                        .into_iter()
                        .flatten()
                        .any(|n| self.cancelled(dependencies, n))
            }
        }
    }
}

struct Controller {
    view: ClusterState,
    /// Number of entries of the store's log that the watch has delivered.
    log_position: usize,
    new_version: bool,
}

struct TestCluster {
    store: LimitedStore,
    controllers: Vec<Controller>,
    /// Dependencies of each job, as submitted.
    dependencies: HashMap<String, Vec<String>>,
    /// IDs of the jobs in the order of submission.
    submitted: Vec<String>,
    /// Status of each job as last returned to a user.
    reported: HashMap<String, Status>,
    /// Transactions that were sent and have not been applied yet.
    delayed: Vec<Transaction>,
    /// Tasks that are placed in the stored state.
    placed_tasks: BTreeSet<(String, u32)>,
    wall_clock: u64,
}

fn controller_name(controller: usize) -> String {
    format!("deckhand-{controller}")
}

impl TestCluster {
    fn new() -> TestCluster {
        let mut cluster = TestCluster {
            store: LimitedStore::new(INITIAL_LIMITS),
            controllers: Vec::new(),
            dependencies: HashMap::new(),
            submitted: Vec::new(),
            reported: HashMap::new(),
            delayed: Vec::new(),
            placed_tasks: BTreeSet::new(),
            wall_clock: 1_700_000_000_000_000,
        };
        for _ in 0..CONTROLLER_COUNT {
            cluster.controllers.push(Controller {
                view: ClusterState::default(),
                log_position: 0,
                new_version: false,
            });
        }
        cluster
    }

    fn uses_new_layout(&self) -> bool {
        self.store.keys.contains_key(keys::LAYOUT)
    }

    fn limits(&self, controller: usize) -> TransactionLimits {
        let layout = self.controllers[controller].new_version
            && self.controllers[controller].view.layout.is_some();
        let (value_limit, mutation_limit) = if layout {
            LOWERED_LIMITS
        } else {
            INITIAL_LIMITS
        };
        TransactionLimits {
            max_mutations: mutation_limit,
            max_merged_mutations: 8,
            max_bytes: 48 * 1024,
            max_value_bytes: value_limit - 48,
            write_newer_layout: layout,
            write_packed_blocks: layout,
            wall_clock: self.wall_clock,
        }
    }

    fn sync(&mut self, controller: usize) {
        let state = &mut self.controllers[controller];
        self.store
            .update_view(&mut state.view, &mut state.log_position);
        common::indexed(&state.view);
    }

    /// Restarts a controller. It loads everything but the final states of jobs.
    fn restart(&mut self, controller: usize, new_version: bool) {
        let mut view = ClusterState::default();
        for (key, (value, version)) in &self.store.keys {
            if keys::INITIAL_LOAD_PREFIXES
                .iter()
                .any(|prefix| key.starts_with(prefix))
            {
                view.put(key, value, *version);
            }
        }
        view.revision = self.store.rev;
        self.controllers[controller] = Controller {
            view,
            log_position: self.store.log.len(),
            new_version,
        };
        if new_version {
            self.put(
                keys::version(&controller_name(controller)),
                &LayoutVersion {
                    layout_version: LAYOUT_VERSION,
                },
            );
        }
        let members = (0..CONTROLLER_COUNT).map(|controller| {
            let layout_version = if self.controllers[controller].new_version {
                LAYOUT_VERSION
            } else {
                0
            };
            let member = Member {
                lease: 1,
                joined_at: 0,
                unreachable_by_workers: false,
                layout_version,
                restart_count: 0,
            };
            (controller_name(controller), member)
        });
        let members: BTreeMap<String, Member> = members.collect();
        self.sync(controller);
        let names: Vec<String> = (0..CONTROLLER_COUNT).map(controller_name).collect();
        let view = &self.controllers[controller].view;
        let names = names.iter().map(String::as_str);
        if new_version
            && let Some(layout) = layout_supported_by_all(names, &view.versions, &members)
        {
            assert_eq!(layout.layout_version, LAYOUT_VERSION);
            self.put(keys::LAYOUT.into(), &layout);
        }
    }

    fn put<T: serde::Serialize>(&mut self, key: String, value: &T) {
        self.store.apply(&Transaction {
            preconditions: vec![],
            mutations: vec![Mutation::Put {
                key,
                value: to_value(value),
                lease: None,
            }],
        });
    }

    /// Applies a transaction, with or without a response to the controller, or holds it back to be applied
    /// later.
    fn commit(&mut self, controller: usize, transaction: Transaction, outcome_seed: u8) -> bool {
        self.store.check_limits(&transaction);
        if outcome_seed.is_multiple_of(7) {
            self.delayed.push(transaction);
            return false;
        }
        let committed = self.apply_and_check(&transaction);
        if committed && !outcome_seed.is_multiple_of(5) {
            // The view includes the change before the watch delivers it.
            let revision = self.store.rev;
            for mutation in &transaction.mutations {
                match mutation {
                    Mutation::Put {
                        key: written_key,
                        value: new_value,
                        ..
                    } => self.controllers[controller]
                        .view
                        .put(written_key, new_value, revision),
                    Mutation::Delete { key: deleted_key } => self.controllers[controller]
                        .view
                        .delete(deleted_key, revision),
                }
            }
        }
        if !committed {
            self.sync(controller);
        }
        committed
    }

    fn apply_and_check(&mut self, transaction: &Transaction) -> bool {
        if !self.store.apply(transaction) {
            return false;
        }
        let old_layout = !self.uses_new_layout();
        for mutation in &transaction.mutations {
            let Mutation::Put {
                key: written_key,
                value: new_value,
                ..
            } = mutation
            else {
                continue;
            };
            if old_layout {
                // The version in production must be able to read the value.
                if written_key.starts_with("c/job/") {
                    assert!(
                        from_value::<OldJobRecord>(new_value).is_some(),
                        "{written_key} is unreadable"
                    );
                } else if written_key.starts_with("c/block/") {
                    assert!(
                        from_value::<Vec<OldTaskState>>(new_value).is_some(),
                        "{written_key} is unreadable"
                    );
                }
                assert!(
                    !written_key.starts_with("c/slots/") && !written_key.starts_with("c/needs/")
                );
            }
        }
        // Every dependency of a newly placed task must be done, whichever view the placement was based on.
        let mut current = ClusterState::default();
        for (key, (value, version)) in &self.store.keys {
            current.put(key, value, *version);
        }
        let mut placed_tasks = BTreeSet::new();
        for (id, job) in &current.jobs {
            placed_tasks.extend(job.placements().map(|(index, _)| (id.to_string(), index)));
        }
        for (id, index) in placed_tasks.difference(&self.placed_tasks) {
            for dependency in self.dependencies.get(id).into_iter().flatten() {
                let finished = self.store.finished_job(dependency);
                assert!(
                    finished.is_some_and(|finished| !finished.cancelled),
                    "too_early: {id}/{index} before {dependency}"
                );
            }
            assert_ne!(
                self.reported.get(id),
                Some(&Status::Cancelled),
                "ran_cancelled"
            );
        }
        self.placed_tasks = placed_tasks;
        true
    }

    fn read_finished_job(&mut self, controller: usize, id: &str) -> bool {
        let finished = self.store.finished_job(id);
        if let Some(finished) = finished {
            self.controllers[controller]
                .view
                .cache_finished_job(&id.into(), finished);
        }
        finished.is_some()
    }

    fn submit(&mut self, controller: usize, mut spec: JobSpec, dependency_picks: &[u8]) {
        let id = format!("req-{:06}", self.submitted.len());
        let dependency_ids: Vec<String> = dependency_picks
            .iter()
            .filter(|_| !self.submitted.is_empty())
            .map(|p| self.submitted[usize::from(*p) % self.submitted.len()].clone())
            .collect();
        if !dependency_ids.is_empty() {
            if self.controllers[controller].view.layout.is_none()
                || !self.controllers[controller].new_version
            {
                return; // Refused with 503.
            }
            let mut dependencies =
                check_dependencies(&self.controllers[controller].view, &id, &dependency_ids);
            if let DependencyCheck::Unknown(unknown) = dependencies {
                for unknown_id in &unknown {
                    self.read_finished_job(controller, unknown_id);
                }
                self.sync(controller);
                dependencies =
                    check_dependencies(&self.controllers[controller].view, &id, &dependency_ids);
            }
            let DependencyCheck::Accepted(dependencies) = dependencies else {
                panic!("422 for accepted jobs: {dependencies:?}");
            };
            spec.dependencies.jobs = JobIdList(dependencies);
        }
        spec.submitted_at = self.wall_clock;
        let limits = self.limits(controller);
        self.dependencies.insert(id.clone(), dependency_ids);
        self.submitted.push(id.clone());
        for _ in 0..9 {
            let transactions = accept_submission(
                &self.controllers[controller].view,
                &id,
                spec.clone(),
                limits,
            );
            for transaction in transactions.expect("the submission fits into the value limit") {
                self.store.check_limits(&transaction);
                assert!(self.apply_and_check(&transaction));
                if transaction
                    .mutations
                    .iter()
                    .any(|c| c.key() == keys::job(&id))
                {
                    return;
                }
            }
            self.sync(controller);
        }
        panic!("submission never accepted");
    }

    /// Returns the status of a job as a user receives it.
    fn poll(&mut self, controller: usize, id: &str) -> Option<Status> {
        let is_final = |s: Status| matches!(s, Status::Done | Status::Cancelled);
        let mut status =
            job_answer(&self.controllers[controller].view, id).map(|answer| answer.status);
        if !status.is_some_and(is_final) {
            if status.is_none() {
                self.read_finished_job(controller, id);
            }
            self.sync(controller);
            for ancestor in self.controllers[controller].view.unknown_ancestors(id) {
                assert!(
                    self.read_finished_job(controller, &ancestor),
                    "neither unfinished nor finished: {ancestor}"
                );
            }
            status = job_answer(&self.controllers[controller].view, id).map(|answer| answer.status);
        }
        let status = status.expect("forgotten");
        let cancelled = self.store.cancelled(&self.dependencies, id);
        assert_eq!(
            status == Status::Cancelled,
            cancelled,
            "orphaned, or cancelled without a request: {id}"
        );
        if let Some(previous) = self.reported.get(id)
            && is_final(*previous)
        {
            assert_eq!(status, *previous, "went_back");
        }
        self.reported.insert(id.into(), status);
        Some(status)
    }

    fn cancel(&mut self, controller: usize, id: &str, outcome_seed: u8) {
        if !self.controllers[controller].new_version && self.uses_new_layout() {
            return;
        }
        for _ in 0..12 {
            if matches!(
                self.poll(controller, id),
                Some(Status::Done | Status::Cancelled)
            ) {
                return;
            }
            let job: JobId = id.into();
            let Some(transaction) = cancel(
                &self.controllers[controller].view,
                &job,
                self.limits(controller),
            ) else {
                return;
            };
            if !self.commit(controller, transaction, outcome_seed) && outcome_seed.is_multiple_of(7)
            {
                return;
            }
        }
        panic!("cancellation never committed");
    }

    fn job_changes(&self, controller: usize, selector: u8) -> Vec<JobChange> {
        let view = &self.controllers[controller].view;
        let mut changes = Vec::new();
        for (job_number, (id, job)) in view.jobs.iter().enumerate() {
            // Placement is attempted for every job: the preconditions must reject those that may not start
            // yet.
            let waiting: Vec<u32> = job
                .task_states()
                .filter(|(_, s)| matches!(s, TaskState::Waiting(_)))
                .map(|(task, _)| task)
                .collect();
            let machine = |task: u32| -> MachineId {
                format!("m-{:06}", (task * 7 + job_number as u32) % 400).into()
            };
            if !waiting.is_empty() {
                changes.push(JobChange::Place {
                    job: id.clone(),
                    tasks: waiting
                        .iter()
                        .map(|task| (*task, machine(*task), 1))
                        .collect(),
                });
            }
            for (task, placement) in job.placements() {
                if (task + u32::from(selector)).is_multiple_of(3) || job.cancelled() {
                    changes.push(JobChange::AttemptEnded {
                        job: id.clone(),
                        index: task,
                        attempt: placement.attempt,
                        done: !task.wrapping_add(placement.attempt).is_multiple_of(4),
                    });
                } else if (task + u32::from(selector)).is_multiple_of(11) {
                    changes.push(JobChange::Stop {
                        job: id.clone(),
                        index: task,
                        attempt: placement.attempt,
                        grace: 4_000_000 + u64::from(task) * 1000,
                    });
                }
            }
            changes.push(JobChange::Finalize { job: id.clone() });
        }
        changes
    }

    fn reconcile(&mut self, controller: usize, selector: u8, outcome_seed: u8) {
        // Once the newer layout is in use, no controller of the old version is left that could write.
        assert!(self.controllers[controller].new_version || !self.uses_new_layout());
        let changes = self.job_changes(controller, selector);
        let limits = self.limits(controller);
        for staged in stage(
            &self.controllers[controller].view,
            &changes,
            &HashSet::new(),
            &|_| false,
            limits,
        ) {
            self.commit(controller, staged.transaction, outcome_seed);
        }
        if outcome_seed.is_multiple_of(3)
            && let Some(transaction) = collect_garbage(&self.controllers[controller].view, limits)
        {
            self.commit(controller, transaction, outcome_seed);
        }
    }

    fn step(&mut self, operation: u8, first: u8, second: u8) {
        self.wall_clock += 100_000;
        let controller = usize::from(first) % CONTROLLER_COUNT;
        match operation % 12 {
            0 | 1 => {
                let tasks = [1, 3, 40, 130, 300][usize::from(second) % 5];
                self.submit(controller, spec(JobKind::Array, tasks), &[]);
            }
            2 => self.submit(
                controller,
                spec(JobKind::Gang, [2, 32, 64][usize::from(second) % 3]),
                &[],
            ),
            3 => self.submit(controller, spec(JobKind::Array, 2), &[first, second]),
            4 => self.submit(
                controller,
                spec(JobKind::Gang, 3),
                &[second, second.wrapping_add(first), second / 2],
            ),
            5 if !self.submitted.is_empty() => {
                let id = self.submitted[usize::from(second) % self.submitted.len()].clone();
                self.cancel(controller, &id, first);
            }
            6 | 7 => self.reconcile(controller, second, first),
            8 => self.sync(controller),
            9 => {
                // Any controller may restart, possibly upgraded; an upgraded one stays on the new version.
                let new_version =
                    self.controllers[controller].new_version || second.is_multiple_of(3);
                self.restart(controller, new_version);
            }
            10 if !self.delayed.is_empty() => {
                let transaction = self
                    .delayed
                    .swap_remove(usize::from(second) % self.delayed.len());
                if self.store.limits == INITIAL_LIMITS {
                    self.apply_and_check(&transaction);
                } else if transaction.largest_value_bytes() <= LOWERED_LIMITS.0
                    && transaction.mutations.len() <= LOWERED_LIMITS.1
                {
                    // The state service rejects a larger one after its limits were lowered.
                    self.apply_and_check(&transaction);
                }
            }
            11 if self.uses_new_layout()
                && self
                    .controllers
                    .iter()
                    .all(|controller| controller.view.layout.is_some()) =>
            {
                self.store.limits = LOWERED_LIMITS;
            }
            _ => {
                if let Some(id) = self.submitted.get(usize::from(second)) {
                    let id = id.clone();
                    self.poll(controller, &id);
                }
            }
        }
    }

    /// Runs without further failures, and asserts that all jobs end and that none of their keys remain.
    fn settle(&mut self) {
        for controller in 0..CONTROLLER_COUNT {
            self.restart(controller, true);
        }
        for controller in 0..CONTROLLER_COUNT {
            self.sync(controller);
        }
        self.store.limits = LOWERED_LIMITS;
        for round in 0..400u32 {
            let controller = round as usize % CONTROLLER_COUNT;
            self.sync(controller);
            for dependency in self.controllers[controller].view.unknown_dependencies() {
                self.read_finished_job(controller, &dependency);
            }
            self.reconcile(controller, (round / 3) as u8, 3);
            if !self.store.keys.keys().any(|key| key.starts_with("c/job/")) {
                break;
            }
        }
        for _ in 0..200 {
            self.sync(0);
            if let Some(transaction) = collect_garbage(&self.controllers[0].view, self.limits(0)) {
                self.commit(0, transaction, 1);
            }
        }
        let remaining_keys: Vec<&String> = self
            .store
            .keys
            .keys()
            .filter(|key| {
                ["c/job/", "c/block/", "c/slots/", "c/needs/"]
                    .iter()
                    .any(|prefix| key.starts_with(prefix))
            })
            .collect();
        assert!(
            remaining_keys.is_empty(),
            "keys of jobs that never ended: {remaining_keys:?}"
        );
        for id in self.submitted.clone() {
            self.poll(0, &id);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, max_shrink_iters: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Checks the invariants too_early, orphaned, went_back, forgotten and every limit under any order of
    /// operations: mixed versions, restarts, delayed and unanswered transactions, and limits that are
    /// lowered.
    #[test]
    fn pipelines_and_mixed_versions_keep_the_invariants(operations in proptest::collection::vec(any::<(u8, u8, u8)>(), 40..160)) {
        let mut cluster = TestCluster::new();
        for (operation, first, second) in operations {
            cluster.step(operation, first, second);
        }
        cluster.settle();
    }

    /// A block decodes to the same block in every form in which it is stored.
    #[test]
    fn stored_blocks_survive_a_round_trip(slots in proptest::collection::vec((0u8..4, 0u32..3, 0u8..5, 1u64..3), 0..256)) {
        let block: TaskBlock = slots.iter().map(|(kind, attempt, machine, session)| match kind {
            0 => TaskState::Waiting(*attempt),
            1 => TaskState::Done,
            kind => TaskState::Placed(Placement {
                attempt: *attempt,
                machine: format!("m-{machine}").into(),
                session: *session,
                stop_grace_period: (*kind == 3).then_some(6_000_000),
            }),
        }).collect();
        for form in [StoredBlock::Plain(block.clone()), StoredBlock::Packed(block.clone()), StoredBlock::Split(64)] {
            prop_assert_eq!(from_value::<StoredBlock>(&to_value(&form)), Some(form));
        }
    }
}

fn tasks_on_separate_machines(tasks: u32) -> TaskBlock {
    let place = |index: u32| {
        TaskState::Placed(Placement {
            attempt: 1 + index % 3,
            machine: format!("m-{index:06}").into(),
            session: 1,
            stop_grace_period: None,
        })
    };
    (0..tasks).map(place).collect()
}

/// A record in the old layout, with 256 tasks on 256 machines, is too large to be rewritten after the limits
/// were lowered. The job can still be cancelled, with one write, and ends.
#[test]
fn an_oversized_old_record_can_be_cancelled() {
    let mut cluster = TestCluster::new();
    cluster.put(
        keys::job("req-000000"),
        &JobRecord(spec(JobKind::Array, 256), tasks_on_separate_machines(256)),
    );
    cluster.submitted.push("req-000000".into());
    for n in 0..CONTROLLER_COUNT {
        cluster.restart(n, true);
    }
    cluster.restart(0, true);
    cluster.store.limits = LOWERED_LIMITS;
    let revision_before = cluster.store.rev;
    cluster.cancel(0, "req-000000", 1);
    assert_eq!(
        cluster.store.rev - revision_before,
        1,
        "more than one write for a cancellation"
    );
    cluster.placed_tasks = (0..256).map(|i| ("req-000000".to_string(), i)).collect();
    cluster.settle();
    assert_eq!(cluster.reported["req-000000"], Status::Cancelled);
}

/// The placement of a gang of 32 tasks on 32 machines in all shards fits into one transaction of 5 mutations
/// and 20 preconditions.
#[test]
fn a_large_gang_fits_into_one_transaction() {
    let mut cluster = TestCluster::new();
    for n in 0..CONTROLLER_COUNT {
        cluster.restart(n, true);
    }
    cluster.restart(0, true);
    cluster.store.limits = LOWERED_LIMITS;
    cluster.submit(0, spec(JobKind::Gang, 32), &[]);
    cluster.sync(0);
    let tasks = (0..32)
        .map(|i| (i, format!("m-{i:06}").into(), 1))
        .collect();
    let job: JobId = "req-000000".into();
    let staged = stage(
        &cluster.controllers[0].view,
        &[JobChange::Place { job, tasks }],
        &HashSet::new(),
        &|_| false,
        cluster.limits(0),
    );
    assert_eq!(staged.len(), 1);
    let shards = staged[0]
        .transaction
        .preconditions
        .iter()
        .filter(|g| g.key.starts_with("c/part/"));
    assert!(
        shards.count() > 8,
        "preconditions on the terms of all shards replace those on the machines"
    );
    assert!(cluster.commit(0, staged[0].transaction.clone(), 1));
    cluster.sync(0);
    assert_eq!(cluster.controllers[0].view.jobs["req-000000"].placed, 32);
}

/// A list of dependencies that exceeds the value limit is split over several keys, which are written before
/// the job record and read back; the job waits for every dependency.
#[test]
fn long_dependency_lists_are_split() {
    let mut cluster = TestCluster::new();
    for n in [0, 1, 2, 0] {
        cluster.restart(n, true);
    }
    cluster.store.limits = LOWERED_LIMITS;
    for _ in 0..700 {
        cluster.submit(0, spec(JobKind::Array, 1), &[]);
        cluster.sync(0);
    }
    // An earlier attempt at the submission was interrupted after its first key, which lists another job.
    cluster.put(
        keys::dependency_list("req-000700", 0),
        &JobIdList(vec!["req-000003".into()]),
    );
    cluster.sync(0);
    let mut job_spec = spec(JobKind::Array, 1);
    job_spec.dependencies.jobs = JobIdList(
        cluster
            .submitted
            .iter()
            .map(|id| id.as_str().into())
            .collect(),
    );
    cluster.submit(0, job_spec, &[]);
    cluster.restart(1, true);
    let view = &cluster.controllers[1].view;
    let last = &view.jobs["req-000700"];
    assert!(last.spec.dependencies.keys > 1 && last.dependencies.len() == 700 && !last.ready);
    let dependencies: Vec<String> = cluster.submitted[..700].to_vec();
    for id in &dependencies {
        assert!(!cluster.controllers[1].view.jobs["req-000700"].ready);
        let transaction = Transaction {
            preconditions: vec![],
            mutations: vec![
                Mutation::Put {
                    key: keys::finished_job(id),
                    value: to_value(&FinishedJob {
                        cancelled: false,
                        done: 1,
                        finished_at: 7,
                    }),
                    lease: None,
                },
                Mutation::Delete { key: keys::job(id) },
            ],
        };
        assert!(cluster.store.apply(&transaction));
        cluster.sync(1);
    }
    assert!(cluster.controllers[1].view.jobs["req-000700"].ready);
}

/// A scale-out request for 50 machines is closed with at most 20 preconditions per transaction, and every
/// machine has its own key by the time the request no longer lists it.
#[test]
fn a_scale_out_request_shrinks_in_steps() {
    let limits = coppergw::settings::StateLimits {
        requests_per_s: 1.0,
        writes_per_s: 1.0,
        max_value_bytes: 2048,
        max_mutations: 5,
    };
    let mut view = ClusterState::default();
    let names: Vec<String> = (0..50).map(|index| format!("m-{index:06}")).collect();
    let scale_out_request = ScaleOutRequest {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        count: 50,
        requested_at: 0,
        machines: names.clone(),
    };
    view.put(
        &keys::scale_out_request("a"),
        &to_value(&scale_out_request),
        1,
    );
    assert!(
        close_scale_out_request(&view, limits).is_none(),
        "no machine has its own key yet"
    );
    for (index, name) in names.iter().enumerate() {
        let record = MachineRecord {
            state: MachineState::Up,
            ..scale_out_request.initial_machine_record()
        };
        view.put(&keys::machine(name), &to_value(&record), 2 + index as u64);
    }
    for rev in 100.. {
        let Some(transaction) = close_scale_out_request(&view, limits) else {
            break;
        };
        assert!(transaction.preconditions.len() <= limits.max_preconditions());
        match &transaction.mutations[0] {
            Mutation::Put {
                key: written_key,
                value: new_value,
                ..
            } => view.put(written_key, new_value, rev),
            Mutation::Delete { key: deleted_key } => view.delete(deleted_key, rev),
        }
        assert_eq!(view.machines.len(), 50);
    }
    assert!(view.scale_out_requests.is_empty());
}

/// Task counts and priority boosts that exceed one value keep the most important entries.
#[test]
fn oversized_maps_keep_the_highest_values() {
    let all: BTreeMap<String, (u32, u32)> =
        (0..500).map(|i| (format!("req-{i:06}"), (i, 2))).collect();
    let kept = truncate_to_size(all.clone(), 2000, &|_, (n, _)| *n);
    assert!(json_size(&kept) <= 2000 && kept.len() > 60);
    assert!(kept.values().all(|(n, _)| *n >= 500 - kept.len() as u32));
    assert_eq!(truncate_to_size(all.clone(), 32_000, &|_, (n, _)| *n), all);
}

/// No controller uses a newer layout until every controller has recorded durably that it supports it: one
/// that stopped before its upgrade restarts with the old version, whichever members are alive at the time.
#[test]
fn the_layout_changes_only_when_all_controllers_support_it() {
    let version = |n: u32| LayoutVersion { layout_version: n };
    let member = |layout_version| Member {
        lease: 1,
        joined_at: 0,
        unreachable_by_workers: false,
        layout_version,
        restart_count: 0,
    };
    for layout in [2, LAYOUT_VERSION] {
        let recorded = |names: &[&str]| -> BTreeMap<String, LayoutVersion> {
            let names = names.iter().map(|name| name.to_string());
            names.map(|name| (name, version(layout))).collect()
        };
        let two_upgraded = recorded(&["a", "b"]);
        let all_upgraded = recorded(&["a", "b", "c"]);
        let live_members = BTreeMap::from([
            ("a".to_string(), member(layout)),
            ("b".to_string(), member(layout)),
        ]);
        let rolled_back = BTreeMap::from([
            ("a".to_string(), member(layout)),
            ("c".to_string(), member(0)),
        ]);
        let supported = |versions, members| {
            layout_supported_by_all(["a", "b", "c"].into_iter(), versions, members)
        };
        assert_eq!(supported(&two_upgraded, &live_members), None);
        assert_eq!(
            supported(&all_upgraded, &live_members),
            Some(version(layout))
        );
        assert_eq!(
            supported(&all_upgraded, &rolled_back),
            None,
            "a member was rolled back"
        );
    }
}

/// A dependency on a job that was never accepted, on the job itself or on a service is rejected with 422.
/// Finished and duplicate dependencies are dropped; a cancelled dependency replaces all others.
#[test]
fn dependency_checks_classify_jobs() {
    let mut view = ClusterState::default();
    let record = |s: JobSpec| to_value(&JobRecord(s, TaskBlock::default()));
    view.put(&keys::job("req-1"), &record(spec(JobKind::Array, 1)), 1);
    view.put(&keys::job("req-2"), &record(spec(JobKind::Service, 1)), 2);
    let finished_job = |cancelled| FinishedJob {
        cancelled,
        done: 1,
        finished_at: 5,
    };
    view.cache_finished_job(&"req-3".into(), finished_job(false));
    view.cache_finished_job(&"req-4".into(), finished_job(true));
    let check = |names: &[&str]| {
        let names: Vec<String> = names.iter().map(|s| s.to_string()).collect();
        check_dependencies(&view, "req-9", &names)
    };
    assert_eq!(
        check(&["req-1", "req-3", "req-1"]),
        DependencyCheck::Accepted(vec!["req-1".into()])
    );
    assert_eq!(
        check(&["req-1", "req-4"]),
        DependencyCheck::Accepted(vec!["req-4".into()])
    );
    assert_eq!(
        check(&["req-5", "req-1"]),
        DependencyCheck::Unknown(vec!["req-5".into()])
    );
    assert!(matches!(check(&["req-9"]), DependencyCheck::Infeasible(_)));
    assert!(matches!(check(&["req-2"]), DependencyCheck::Infeasible(_)));
}

/// The ancestors of the last job of a pipeline inherit its priority and deadline; the waiting time of a job
/// starts when its last dependency is done.
#[test]
fn ancestors_inherit_priority_and_deadline() {
    let mut view = ClusterState::default();
    let put = |view: &mut ClusterState, id: &str, rev, job_spec: JobSpec| {
        view.put(
            &keys::job(id),
            &to_value(&JobRecord(job_spec, TaskBlock::default())),
            rev,
        );
    };
    let step = |dependencies: &[&str]| {
        let mut job_spec = spec(JobKind::Array, 2);
        job_spec.deadline = None;
        job_spec.dependencies.jobs = JobIdList(dependencies.iter().map(|n| (*n).into()).collect());
        job_spec
    };
    // Loaded in the order of a restart, with the last job first.
    let mut last = step(&["req-3"]);
    last.priority = Priority::High;
    last.deadline = Some(200_000_000);
    put(&mut view, "req-1", 9, last.clone());
    put(&mut view, "req-3", 8, step(&["req-4"]));
    put(&mut view, "req-4", 7, step(&[]));
    assert_eq!(view.jobs["req-4"].priority, Priority::High);
    let due = last.submitted_at + 200_000_000;
    assert!(
        view.jobs["req-4"]
            .deadline_at
            .is_some_and(|d| d < due - 2 * last.estimated_run_time)
    );
    assert!(view.jobs["req-4"].ready && !view.jobs["req-3"].ready);
    view.cache_finished_job(
        &"req-4".into(),
        FinishedJob {
            cancelled: false,
            done: 2,
            finished_at: last.submitted_at + 77,
        },
    );
    view.delete(&keys::job("req-4"), 10);
    assert!(view.jobs["req-3"].ready && !view.jobs["req-1"].ready);
    assert_eq!(view.jobs["req-3"].waiting_since, last.submitted_at + 77);
}

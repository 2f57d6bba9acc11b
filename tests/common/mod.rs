//! Shared test fixtures: settings, limits, a job, a machine, a machine type, an in-memory state service, and a
//! consistency check of the indexes of the cluster state.
#![allow(dead_code)]

pub(crate) mod limited_store;
pub(crate) mod state_service;

use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::jobs::commit::TransactionLimits;
use coppergw::jobs::model::{JobSpec, MachineUsage, Resources};
use coppergw::store::cluster_state::{ClusterState, Indexes};
use coppergw::time::SECOND;
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::{Mutation, Precondition, Transaction};
use coppergw::wire::to_value;
use coppergw::wire::user::{JobKind, Priority};
use std::collections::BTreeMap;

/// Transaction limits of the large deployments, with the storage layout that every version can read.
pub(crate) const LIMITS: TransactionLimits = TransactionLimits {
    max_mutations: 16,
    max_merged_mutations: 16,
    max_bytes: 48_000,
    max_value_bytes: 32_000,
    write_newer_layout: false,
    write_packed_blocks: false,
    wall_clock: 0,
};

/// Settings file with two teams, one of which has a limit.
pub(crate) const SETTINGS: &str = r#"
node_name = "a"
area = "z"
front = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
something_new = 7
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[deployment]
zones = ["z"]
[[deployment.teams]]
name = "free"
[[deployment.teams]]
name = "capped"
cpus_max = 4.0
[deployment.workers]
report_s = 3.0
lease_s = 18.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 48.0
[deployment.state]
rps = 200.0
write_rps = 40.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 6.0
list_lag_s = 6.0
[deployment.machine_limits]
max_connections = 2500
"#;

/// Returns a job without placement constraints; tests override the fields they need.
pub(crate) fn spec(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "team".into(),
        kind,
        priority: Priority::Normal,
        task_count: tasks,
        resources: Resources {
            cpus: 1000,
            gpus: 0,
            memory: 1000,
            heartbeat_bytes: 0,
        },
        image: "i".into(),
        image_size: 1,
        machine_types: None,
        zone: None,
        single_zone: false,
        zone_spread: false,
        allow_spot: true,
        estimated_run_time: 10 * SECOND,
        checkpoint_interval: 0,
        checkpoint_save_time: 0,
        deadline: None,
        submitted_at: 1,
        cancelled: false,
        dependencies: Default::default(),
    }
}

/// Returns an on-demand machine in state `Up`.
pub(crate) fn up(machine_type: &str) -> MachineRecord {
    MachineRecord {
        machine_type: machine_type.into(),
        zone: "a".into(),
        spot: false,
        address: None,
        session: 1,
        state: MachineState::Up,
        provisioned_at: 0,
    }
}

/// Returns a machine type that is offered only in zone `a`.
pub(crate) fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 192.0,
        image_cache_gb: 30.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0 + gpus * 3.0,
        spot_price_per_hour: Some(0.4),
        boot_time_s: 15.0,
        zones: vec!["a".into()],
    }
}

/// An in-memory state service.
#[derive(Default)]
pub(crate) struct Store {
    /// Revision of the last transaction.
    pub rev: u64,
    /// Value and version of each key.
    pub keys: BTreeMap<String, (ciborium::Value, u64)>,
    /// All changes in order: revision, key, and value, or `None` for a deletion.
    pub log: Vec<(u64, String, Option<ciborium::Value>)>,
}

impl Store {
    /// Applies a transaction; returns `false` without changes if a precondition fails.
    pub(crate) fn apply(&mut self, transaction: &Transaction) -> bool {
        for Precondition { key, version } in &transaction.preconditions {
            if self.keys.get(key).map_or(0, |entry| entry.1) != *version {
                return false;
            }
        }
        self.rev += 1;
        for mutation in &transaction.mutations {
            let (key, value) = match mutation {
                Mutation::Put { key, value, .. } => (key, Some(value.clone())),
                Mutation::Delete { key } => (key, None),
            };
            let changed = match &value {
                Some(value) => {
                    self.keys.insert(key.clone(), (value.clone(), self.rev));
                    true
                }
                None => self.keys.remove(key).is_some(),
            };
            if changed {
                self.log.push((self.rev, key.clone(), value));
            }
        }
        true
    }

    /// Writes a key without preconditions.
    pub(crate) fn put<T: serde::Serialize>(&mut self, key: String, value: &T) {
        self.apply(&Transaction {
            preconditions: vec![],
            mutations: vec![Mutation::Put {
                key,
                value: to_value(value),
                lease: None,
            }],
        });
    }

    /// Applies all changes from `log_position` on to a view, and moves the position to the end of the log.
    pub(crate) fn update_view(&self, view: &mut ClusterState, log_position: &mut usize) {
        for (revision, key, value) in &self.log[*log_position..] {
            match value {
                Some(value) => view.put(key, value, *revision),
                None => view.delete(key, *revision),
            }
        }
        *log_position = self.log.len();
        view.revision = self.rev;
    }
}

/// Returns the indexes computed from scratch from all jobs and machines.
fn recompute_indexes(view: &ClusterState) -> Indexes {
    let mut indexes = Indexes::default();
    for (id, job) in &view.jobs {
        if job.waiting > 0 {
            indexes.waiting.insert(id.clone());
            if job.spec.kind == JobKind::Service {
                indexes.services.insert(id.clone());
            }
        }
        if (job.cancelled() && job.placed == 0) || job.done == job.spec.task_count {
            indexes.finished.insert(id.clone());
        }
        indexes.job_bytes += job.estimated_bytes();
        let resources = &job.spec.resources;
        if resources.gpus > 0 {
            *indexes
                .gpu_task_sizes
                .entry(resources.amounts())
                .or_default() += 1;
        }
        for _ in 0..job.placed {
            let team = indexes.teams.entry(job.spec.team.clone());
            team.or_default().add(resources);
        }
    }
    indexes
        .teams
        .retain(|_, used| *used != Resources::default());
    for (id, machine) in &view.machines {
        if matches!(
            machine.state,
            MachineState::Draining | MachineState::Closing
        ) {
            indexes.not_accepting.insert(id.clone());
        }
        if let Some(machine_type) = view.machine_types.get(&machine.machine_type) {
            let mut free = Resources::of_machine(machine_type);
            for (job, _) in view.tasks_on(id).into_iter().flat_map(|tasks| tasks.keys()) {
                free.subtract(&view.jobs[job].spec.resources);
            }
            if free.heartbeat_bytes < 0 {
                indexes.overfull.insert(id.clone());
            }
            indexes.by_free_cpus.insert((free.cpus, id.clone()));
        }
    }
    indexes
}

/// Asserts that the indexes of the cluster state equal those computed from all jobs and machines. The scheduler
/// would silently skip a machine or a job that is missing from an index.
pub(crate) fn indexed(view: &ClusterState) {
    assert_eq!(*view.indexes(), recompute_indexes(view));
    for (machine, tasks) in &view.tasks_by_machine {
        let mut usage = MachineUsage::default();
        for (job, _) in tasks.keys() {
            usage.add(&view.jobs[job].spec);
        }
        assert_eq!(view.usage(machine), usage, "{machine}");
    }
}

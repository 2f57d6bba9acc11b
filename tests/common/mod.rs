//! What the tests share: a job, a machine type, limits and a state service of their own.
#![allow(dead_code)]

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

/// Limits of the grown deployments, in the layout that every version reads.
pub const LIMITS: TransactionLimits = TransactionLimits {
    max_mutations: 16,
    max_merged_mutations: 16,
    max_bytes: 48_000,
    max_value_bytes: 32_000,
    newer_layout: false,
    packed: false,
    wall_clock: 0,
};

/// A platform's settings: two teams, one with a limit.
pub const SETTINGS: &str = r#"
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

/// A job of one plain class; tests change what matters to them.
pub fn spec(kind: JobKind, tasks: u32) -> JobSpec {
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

/// An ordinary machine of a type that is up.
pub fn up(kind: &str) -> MachineRecord {
    MachineRecord {
        machine_type: kind.into(),
        zone: "a".into(),
        spot: false,
        address: None,
        session: 1,
        state: MachineState::Up,
        rented_at: 0,
    }
}

/// A machine type of one zone.
pub fn machine_type(sku: &str, cores: f64, gpus: f64) -> MachineType {
    MachineType {
        name: sku.into(),
        cpus: cores,
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

/// A stand-in for the state service.
#[derive(Default)]
pub struct Store {
    pub rev: u64,
    pub keys: BTreeMap<String, (ciborium::Value, u64)>,
    pub log: Vec<(u64, String, Option<ciborium::Value>)>,
}

impl Store {
    pub fn apply(&mut self, t: &Transaction) -> bool {
        for Precondition {
            key: path,
            version: stamp,
        } in &t.preconditions
        {
            if self.keys.get(path).map_or(0, |k| k.1) != *stamp {
                return false;
            }
        }
        self.rev += 1;
        for c in &t.mutations {
            let (key, v) = match c {
                Mutation::Put {
                    key: put, value: v, ..
                } => (put, Some(v.clone())),
                Mutation::Delete { key: remove } => (remove, None),
            };
            let there = match &v {
                Some(v) => {
                    self.keys.insert(key.clone(), (v.clone(), self.rev));
                    true
                }
                None => self.keys.remove(key).is_some(),
            };
            if there {
                self.log.push((self.rev, key.clone(), v));
            }
        }
        true
    }

    pub fn put<T: serde::Serialize>(&mut self, key: String, v: &T) {
        self.apply(&Transaction {
            preconditions: vec![],
            mutations: vec![Mutation::Put {
                key,
                value: to_value(v),
                lease: None,
            }],
        });
    }
}

/// The index as going through all jobs and machines gives it.
fn index_afresh(v: &ClusterState) -> Indexes {
    let mut out = Indexes::default();
    for (id, j) in &v.jobs {
        if j.waiting > 0 {
            out.waiting.insert(id.clone());
            if j.spec.kind == JobKind::Service {
                out.services.insert(id.clone());
            }
        }
        if (j.cancelled() && j.placed == 0) || j.done == j.spec.task_count {
            out.finished.insert(id.clone());
        }
        let r = &j.spec.resources;
        if r.gpus > 0 {
            *out.gpu_task_sizes.entry(r.amounts()).or_default() += 1;
        }
        for _ in 0..j.placed {
            out.teams.entry(j.spec.team.clone()).or_default().add(r);
        }
    }
    out.teams.retain(|_, r| *r != Resources::default());
    for (id, h) in &v.machines {
        if matches!(h.state, MachineState::Draining | MachineState::Closing) {
            out.not_accepting.insert(id.clone());
        }
        if let Some(t) = v.machine_types.get(&h.machine_type) {
            let mut free = Resources::of_machine(t);
            for (job, _) in v.tasks_on(id).into_iter().flat_map(|t| t.keys()) {
                free.subtract(&v.jobs[job].spec.resources);
            }
            out.by_free_cpus.insert((free.cpus, id.clone()));
        }
    }
    out
}

/// What the view keeps for look-ups equals what going through all jobs and machines gives. A plan that
/// misses a machine or a job would leave it out without a word.
pub fn indexed(v: &ClusterState) {
    assert_eq!(*v.indexes(), index_afresh(v));
    for (machine, tasks) in &v.tasks_by_machine {
        let mut load = MachineUsage::default();
        for (job, _) in tasks.keys() {
            load.add(&v.jobs[job].spec);
        }
        assert_eq!(v.usage(machine), load, "{machine}");
    }
}

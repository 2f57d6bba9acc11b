//! In-memory cluster: its state, and operations that change it as the state service would.

use crate::common::{self, LIMITS, machine_type};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::commit::{JobChange, stage};
use coppergw::jobs::model::{JobRecord, JobSpec, Resources, TaskBlock};
use coppergw::membership::{SHARD_COUNT, Shard};
use coppergw::scheduling::{SchedulableMachine, SchedulingInput, schedule};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::{encode, to_value};
use foldhash::{HashMap, HashSet, HashSetExt};

/// Returns a job with `tasks` tasks, each with the given whole numbers of CPUs and GPUs.
pub(crate) fn job_spec(
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    cpus: i64,
    gpus: i64,
) -> JobSpec {
    JobSpec {
        priority,
        resources: Resources {
            cpus: cpus * 1000,
            gpus: gpus * 1000,
            memory: 1000,
            heartbeat_bytes: 0,
        },
        estimated_run_time: 20 * SECOND,
        submitted_at: 400 * SECOND,
        ..common::spec(kind, tasks)
    }
}

pub(crate) struct Cluster {
    pub state: ClusterState,
    pub revision: u64,
}

impl Cluster {
    /// Creates a cluster with one machine in state `Up` for each entry: whether it has GPUs, and whether it is spot.
    pub(crate) fn new(machines: &[(bool, bool)]) -> Cluster {
        let mut cluster = Cluster {
            state: ClusterState::default(),
            revision: 0,
        };
        let machine_types = vec![
            machine_type("cpu", 16.0, 0.0),
            machine_type("gpu", 24.0, 2.0),
        ];
        cluster.put(keys::MACHINE_TYPES.into(), to_value(&machine_types));
        for number in 0..SHARD_COUNT {
            let shard = Shard {
                owner: "n".into(),
                lease: 1,
                term: 1,
            };
            cluster.put(keys::shard(number), to_value(&shard));
        }
        for (number, (gpu, spot)) in machines.iter().enumerate() {
            let machine = MachineRecord {
                machine_type: if *gpu { "gpu" } else { "cpu" }.into(),
                zone: "a".into(),
                spot: *spot,
                address: None,
                session: 1,
                state: MachineState::Up,
                provisioned_at: 0,
            };
            let key = keys::machine(&format!("m-{number:06}"));
            cluster.put(key, to_value(&machine));
        }
        cluster
    }

    pub(crate) fn put(&mut self, key: String, value: ciborium::Value) {
        self.revision += 1;
        self.state.put(&key, &value, self.revision);
    }

    pub(crate) fn delete(&mut self, key: &str) {
        self.revision += 1;
        self.state.delete(key, self.revision);
    }

    pub(crate) fn put_job(&mut self, id: &str, spec: JobSpec) {
        let record = JobRecord(spec, TaskBlock::default());
        self.put(keys::job(id), to_value(&record));
    }

    /// Applies a transaction, and checks the indexes afterwards.
    pub(crate) fn apply(&mut self, transaction: &Transaction) {
        self.revision += 1;
        for mutation in &transaction.mutations {
            match mutation {
                Mutation::Put { key, value, .. } => self.state.put(key, value, self.revision),
                Mutation::Delete { key } => self.state.delete(key, self.revision),
            }
        }
        common::indexed(&self.state);
    }

    /// Returns the decisions of the scheduler; `released_resources` holds resources of task exits that are not
    /// written yet.
    pub(crate) fn schedule(
        &self,
        released_resources: &HashMap<MachineId, Resources>,
    ) -> Vec<JobChange> {
        self.schedule_for_owner(released_resources, &|_| true)
    }

    /// Returns the decisions of a controller that owns only the machines selected by `owns_machine`.
    pub(crate) fn schedule_for_owner(
        &self,
        released_resources: &HashMap<MachineId, Resources>,
        owns_machine: &dyn Fn(&str) -> bool,
    ) -> Vec<JobChange> {
        let schedulable = |id: &MachineId, machine: &MachineRecord| {
            (machine.state == MachineState::Up).then_some(SchedulableMachine {
                session: machine.session,
                owned: owns_machine(id),
            })
        };
        let wall_clock = 401 * SECOND;
        schedule(&SchedulingInput {
            owns_machine,
            ..SchedulingInput::of_whole_cluster(
                &self.state,
                wall_clock,
                &schedulable,
                released_resources,
            )
        })
        .changes
    }

    /// Applies changes and checks every transaction against the limits of the state service.
    pub(crate) fn apply_changes(&mut self, changes: &[JobChange]) {
        for staged in stage(&self.state, changes, &HashSet::new(), &|_| false, LIMITS) {
            let transaction = &staged.transaction;
            assert!(transaction.mutations.len() <= 16 && transaction.preconditions.len() <= 64);
            assert!(
                encode(transaction).len() <= 64 * 1024,
                "transaction too large"
            );
            for mutation in &transaction.mutations {
                if let Mutation::Put { value, .. } = mutation {
                    assert!(encode(value).len() <= 32 * 1024, "value too large");
                }
            }
            self.apply(transaction);
        }
    }
}

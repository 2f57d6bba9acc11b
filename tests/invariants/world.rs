//! The simulated world: its components, its clock, and the actions of users and tasks.

use crate::common::{self, Store};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::model::{JobRecord, JobSpec};
use coppergw::membership::{LAYOUT_VERSION, LayoutVersion, shard_of};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::worker::{Command, ExitReason, Heartbeat, TaskStatus};
use coppergw::workers::WorkerState;
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;

/// Duration of a lease of a worker.
pub(crate) const LEASE_DURATION: Micros = 18 * SECOND;
/// Time within which the tasks of a cancelled job end.
pub(crate) const CANCEL_TIMEOUT: Micros = 48 * SECOND;
/// Time after which a task of an incomplete gang exits.
pub(crate) const GANG_WAIT_TIMEOUT: Micros = 40 * SECOND;
pub(crate) const CONTROLLER_COUNT: usize = 3;
/// Every job whose number is a multiple of this is a gang.
pub(crate) const JOBS_PER_GANG: u32 = 5;
/// Tasks of each gang.
pub(crate) const TASKS_PER_GANG: u32 = 3;

#[derive(Clone)]
pub(crate) struct SimulatedTask {
    pub(crate) attempt: u64,
    pub(crate) status: TaskStatus,
    pub(crate) reason: Option<ExitReason>,
    pub(crate) started_at: Micros,
}

impl SimulatedTask {
    pub(crate) fn exit(&mut self, reason: ExitReason) {
        self.status = TaskStatus::Exited;
        self.reason = Some(reason);
    }
}

pub(crate) struct SimulatedWorker {
    pub(crate) name: MachineId,
    pub(crate) alive: bool,
    pub(crate) session: u64,
    pub(crate) sequence: u64,
    pub(crate) token: u64,
    pub(crate) lease_renewed_at: Micros,
    pub(crate) outbound_partition: bool,
    pub(crate) inbound_partition: bool,
    pub(crate) hung: bool,
    pub(crate) tasks: BTreeMap<String, SimulatedTask>,
}

pub(crate) struct SimulatedController {
    pub(crate) name: String,
    pub(crate) lease: u64,
    pub(crate) view: ClusterState,
    /// Number of entries of the change log that are in the view.
    pub(crate) log_position: usize,
    /// Time of the last complete read: the view holds each cancellation confirmed up to then.
    pub(crate) synced_at: Micros,
    /// Whether the state service refuses this controller.
    pub(crate) state_service_refuses: bool,
    pub(crate) machines: BTreeMap<MachineId, WorkerState>,
}

#[derive(Clone)]
pub(crate) enum DelayedMessage {
    Transaction(Transaction),
    CommandBatch(usize, u64, u64, Vec<Command>),
    Heartbeat(usize, Heartbeat),
}

pub(crate) struct World {
    pub(crate) now: Micros,
    pub(crate) store: Store,
    pub(crate) workers: Vec<SimulatedWorker>,
    pub(crate) controllers: Vec<SimulatedController>,
    pub(crate) delayed: Vec<DelayedMessage>,
    /// Id of the lease that was granted last.
    pub(crate) last_lease_id: u64,
    /// Number of jobs submitted.
    pub(crate) job_count: u32,
    /// Names of the tasks that completed.
    pub(crate) completed: HashSet<String>,
    /// Finished jobs, and whether each is done rather than cancelled.
    pub(crate) finished_jobs: HashMap<String, bool>,
    /// Time at which the cancellation of a job was confirmed to its user.
    pub(crate) cancelled_at: HashMap<String, Micros>,
    /// Number of tasks that started to run once their gang was complete.
    pub(crate) started_gang_tasks: u32,
    /// Attempts that a worker has started, by task and attempt.
    pub(crate) started_attempts: HashSet<(String, u64)>,
    /// Whether a copy of each direct call arrives after its reply.
    pub(crate) repeats_answered_calls: bool,
    /// Bytes by which the zone of a machine makes its heartbeats longer. The simulated heartbeats have a short one.
    pub(crate) zone_name_bytes: usize,
    /// Number of heartbeats that were not sent because they exceed the size limit of a message.
    pub(crate) oversized_heartbeats: u32,
}

pub(crate) fn machine_type() -> MachineType {
    common::machine_type("t", 4.0, 0.0)
}

/// Returns the record of a machine in its first session.
pub(crate) fn machine_record(state: MachineState) -> MachineRecord {
    MachineRecord {
        machine_type: "t".into(),
        zone: "z".into(),
        spot: false,
        address: None,
        session: 1,
        state,
        provisioned_at: 0,
    }
}

pub(crate) fn spec(kind: JobKind, tasks: u32, at: Micros) -> JobSpec {
    JobSpec {
        priority: if kind == JobKind::Service {
            Priority::Production
        } else {
            Priority::Normal
        },
        allow_spot: false,
        submitted_at: at,
        ..common::spec(kind, tasks)
    }
}

impl SimulatedController {
    /// Returns a controller whose process has just started.
    fn new(name: String) -> SimulatedController {
        SimulatedController {
            name,
            lease: 0,
            view: ClusterState::default(),
            log_position: 0,
            synced_at: 0,
            state_service_refuses: false,
            machines: BTreeMap::new(),
        }
    }
}

impl World {
    pub(crate) fn new() -> World {
        World::with_machines(&machine_type(), 4)
    }

    /// Returns a world with machines of one type.
    pub(crate) fn with_machines(machine_type: &MachineType, machine_count: u32) -> World {
        let longest_zone = machine_type.zones.iter().map(String::len).max();
        let mut world = World {
            now: 1000 * SECOND,
            store: Store::default(),
            workers: Vec::new(),
            controllers: Vec::new(),
            delayed: Vec::new(),
            last_lease_id: 0,
            job_count: 0,
            completed: HashSet::new(),
            finished_jobs: HashMap::new(),
            cancelled_at: HashMap::new(),
            started_gang_tasks: 0,
            started_attempts: HashSet::new(),
            repeats_answered_calls: false,
            zone_name_bytes: longest_zone.unwrap_or(0),
            oversized_heartbeats: 0,
        };
        world
            .store
            .put(keys::MACHINE_TYPES.into(), &vec![machine_type]);
        for _ in 0..machine_count {
            world.add_machine();
        }
        for controller_index in 0..CONTROLLER_COUNT {
            let name = format!("n{controller_index}");
            world.controllers.push(SimulatedController::new(name));
            world.sync(controller_index);
            world.claim_shards(controller_index);
        }
        world
    }

    pub(crate) fn add_machine(&mut self) {
        let name: MachineId = format!("m-{:06}", self.workers.len()).into();
        self.store
            .put(keys::machine(&name), &machine_record(MachineState::Up));
        self.workers.push(SimulatedWorker {
            name,
            alive: true,
            session: 1,
            sequence: 0,
            token: 0,
            lease_renewed_at: self.now,
            outbound_partition: false,
            inbound_partition: false,
            hung: false,
            tasks: BTreeMap::new(),
        });
    }

    /// Lets the lease of a controller expire, which goes on without noticing it.
    pub(crate) fn expire_member_lease(&mut self, controller_index: usize) {
        let key = keys::member(&self.controllers[controller_index].name);
        self.store.apply(&Transaction {
            preconditions: vec![],
            mutations: vec![Mutation::Delete { key }],
        });
    }

    /// Returns the first controller that owns the shard of a machine, according to its own view.
    pub(crate) fn owner_of(&self, worker_index: usize) -> Option<usize> {
        let shard = shard_of(&self.workers[worker_index].name);
        (0..CONTROLLER_COUNT).find(|controller_index| self.term(*controller_index, shard).is_some())
    }

    /// Replaces a controller by a new process of the same name. A refusing state service goes on refusing it.
    pub(crate) fn restart_controller(&mut self, controller_index: usize) {
        let controller = &mut self.controllers[controller_index];
        let refused = controller.state_service_refuses;
        *controller = SimulatedController::new(controller.name.clone());
        controller.state_service_refuses = refused;
    }

    /// Advances the clock and expires leases of workers.
    pub(crate) fn advance_time(&mut self, span: Micros) {
        self.now += span;
        self.check_cancelled_tasks_ended();
        for worker in &mut self.workers {
            if worker.alive && self.now - worker.lease_renewed_at > LEASE_DURATION {
                worker.session += 1;
                worker.lease_renewed_at = self.now;
                worker.tasks.clear();
            }
        }
    }

    /// Puts the layout of this version into force, as once every controller supports it.
    pub(crate) fn put_layout(&mut self) {
        let layout = LayoutVersion {
            layout_version: LAYOUT_VERSION,
        };
        self.store.put(keys::LAYOUT.into(), &layout);
    }

    /// Cancels a job and confirms it to its user at once.
    pub(crate) fn cancel(&mut self, job: &str) {
        let (value, _) = &self.store.keys[&keys::job(job)];
        let JobRecord(mut spec, block): JobRecord = value.deserialized().expect("job");
        spec.cancelled = true;
        self.store.put(keys::job(job), &JobRecord(spec, block));
        self.cancelled_at.entry(job.to_string()).or_insert(self.now);
    }

    /// Completes a task, or all tasks of its gang at once.
    pub(crate) fn complete(&mut self, task: &str, attempt: u64) {
        let (job, _) = task.split_once('/').expect("task name");
        let is_in_gang = is_gang(job);
        let is_running_task = |name: &str, running: &SimulatedTask| {
            name.split_once('/')
                .is_some_and(|(name_job, _)| name_job == job)
                && running.attempt == attempt
                && running.status == TaskStatus::Running
        };
        let responsive = self
            .workers
            .iter()
            .filter(|worker| worker.alive && !worker.hung);
        let running_peers: usize = responsive
            .map(|worker| {
                worker
                    .tasks
                    .iter()
                    .filter(|(name, running)| is_running_task(name, running))
                    .count()
            })
            .sum();
        if is_in_gang && running_peers < TASKS_PER_GANG as usize {
            // The gang is incomplete; its running tasks exit when the gangs are advanced.
            return;
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            for (name, running) in &mut worker.tasks {
                let is_peer = is_in_gang
                    && name
                        .split_once('/')
                        .is_some_and(|(name_job, _)| name_job == job);
                let is_running_attempt =
                    running.status == TaskStatus::Running && running.attempt == attempt;
                if (name == task || is_peer) && is_running_attempt {
                    running.exit(ExitReason::Done);
                    self.completed.insert(name.clone());
                }
            }
        }
    }
}

/// Returns whether a job is a gang. The job number encodes it, so that it is known after the record is deleted.
pub(crate) fn is_gang(job: &str) -> bool {
    let number = job.strip_prefix("req-").and_then(|n| n.parse().ok());
    number.is_some_and(|n: u32| n.is_multiple_of(JOBS_PER_GANG))
}

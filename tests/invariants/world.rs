//! The simulated world: its parts, time, and what users and tasks do.

use crate::common::{self, Store};
use coppergw::autoscaler::model::{MachineRecord, MachineState};
use coppergw::ids::MachineId;
use coppergw::jobs::model::{JobRecord, JobSpec};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::cloud::MachineType;
use coppergw::wire::state::Transaction;
use coppergw::wire::user::{JobKind, Priority};
use coppergw::wire::worker::{Command, ExitReason, Heartbeat, TaskStatus};
use coppergw::workers::WorkerState;
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;

pub(crate) const LEASE: Micros = 18 * SECOND;
pub(crate) const CANCEL: Micros = 48 * SECOND;
/// A gang of which not all came exits after this.
pub(crate) const GANG_WAIT: Micros = 40 * SECOND;
pub(crate) const CONTROLLERS: usize = 3;
/// One job in so many is a gang, of so many tasks.
pub(crate) const GANG_EVERY: u32 = 5;
pub(crate) const GANG_TASKS: u32 = 3;

#[derive(Clone)]
pub(crate) struct SimulatedTask {
    pub(crate) attempt: u64,
    pub(crate) status: TaskStatus,
    pub(crate) reason: Option<ExitReason>,
    pub(crate) since: Micros,
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
    pub(crate) seen: usize,
    /// When it heard of everything last: up to then it knows of every cancellation.
    pub(crate) synced_at: Micros,
    /// The state service refuses it.
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
    pub(crate) leases: u64,
    pub(crate) jobs: u32,
    pub(crate) completed: HashSet<String>,
    pub(crate) finished_jobs: HashMap<String, bool>,
    /// Jobs whose cancellation was confirmed to their users, and when.
    pub(crate) cancelled_at: HashMap<String, Micros>,
    /// Tasks of gangs that began once their gang was complete.
    pub(crate) gangs_started: u32,
}

pub(crate) fn machine_type() -> MachineType {
    common::machine_type("t", 4.0, 0.0)
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

impl World {
    pub(crate) fn new() -> World {
        let mut world = World {
            now: 1000 * SECOND,
            store: Store::default(),
            workers: Vec::new(),
            controllers: Vec::new(),
            delayed: Vec::new(),
            leases: 0,
            jobs: 0,
            completed: HashSet::new(),
            finished_jobs: HashMap::new(),
            cancelled_at: HashMap::new(),
            gangs_started: 0,
        };
        world.store.put(keys::TYPES.into(), &vec![machine_type()]);
        for _ in 0..4 {
            world.add_machine();
        }
        for controller_index in 0..CONTROLLERS {
            world.controllers.push(SimulatedController {
                name: format!("n{controller_index}"),
                lease: 0,
                view: ClusterState::default(),
                seen: 0,
                synced_at: 0,
                state_service_refuses: false,
                machines: BTreeMap::new(),
            });
            world.sync(controller_index);
            world.claim_shards(controller_index);
        }
        world
    }

    pub(crate) fn add_machine(&mut self) {
        let name: MachineId = format!("m-{:06}", self.workers.len()).into();
        self.store.put(
            keys::machine(&name),
            &MachineRecord {
                machine_type: "t".into(),
                zone: "z".into(),
                spot: false,
                address: None,
                session: 1,
                state: MachineState::Up,
                rented_at: 0,
            },
        );
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

    pub(crate) fn pass_time(&mut self, span: Micros) {
        self.now += span;
        self.check_cancelled_are_gone();
        for worker in &mut self.workers {
            if worker.alive && self.now - worker.lease_renewed_at > LEASE {
                worker.session += 1;
                worker.lease_renewed_at = self.now;
                worker.tasks.clear();
            }
        }
    }

    /// A job is cancelled, and its user is told at that moment.
    pub(crate) fn cancel(&mut self, job: &str) {
        let (value, _) = &self.store.keys[&keys::job(job)];
        let JobRecord(mut spec, first): JobRecord = value.deserialized().expect("job");
        spec.cancelled = true;
        self.store.put(keys::job(job), &JobRecord(spec, first));
        self.cancelled_at.entry(job.to_string()).or_insert(self.now);
    }

    /// A task completes; a gang does as a whole.
    pub(crate) fn complete(&mut self, task: &str, attempt: u64) {
        let (job, _) = task.split_once('/').expect("task name");
        let gang = is_gang(job);
        let is_running_task = |name: &str, running: &SimulatedTask| {
            name.split_once('/').is_some_and(|(j, _)| j == job)
                && running.attempt == attempt
                && running.status == TaskStatus::Running
        };
        let able = self
            .workers
            .iter()
            .filter(|worker| worker.alive && !worker.hung);
        let there: usize = able
            .map(|worker| {
                worker
                    .tasks
                    .iter()
                    .filter(|(name, running)| is_running_task(name, running))
                    .count()
            })
            .sum();
        if gang && there < GANG_TASKS as usize {
            // The others will notice.
            return;
        }
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            for (name, running) in &mut worker.tasks {
                let peer = gang && name.split_once('/').is_some_and(|(j, _)| j == job);
                let hit = running.status == TaskStatus::Running && running.attempt == attempt;
                if (name == task || peer) && hit {
                    running.exit(ExitReason::Done);
                    self.completed.insert(name.clone());
                }
            }
        }
    }
}

/// That a job is a gang is in its number, so that it is known when its record is gone.
pub(crate) fn is_gang(job: &str) -> bool {
    let number = job.strip_prefix("req-").and_then(|n| n.parse().ok());
    number.is_some_and(|n: u32| n.is_multiple_of(GANG_EVERY))
}

//! Generated events: what may happen next, and how everything settles once failures end.

use crate::world::{
    CONTROLLERS, DelayedMessage, GANG_EVERY, GANG_TASKS, SimulatedController, SimulatedWorker,
    World, spec,
};
use coppergw::jobs::model::{JobId, JobRecord, TaskBlock};
use coppergw::membership::shard_of;
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::JobKind;
use coppergw::wire::worker::{ExitReason, TaskStatus};
use std::collections::BTreeMap;

impl World {
    pub(crate) fn step(&mut self, op: u8, first: u8, second: u8) {
        let controller_index = first as usize % CONTROLLERS;
        let worker_index = second as usize % self.workers.len();
        match op % 16 {
            0 | 1 => self.sync(controller_index),
            2 => {
                self.sync(controller_index);
                self.claim_shards(controller_index);
                self.sync(controller_index);
            }
            3..=5 => self.reconcile_pass(controller_index, second),
            6..=8 => {
                // Mostly to the owner.
                let shard = shard_of(&self.workers[worker_index].name);
                let owner = (0..CONTROLLERS)
                    .find(|controller_index| self.term(*controller_index, shard).is_some());
                self.exchange_heartbeat(
                    worker_index,
                    owner
                        .filter(|_| !first.is_multiple_of(8))
                        .unwrap_or(controller_index),
                    first / 8,
                );
            }
            9 | 10 => self.call_directly(controller_index, worker_index, first / 3),
            11 => self.deliver_delayed(second as usize),
            12 => self.pass_time(u64::from(first % 64) * SECOND / 8),
            13 => self.fail(first, controller_index, worker_index),
            14 => self.complete_one(worker_index),
            _ => self.submit_or_cancel(first, second),
        }
        self.advance_gangs();
        self.check_records();
    }

    /// One failure: a lease expires, its controller knowing or not; a controller restarts; a machine is taken
    /// back; a partition outbound or inbound begins or heals; a machine hangs, or goes on; the state
    /// service refuses a controller, or no more; a task fails.
    pub(crate) fn fail(&mut self, first: u8, controller_index: usize, worker_index: usize) {
        match first % 8 {
            0 => {
                let key = keys::member(&self.controllers[controller_index].name);
                self.store.apply(&Transaction {
                    preconditions: vec![],
                    mutations: vec![Mutation::Delete { key }],
                });
            }
            1 => {
                let name = self.controllers[controller_index].name.clone();
                self.controllers[controller_index] = SimulatedController {
                    name,
                    lease: 0,
                    view: ClusterState::default(),
                    seen: 0,
                    synced_at: 0,
                    state_service_refuses: self.controllers[controller_index].state_service_refuses,
                    machines: BTreeMap::new(),
                };
            }
            2 => {
                let key = keys::machine(&self.workers[worker_index].name);
                self.workers[worker_index].alive = false;
                self.workers[worker_index].tasks.clear();
                self.store.apply(&Transaction {
                    preconditions: vec![],
                    mutations: vec![Mutation::Delete { key }],
                });
                self.add_machine();
            }
            3 => self.workers[worker_index].outbound_partition ^= true,
            4 => self.workers[worker_index].inbound_partition ^= true,
            5 => self.workers[worker_index].hung ^= true,
            6 => self.controllers[controller_index].state_service_refuses ^= true,
            _ => {
                let mut tasks = self.workers[worker_index].tasks.values_mut();
                if let Some(task) = tasks.find(|task| task.status == TaskStatus::Running) {
                    task.exit(ExitReason::Error);
                }
            }
        }
    }

    /// The first task that runs on a machine completes.
    pub(crate) fn complete_one(&mut self, worker_index: usize) {
        let runs = |worker: &SimulatedWorker| {
            let mut list = worker
                .tasks
                .iter()
                .filter(|(_, task)| task.status == TaskStatus::Running);
            list.next().map(|(name, task)| (name.clone(), task.attempt))
        };
        let worker = &self.workers[worker_index];
        if let (Some((name, attempt)), false) = (runs(worker), worker.hung || !worker.alive) {
            self.complete(&name, attempt);
        }
    }

    /// A new job, or the cancellation of one that may exist.
    pub(crate) fn submit_or_cancel(&mut self, first: u8, second: u8) {
        let job: JobId = format!("req-{}", u32::from(second) % self.jobs.max(1))
            .as_str()
            .into();
        let key = keys::job(&job);
        if !second.is_multiple_of(4) || self.jobs == 0 {
            let kind = [JobKind::Array, JobKind::Service, JobKind::Array][first as usize % 3];
            let job_spec = match self.jobs % GANG_EVERY {
                0 => spec(JobKind::Gang, GANG_TASKS, self.now),
                _ => spec(kind, 1 + u32::from(first % 3), self.now),
            };
            self.store.put(
                keys::job(&format!("req-{}", self.jobs)),
                &JobRecord(job_spec, TaskBlock::default()),
            );
            self.jobs += 1;
        } else if self.store.keys.contains_key(&key) {
            self.cancel(&job);
        }
    }

    pub(crate) fn deliver_delayed(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        // Some arrive once more.
        let again = index >= 192 && self.delayed.len() < 50;
        let index = index % self.delayed.len();
        let delayed = match again {
            true => self.delayed[index].clone(),
            false => self.delayed.remove(index),
        };
        match delayed {
            DelayedMessage::Transaction(transaction) => {
                self.store.apply(&transaction);
            }
            DelayedMessage::CommandBatch(worker_index, term, session, list) => {
                match self.workers[worker_index].hung {
                    true => self.delayed.push(DelayedMessage::CommandBatch(
                        worker_index,
                        term,
                        session,
                        list,
                    )),
                    false => self.deliver_commands(worker_index, term, session, &list),
                }
            }
            DelayedMessage::Heartbeat(controller_index, heartbeat) => {
                self.answer_heartbeat(controller_index, &heartbeat);
            }
        }
    }

    /// Without further failures everything that can end does.
    pub(crate) fn settle(&mut self) {
        self.delayed.clear();
        self.controllers
            .iter_mut()
            .for_each(|controller| controller.state_service_refuses = false);
        for worker in &mut self.workers {
            (
                worker.outbound_partition,
                worker.inbound_partition,
                worker.hung,
            ) = (false, false, false);
        }
        // Services would keep their resources for ever.
        let service = |value: &ciborium::Value| {
            let JobRecord(spec, _) = value.deserialized().expect("job");
            spec.kind == JobKind::Service
        };
        let jobs = self.store.keys.iter().filter_map(|(key, (value, _))| {
            let id = key.strip_prefix("c/job/").filter(|_| service(value))?;
            Some(id.to_string())
        });
        for id in jobs.collect::<Vec<String>>() {
            self.cancel(&id);
        }
        for _ in 0..80 {
            for controller_index in 0..CONTROLLERS {
                self.sync(controller_index);
                self.claim_shards(controller_index);
                self.sync(controller_index);
                self.reconcile_pass(controller_index, 1);
                self.sync(controller_index);
            }
            for worker_index in 0..self.workers.len() {
                let shard = shard_of(&self.workers[worker_index].name);
                if let Some(controller_index) = (0..CONTROLLERS)
                    .find(|controller_index| self.term(*controller_index, shard).is_some())
                {
                    self.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
            for worker_index in 0..self.workers.len() * 4 {
                self.step(14, 0, (worker_index % self.workers.len()) as u8);
            }
            self.pass_time(SECOND);
        }
    }
}

//! Generated events, and recovery once the failures end.

use crate::world::{
    CONTROLLER_COUNT, DelayedMessage, JOBS_PER_GANG, SimulatedWorker, TASKS_PER_GANG, World, spec,
};
use coppergw::jobs::model::{JobId, JobRecord, TaskBlock};
use coppergw::store::keys;
use coppergw::time::SECOND;
use coppergw::wire::state::{Mutation, Transaction};
use coppergw::wire::user::JobKind;
use coppergw::wire::worker::{ExitReason, TaskStatus};

impl World {
    /// Executes one generated event, then checks the records.
    pub(crate) fn step(&mut self, operation: u8, selector: u8, argument: u8) {
        let controller_index = selector as usize % CONTROLLER_COUNT;
        let worker_index = argument as usize % self.workers.len();
        match operation % 16 {
            0 | 1 => self.sync(controller_index),
            2 => {
                self.sync(controller_index);
                self.claim_shards(controller_index);
                self.sync(controller_index);
            }
            3..=5 => self.reconcile_pass(controller_index, argument),
            6..=8 => {
                // Usually to the owner of the machine.
                let owner = self.owner_of(worker_index);
                self.exchange_heartbeat(
                    worker_index,
                    owner
                        .filter(|_| !selector.is_multiple_of(8))
                        .unwrap_or(controller_index),
                    selector / 8,
                );
            }
            9 | 10 => self.send_direct_call(controller_index, worker_index, selector / 3),
            11 => self.deliver_delayed(argument as usize),
            12 => self.advance_time(u64::from(selector % 64) * SECOND / 8),
            13 => self.inject_failure(selector, controller_index, worker_index),
            14 => self.complete_first_running_task(worker_index),
            _ => self.submit_or_cancel(selector, argument),
        }
        self.advance_gangs();
        self.check_records();
    }

    /// Injects one failure: a lease expires, noticed by its controller or not; a controller restarts; a machine is
    /// reclaimed; an outbound or inbound partition starts or ends; a machine hangs or resumes; the state service
    /// starts or stops refusing a controller; a task fails.
    pub(crate) fn inject_failure(
        &mut self,
        selector: u8,
        controller_index: usize,
        worker_index: usize,
    ) {
        match selector % 8 {
            0 => self.expire_member_lease(controller_index),
            1 => self.restart_controller(controller_index),
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

    /// Completes the first running task of a machine.
    pub(crate) fn complete_first_running_task(&mut self, worker_index: usize) {
        let first_running = |worker: &SimulatedWorker| {
            let mut running = worker
                .tasks
                .iter()
                .filter(|(_, task)| task.status == TaskStatus::Running);
            running
                .next()
                .map(|(name, task)| (name.clone(), task.attempt))
        };
        let worker = &self.workers[worker_index];
        if let (Some((name, attempt)), false) =
            (first_running(worker), worker.hung || !worker.alive)
        {
            self.complete(&name, attempt);
        }
    }

    /// Submits a new job, or cancels an earlier one if it still has a record.
    pub(crate) fn submit_or_cancel(&mut self, selector: u8, argument: u8) {
        let job: JobId = format!("req-{}", u32::from(argument) % self.job_count.max(1))
            .as_str()
            .into();
        let key = keys::job(&job);
        if !argument.is_multiple_of(4) || self.job_count == 0 {
            let kind = [JobKind::Array, JobKind::Service, JobKind::Array][selector as usize % 3];
            let job_spec = match self.job_count % JOBS_PER_GANG {
                0 => spec(JobKind::Gang, TASKS_PER_GANG, self.now),
                _ => spec(kind, 1 + u32::from(selector % 3), self.now),
            };
            self.store.put(
                keys::job(&format!("req-{}", self.job_count)),
                &JobRecord(job_spec, TaskBlock::default()),
            );
            self.job_count += 1;
        } else if self.store.keys.contains_key(&key) {
            self.cancel(&job);
        }
    }

    /// Delivers a delayed message.
    pub(crate) fn deliver_delayed(&mut self, index: usize) {
        if self.delayed.is_empty() {
            return;
        }
        // Some messages are delivered twice.
        let redelivered = index >= 192 && self.delayed.len() < 50;
        let index = index % self.delayed.len();
        let delayed = match redelivered {
            true => self.delayed[index].clone(),
            false => self.delayed.remove(index),
        };
        match delayed {
            DelayedMessage::Transaction(transaction) => {
                self.store.apply(&transaction);
            }
            DelayedMessage::CommandBatch(worker_index, token, session, batch) => {
                match self.workers[worker_index].hung {
                    true => self.delayed.push(DelayedMessage::CommandBatch(
                        worker_index,
                        token,
                        session,
                        batch,
                    )),
                    false => self.deliver_commands(worker_index, token, session, &batch),
                }
            }
            DelayedMessage::Heartbeat(controller_index, heartbeat) => {
                self.answer_heartbeat(controller_index, &heartbeat);
            }
        }
    }

    /// Delivers each direct call that is on its way to a machine that does not hang. The calls remain on their way.
    pub(crate) fn deliver_copies(&mut self) {
        for message in self.delayed.clone() {
            let DelayedMessage::CommandBatch(worker_index, token, session, batch) = message else {
                continue;
            };
            if !self.workers[worker_index].hung {
                self.deliver_commands(worker_index, token, session, &batch);
            }
        }
    }

    /// Lets every controller read all changes, claim its shards and run a pass whose writes are applied at once.
    pub(crate) fn reconcile_all(&mut self) {
        for controller_index in 0..CONTROLLER_COUNT {
            self.sync(controller_index);
            self.claim_shards(controller_index);
            self.sync(controller_index);
            self.reconcile_pass(controller_index, 1);
            self.sync(controller_index);
        }
    }

    /// Ends all failures, cancels services, and runs until each job that can finish has finished.
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
        // Services never complete and would keep their resources.
        let is_service = |value: &ciborium::Value| {
            let JobRecord(spec, _) = value.deserialized().expect("job");
            spec.kind == JobKind::Service
        };
        let services = self.store.keys.iter().filter_map(|(key, (value, _))| {
            let id = key.strip_prefix("c/job/").filter(|_| is_service(value))?;
            Some(id.to_string())
        });
        for id in services.collect::<Vec<String>>() {
            self.cancel(&id);
        }
        for _ in 0..80 {
            self.reconcile_all();
            for worker_index in 0..self.workers.len() {
                if let Some(controller_index) = self.owner_of(worker_index) {
                    self.exchange_heartbeat(worker_index, controller_index, 2);
                }
            }
            for worker_index in 0..self.workers.len() * 4 {
                self.step(14, 0, (worker_index % self.workers.len()) as u8);
            }
            self.advance_time(SECOND);
        }
    }
}

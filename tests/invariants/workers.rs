//! What a worker does: sends heartbeats, executes commands, and runs gangs.

use crate::checks::assert_no_cancelled_start;
use crate::world::{CANCEL, DelayedMessage, GANG_TASKS, GANG_WAIT, SimulatedTask, World, is_gang};
use coppergw::wire::worker::{Command, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use coppergw::workers::{CommandChannel, HeartbeatSource, commands};
use foldhash::{HashMap, HashMapExt};

impl World {
    pub(crate) fn heartbeat(&mut self, worker_index: usize) -> Heartbeat {
        let worker = &mut self.workers[worker_index];
        worker.sequence += 1;
        Heartbeat {
            machine: worker.name.to_string(),
            address: String::new(),
            machine_type: "t".into(),
            zone: "z".into(),
            spot: false,
            session: worker.session,
            sequence: worker.sequence,
            fencing_token: worker.token,
            preemption_notice_s: None,
            tasks: worker
                .tasks
                .iter()
                .map(|(name, task)| ReportedTask {
                    task: name.clone(),
                    attempt: task.attempt,
                    status: task.status,
                    reason: task.reason,
                    saved: None,
                })
                .collect(),
        }
    }

    pub(crate) fn execute(&mut self, worker_index: usize, list: &[Command]) {
        for command in list {
            match command {
                Command::Start { task, attempt } => self.start(worker_index, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    if let Some(running) = self.workers[worker_index].tasks.get_mut(task)
                        && running.attempt == *attempt
                        && running.status != TaskStatus::Exited
                    {
                        running.exit(ExitReason::Stopped);
                    }
                }
                Command::Forget { task, attempt } => {
                    let tasks = &mut self.workers[worker_index].tasks;
                    if tasks.get(task).is_some_and(|running| {
                        running.attempt == *attempt && running.status == TaskStatus::Exited
                    }) {
                        tasks.remove(task);
                    }
                }
            }
        }
    }

    pub(crate) fn start(&mut self, worker_index: usize, task: &str, attempt: u64) {
        if self.workers[worker_index].tasks.contains_key(task) {
            return;
        }
        for (other_index, other) in self.workers.iter().enumerate() {
            let runs_there = other.alive
                && other
                    .tasks
                    .get(task)
                    .is_some_and(|t| t.status != TaskStatus::Exited);
            assert!(
                !runs_there,
                "ran_twice: {task} runs on {other_index} and is started on {worker_index}"
            );
        }
        let (job, _) = task.split_once('/').expect("task name");
        assert!(
            !self.finished_jobs.get(job).is_some_and(|done| *done),
            "{task} starts although its job is done"
        );
        let cancelled_at = self.cancelled_at.get(job).copied().unwrap_or(self.now);
        assert!(
            self.now <= cancelled_at + CANCEL,
            "{task} starts although cancelled"
        );
        let done = self.completed.contains(task);
        let gang = is_gang(job);
        self.workers[worker_index].tasks.insert(
            task.into(),
            SimulatedTask {
                attempt,
                status: match (done, gang) {
                    (true, _) => TaskStatus::Exited,
                    (false, true) => TaskStatus::Waiting,
                    (false, false) => TaskStatus::Running,
                },
                reason: done.then_some(ExitReason::Done),
                since: self.now,
            },
        );
    }

    /// Tasks of gangs find one another by their attempt: they begin when all are there, wait no longer than they
    /// may, and exit when one of them is gone.
    pub(crate) fn advance_gangs(&mut self) {
        let now = self.now;
        let mut present: HashMap<(String, u64), u32> = HashMap::new();
        let job_of = |name: &str| {
            name.split_once('/')
                .map(|(job, _)| job.to_string())
                .expect("task name")
        };
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for (name, task) in worker
                .tasks
                .iter()
                .filter(|(_, task)| task.status != TaskStatus::Exited)
            {
                *present.entry((job_of(name), task.attempt)).or_default() += 1;
            }
        }
        for worker_index in 0..self.workers.len() {
            let names: Vec<String> = self.workers[worker_index].tasks.keys().cloned().collect();
            for name in names {
                let job = job_of(&name);
                let hung = self.workers[worker_index].hung;
                let Some(task) = self.workers[worker_index].tasks.get_mut(&name) else {
                    continue;
                };
                let complete =
                    present.get(&(job.clone(), task.attempt)).copied() == Some(GANG_TASKS);
                if !is_gang(&job) || hung {
                    continue;
                }
                match task.status {
                    TaskStatus::Waiting if complete => {
                        task.status = TaskStatus::Running;
                        self.gangs_started += 1;
                    }
                    TaskStatus::Waiting if now - task.since > GANG_WAIT => {
                        task.exit(ExitReason::Incomplete);
                    }
                    TaskStatus::Running if !complete => task.exit(ExitReason::Peers),
                    _ => {}
                }
            }
        }
    }

    /// A worker sends a heartbeat to a controller; the answer comes back or is lost.
    pub(crate) fn exchange_heartbeat(
        &mut self,
        worker_index: usize,
        controller_index: usize,
        fate: u8,
    ) {
        if !self.workers[worker_index].alive
            || self.workers[worker_index].inbound_partition
            || self.workers[worker_index].hung
        {
            return;
        }
        let sent = self.now;
        let heartbeat = self.heartbeat(worker_index);
        if fate.is_multiple_of(8) {
            self.delayed
                .push(DelayedMessage::Heartbeat(controller_index, heartbeat));
            return;
        }
        if fate >= 24 {
            // A copy of it arrives again later.
            self.delayed.push(DelayedMessage::Heartbeat(
                controller_index,
                heartbeat.clone(),
            ));
        }
        let Some((token, list)) = self.answer_heartbeat(controller_index, &heartbeat) else {
            return;
        };
        let worker = &mut self.workers[worker_index];
        if fate % 8 == 1
            || worker.outbound_partition
            || token < worker.token
            || heartbeat.session != worker.session
        {
            return;
        }
        worker.token = token;
        worker.lease_renewed_at = sent;
        self.execute(worker_index, &list);
    }

    /// A direct call of a controller to one of its machines.
    pub(crate) fn call_directly(&mut self, controller_index: usize, worker_index: usize, fate: u8) {
        self.adopt_machines(controller_index);
        let id = self.workers[worker_index].name.clone();
        let controller = &mut self.controllers[controller_index];
        let Some(worker) = controller.machines.get_mut(&id) else {
            return;
        };
        let session = if worker.session > 0 {
            worker.session
        } else {
            1
        };
        let list = if worker.fenced() {
            commands(&controller.view, &id, worker, CommandChannel::Direct)
        } else {
            Vec::new()
        };
        worker.record_direct_starts(&list);
        let term = worker.term;
        assert_no_cancelled_start(&self.controllers[controller_index].view, &list);
        if self.workers[worker_index].outbound_partition {
            return;
        }
        if fate.is_multiple_of(4)
            || !self.workers[worker_index].alive
            || self.workers[worker_index].hung
        {
            self.delayed.push(DelayedMessage::CommandBatch(
                worker_index,
                term,
                session,
                list,
            ));
            return;
        }
        self.deliver_commands(worker_index, term, session, &list);
        if fate % 4 == 1 {
            return; // carried out, but the answer is lost
        }
        let reply = self.heartbeat(worker_index);
        let now = self.now;
        if let Some(worker) = self.controllers[controller_index].machines.get_mut(&id) {
            worker.acknowledge_direct(&list);
            worker.apply_heartbeat(&reply, HeartbeatSource::CommandReply, now);
        }
    }

    pub(crate) fn deliver_commands(
        &mut self,
        worker_index: usize,
        term: u64,
        session: u64,
        list: &[Command],
    ) {
        let worker = &mut self.workers[worker_index];
        if !worker.alive || term < worker.token || session != worker.session {
            return;
        }
        worker.token = term;
        self.execute(worker_index, list);
    }
}

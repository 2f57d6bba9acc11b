//! Actions of a worker: sends heartbeats, executes commands, and runs gangs.

use crate::checks::assert_no_cancelled_start;
use crate::world::{
    CANCEL_TIMEOUT, DelayedMessage, GANG_WAIT_TIMEOUT, SimulatedTask, TASKS_PER_GANG, World,
    is_gang,
};
use coppergw::wire::worker::{Command, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use coppergw::wire::{MAX_BODY_BYTES, json_size};
use coppergw::workers::{CommandChannel, HeartbeatSource, TokenFormat, commands};
use foldhash::{HashMap, HashMapExt};

/// Outcome of a direct call that is executed and answered, and whose copy arrives later, modulo 4.
pub(crate) const ANSWERED_AND_REPEATED: u8 = 3;

/// Returns the size of a heartbeat in JSON. Workers leave out fields that have no value.
fn heartbeat_bytes(heartbeat: &Heartbeat) -> usize {
    const WITHOUT_REASON: usize = r#","cause":null"#.len();
    const WITHOUT_SAVED: usize = r#","saved":null"#.len();
    let left_out = |task: &ReportedTask| {
        usize::from(task.reason.is_none()) * WITHOUT_REASON
            + usize::from(task.saved.is_none()) * WITHOUT_SAVED
    };
    json_size(heartbeat) - heartbeat.tasks.iter().map(left_out).sum::<usize>()
}

impl World {
    /// Returns the next heartbeat of a worker.
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

    /// Executes commands on a worker.
    pub(crate) fn execute(&mut self, worker_index: usize, batch: &[Command]) {
        for command in batch {
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

    /// Starts a task, after checks that it runs nowhere else, that this attempt of it did not start before, and that
    /// its job is neither done nor cancelled for longer than `CANCEL_TIMEOUT`.
    pub(crate) fn start(&mut self, worker_index: usize, task: &str, attempt: u64) {
        if self.workers[worker_index].tasks.contains_key(task) {
            return;
        }
        for (other_index, other) in self.workers.iter().enumerate() {
            let runs_there = other.alive
                && other
                    .tasks
                    .get(task)
                    .is_some_and(|task| task.status != TaskStatus::Exited);
            assert!(
                !runs_there,
                "ran_twice: {task} is running on {other_index} and is started on {worker_index}"
            );
        }
        assert!(
            self.started_attempts.insert((task.to_string(), attempt)),
            "attempt {attempt} of {task} starts again on {worker_index}"
        );
        let (job, _) = task.split_once('/').expect("task name");
        assert!(
            !self.finished_jobs.get(job).is_some_and(|done| *done),
            "{task} starts after its job is done"
        );
        let cancelled_at = self.cancelled_at.get(job).copied().unwrap_or(self.now);
        assert!(
            self.now <= cancelled_at + CANCEL_TIMEOUT,
            "{task} starts after its cancellation timeout"
        );
        let completed = self.completed.contains(task);
        let is_in_gang = is_gang(job);
        self.workers[worker_index].tasks.insert(
            task.into(),
            SimulatedTask {
                attempt,
                status: match (completed, is_in_gang) {
                    (true, _) => TaskStatus::Exited,
                    (false, true) => TaskStatus::Waiting,
                    (false, false) => TaskStatus::Running,
                },
                reason: completed.then_some(ExitReason::Done),
                started_at: self.now,
            },
        );
    }

    /// Advances tasks of gangs, which find their peers by attempt: they run once all have started, exit after
    /// `GANG_WAIT_TIMEOUT` if some are missing, and exit when a peer has ended.
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
                    present.get(&(job.clone(), task.attempt)).copied() == Some(TASKS_PER_GANG);
                if !is_gang(&job) || hung {
                    continue;
                }
                match task.status {
                    TaskStatus::Waiting if complete => {
                        task.status = TaskStatus::Running;
                        self.started_gang_tasks += 1;
                    }
                    TaskStatus::Waiting if now - task.started_at > GANG_WAIT_TIMEOUT => {
                        task.exit(ExitReason::Incomplete);
                    }
                    TaskStatus::Running if !complete => task.exit(ExitReason::Peers),
                    _ => {}
                }
            }
        }
    }

    /// Sends a heartbeat of a worker to a controller. The generated `outcome` selects whether it is delayed or also
    /// delivered a second time, and whether the answer is lost.
    pub(crate) fn exchange_heartbeat(
        &mut self,
        worker_index: usize,
        controller_index: usize,
        outcome: u8,
    ) {
        if !self.workers[worker_index].alive
            || self.workers[worker_index].inbound_partition
            || self.workers[worker_index].hung
        {
            return;
        }
        let sent_at = self.now;
        let heartbeat = self.heartbeat(worker_index);
        if heartbeat_bytes(&heartbeat) + self.zone_name_bytes > MAX_BODY_BYTES {
            // No request may be larger, so the worker cannot send it.
            self.oversized_heartbeats += 1;
            return;
        }
        if outcome.is_multiple_of(8) {
            self.delayed
                .push(DelayedMessage::Heartbeat(controller_index, heartbeat));
            return;
        }
        if outcome >= 24 {
            // A duplicate arrives later.
            self.delayed.push(DelayedMessage::Heartbeat(
                controller_index,
                heartbeat.clone(),
            ));
        }
        let Some((token, batch)) = self.answer_heartbeat(controller_index, &heartbeat) else {
            return;
        };
        let worker = &mut self.workers[worker_index];
        if outcome % 8 == 1
            || worker.outbound_partition
            || token < worker.token
            || heartbeat.session != worker.session
        {
            return;
        }
        worker.token = token;
        worker.lease_renewed_at = sent_at;
        self.execute(worker_index, &batch);
    }

    /// Sends commands of a controller directly to one of its machines. The generated `outcome` selects whether they
    /// are delayed, whether the reply is lost, and whether a copy arrives once more after the reply.
    pub(crate) fn send_direct_call(
        &mut self,
        controller_index: usize,
        worker_index: usize,
        outcome: u8,
    ) {
        self.track_owned_machines(controller_index);
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
        let batch = if worker.fenced() {
            commands(&controller.view, &id, worker, CommandChannel::Direct)
        } else {
            Vec::new()
        };
        worker.record_direct_starts(&batch);
        let token = worker
            .token()
            .to_wire(TokenFormat::in_use(&controller.view));
        assert_no_cancelled_start(&self.controllers[controller_index].view, &batch);
        if self.workers[worker_index].outbound_partition {
            return;
        }
        if outcome.is_multiple_of(4)
            || !self.workers[worker_index].alive
            || self.workers[worker_index].hung
        {
            self.delayed.push(DelayedMessage::CommandBatch(
                worker_index,
                token,
                session,
                batch,
            ));
            return;
        }
        self.deliver_commands(worker_index, token, session, &batch);
        if outcome % 4 == 1 {
            return; // The commands are executed, but the reply is lost.
        }
        let has_start = batch
            .iter()
            .any(|command| matches!(command, Command::Start { .. }));
        let is_repeated = outcome % 4 == ANSWERED_AND_REPEATED || self.repeats_answered_calls;
        if has_start && is_repeated {
            let copy = DelayedMessage::CommandBatch(worker_index, token, session, batch.clone());
            self.delayed.push(copy);
        }
        let reply = self.heartbeat(worker_index);
        let now = self.now;
        if let Some(worker) = self.controllers[controller_index].machines.get_mut(&id) {
            worker.acknowledge_direct_commands(&batch);
            worker.apply_heartbeat(&reply, HeartbeatSource::CommandReply, now);
        }
    }

    /// Executes commands on a worker unless their fencing token or session is outdated.
    pub(crate) fn deliver_commands(
        &mut self,
        worker_index: usize,
        token: u64,
        session: u64,
        batch: &[Command],
    ) {
        let worker = &mut self.workers[worker_index];
        if !worker.alive || token < worker.token || session != worker.session {
            return;
        }
        worker.token = token;
        self.execute(worker_index, batch);
    }
}

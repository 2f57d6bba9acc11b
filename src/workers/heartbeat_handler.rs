//! Answers to the periodic heartbeats of workers.
//!
//! An answer renews the worker's lease and carries commands. Only the owner of the machine's shard
//! answers, and only while its view contains all cancellations up to a recent enough time.

use super::command_log::SentCommands;
use super::commands::{CommandChannel, commands};
use super::fencing_token::{FencingToken, TokenFormat};
use super::heartbeat::{HeartbeatOutcome, HeartbeatSource};
use super::liveness::may_answer_heartbeats;
use super::worker_state::WorkerState;
use crate::controller::{Controller, StartupMilestone};
use crate::ids::MachineId;
use crate::membership::shard_of;
use crate::store::cluster_state::ClusterState;
use crate::time::Micros;
use crate::wire::message_sizes::count_fitting_commands;
use crate::wire::server::Response;
use crate::wire::worker::{Command, CommandBatch, Heartbeat, LeaderRedirect};
use crate::wire::{MAX_BODY_BYTES, decode};

/// Answer to a periodic heartbeat, and the changes that resulted from the heartbeat.
struct PeriodicAnswer {
    outcome: HeartbeatOutcome,
    token: FencingToken,
    commands: Vec<Command>,
}

/// Returns the name of the controller to which a controller that does not own the shard redirects a
/// worker with this fencing token, or `None` if the owner is unknown. A token higher than the shard's
/// term in this view means that the view does not contain the newest owner yet. If such a view
/// redirected workers, a worker could go back and forth between two controllers with outdated views
/// until its lease expired and its tasks ended.
pub fn redirect_target<'a>(
    view: &'a ClusterState,
    own_name: &str,
    shard: u32,
    fencing_token: FencingToken,
) -> Option<&'a str> {
    let shard = view.shards.get(&shard)?;
    let owner_is_alive = view
        .members
        .get(&shard.owner)
        .is_some_and(|m| m.lease == shard.lease);
    (owner_is_alive && shard.owner != own_name && fencing_token.term <= shard.term)
        .then_some(shard.owner.as_str())
}

impl Controller {
    /// Answers a heartbeat.
    pub fn handle_heartbeat(self: &Controller, body: &[u8]) -> Response {
        let heartbeat: Heartbeat = match decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::debug!(%error, "heartbeat cannot be decoded");
                return Response::status(400);
            }
        };
        if body.len() > MAX_BODY_BYTES {
            let counters = &self.workers.counters;
            counters.record_oversized_heartbeat(&heartbeat, body.len());
        }
        if !self.watch_cache.loaded() {
            return Response::status(503);
        }
        let now = self.clock.now();
        let machine: MachineId = heartbeat.machine.as_str().into();
        let shard = shard_of(&machine);
        let view = self.watch_cache.view();
        let Some(term) = self.term(&view, shard) else {
            return self.redirect(&view, shard, &heartbeat, now);
        };
        if !self.may_answer(&heartbeat, term, now) {
            return Response::status(503);
        }
        let answer = self.apply_periodic(&view, &machine, term, &heartbeat, now);
        let changed = answer.outcome.changed;
        self.record_task_outcomes(&machine, answer.outcome, now);
        self.record_milestone(StartupMilestone::Heartbeat);
        self.record_first_start(&answer.commands);
        if changed || !view.machines.contains_key(&machine) {
            self.workers.changed.borrow_mut().insert(machine);
            self.watch_cache.notifier().notify();
        }
        Response::with_body(
            200,
            &CommandBatch {
                fencing_token: answer.token.to_wire(TokenFormat::in_use(&view)),
                session: None,
                commands: answer.commands,
            },
        )
    }

    /// Returns whether the owner of a shard with this term may answer a heartbeat: its view contains all cancellations
    /// up to a recent enough time, and the machine has no newer owner that the view does not contain yet.
    fn may_answer(&self, heartbeat: &Heartbeat, term: u64, now: Micros) -> bool {
        let (lease, cancel_within) = (self.settings.worker_lease, self.settings.cancel_within);
        may_answer_heartbeats(lease, cancel_within, self.cancellation_watermark(), now)
            && FencingToken::from_wire(heartbeat.fencing_token).term <= term
    }

    /// Applies a heartbeat that will be answered, and returns the content of the answer.
    fn apply_periodic(
        &self,
        view: &ClusterState,
        machine: &MachineId,
        term: u64,
        heartbeat: &Heartbeat,
        now: Micros,
    ) -> PeriodicAnswer {
        let mut machines = self.workers.machines.borrow_mut();
        let worker = machines
            .entry(machine.clone())
            .or_insert_with(|| WorkerState::new(term, now));
        if worker.term != term {
            *worker = WorkerState::new(term, now);
        }
        let newer = worker.is_newer(heartbeat);
        let outcome = worker.apply_heartbeat(heartbeat, HeartbeatSource::Periodic, now);
        // The answer to an old or repeated message has no commands, but it renews the lease.
        worker.heartbeat.last_answered_at = Some(now);
        // Usually a heartbeat repeats the previous one, and neither the machine's record nor its task
        // blocks have changed since, so that no commands need to be computed.
        let needs_commands =
            newer && (!worker.outstanding.quiescent || view.changed_machines.contains(machine));
        if !needs_commands {
            return PeriodicAnswer {
                outcome,
                token: worker.token(),
                commands: Vec::new(),
            };
        }
        let commands = self.commands_in_answer(view, machine, worker);
        PeriodicAnswer {
            outcome,
            token: worker.token(),
            commands,
        }
    }

    /// Returns the commands for the answer to a heartbeat, as far as they fit, and records them.
    fn commands_in_answer(
        &self,
        view: &ClusterState,
        machine: &MachineId,
        worker: &mut WorkerState,
    ) -> Vec<Command> {
        let token_before = worker.token();
        let mut due = commands(view, machine, worker, CommandChannel::HeartbeatAnswer);
        worker.outstanding.quiescent = due.is_empty() && !worker.has_withheld_commands();
        due.truncate(count_fitting_commands(&due));
        worker.outstanding.forgotten.record(&due);
        let counters = &self.workers.counters;
        counters.record_increments(token_before, worker.token());
        counters.record_withheld(worker);
        counters.record_sent(&SentCommands {
            view,
            machine,
            worker,
            channel: CommandChannel::HeartbeatAnswer,
            commands: &due,
        });
        due
    }

    /// Redirects a worker to the owner of its shard, or answers 503 if the owner is unknown.
    fn redirect(
        &self,
        view: &ClusterState,
        shard: u32,
        heartbeat: &Heartbeat,
        now: Micros,
    ) -> Response {
        let token = FencingToken::from_wire(heartbeat.fencing_token);
        let Some(target) = redirect_target(view, self.node_name(), shard, token) else {
            return Response::status(503);
        };
        self.workers
            .record_redirect(&heartbeat.machine, target, now);
        Response::with_body(
            421,
            &LeaderRedirect {
                report_to: Some(target.to_string()),
            },
        )
    }

    /// Records the startup milestone of the first task start, if `commands` contain a start.
    pub(super) fn record_first_start(&self, commands: &[Command]) {
        let is_start = |command: &Command| matches!(command, Command::Start { .. });
        if commands.iter().any(is_start) {
            self.record_milestone(StartupMilestone::Start);
        }
    }
}

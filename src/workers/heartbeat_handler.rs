//! Answering the periodic heartbeats of workers.
//!
//! An answer renews the worker's lease and carries commands. It is given only by the owner of the
//! machine's shard, and only while that owner knows of every cancellation early enough.

use super::commands::{CommandChannel, commands};
use super::heartbeat::{HeartbeatOutcome, HeartbeatSource};
use super::liveness::may_answer;
use super::worker_state::WorkerState;
use crate::controller::{Controller, StartupMilestone};
use crate::ids::MachineId;
use crate::membership::shard_of;
use crate::store::cluster_state::ClusterState;
use crate::time::Micros;
use crate::wire::decode;
use crate::wire::server::Response;
use crate::wire::worker::{Command, CommandBatch, Heartbeat, LeaderRedirect};

/// Commands in one message to a worker: it may hold 64 KiB.
pub(super) const MAX_COMMANDS_PER_MESSAGE: usize = 400;

/// The name of the controller to which a worker that shows this fencing token is redirected by one that
/// does not own its shard, if the owner is known. A token higher than the shard's term here means that
/// there is a newer owner of whom this view has not heard: redirected by such a view, a worker would
/// go back and forth between controllers that are both behind, until its lease ended its tasks.
pub fn redirect_target<'a>(
    view: &'a ClusterState,
    me: &str,
    shard: u32,
    fencing_token: u64,
) -> Option<&'a str> {
    let shard = view.shards.get(&shard)?;
    let owner_lives = view
        .members
        .get(&shard.owner)
        .is_some_and(|m| m.lease == shard.lease);
    (owner_lives && shard.owner != me && fencing_token <= shard.term)
        .then_some(shard.owner.as_str())
}

impl Controller {
    /// Answers a heartbeat.
    pub fn on_heartbeat(self: &Controller, body: &[u8]) -> Response {
        let heartbeat: Heartbeat = match decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                tracing::debug!(%error, "heartbeat cannot be decoded");
                return Response::status(400);
            }
        };
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
        let (lease, cancel_within) = (self.settings.worker_lease, self.settings.cancel_within);
        if !may_answer(lease, cancel_within, self.cancellation_watermark(), now) {
            return Response::status(503);
        }
        if heartbeat.fencing_token > term {
            // A newer owner drives this machine; our view is behind.
            return Response::status(503);
        }
        let (outcome, commands) = self.apply_periodic(&view, &machine, term, &heartbeat, now);
        let changed = outcome.changed;
        self.record_task_outcomes(&machine, outcome, now);
        self.record_milestone(StartupMilestone::Heartbeat);
        self.record_first_start(&commands);
        if changed || !view.machines.contains_key(&machine) {
            self.workers.changed.borrow_mut().insert(machine);
            self.watch_cache.notifier().notify();
        }
        Response::with(
            200,
            &CommandBatch {
                fencing_token: term,
                session: None,
                commands,
            },
        )
    }

    /// Applies a heartbeat that will be answered, and gives the commands for the answer.
    fn apply_periodic(
        &self,
        view: &ClusterState,
        machine: &MachineId,
        term: u64,
        heartbeat: &Heartbeat,
        now: Micros,
    ) -> (HeartbeatOutcome, Vec<Command>) {
        let mut machines = self.workers.machines.borrow_mut();
        let worker = machines
            .entry(machine.clone())
            .or_insert_with(|| WorkerState::new(term, now));
        if worker.term != term {
            *worker = WorkerState::new(term, now);
        }
        let newer = worker.is_newer(heartbeat);
        let outcome = worker.apply_heartbeat(heartbeat, HeartbeatSource::Periodic, now);
        // An old or repeated message gets no commands, but its answer renews the lease all the same.
        worker.heartbeat.last_answered_at = Some(now);
        // Most heartbeats say what the one before said, and nothing was written about the machine since.
        let look =
            newer && (!worker.outstanding.quiescent || view.changed_machines.contains(machine));
        if !look {
            return (outcome, Vec::new());
        }
        let mut list = commands(view, machine, worker, CommandChannel::HeartbeatAnswer);
        worker.outstanding.quiescent = list.is_empty();
        list.truncate(MAX_COMMANDS_PER_MESSAGE);
        (outcome, list)
    }

    /// Redirects a worker to the owner of its shard, if that is known.
    fn redirect(
        &self,
        view: &ClusterState,
        shard: u32,
        heartbeat: &Heartbeat,
        now: Micros,
    ) -> Response {
        let Some(to) = redirect_target(view, self.me(), shard, heartbeat.fencing_token) else {
            return Response::status(503);
        };
        self.workers.record_redirect(&heartbeat.machine, to, now);
        Response::with(
            421,
            &LeaderRedirect {
                report_to: Some(to.to_string()),
            },
        )
    }

    /// Notes the startup milestone of the first task start.
    pub(super) fn record_first_start(&self, commands: &[Command]) {
        let is_start = |command: &Command| matches!(command, Command::Start { .. });
        if commands.iter().any(is_start) {
            self.record_milestone(StartupMilestone::Start);
        }
    }
}

//! Sending commands to workers by direct calls, between their heartbeats.
//!
//! One call to a machine is in flight at a time. A call without commands shows the worker our fencing
//! token, and shows us that the machine lives. A start whose call gets no reply stays unacknowledged:
//! it may still be executed at any time.

use super::commands::{CommandChannel, commands};
use super::heartbeat::{HeartbeatOutcome, HeartbeatSource};
use super::heartbeat_handler::MAX_COMMANDS_PER_MESSAGE;
use super::liveness::latest_contact;
use super::probing::runs_replicas;
use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::client::ClientResponse;
use crate::wire::worker::{COMMANDS_PATH, Command, CommandBatch, Heartbeat};
use crate::wire::{WireError, decode, encode};
use foldhash::HashSet;
use http_types::Method;
use std::net::SocketAddr;
use std::rc::Rc;

/// A call with commands that gets no reply within this time counts as unanswered.
const COMMAND_TIMEOUT: Micros = SECOND;
/// The same for a call without commands: short, because a hung machine is found by it.
const PROBE_TIMEOUT: Micros = 2 * SECOND / 5;
/// For this long after a failed call starts go only into the answers to heartbeats, where none is
/// executed late.
const NO_DIRECT_STARTS_AFTER_FAILURE: Micros = 10 * SECOND;
/// The same direct command is not repeated sooner than this.
const REPEAT_INTERVAL: Micros = SECOND;
/// Calls in flight take at most this part of the connections: a controller that takes the whole fleet
/// over has every machine to call, and a connection from each besides.
const CALLS_DIVISOR_OF_CONNECTIONS: usize = 10;
/// Pause after a call that failed or was not sent.
const RETRY_AFTER_FAILURE: Micros = SECOND / 4;
/// Pause after the worker refused the commands, because of another session or a higher token.
const RETRY_AFTER_REFUSAL: Micros = SECOND / 2;
/// Pause after a reply that is no message of this worker.
const RETRY_AFTER_INVALID_REPLY: Micros = SECOND;

/// What holds for all machines in one dispatch.
struct Dispatch<'a> {
    view: &'a ClusterState,
    now: Micros,
    /// When any machine was last in contact, before the calls are sent.
    latest_contact: Micros,
    /// Silence after which machines with replicas are probed.
    probe_interval: Micros,
}

/// One direct call.
struct DirectCall {
    machine: MachineId,
    address: SocketAddr,
    term: u64,
    /// Session for which the commands are meant: the worker refuses them in any other.
    session: u64,
    /// When any machine was last in contact, before the call was sent.
    latest_contact: Micros,
    commands: Vec<Command>,
}

impl Controller {
    /// Sends commands where some are due, and our token alone where the worker does not hold it yet.
    /// `only`: to these machines; to all otherwise.
    pub fn dispatch_commands(
        self: &Rc<Controller>,
        now: Micros,
        only: Option<&HashSet<MachineId>>,
    ) {
        let view = self.watch_cache.view();
        let mut machines = self.workers.machines.borrow_mut();
        let dispatch = Dispatch {
            view: &view,
            now,
            latest_contact: latest_contact(&machines),
            probe_interval: self.workers.probe_interval(now),
        };
        if only.is_none() {
            self.workers.unsettled.borrow_mut().clear();
        }
        let ids: Vec<MachineId> = match only {
            Some(list) => list.iter().cloned().collect(),
            None => machines.keys().cloned().collect(),
        };
        let max_calls = self.settings.max_connections / CALLS_DIVISOR_OF_CONNECTIONS;
        let mut calls_left = max_calls.saturating_sub(self.http.used());
        for id in &ids {
            let Some(worker) = machines.get_mut(id) else {
                continue;
            };
            worker.outstanding.quiescent = false;
            worker.outstanding.recheck_after_call = worker.outstanding.in_flight;
            let Some(call) = self.due_call(&dispatch, id, worker) else {
                continue;
            };
            if calls_left == 0 {
                // The next pass goes on with it.
                self.workers.changed.borrow_mut().insert(id.clone());
                continue;
            }
            calls_left -= 1;
            self.send(worker, call, now);
        }
    }

    /// The call to make to a machine now, if any.
    fn due_call(
        &self,
        dispatch: &Dispatch<'_>,
        id: &MachineId,
        worker: &mut WorkerState,
    ) -> Option<DirectCall> {
        let record = dispatch.view.machines.get(id)?;
        let outstanding = &worker.outstanding;
        let callable = !outstanding.in_flight && dispatch.now >= outstanding.not_before;
        let address = worker.identity.address.filter(|_| callable)?;
        if matches!(record.state, MachineState::Booting) {
            return None;
        }
        let session = match worker.session {
            0 => record.session,
            session => session,
        };
        // Until the worker is fenced, the call only shows it our token.
        let commands = if worker.fenced() {
            self.due_commands(dispatch, id, worker)?
        } else {
            Vec::new()
        };
        Some(DirectCall {
            machine: id.clone(),
            address,
            term: worker.term,
            session,
            latest_contact: dispatch.latest_contact,
            commands,
        })
    }

    /// The commands for a call to a fenced machine; none if it need not be called.
    fn due_commands(
        &self,
        dispatch: &Dispatch<'_>,
        id: &MachineId,
        worker: &mut WorkerState,
    ) -> Option<Vec<Command>> {
        let now = dispatch.now;
        let time_since_contact = worker.time_since_contact(now);
        let overdue = self.heartbeat_overdue(time_since_contact);
        let probe = overdue
            || (time_since_contact > dispatch.probe_interval && runs_replicas(dispatch.view, id));
        let mut list = commands(dispatch.view, id, worker, CommandChannel::Direct);
        let mut unsettled = self.workers.unsettled.borrow_mut();
        if list.is_empty() {
            unsettled.remove(id);
        } else {
            unsettled.insert(id.clone());
        }
        let failed_at = worker.probes.last_failed_at;
        let failed_recently =
            failed_at > 0 && now.saturating_sub(failed_at) < NO_DIRECT_STARTS_AFTER_FAILURE;
        if overdue || failed_recently {
            // The machine may be gone. A start would only become one more that may run late; a stop
            // may end a cancelled task there, and the reply shows that the machine lives.
            list.retain(|command| !matches!(command, Command::Start { .. }));
        }
        list.retain(|command| !worker.recently_sent(command, now, REPEAT_INTERVAL));
        list.truncate(MAX_COMMANDS_PER_MESSAGE);
        (probe || !list.is_empty()).then_some(list)
    }

    /// Records a call as in flight and starts it.
    fn send(self: &Rc<Controller>, worker: &mut WorkerState, call: DirectCall, now: Micros) {
        worker.record_sent_commands(&call.commands, now);
        worker.record_direct_starts(&call.commands);
        self.record_first_start(&call.commands);
        worker.outstanding.in_flight = true;
        let controller = self.clone();
        self.executor
            .spawn(async move {
                controller.make_call(call).await;
            })
            .detach();
    }

    async fn make_call(self: Rc<Controller>, call: DirectCall) {
        let body = encode(&CommandBatch {
            fencing_token: call.term,
            session: Some(call.session),
            commands: call.commands.clone(),
        });
        let timeout = match call.commands.is_empty() {
            true => PROBE_TIMEOUT,
            false => COMMAND_TIMEOUT,
        };
        let reply = self
            .http
            .call(
                call.address,
                Method::Post,
                COMMANDS_PATH,
                Some(body),
                timeout,
            )
            .await;
        let now = self.clock.now();
        if self.apply_reply(&call, reply, now) {
            self.workers.changed.borrow_mut().insert(call.machine);
            self.watch_cache.notifier().notify();
        }
    }

    /// Applies the reply to a call, or its absence. Returns whether the machine is to be looked at again.
    fn apply_reply(
        &self,
        call: &DirectCall,
        reply: Result<ClientResponse, WireError>,
        now: Micros,
    ) -> bool {
        let mut machines = self.workers.machines.borrow_mut();
        let worker = machines.get_mut(&call.machine);
        let Some(worker) = worker.filter(|w| w.term == call.term) else {
            return false;
        };
        worker.outstanding.in_flight = false;
        match reply {
            Ok(reply) if reply.status == 200 || reply.status == 409 => {
                let Some(outcome) = self.apply_answer(worker, call, &reply, now) else {
                    return true;
                };
                // The reply to a call without commands that brought nothing new leaves everything as it was.
                let look_again = outcome.changed
                    || !call.commands.is_empty()
                    || !worker.fenced()
                    || worker.outstanding.recheck_after_call;
                drop(machines);
                self.record_task_outcomes(&call.machine, outcome, now);
                look_again
            }
            Err(WireError::Sockets) => {
                // Nothing was sent, and it says nothing about the machine.
                worker.acknowledge_direct(&call.commands);
                worker.remove_sent_commands(&call.commands);
                worker.outstanding.not_before = now + RETRY_AFTER_FAILURE;
                true
            }
            failed => {
                if let Err(error) = &failed {
                    tracing::debug!(machine = %call.machine, %error, "direct call to worker failed");
                }
                worker.outstanding.not_before = now + RETRY_AFTER_FAILURE;
                self.workers.record_probe_failure(worker, now);
                worker.record_missed_probe(call.latest_contact, now);
                drop(machines);
                self.http.forget(call.address);
                true
            }
        }
    }

    /// Applies a reply of the worker: commands executed, or refused as a whole. None if it is no message
    /// of this worker.
    fn apply_answer(
        &self,
        worker: &mut WorkerState,
        call: &DirectCall,
        reply: &ClientResponse,
        now: Micros,
    ) -> Option<HeartbeatOutcome> {
        if reply.status == 409 {
            worker.outstanding.not_before = now + RETRY_AFTER_REFUSAL;
        }
        let message = decode::<Heartbeat>(&reply.body);
        let Some(message) = message.ok().filter(|m| *m.machine == *call.machine) else {
            worker.outstanding.not_before = now + RETRY_AFTER_INVALID_REPLY;
            return None;
        };
        worker.acknowledge_direct(&call.commands);
        let outcome = worker.apply_heartbeat(&message, HeartbeatSource::CommandReply, now);
        worker.record_answered_probe(self.settings.heartbeat_interval, now);
        Some(outcome)
    }
}

//! Direct calls that send commands to workers between their heartbeats.
//!
//! At most one call to a machine is in flight. A call without commands is a probe: it delivers the
//! fencing token of this controller to the worker, and the reply confirms that the machine is alive. A
//! start may still be executed at any time, with or without a reply (`direct_starts`).

use super::command_log::SentCommands;
use super::commands::{CommandChannel, commands};
use super::fencing_token::{FencingToken, TokenFormat};
use super::heartbeat::{HeartbeatOutcome, HeartbeatSource};
use super::liveness::latest_contact;
use super::probing::runs_replicas;
use super::worker_state::WorkerState;
use crate::autoscaler::model::MachineState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND};
use crate::wire::client::ClientResponse;
use crate::wire::message_sizes::count_fitting_commands;
use crate::wire::worker::{COMMANDS_PATH, Command, CommandBatch, Heartbeat};
use crate::wire::{WireError, decode, encode};
use foldhash::HashSet;
use http_types::Method;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout of a call with commands.
const COMMAND_TIMEOUT: Micros = SECOND;
/// Timeout of a call without commands. It is short so that a hung machine is detected quickly.
const PROBE_TIMEOUT: Micros = 2 * SECOND / 5;
/// Time after a failed call during which starts are sent only in answers to heartbeats, where none can
/// be executed late.
const DIRECT_START_PAUSE_AFTER_FAILURE: Micros = 10 * SECOND;
/// Minimum interval between two sends of the same direct command.
const COMMAND_REPEAT_INTERVAL: Micros = SECOND;
/// Divisor of the connection limit that gives the maximum number of calls in flight. A controller that
/// takes over the whole fleet has to call every machine while it also has an incoming connection from
/// each.
const MAX_CALLS_CONNECTION_DIVISOR: usize = 10;
/// Retry delay after a call that failed or was not sent.
const RETRY_DELAY_AFTER_FAILURE: Micros = SECOND / 4;
/// Retry delay after the worker refused the commands because of another session or a higher token.
const RETRY_DELAY_AFTER_REFUSAL: Micros = SECOND / 2;
/// Retry delay after a reply that is not a valid message of the called worker.
const RETRY_DELAY_AFTER_INVALID_REPLY: Micros = SECOND;

/// Values that are the same for all machines in one dispatch pass.
struct DispatchContext<'a> {
    view: &'a ClusterState,
    now: Micros,
    /// Time of the latest contact with any machine, taken before the calls are sent.
    latest_contact: Micros,
    /// Time without contact after which machines with replicas are probed.
    probe_interval: Micros,
}

/// One direct call.
struct DirectCall {
    machine: MachineId,
    address: SocketAddr,
    token: FencingToken,
    /// Form in which the token is sent.
    token_format: TokenFormat,
    /// Session that the commands are for; the worker refuses them in any other session.
    session: u64,
    /// Time of the latest contact with any machine, taken before the call was sent.
    latest_contact: Micros,
    commands: Vec<Command>,
}

impl Controller {
    /// Sends due commands to the machines in `only`, or to all machines if it is `None`. A worker that
    /// is not fenced yet receives only the fencing token.
    pub fn dispatch_commands(
        self: &Rc<Controller>,
        now: Micros,
        only: Option<&HashSet<MachineId>>,
    ) {
        let view = self.watch_cache.view();
        let mut machines = self.workers.machines.borrow_mut();
        let context = DispatchContext {
            view: &view,
            now,
            latest_contact: latest_contact(&machines),
            probe_interval: self.workers.probe_interval(now),
        };
        if only.is_none() {
            self.workers.machines_to_check.borrow_mut().clear();
        }
        let ids: Vec<MachineId> = match only {
            Some(selected) => selected.iter().cloned().collect(),
            None => machines.keys().cloned().collect(),
        };
        let max_calls = self.settings.max_connections / MAX_CALLS_CONNECTION_DIVISOR;
        let mut calls_left = max_calls.saturating_sub(self.http.calls_in_progress());
        for id in &ids {
            let Some(worker) = machines.get_mut(id) else {
                continue;
            };
            worker.outstanding.quiescent = false;
            worker.outstanding.recheck_after_call = worker.outstanding.in_flight;
            let Some(call) = self.due_call(&context, id, worker) else {
                continue;
            };
            if calls_left == 0 {
                // The next pass handles this machine.
                self.workers.changed.borrow_mut().insert(id.clone());
                continue;
            }
            calls_left -= 1;
            self.workers.counters.record_sent(&SentCommands {
                view: &view,
                machine: id,
                worker,
                channel: CommandChannel::Direct,
                commands: &call.commands,
            });
            self.send(worker, call, now);
        }
    }

    /// Returns the call to make to a machine now, if any.
    fn due_call(
        &self,
        context: &DispatchContext<'_>,
        id: &MachineId,
        worker: &mut WorkerState,
    ) -> Option<DirectCall> {
        let record = context.view.machines.get(id)?;
        let outstanding = &worker.outstanding;
        let callable = !outstanding.in_flight && context.now >= outstanding.not_before;
        let address = worker.identity.address.filter(|_| callable)?;
        if matches!(record.state, MachineState::Booting) {
            return None;
        }
        let session = match worker.session {
            0 => record.session,
            session => session,
        };
        // Until the worker is fenced, the call only delivers the fencing token.
        let commands = if worker.fenced() {
            self.due_commands(context, id, worker)?
        } else {
            Vec::new()
        };
        Some(DirectCall {
            machine: id.clone(),
            address,
            token: worker.token(),
            token_format: TokenFormat::in_use(context.view),
            session,
            latest_contact: context.latest_contact,
            commands,
        })
    }

    /// Returns the commands for a call to a fenced machine, or `None` if no call is needed. A probe has
    /// an empty list.
    fn due_commands(
        &self,
        context: &DispatchContext<'_>,
        id: &MachineId,
        worker: &mut WorkerState,
    ) -> Option<Vec<Command>> {
        let now = context.now;
        let time_since_contact = worker.time_since_contact(now);
        let overdue = self.heartbeat_overdue(time_since_contact);
        let probe = overdue
            || (time_since_contact > context.probe_interval && runs_replicas(context.view, id));
        let token_before = worker.token();
        let mut due = commands(context.view, id, worker, CommandChannel::Direct);
        let counters = &self.workers.counters;
        counters.record_increments(token_before, worker.token());
        counters.record_withheld(worker);
        let mut machines_to_check = self.workers.machines_to_check.borrow_mut();
        if due.is_empty() {
            machines_to_check.remove(id);
        } else {
            machines_to_check.insert(id.clone());
        }
        let failed_at = worker.probes.last_failed_at;
        let failed_recently =
            failed_at > 0 && now.saturating_sub(failed_at) < DIRECT_START_PAUSE_AFTER_FAILURE;
        if overdue || failed_recently {
            // The machine may be dead. A start would only add another one that may be executed late. A
            // stop is still sent: it may end a cancelled task, and its reply shows that the machine is
            // alive.
            due.retain(|command| !matches!(command, Command::Start { .. }));
        }
        // A `Forget` is always repeated: the starts behind it take the room that it leaves in the heartbeat.
        due.retain(|command| {
            matches!(command, Command::Forget { .. })
                || !worker.recently_sent(command, now, COMMAND_REPEAT_INTERVAL)
        });
        due.truncate(count_fitting_commands(&due));
        worker.outstanding.forgotten.record(&due);
        (probe || !due.is_empty()).then_some(due)
    }

    /// Marks a call as in flight and spawns it.
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
            fencing_token: call.token.to_wire(call.token_format),
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

    /// Applies the reply to a call, or its failure. Returns whether the machine has to be checked
    /// again.
    fn apply_reply(
        &self,
        call: &DirectCall,
        reply: Result<ClientResponse, WireError>,
        now: Micros,
    ) -> bool {
        let mut machines = self.workers.machines.borrow_mut();
        let worker = machines.get_mut(&call.machine);
        let Some(worker) = worker.filter(|w| w.term == call.token.term) else {
            return false;
        };
        worker.outstanding.in_flight = false;
        match reply {
            Ok(reply) if reply.status == 200 || reply.status == 409 => {
                let Some(outcome) = self.apply_worker_reply(worker, call, &reply, now) else {
                    return true;
                };
                // A reply without news to a call without commands requires no further check.
                let needs_check = outcome.changed
                    || !call.commands.is_empty()
                    || !worker.fenced()
                    || worker.outstanding.recheck_after_call;
                drop(machines);
                self.record_task_outcomes(&call.machine, outcome, now);
                needs_check
            }
            Err(WireError::NoFileDescriptors) => {
                // Nothing was sent because no socket was available, so the failure is not the
                // machine's.
                worker.remove_unsent_starts(&call.commands);
                worker.remove_sent_commands(&call.commands);
                worker.outstanding.not_before = now + RETRY_DELAY_AFTER_FAILURE;
                true
            }
            failed => {
                if let Err(error) = &failed {
                    tracing::debug!(machine = %call.machine, %error, "direct call to worker failed");
                }
                worker.outstanding.not_before = now + RETRY_DELAY_AFTER_FAILURE;
                self.workers.record_probe_failure(worker, now);
                worker.record_missed_probe(call.latest_contact, now);
                drop(machines);
                self.http.close_idle_connections(call.address);
                true
            }
        }
    }

    /// Applies a reply in which the worker executed the commands or refused all of them. Returns `None`
    /// if it is not a valid message of the called worker.
    fn apply_worker_reply(
        &self,
        worker: &mut WorkerState,
        call: &DirectCall,
        reply: &ClientResponse,
        now: Micros,
    ) -> Option<HeartbeatOutcome> {
        let message = decode::<Heartbeat>(&reply.body);
        let Some(message) = message.ok().filter(|m| *m.machine == *call.machine) else {
            worker.outstanding.not_before = now + RETRY_DELAY_AFTER_INVALID_REPLY;
            return None;
        };
        if reply.status == 409 {
            let counters = &self.workers.counters;
            counters.record_refused(call.token, call.session, &message);
            record_refusal(worker, call, &message, now);
        }
        worker.acknowledge_direct_commands(&call.commands);
        let outcome = worker.apply_heartbeat(&message, HeartbeatSource::CommandReply, now);
        worker.record_answered_probe(self.settings.heartbeat_interval, now);
        Some(outcome)
    }
}

/// Records that the worker refused a call. A call that was sent before the token was raised within the term is
/// repeated without delay; another session or a later owner takes longer to become known.
fn record_refusal(worker: &mut WorkerState, call: &DirectCall, reply: &Heartbeat, now: Micros) {
    let reported = FencingToken::from_wire(reply.fencing_token);
    let token_raised =
        reported.term == call.token.term && reported > call.token && reply.session == call.session;
    if token_raised {
        worker.remove_sent_commands(&call.commands);
    } else {
        worker.outstanding.not_before = now + RETRY_DELAY_AFTER_REFUSAL;
    }
}

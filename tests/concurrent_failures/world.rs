//! Three simulated controllers, their workers and the state service. The service refuses one controller, or all of
//! them, while others confirm cancellations, answers are delayed, and controllers restart. Each step checks that no
//! task of a cancelled job runs past its cancellation timeout.

use crate::common::{LIMITS, Store, spec};
use coppergw::jobs::commit::cancel;
use coppergw::jobs::model::{JobRecord, Placement, TaskBlock, TaskState};
use coppergw::jobs::pipelines::job_answer;
use coppergw::membership::cancellation_watermark::{
    CancellationWatermarks, DigestExchange, DigestInputs, cancellation_digest,
    confirmation_hold_end,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::PeerHeartbeat;
use coppergw::wire::state::Mutation;
use coppergw::wire::user::{JobKind, Status};
use coppergw::workers::may_answer_heartbeats;

pub(crate) const NODE_NAMES: [&str; 3] = ["a", "b", "c"];
/// Duration of the lease of a task.
pub(crate) const LEASE_DURATION: Micros = 26 * SECOND;
/// Time after the confirmation within which the tasks of a cancelled job end.
pub(crate) const CANCEL_TIMEOUT: Micros = 52 * SECOND;
/// Number of tasks, each in a separate job. Controller k modulo 3 owns the machine of task k.
pub(crate) const TASK_COUNT: usize = 24;

/// A pending read of the state service.
struct Read {
    began_at: Micros,
    /// Revision that was read.
    revision: u64,
    /// Length of the change log at that revision.
    log_length: usize,
}

/// A pending request to a peer.
#[derive(Clone)]
pub(crate) struct PeerRequest {
    to: usize,
    requested_at: Micros,
    heartbeat: PeerHeartbeat,
    pub response: Option<PeerHeartbeat>,
}

pub(crate) struct Controller {
    started_at: Micros,
    pub view: ClusterState,
    /// Number of entries of the change log that are in the view.
    log_position: usize,
    pub loaded: bool,
    /// Start time of the last read that completed the view.
    last_read_at: Micros,
    watermarks: CancellationWatermarks,
    /// Whether the state service refuses this controller alone.
    pub refused: bool,
    read: Option<Read>,
    pub peer_requests: Vec<PeerRequest>,
    /// End of the confirmation hold: this controller confirms no cancellation before.
    confirmation_hold_end: Micros,
}

impl Controller {
    fn started(now: Micros) -> Controller {
        Controller {
            started_at: now,
            confirmation_hold_end: 0,
            view: ClusterState::default(),
            log_position: 0,
            loaded: false,
            last_read_at: 0,
            watermarks: CancellationWatermarks::default(),
            refused: false,
            read: None,
            peer_requests: Vec::new(),
        }
    }
}

pub(crate) struct Task {
    /// Time at which the lease of the worker expires and the task ends.
    lease_until: Micros,
    pub ended: bool,
}

/// Whether digests between controllers hold all cancellations or are truncated.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestSize {
    /// Digests hold one cancellation.
    OneEntry,
    /// Digests hold all cancellations.
    Complete,
}

pub(crate) struct World {
    pub now: Micros,
    pub store: Store,
    pub outage: bool,
    pub controllers: Vec<Controller>,
    pub tasks: Vec<Task>,
    /// Time at which the cancellation of the job of each task was confirmed to a user.
    pub confirmed_at: Vec<Option<Micros>>,
    digest_size: DigestSize,
    /// Number of task leases that were renewed during an outage.
    pub renewals_in_outage: u32,
}

/// Returns the id of the job of a task.
pub(crate) fn job_id(task: usize) -> String {
    format!("req-{task:06}")
}

impl World {
    pub(crate) fn new(digest_size: DigestSize) -> World {
        let mut store = Store::default();
        for task in 0..TASK_COUNT {
            let placement = Placement {
                attempt: 1,
                machine: format!("m-{task}").as_str().into(),
                session: 1,
                stop_grace_period: None,
            };
            let job = JobRecord(
                spec(JobKind::Array, 1),
                TaskBlock::from(vec![TaskState::Placed(placement)]),
            );
            store.put(keys::job(&job_id(task)), &job);
        }
        let now = 1000 * SECOND;
        let task = || Task {
            lease_until: now + LEASE_DURATION,
            ended: false,
        };
        let mut world = World {
            now,
            store,
            outage: false,
            controllers: (0..3).map(|_| Controller::started(now)).collect(),
            tasks: (0..TASK_COUNT).map(|_| task()).collect(),
            confirmed_at: vec![None; TASK_COUNT],
            digest_size,
            renewals_in_outage: 0,
        };
        for node in 0..3 {
            world.begin_read(node);
            world.end_read(node);
        }
        world
    }

    /// Restarts a controller, which loses its state.
    pub(crate) fn restart(&mut self, node: usize) {
        let refused = self.controllers[node].refused;
        self.controllers[node] = Controller::started(self.now);
        self.controllers[node].refused = refused;
    }

    /// Returns whether a controller considers the state service reachable.
    fn state_service_reachable(&self, node: usize) -> bool {
        let controller = &self.controllers[node];
        controller.loaded && self.now - controller.last_read_at < 3 * SECOND
    }

    fn reaches_state_service(&self, node: usize) -> bool {
        !self.outage && !self.controllers[node].refused
    }

    pub(crate) fn begin_read(&mut self, node: usize) {
        if self.reaches_state_service(node) && self.controllers[node].read.is_none() {
            self.controllers[node].read = Some(Read {
                began_at: self.now,
                revision: self.store.rev,
                log_length: self.store.log.len(),
            });
        }
    }

    /// Delivers the answer to the pending read, possibly long after the read.
    pub(crate) fn end_read(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        let Some(read) = controller.read.take() else {
            return;
        };
        let entries = self.store.log.get(controller.log_position..read.log_length);
        for (revision, key, value) in entries.unwrap_or_default() {
            match value {
                Some(value) => controller.view.put(key, value, *revision),
                None => controller.view.delete(key, *revision),
            }
        }
        controller.log_position = controller.log_position.max(read.log_length);
        controller.view.revision = controller.view.revision.max(read.revision);
        controller.loaded = true;
        controller.last_read_at = controller.last_read_at.max(read.began_at);
    }

    /// Cancels a job for a user. A controller that reaches the state service confirms it at once.
    pub(crate) fn cancel(&mut self, node: usize, task: usize) {
        let controller = &self.controllers[node];
        if !self.reaches_state_service(node)
            || !controller.loaded
            || self.now < controller.confirmation_hold_end
        {
            return;
        }
        self.controllers[node].read = None;
        self.begin_read(node);
        self.end_read(node);
        let view = &self.controllers[node].view;
        let transaction = cancel(view, &job_id(task).as_str().into(), LIMITS);
        let transaction = transaction.expect("the job exists");
        assert!(self.store.apply(&transaction), "no other controller writes");
        let revision = self.store.rev;
        for mutation in &transaction.mutations {
            if let Mutation::Put { key, value, .. } = mutation {
                self.controllers[node].view.put(key, value, revision);
            }
        }
        self.query_status(node, task);
    }

    /// Answers a status query of a user. `cancelled` may be answered from the view.
    pub(crate) fn query_status(&mut self, node: usize, task: usize) {
        let controller = &self.controllers[node];
        let status = job_answer(&controller.view, &job_id(task));
        if status.is_some_and(|answer| answer.status == Status::Cancelled)
            && self.now >= controller.confirmation_hold_end
        {
            self.confirmed_at[task].get_or_insert(self.now);
        }
    }

    /// Sends a request for a digest to a peer.
    pub(crate) fn send_peer_request(&mut self, node: usize, to: usize) {
        let heartbeat = PeerHeartbeat {
            node: NODE_NAMES[node].into(),
            state_service_reachable: self.state_service_reachable(node),
            revision: self.controllers[node].view.revision,
            ..PeerHeartbeat::default()
        };
        let requested_at = self.now;
        self.controllers[node].peer_requests.push(PeerRequest {
            to,
            requested_at,
            heartbeat,
            response: None,
        });
    }

    /// Delivers a request to the current incarnation of the peer, which answers it.
    pub(crate) fn answer_peer_request(&mut self, node: usize, index: usize) {
        let max_entries = match self.digest_size {
            DigestSize::OneEntry => 1,
            DigestSize::Complete => 100,
        };
        let count = self.controllers[node].peer_requests.len().max(1);
        let request = self.controllers[node]
            .peer_requests
            .get(index % count)
            .cloned();
        let Some(request) = request.filter(|request| request.response.is_none()) else {
            return;
        };
        let peer = &self.controllers[request.to];
        let state_service_reachable = self.state_service_reachable(request.to);
        let inputs = DigestInputs {
            view: &peer.view,
            view_loaded: peer.last_read_at > 0,
            state_service_reachable,
            process_age: self.now - peer.started_at,
            max_entries,
        };
        let digest = cancellation_digest(&inputs, &request.heartbeat);
        let confirmation_hold_end =
            confirmation_hold_end(&digest, self.now).max(peer.confirmation_hold_end);
        let response = PeerHeartbeat {
            node: NODE_NAMES[request.to].into(),
            state_service_reachable,
            revision: peer.view.revision,
            digest: Some(digest),
            ..PeerHeartbeat::default()
        };
        self.controllers[request.to].confirmation_hold_end = confirmation_hold_end;
        self.controllers[node].peer_requests[index % count].response = Some(response);
    }

    /// Delivers the response to a request.
    pub(crate) fn receive_response(&mut self, node: usize, index: usize) {
        let responded_at = self.now;
        let controller = &mut self.controllers[node];
        let count = controller.peer_requests.len().max(1);
        let request = controller.peer_requests.get(index % count);
        if request.is_none_or(|request| request.response.is_none()) {
            return;
        }
        let request = controller.peer_requests.remove(index % count);
        let exchange = DigestExchange {
            peer: NODE_NAMES[request.to],
            requested_at: request.requested_at,
            responded_at,
            after_revision: request.heartbeat.revision,
            response: &request.response.expect("answered"),
        };
        for (id, revision) in controller.watermarks.record_response(&exchange) {
            controller.view.merge_cancelled(id, *revision);
        }
    }

    /// Sends a heartbeat of a worker to the owner of its machine.
    fn send_heartbeat(&mut self, task: usize) {
        let owner = task % 3;
        let (task_state, controller) = (&mut self.tasks[task], &self.controllers[owner]);
        if task_state.ended || !controller.loaded {
            return;
        }
        let peers = (0..3)
            .filter(|peer| *peer != owner)
            .map(|peer| NODE_NAMES[peer]);
        let watermark =
            controller
                .watermarks
                .cancellation_watermark(controller.last_read_at, peers, self.now);
        if !may_answer_heartbeats(LEASE_DURATION, CANCEL_TIMEOUT, watermark, self.now) {
            return;
        }
        if controller.view.jobs[job_id(task).as_str()].cancelled() {
            task_state.ended = true;
        } else {
            task_state.lease_until = self.now + LEASE_DURATION;
            self.renewals_in_outage += u32::from(self.outage);
        }
    }

    /// Sends a heartbeat of each worker.
    pub(crate) fn send_heartbeats(&mut self) {
        (0..TASK_COUNT).for_each(|task| self.send_heartbeat(task));
    }

    /// Advances the clock, expires leases, and checks that no task of a cancelled job runs past `CANCEL_TIMEOUT`.
    pub(crate) fn advance(&mut self, span: Micros) {
        self.now += span;
        for (number, task) in self.tasks.iter_mut().enumerate() {
            let running_until = task.lease_until.min(self.now);
            let confirmed_at = self.confirmed_at[number].unwrap_or(self.now);
            if !task.ended {
                assert!(
                    running_until <= confirmed_at + CANCEL_TIMEOUT,
                    "tasks of {} run past their cancellation timeout",
                    job_id(number)
                );
            }
            task.ended |= task.lease_until < self.now;
        }
    }

    /// Executes one generated step: an operation, the controller that it affects, and an argument.
    pub(crate) fn step(&mut self, operation: u8, selector: u8, argument: u8) {
        let (node, to) = (selector as usize % 3, argument as usize % 3);
        let task = argument as usize % TASK_COUNT;
        match operation % 32 {
            0 => self.controllers[node].refused ^= true,
            1 => self.outage ^= true,
            2 if selector.is_multiple_of(8) => self.restart(node),
            3..=5 => self.begin_read(node),
            6..=8 => self.end_read(node),
            9 => self.cancel(node, task),
            10 if selector >= 224 => self.controllers[node].loaded = false,
            10 => self.query_status(node, task),
            11..=13 if node != to => self.send_peer_request(node, to),
            14..=16 => self.answer_peer_request(node, argument as usize),
            17..=19 => self.receive_response(node, argument as usize),
            20..=23 => self.advance(u64::from(argument) * SECOND / 64),
            _ => self.send_heartbeats(),
        }
    }

    /// Runs one round: all controllers exchange digests, read the state service and answer their workers, and one
    /// second passes.
    pub(crate) fn round(&mut self) {
        for node in 0..3 {
            self.controllers[node].peer_requests.clear();
            for to in (0..3).filter(|to| *to != node) {
                self.send_peer_request(node, to);
                let last = self.controllers[node].peer_requests.len() - 1;
                self.answer_peer_request(node, last);
                self.receive_response(node, last);
            }
            self.begin_read(node);
            self.end_read(node);
        }
        self.send_heartbeats();
        self.advance(SECOND);
    }

    pub(crate) fn rounds(&mut self, count: u64) {
        (0..count).for_each(|_| self.round());
    }
}

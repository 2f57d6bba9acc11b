//! Three controllers, their workers and the state service in a simulated world. The service refuses one controller,
//! or all of them, while others confirm cancellations, answers come late, and controllers end. The world
//! checks at every step that no task outlives its cancellation.

use crate::common::{LIMITS, Store, spec};
use coppergw::jobs::commit::cancel;
use coppergw::jobs::model::{JobRecord, Placement, TaskBlock, TaskState};
use coppergw::jobs::pipelines::answer;
use coppergw::membership::cancellation_watermark::{
    CancellationWatermarks, DigestExchange, DigestSource, cancellation_digest, held_until,
};
use coppergw::store::cluster_state::ClusterState;
use coppergw::store::keys;
use coppergw::time::{Micros, SECOND};
use coppergw::wire::peer::PeerHeartbeat;
use coppergw::wire::state::Mutation;
use coppergw::wire::user::{JobKind, Status};
use coppergw::workers::may_answer;

pub(crate) const NAMES: [&str; 3] = ["a", "b", "c"];
/// Lease of a worker's task.
pub(crate) const LEASE: Micros = 26 * SECOND;
/// A cancelled job's tasks are gone this long after the confirmation at the latest.
pub(crate) const CANCEL: Micros = 52 * SECOND;
/// Tasks, each of a job of its own; the owner of the machine of task k is controller k modulo 3.
pub(crate) const TASKS: usize = 24;

/// A read of the state service that is under way.
struct Read {
    began_at: Micros,
    /// What it found: the revision, and how much of the log there was.
    revision: u64,
    log_length: usize,
}

/// A question to a peer that is under way.
#[derive(Clone)]
pub(crate) struct Question {
    to: usize,
    asked_at: Micros,
    heartbeat: PeerHeartbeat,
    pub answer: Option<PeerHeartbeat>,
}

pub(crate) struct Controller {
    started_at: Micros,
    pub view: ClusterState,
    /// How much of the log is in the view.
    log_position: usize,
    pub loaded: bool,
    /// When the read began that showed the view to be complete.
    last_read_at: Micros,
    watermarks: CancellationWatermarks,
    /// Whether the state service refuses it alone.
    pub refused: bool,
    read: Option<Read>,
    pub questions: Vec<Question>,
    /// Until then it promised to confirm no cancellation.
    held_until: Micros,
}

impl Controller {
    fn started(now: Micros) -> Controller {
        Controller {
            started_at: now,
            held_until: 0,
            view: ClusterState::default(),
            log_position: 0,
            loaded: false,
            last_read_at: 0,
            watermarks: CancellationWatermarks::default(),
            refused: false,
            read: None,
            questions: Vec::new(),
        }
    }
}

pub(crate) struct Task {
    /// When the worker's lease ends it.
    lease_until: Micros,
    pub gone: bool,
}

/// Whether digests between controllers hold all cancellations or are cut.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum DigestSize {
    /// They hold one cancellation only.
    One,
    /// They hold all that there are.
    Ample,
}

pub(crate) struct World {
    pub now: Micros,
    pub store: Store,
    pub outage: bool,
    pub controllers: Vec<Controller>,
    pub tasks: Vec<Task>,
    /// When a user was told that the job of each task is cancelled.
    pub confirmed_at: Vec<Option<Micros>>,
    digest_size: DigestSize,
    /// How often a task was kept alive in an outage.
    pub kept_in_outage: u32,
}

/// Id of the job of a task.
pub(crate) fn job_id(task: usize) -> String {
    format!("req-{task:06}")
}

impl World {
    pub(crate) fn new(digest_size: DigestSize) -> World {
        let mut store = Store::default();
        for task in 0..TASKS {
            let placement = Placement {
                attempt: 1,
                machine: format!("m-{task}").as_str().into(),
                session: 1,
                stop: None,
            };
            let job = JobRecord(
                spec(JobKind::Array, 1),
                TaskBlock(vec![TaskState::Placed(placement)]),
            );
            store.put(keys::job(&job_id(task)), &job);
        }
        let now = 1000 * SECOND;
        let task = || Task {
            lease_until: now + LEASE,
            gone: false,
        };
        let mut world = World {
            now,
            store,
            outage: false,
            controllers: (0..3).map(|_| Controller::started(now)).collect(),
            tasks: (0..TASKS).map(|_| task()).collect(),
            confirmed_at: vec![None; TASKS],
            digest_size,
            kept_in_outage: 0,
        };
        for node in 0..3 {
            world.begin_read(node);
            world.end_read(node);
        }
        world
    }

    /// A controller ends and is back within moments.
    pub(crate) fn restart(&mut self, node: usize) {
        let refused = self.controllers[node].refused;
        self.controllers[node] = Controller::started(self.now);
        self.controllers[node].refused = refused;
    }

    /// Whether a controller believes that it reaches the state service.
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

    /// The answer arrives, perhaps much later than it was given.
    pub(crate) fn end_read(&mut self, node: usize) {
        let controller = &mut self.controllers[node];
        let Some(read) = controller.read.take() else {
            return;
        };
        let news = self.store.log.get(controller.log_position..read.log_length);
        for (revision, key, value) in news.unwrap_or_default() {
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

    /// A user cancels a job; a controller that reaches the state service confirms it at once.
    pub(crate) fn cancel(&mut self, node: usize, task: usize) {
        let controller = &self.controllers[node];
        if !self.reaches_state_service(node)
            || !controller.loaded
            || self.now < controller.held_until
        {
            return;
        }
        self.controllers[node].read = None;
        self.begin_read(node);
        self.end_read(node);
        let view = &self.controllers[node].view;
        let transaction = cancel(view, &job_id(task).as_str().into(), LIMITS);
        let transaction = transaction.expect("the job is there");
        assert!(self.store.apply(&transaction), "nobody else writes");
        let revision = self.store.rev;
        for mutation in &transaction.mutations {
            if let Mutation::Put { key, value, .. } = mutation {
                self.controllers[node].view.put(key, value, revision);
            }
        }
        self.ask_state(node, task);
    }

    /// A user asks how a job is: `cancelled` may come from memory.
    pub(crate) fn ask_state(&mut self, node: usize, task: usize) {
        let controller = &self.controllers[node];
        let status = answer(&controller.view, &job_id(task));
        if status.is_some_and(|answer| answer.status == Status::Cancelled)
            && self.now >= controller.held_until
        {
            self.confirmed_at[task].get_or_insert(self.now);
        }
    }

    /// A controller asks another for its digest.
    pub(crate) fn ask_peer(&mut self, node: usize, to: usize) {
        let heartbeat = PeerHeartbeat {
            node: NAMES[node].into(),
            state_service_reachable: self.state_service_reachable(node),
            revision: self.controllers[node].view.revision,
            ..PeerHeartbeat::default()
        };
        let asked_at = self.now;
        self.controllers[node].questions.push(Question {
            to,
            asked_at,
            heartbeat,
            answer: None,
        });
    }

    /// Whoever runs under that name now answers a question that arrives.
    pub(crate) fn give_answer(&mut self, node: usize, nth: usize) {
        let max_entries = match self.digest_size {
            DigestSize::One => 1,
            DigestSize::Ample => 100,
        };
        let count = self.controllers[node].questions.len().max(1);
        let question = self.controllers[node].questions.get(nth % count).cloned();
        let Some(question) = question.filter(|question| question.answer.is_none()) else {
            return;
        };
        let peer = &self.controllers[question.to];
        let state_service_reachable = self.state_service_reachable(question.to);
        let source = DigestSource {
            view: &peer.view,
            loaded: peer.last_read_at > 0,
            state_service_reachable,
            process_age: self.now - peer.started_at,
            max_entries,
        };
        let digest = cancellation_digest(&source, &question.heartbeat);
        let held_until = held_until(&digest, self.now).max(peer.held_until);
        let answer = PeerHeartbeat {
            node: NAMES[question.to].into(),
            state_service_reachable,
            revision: peer.view.revision,
            digest: Some(digest),
            ..PeerHeartbeat::default()
        };
        self.controllers[question.to].held_until = held_until;
        self.controllers[node].questions[nth % count].answer = Some(answer);
    }

    /// The answer arrives.
    pub(crate) fn take_answer(&mut self, node: usize, nth: usize) {
        let answered_at = self.now;
        let controller = &mut self.controllers[node];
        let count = controller.questions.len().max(1);
        let question = controller.questions.get(nth % count);
        if question.is_none_or(|question| question.answer.is_none()) {
            return;
        }
        let question = controller.questions.remove(nth % count);
        let exchange = DigestExchange {
            peer: NAMES[question.to],
            asked_at: question.asked_at,
            answered_at,
            after_revision: question.heartbeat.revision,
            answer: &question.answer.expect("answered"),
        };
        for (id, revision) in controller.watermarks.record_answer(&exchange) {
            controller.view.merge_cancelled(id, *revision);
        }
    }

    /// A worker sends a heartbeat to the owner of its machine.
    fn send_heartbeat(&mut self, task: usize) {
        let owner = task % 3;
        let (state, controller) = (&mut self.tasks[task], &self.controllers[owner]);
        if state.gone || !controller.loaded {
            return;
        }
        let peers = (0..3).filter(|peer| *peer != owner).map(|peer| NAMES[peer]);
        let watermark =
            controller
                .watermarks
                .cancellation_watermark(controller.last_read_at, peers, self.now);
        if !may_answer(LEASE, CANCEL, watermark, self.now) {
            return;
        }
        if controller.view.jobs[job_id(task).as_str()].cancelled() {
            state.gone = true;
        } else {
            state.lease_until = self.now + LEASE;
            self.kept_in_outage += u32::from(self.outage);
        }
    }

    /// Every worker sends a heartbeat.
    pub(crate) fn send_heartbeats(&mut self) {
        (0..TASKS).for_each(|task| self.send_heartbeat(task));
    }

    /// Time passes: leases end, and no task outlives its cancellation.
    pub(crate) fn advance(&mut self, time: Micros) {
        self.now += time;
        for (number, task) in self.tasks.iter_mut().enumerate() {
            let end = task.lease_until.min(self.now);
            let confirmed_at = self.confirmed_at[number].unwrap_or(self.now);
            if !task.gone {
                assert!(
                    end <= confirmed_at + CANCEL,
                    "{} outlives its cancellation",
                    job_id(number)
                );
            }
            task.gone |= task.lease_until < self.now;
        }
    }

    /// One generated step: what happens, to whom, and how.
    pub(crate) fn step(&mut self, operation: u8, selector: u8, argument: u8) {
        let (node, to) = (selector as usize % 3, argument as usize % 3);
        let task = argument as usize % TASKS;
        match operation % 32 {
            0 => self.controllers[node].refused ^= true,
            1 => self.outage ^= true,
            2 if selector.is_multiple_of(8) => self.restart(node),
            3..=5 => self.begin_read(node),
            6..=8 => self.end_read(node),
            9 => self.cancel(node, task),
            10 if selector >= 224 => self.controllers[node].loaded = false,
            10 => self.ask_state(node, task),
            11..=13 if node != to => self.ask_peer(node, to),
            14..=16 => self.give_answer(node, argument as usize),
            17..=19 => self.take_answer(node, argument as usize),
            20..=23 => self.advance(u64::from(argument) * SECOND / 64),
            _ => self.send_heartbeats(),
        }
    }

    /// All ask each other and take in the answers, read, and answer their workers; a second passes.
    pub(crate) fn round(&mut self) {
        for node in 0..3 {
            self.controllers[node].questions.clear();
            for to in (0..3).filter(|to| *to != node) {
                self.ask_peer(node, to);
                let last = self.controllers[node].questions.len() - 1;
                self.give_answer(node, last);
                self.take_answer(node, last);
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

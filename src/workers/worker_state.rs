//! What the owner of a shard knows about one worker, in memory only.
//!
//! A [`WorkerState`] lives in the [`WorkerRegistry`](super::WorkerRegistry) and belongs to one term of
//! the shard: a new term starts with a new one. `heartbeat` changes it when a message arrives,
//! `liveness` when a call fails, `commands` and `command_dispatch` when commands go out.

use crate::jobs::model::JobId;
use crate::time::Micros;
use crate::wire::worker::{Command, ExitReason, TaskStatus};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One attempt of a task: job, index of the task in the job, attempt.
pub type TaskAttempt = (JobId, u32, u32);

/// A task as last reported by its worker.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// Attempt that runs or ran.
    pub attempt: u32,
    /// State.
    pub status: TaskStatus,
    /// Why it exited, if it did.
    pub reason: Option<ExitReason>,
    /// When it was first seen in this state, by our clock.
    pub since: Micros,
    /// How long the image fetch took; 0 while it goes on or if it was not observed.
    pub fetch_time: Micros,
}

/// What a machine is, as its worker describes it.
#[derive(Clone, Debug)]
pub struct MachineDescription {
    /// Machine type, by the cloud's name.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether the cloud may take it back on short notice.
    pub spot: bool,
    /// Address of the worker as reported.
    pub address: String,
}

/// Who the worker is and where it listens.
#[derive(Debug, Default)]
pub struct WorkerIdentity {
    /// Where the worker accepts direct calls.
    pub address: Option<SocketAddr>,
    /// What the machine is; `None` until the first message under this term.
    pub description: Option<MachineDescription>,
}

/// What the worker's messages said and when they came, by our clock.
#[derive(Debug)]
pub struct HeartbeatHistory {
    /// Sequence number of the newest message.
    pub sequence: u64,
    /// Sequence number of the newest periodic heartbeat (not of a reply to a direct call).
    pub heartbeat_sequence: u64,
    /// Highest fencing token that the worker has shown.
    pub fencing_token: u64,
    /// When it first showed our token in this session.
    pub fenced_at: Option<Micros>,
    /// When any message came last; until the first one, when this term began.
    pub last_contact_at: Micros,
    /// When a periodic heartbeat came last: only the answer to one renews the worker's lease. Until
    /// the first one, when this term began.
    pub last_heartbeat_at: Micros,
    /// Whether a periodic heartbeat came under this term.
    pub heartbeat_received: bool,
    /// When we last answered a periodic heartbeat, and so renewed the worker's lease.
    pub last_answered_at: Option<Micros>,
    /// When the cloud takes the machine back, if it has given notice.
    pub preempted_at: Option<Micros>,
}

/// How the worker answered our own calls.
#[derive(Debug)]
pub struct ProbeHistory {
    /// When a call last went unanswered; 0 if none did.
    pub last_failed_at: Micros,
    /// Unanswered calls since the last message.
    pub missed_probes: u32,
    /// When the first of `missed_probes` failed.
    pub first_missed_at: Micros,
    /// A call went unanswered that was sent after another machine had been in contact since the
    /// first missed probe: the machine is gone, we are not the ones cut off.
    pub confirmed_dead: bool,
    /// Answered calls since the last periodic heartbeat, each at least one heartbeat interval after
    /// the one before.
    pub(super) answered_without_heartbeat: u32,
    /// When the last of these was counted; at first, when the heartbeat came.
    pub(super) last_counted_answer_at: Micros,
}

/// Commands that were sent and may not be executed yet, and what dispatch does next.
#[derive(Debug)]
pub struct OutstandingCommands {
    /// Starts given in the answer to a heartbeat, with that heartbeat's sequence number.
    pub(super) starts_in_response: HashMap<TaskAttempt, u64>,
    /// Direct starts that were not acknowledged; each may still be executed at any time.
    pub(super) unacknowledged_starts: HashSet<TaskAttempt>,
    /// Direct commands sent recently, and when.
    pub(super) recent_commands: Vec<(Micros, Command)>,
    /// Whether a direct call is in flight.
    pub in_flight: bool,
    /// No direct call before this time, because one failed; 0 if none did.
    pub not_before: Micros,
    /// Something changed while a direct call was in flight: look at the machine again after it.
    pub recheck_after_call: bool,
    /// The newest heartbeat needed no commands, and nothing has changed since.
    pub quiescent: bool,
}

/// A task that failed on the machine.
#[derive(Debug)]
pub struct TaskFailure {
    /// When, by our clock.
    pub at: Micros,
    /// Its job.
    pub job: JobId,
}

/// Failures of tasks on the machine.
#[derive(Debug)]
pub struct FailureHistory {
    /// Recent failures.
    pub errors: Vec<TaskFailure>,
    /// Exits that were counted already; a worker reports an exit until it is told to forget the task.
    pub(super) counted_exits: HashSet<TaskAttempt>,
}

/// What the owner of a machine knows about its worker, under one term.
#[derive(Debug)]
pub struct WorkerState {
    /// Term of the machine's shard: our fencing token.
    pub term: u64,
    /// Session (agent incarnation) of the newest message; 0 until the first.
    pub session: u64,
    /// Tasks in the newest message, by job and index.
    pub tasks: BTreeMap<(JobId, u32), ObservedTask>,
    /// Names in the newest message that are no task names; no command is given for them.
    pub invalid_task_count: usize,
    /// Who it is.
    pub identity: WorkerIdentity,
    /// Its messages.
    pub heartbeat: HeartbeatHistory,
    /// Its answers to our calls.
    pub probes: ProbeHistory,
    /// Commands under way.
    pub outstanding: OutstandingCommands,
    /// Failures of its tasks.
    pub failures: FailureHistory,
}

impl WorkerState {
    /// A worker of which no message came under this term.
    pub fn new(term: u64, now: Micros) -> WorkerState {
        WorkerState {
            term,
            session: 0,
            tasks: BTreeMap::new(),
            invalid_task_count: 0,
            identity: WorkerIdentity::default(),
            heartbeat: HeartbeatHistory::new(now),
            probes: ProbeHistory::new(now),
            outstanding: OutstandingCommands::new(),
            failures: FailureHistory {
                errors: Vec::new(),
                counted_exits: HashSet::new(),
            },
        }
    }

    /// Whether the worker is known to hold our token, so that commands of older owners are refused.
    pub fn fenced(&self) -> bool {
        self.heartbeat.fencing_token == self.term && self.heartbeat.fenced_at.is_some()
    }

    /// Time since the last message.
    pub fn time_since_contact(&self, now: Micros) -> Micros {
        now.saturating_sub(self.heartbeat.last_contact_at)
    }
}

impl HeartbeatHistory {
    fn new(now: Micros) -> HeartbeatHistory {
        HeartbeatHistory {
            sequence: 0,
            heartbeat_sequence: 0,
            fencing_token: 0,
            fenced_at: None,
            last_contact_at: now,
            last_heartbeat_at: now,
            heartbeat_received: false,
            last_answered_at: None,
            preempted_at: None,
        }
    }
}

impl ProbeHistory {
    fn new(now: Micros) -> ProbeHistory {
        ProbeHistory {
            last_failed_at: 0,
            missed_probes: 0,
            first_missed_at: 0,
            confirmed_dead: false,
            answered_without_heartbeat: 0,
            last_counted_answer_at: now,
        }
    }
}

impl OutstandingCommands {
    fn new() -> OutstandingCommands {
        OutstandingCommands {
            starts_in_response: HashMap::new(),
            unacknowledged_starts: HashSet::new(),
            recent_commands: Vec::new(),
            in_flight: false,
            not_before: 0,
            recheck_after_call: false,
            quiescent: false,
        }
    }
}

//! State of one worker as seen by the owner of its shard, in memory only.
//!
//! A [`WorkerState`] is stored in the [`WorkerRegistry`](super::WorkerRegistry) and belongs to one term
//! of the shard; a new term starts with a new state. `heartbeat` changes it when a message arrives,
//! `liveness` when a call fails, `commands` and `command_dispatch` when commands are sent.

use super::direct_starts::DirectStarts;
use super::fencing_token::FencingToken;
use super::forgotten_attempts::ForgottenAttempts;
use crate::jobs::model::JobId;
use crate::time::Micros;
use crate::wire::worker::{Command, ExitReason, TaskStatus};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One attempt of a task: job, index of the task in the job, attempt number.
pub type TaskAttempt = (JobId, u32, u32);

/// A task as last reported by its worker.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// Number of the attempt that runs or ran.
    pub attempt: u32,
    /// Reported status.
    pub status: TaskStatus,
    /// Reason of the exit, if the task has exited.
    pub reason: Option<ExitReason>,
    /// Time at which the task was first seen with this status, by this controller's clock.
    pub since: Micros,
    /// Duration of the image fetch; 0 while it is in progress or if it was not observed.
    pub fetch_time: Micros,
}

/// Description of a machine as reported by its worker.
#[derive(Clone, Debug)]
pub struct MachineDescription {
    /// Machine type, as named by the cloud.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the cloud may preempt the machine on short notice.
    pub spot: bool,
    /// Address of the worker as reported.
    pub address: String,
}

/// Address and machine of a worker.
#[derive(Debug, Default)]
pub struct WorkerIdentity {
    /// Address at which the worker accepts direct calls.
    pub address: Option<SocketAddr>,
    /// Description of the machine; `None` until the first message under this term.
    pub description: Option<MachineDescription>,
}

/// Content and times of the worker's messages, by this controller's clock.
#[derive(Debug)]
pub struct HeartbeatHistory {
    /// Sequence number of the newest message.
    pub sequence: u64,
    /// Sequence number of the newest periodic heartbeat (not of a reply to a direct call).
    pub heartbeat_sequence: u64,
    /// Highest fencing token that the worker has reported.
    pub fencing_token: FencingToken,
    /// Time at which the worker first reported a token of this term in its session.
    pub fenced_at: Option<Micros>,
    /// Time of the last message of any kind; until the first one, start of this term.
    pub last_contact_at: Micros,
    /// Time of the last periodic heartbeat; until the first one, start of this term. Only the answer to
    /// a periodic heartbeat renews the worker's lease.
    pub last_heartbeat_at: Micros,
    /// Whether a periodic heartbeat was received under this term.
    pub heartbeat_received: bool,
    /// Time at which this controller last answered a periodic heartbeat and thereby renewed the
    /// worker's lease.
    pub last_answered_at: Option<Micros>,
    /// Time at which the cloud preempts the machine, if it has given notice.
    pub preempted_at: Option<Micros>,
}

/// Results of the direct calls to the worker.
#[derive(Debug)]
pub struct ProbeHistory {
    /// Time of the last unanswered call; 0 if there was none.
    pub last_failed_at: Micros,
    /// Number of unanswered calls since the last message.
    pub missed_probes: u32,
    /// Time at which the first of `missed_probes` failed.
    pub first_missed_at: Micros,
    /// Whether a call went unanswered that was sent after another machine had been in contact since the
    /// first missed probe. Then the machine is dead and this controller is not isolated.
    pub confirmed_dead: bool,
    /// Number of answered calls since the last periodic heartbeat. An answer counts only if it comes at
    /// least one heartbeat interval after the one counted before.
    pub(super) answered_without_heartbeat: u32,
    /// Time of the last counted answer or the last periodic heartbeat, whichever is later; at first,
    /// start of this term.
    pub(super) last_counted_answer_at: Micros,
}

/// Commands that were sent and may not have been executed yet, and the state of command dispatch.
#[derive(Debug)]
pub struct OutstandingCommands {
    /// Starts sent in the answer to a heartbeat, with that heartbeat's sequence number.
    pub(super) starts_in_response: HashMap<TaskAttempt, u64>,
    /// Direct starts that the worker may still execute.
    pub(super) direct_starts: DirectStarts,
    /// Number of starts that the last message left out, because the machine's heartbeat has no room for them.
    pub(super) withheld_starts: usize,
    /// Attempts for which a `Forget` was sent.
    pub(super) forgotten: ForgottenAttempts,
    /// Direct commands sent recently, with the times at which they were sent.
    pub(super) recent_commands: Vec<(Micros, Command)>,
    /// Whether a direct call is in flight.
    pub in_flight: bool,
    /// Earliest time of the next direct call after one that failed or was refused; 0 if none is set.
    pub not_before: Micros,
    /// Whether the machine has to be checked again after the direct call in flight, because something
    /// changed.
    pub recheck_after_call: bool,
    /// Whether the newest heartbeat needed no commands and nothing has changed since.
    pub quiescent: bool,
}

/// A failure of a task on the machine.
#[derive(Debug)]
pub struct TaskFailure {
    /// Time of the failure, by this controller's clock.
    pub at: Micros,
    /// Job of the task.
    pub job: JobId,
}

/// Failures of tasks on the machine.
#[derive(Debug)]
pub struct FailureHistory {
    /// Recent failures.
    pub errors: Vec<TaskFailure>,
    /// Exits that were already counted. A worker reports an exit until it receives `Forget` for the
    /// task.
    pub(super) counted_exits: HashSet<TaskAttempt>,
}

/// State of a worker under one term of its machine's shard.
#[derive(Debug)]
pub struct WorkerState {
    /// Term of the machine's shard.
    pub term: u64,
    /// Number of times the machine's fencing token was raised within the term.
    pub(super) token_increments: u64,
    /// Session (agent incarnation) of the newest message; 0 until the first.
    pub session: u64,
    /// Tasks in the newest message, by job and index.
    pub tasks: BTreeMap<(JobId, u32), ObservedTask>,
    /// Number of tasks in the newest message with an invalid name or attempt number, for which no
    /// command is sent.
    pub invalid_task_count: usize,
    /// Address and machine.
    pub identity: WorkerIdentity,
    /// Received messages.
    pub heartbeat: HeartbeatHistory,
    /// Results of direct calls.
    pub probes: ProbeHistory,
    /// Commands that may not have been executed yet.
    pub outstanding: OutstandingCommands,
    /// Failures of tasks.
    pub failures: FailureHistory,
}

impl WorkerState {
    /// Returns the state of a worker from which no message was received under this term.
    pub fn new(term: u64, now: Micros) -> WorkerState {
        WorkerState {
            term,
            token_increments: 0,
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

    /// Returns the fencing token of the messages to the worker.
    pub fn token(&self) -> FencingToken {
        FencingToken {
            term: self.term,
            increments: self.token_increments,
        }
    }

    /// Returns the number of direct starts that the worker may still execute.
    pub fn possible_direct_starts(&self) -> usize {
        self.outstanding.direct_starts.len()
    }

    /// Returns whether the worker has confirmed a token of this term, so that it refuses commands of
    /// earlier owners.
    pub fn fenced(&self) -> bool {
        self.heartbeat.fencing_token.term == self.term && self.heartbeat.fenced_at.is_some()
    }

    /// Returns the time since the last message.
    pub fn time_since_contact(&self, now: Micros) -> Micros {
        now.saturating_sub(self.heartbeat.last_contact_at)
    }
}

impl HeartbeatHistory {
    fn new(now: Micros) -> HeartbeatHistory {
        HeartbeatHistory {
            sequence: 0,
            heartbeat_sequence: 0,
            fencing_token: FencingToken::default(),
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
            direct_starts: DirectStarts::default(),
            withheld_starts: 0,
            forgotten: ForgottenAttempts::default(),
            recent_commands: Vec::new(),
            in_flight: false,
            not_before: 0,
            recheck_after_call: false,
            quiescent: false,
        }
    }
}

//! Workers: what their reports prove, and which orders follow. Pure.
//!
//! A part's owner drives the part's machines: orders are the difference between the blocks and the
//! newest report. Nothing is ever concluded from silence alone.

mod drive;

pub use drive::{WorkerRegistry, may_answer};

use crate::autoscaler::model::MachineState;
use crate::ids::MachineId;
use crate::jobs::commit::JobChange;
use crate::jobs::model::{JobId, Placement, parse_task, task_name};
use crate::store::cluster_state::ClusterState;
use crate::time::{Micros, SECOND, from_secs, to_secs};
use crate::wire::user::JobKind;
use crate::wire::worker::{Command, ExitReason, Heartbeat, ReportedTask, TaskStatus};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// So many calls answered without a report in between are no chance: a worker that finds no controller at its
/// first try has asked all of them by then.
const PARTITION_PROBES: u32 = 3;

/// An attempt of a task.
pub type TaskAttempt = (JobId, u32, u32);

/// A task as last reported.
#[derive(Clone, Debug)]
pub struct ObservedTask {
    /// Attempt.
    pub attempt: u32,
    /// State.
    pub status: TaskStatus,
    /// Why it exited.
    pub cause: Option<ExitReason>,
    /// Since when it is in this state, by our clock.
    pub since: Micros,
    /// How long the fetch took.
    pub fetched: Micros,
}

/// A machine as its owner knows it, under one token.
#[derive(Debug)]
pub struct WorkerState {
    /// Our token.
    pub term: u64,
    /// Where its worker listens.
    pub addr: Option<SocketAddr>,
    /// Session of the newest message.
    pub session: u64,
    /// Sequence number of the newest message.
    pub tick: u64,
    /// Sequence number of the newest report (not of an answer to direct orders).
    pub report_tick: u64,
    /// Highest token that the worker has shown.
    pub token: u64,
    /// When it showed ours first.
    pub fenced: Option<Micros>,
    /// When any message came last.
    pub heard: Micros,
    /// When a report came last: only the answer to one renews its lease. Until the first, when we began.
    pub reported: Micros,
    /// Whether one came.
    pub reports: bool,
    /// Calls that it answered since, at least a time between two reports apart, and when the last of them was.
    called: (u32, Micros),
    /// When a report was answered last.
    pub answered: Option<Micros>,
    /// Time left until the cloud takes it, and when that was said.
    pub notice: Option<Micros>,
    /// Tasks in the newest message.
    pub tasks: BTreeMap<(JobId, u32), ObservedTask>,
    /// Names in reports that are no task names; nothing is done about them.
    pub odd: usize,
    /// Starts given in the answer to a report: the report's number.
    in_response: HashMap<TaskAttempt, u64>,
    /// Direct starts without an answer.
    unanswered: HashSet<TaskAttempt>,
    /// Whether direct orders are under way.
    pub busy: bool,
    /// Not before this time: direct orders failed.
    pub not_before: Micros,
    /// When direct orders went without an answer last.
    pub probe_failed: Micros,
    /// Calls of ours without an answer since it was heard last, and when the first of them failed.
    pub missed: u32,
    /// See `missed`.
    pub first_missed: Micros,
    /// A call went without an answer that was sent when another machine had been heard after the
    /// first miss: it is this machine that is gone, and not we who are cut off.
    pub dead: bool,
    /// Failures of tasks: when, job.
    pub errors: Vec<(Micros, JobId)>,
    /// What the machine is.
    pub about: Option<(String, String, bool, String)>,
    /// Exits already counted.
    counted: HashSet<TaskAttempt>,
    /// Direct orders sent lately.
    recent_commands: Vec<(Micros, Command)>,
    /// Something changed while direct orders were under way: it is looked at once they are answered.
    pub passed_over: bool,
    /// Nothing was to be ordered in the answer to the newest report, and nothing has changed since.
    pub rests: bool,
}

/// A task that finished, for the fairness counts.
pub struct FinishedTask {
    /// Job.
    pub job: JobId,
    /// Image fetch and run.
    pub phases: [Micros; 2],
}

/// What a report brought.
#[derive(Default)]
pub struct HeartbeatOutcome {
    /// Whether anything changed.
    pub changed: bool,
    /// Tasks that completed.
    pub finished: Vec<FinishedTask>,
    /// Jobs of which a task failed.
    pub failed: Vec<JobId>,
}

impl WorkerState {
    /// A machine of which nothing was heard under this token.
    pub fn new(term: u64, now: Micros) -> WorkerState {
        WorkerState {
            term,
            addr: None,
            session: 0,
            tick: 0,
            report_tick: 0,
            token: 0,
            fenced: None,
            heard: now,
            reported: now,
            reports: false,
            called: (0, now),
            answered: None,
            notice: None,
            tasks: BTreeMap::new(),
            odd: 0,
            in_response: HashMap::new(),
            unanswered: HashSet::new(),
            busy: false,
            not_before: 0,
            probe_failed: 0,
            missed: 0,
            first_missed: 0,
            dead: false,
            errors: Vec::new(),
            about: None,
            counted: HashSet::new(),
            recent_commands: Vec::new(),
            passed_over: false,
            rests: false,
        }
    }

    /// Whether this direct order went out less than `span` ago.
    pub fn recent(&self, o: &Command, now: Micros, span: Micros) -> bool {
        self.recent_commands
            .iter()
            .any(|(at, x)| x == o && now.saturating_sub(*at) < span)
    }

    /// A call of ours got no answer. `others`: when any other machine had been heard last before the
    /// call was sent. What is heard later counts for nothing: at the end of a cut one machine's held
    /// messages arrive before another's.
    pub fn miss(&mut self, others: Micros, now: Micros) {
        self.probe_failed = now;
        if self.missed == 0 {
            self.first_missed = now;
        } else if others > self.first_missed {
            self.dead = true;
        }
        self.missed += 1;
    }

    /// Whether to give it up, and have it returned with all that runs there: two calls without an
    /// answer with another machine heard in between, or a silence so long that there is nothing to
    /// wait for, unless it is us who are cut off (`alone`). One call proves nothing: at the start of a
    /// cut each machine misses one before it is known that all do.
    pub fn declared_dead(&self, lost_after: Micros, now: Micros, alone: bool) -> bool {
        let silent = now.saturating_sub(self.heard);
        self.dead || (silent > 2 * lost_after && !alone)
    }

    /// Whether its key should say that it is lost. One that boots has nothing to lose; but tasks are placed
    /// only on what is up, so one that has some is, although its owner ended before that was written. The
    /// tasks of such machines waited for the end of a cut until their lease ended them.
    pub fn lost(
        &self,
        state: MachineState,
        has_tasks: bool,
        (lost_after, now, alone): (Micros, Micros, bool),
    ) -> bool {
        (state != MachineState::Booting || has_tasks) && self.declared_dead(lost_after, now, alone)
    }

    /// Notes direct orders that go out.
    pub fn note(&mut self, list: &[Command], now: Micros) {
        self.recent_commands
            .retain(|(at, _)| now.saturating_sub(*at) < 5 * SECOND);
        self.recent_commands
            .extend(list.iter().map(|o| (now, o.clone())));
    }

    /// Forgets direct orders that did not go out after all.
    pub fn forget(&mut self, list: &[Command]) {
        self.recent_commands.retain(|(_, o)| !list.contains(o));
    }

    /// Takes a report in, if it is newer than what is known. `direct`: the answer to direct orders.
    pub fn take(&mut self, r: &Heartbeat, direct: bool, now: Micros) -> HeartbeatOutcome {
        let mut news = HeartbeatOutcome::default();
        if (r.session, r.sequence) <= (self.session, self.tick) {
            return news;
        }
        let new_session = r.session > self.session;
        if new_session {
            // The worker killed and forgot everything.
            news.changed = true;
            self.tasks.clear();
            self.in_response.clear();
            self.unanswered.clear();
            self.counted.clear();
            self.report_tick = 0;
            self.answered = None;
        }
        self.session = r.session;
        self.tick = r.sequence;
        if !direct {
            self.report_tick = r.sequence;
            self.reported = now;
            self.reports = true;
            self.called = (0, now);
        }
        if r.fencing_token > self.token {
            self.token = r.fencing_token;
            news.changed = true;
        }
        if r.fencing_token == self.term && (self.fenced.is_none() || new_session) {
            self.fenced = Some(now);
            news.changed = true;
        }
        self.heard = now;
        self.missed = 0;
        self.dead = false;
        if let Ok(a) = r.address.parse() {
            self.addr = Some(a);
        }
        if self.about.is_none() {
            self.about = Some((
                r.machine_type.clone(),
                r.zone.clone(),
                r.spot,
                r.address.clone(),
            ));
        }
        let notice = r.preemption_notice_s.map(|s| now + from_secs(s));
        if notice.is_some() != self.notice.is_some() {
            news.changed = true;
        }
        self.notice = notice;
        let mut tasks = BTreeMap::new();
        self.odd = 0;
        for t in &r.tasks {
            let Some((key, seen)) = self.seen(t, now) else {
                self.odd += 1;
                continue;
            };
            if seen.since == now {
                news.changed = true;
            }
            if seen.status == TaskStatus::Exited {
                let a = (key.0.clone(), key.1, seen.attempt);
                if self.counted.insert(a) {
                    match seen.cause {
                        Some(ExitReason::Done) => {
                            let run = self
                                .tasks
                                .get(&key)
                                .filter(|o| o.status == TaskStatus::Running)
                                .map(|o| now - o.since);
                            if let Some(run) = run {
                                news.finished.push(FinishedTask {
                                    job: key.0.clone(),
                                    phases: [seen.fetched, run],
                                });
                            }
                        }
                        Some(ExitReason::Error) => {
                            news.failed.push(key.0.clone());
                            self.errors.push((now, key.0.clone()));
                        }
                        _ => {}
                    }
                }
            }
            tasks.insert(key, seen);
        }
        if tasks.len() != self.tasks.len() {
            news.changed = true;
        }
        self.tasks = tasks;
        self.rests &= !news.changed;
        self.counted
            .retain(|(j, i, _)| self.tasks.contains_key(&(j.clone(), *i)));
        self.errors.retain(|(at, _)| now - at < 120 * SECOND);
        news
    }

    fn seen(&self, t: &ReportedTask, now: Micros) -> Option<((JobId, u32), ObservedTask)> {
        let (job, index) = parse_task(&t.task)?;
        let attempt = u32::try_from(t.attempt).ok()?;
        let key: (JobId, u32) = (job.into(), index);
        let old = self.tasks.get(&key).filter(|o| o.attempt == attempt);
        let same = old.filter(|o| o.status == t.status);
        let fetched = match old {
            Some(o) if o.status == TaskStatus::Fetching && t.status != TaskStatus::Fetching => {
                now - o.since
            }
            Some(o) => o.fetched,
            None => 0,
        };
        Some((
            key,
            ObservedTask {
                attempt,
                status: t.status,
                cause: t.reason,
                since: same.map_or(now, |o| o.since),
                fetched,
            },
        ))
    }

    /// Whether the worker is known to hold our token, so that older owners' commands are dead.
    pub fn fenced(&self) -> bool {
        self.token == self.term && self.fenced.is_some()
    }

    /// Whether an attempt is provably not on the machine and cannot come any more.
    fn absent(&self, key: &(JobId, u32), attempt: u32) -> bool {
        let a = (key.0.clone(), key.1, attempt);
        self.fenced()
            && self.tasks.get(key).is_none_or(|s| s.attempt != attempt)
            && !self.unanswered.contains(&a)
            // A start in the answer to a report is executed before the next report, or never.
            && self.in_response.get(&a).is_none_or(|n| self.report_tick > *n)
    }

    /// Whether the worker reaches no controller, although calls reach it: its lease will end all that runs there,
    /// again and again, so it is no machine to place work on, and nothing counts it as one that serves.
    pub fn inbound_partition(&self) -> bool {
        self.fenced() && self.called.0 >= PARTITION_PROBES
    }

    /// It answered a call. A controller that stood still finds all its machines without a report for longer, and
    /// those whose calls are answered first are not mute for that: each answer counts only a time between two
    /// reports after the one before.
    pub fn answered_call(&mut self, report: Micros, now: Micros) {
        if now.saturating_sub(self.called.1) >= report {
            self.called = (self.called.0 + 1, now);
        }
    }

    /// Whether the worker's lease must have ended: nobody can have renewed it since we did.
    pub fn lease_expired(&self, lease: Micros, now: Micros) -> bool {
        let Some(fenced) = self.fenced.filter(|_| self.fenced()) else {
            return false;
        };
        // An answer may have been given by an older owner until the worker saw our token.
        let last = self.answered.unwrap_or(0).max(fenced);
        now > last + lease + lease / 1000 + SECOND
    }

    /// Notes direct starts that go out; until answered they may be executed at any time.
    pub fn sent(&mut self, commands: &[Command]) {
        for o in commands {
            if let Command::Start {
                task: shard,
                attempt,
            } = o
                && let Some((j, i)) = parse_task(shard)
            {
                self.unanswered.insert((j.into(), i, *attempt as u32));
            }
        }
    }

    /// Direct orders were answered: executed, or refused as a whole.
    pub fn answered_direct(&mut self, commands: &[Command]) {
        for o in commands {
            if let Command::Start {
                task: shard,
                attempt,
            } = o
                && let Some((j, i)) = parse_task(shard)
            {
                self.unanswered.remove(&(j.into(), i, *attempt as u32));
            }
        }
    }

    /// Whether an unanswered direct start keeps an attempt from being cleared, moved or started
    /// again. Only a higher term, seen by the worker, makes such a start impossible.
    pub fn blocked_by_unacknowledged_start(&self) -> bool {
        self.fenced()
            && !self.busy
            && self.unanswered.iter().any(|(job, index, attempt)| {
                self.tasks
                    .get(&(job.clone(), *index))
                    .is_none_or(|s| s.attempt != *attempt || s.status == TaskStatus::Exited)
            })
    }
}

/// What is wanted of a placement: `None` to run, or to stop with a grace.
fn stop_of(view: &ClusterState, job: &JobId, p: &Placement) -> Option<Micros> {
    match view.jobs.get(job) {
        Some(j) if j.cancelled() => Some(0),
        _ => p.stop,
    }
}

/// The orders for a machine. `response`: they go out in the answer to its newest report, the only
/// place where a `clear` is allowed, because nothing given there is executed late.
pub fn commands(
    view: &ClusterState,
    machine: &MachineId,
    m: &mut WorkerState,
    response: bool,
) -> Vec<Command> {
    let mut out = Vec::new();
    let empty = BTreeMap::new();
    let placed = view.tasks_on(machine).unwrap_or(&empty);
    for (key, seen) in &m.tasks {
        let wanted = placed
            .get(key)
            .is_some_and(|p| p.session == m.session && p.attempt == seen.attempt);
        if wanted {
            continue;
        }
        let a = (key.0.clone(), key.1, seen.attempt);
        if seen.status == TaskStatus::Exited {
            // Not before every direct start of it was answered: a late one would start it again.
            if response && m.fenced() && !m.unanswered.contains(&a) {
                out.push(Command::Forget {
                    task: task_name(&key.0, key.1),
                    attempt: u64::from(seen.attempt),
                });
            }
        } else {
            out.push(Command::Stop {
                task: task_name(&key.0, key.1),
                attempt: u64::from(seen.attempt),
                grace_period_s: 0.0,
            });
        }
    }
    for (key, p) in placed {
        if p.session != m.session {
            continue;
        }
        let stop = stop_of(view, &key.0, p);
        let seen = m.tasks.get(key);
        match (seen, stop) {
            (None, None) => {
                let a = (key.0.clone(), key.1, p.attempt);
                if response {
                    m.in_response.insert(a, m.report_tick);
                } else if m.unanswered.contains(&a) {
                    continue;
                }
                out.push(Command::Start {
                    task: task_name(&key.0, key.1),
                    attempt: u64::from(p.attempt),
                });
            }
            // The old attempt is cleared above, in the same answer.
            (Some(s), None)
                if response && s.attempt < p.attempt && s.status == TaskStatus::Exited =>
            {
                m.in_response
                    .insert((key.0.clone(), key.1, p.attempt), m.report_tick);
                out.push(Command::Start {
                    task: task_name(&key.0, key.1),
                    attempt: u64::from(p.attempt),
                });
            }
            (Some(s), Some(grace)) if s.attempt == p.attempt => {
                let saving = s.status == TaskStatus::Saving && grace > 0;
                if s.status != TaskStatus::Exited && !saving {
                    out.push(Command::Stop {
                        task: task_name(&key.0, key.1),
                        attempt: u64::from(p.attempt),
                        grace_period_s: to_secs(grace),
                    });
                }
            }
            _ => {}
        }
    }
    m.in_response.retain(|(j, i, a), _| {
        placed
            .get(&(j.clone(), *i))
            .is_some_and(|p| p.attempt == *a)
    });
    out
}

/// What a machine's newest report proves about the blocks.
pub fn reconcile(
    view: &ClusterState,
    machine: &MachineId,
    m: &WorkerState,
    lease: Micros,
    now: Micros,
    out: &mut Vec<JobChange>,
) {
    let Some(placed) = view.tasks_on(machine) else {
        return;
    };
    // The key of a machine is deleted only when it was returned with all that was on it.
    let gone = !view.machines.contains_key(machine);
    let over = m.lease_expired(lease, now);
    for (key, p) in placed {
        let left = |done| JobChange::AttemptEnded {
            job: key.0.clone(),
            index: key.1,
            attempt: p.attempt,
            done,
        };
        if gone || m.session > p.session || (over && m.session == p.session) {
            out.push(left(false));
            continue;
        }
        if m.session < p.session {
            continue;
        }
        match m.tasks.get(key) {
            Some(s) if s.attempt == p.attempt && s.status == TaskStatus::Exited => {
                out.push(left(s.cause == Some(ExitReason::Done)));
            }
            _ => {
                if stop_of(view, &key.0, p).is_some() && m.absent(key, p.attempt) {
                    out.push(left(false));
                }
            }
        }
    }
}

/// To whom a worker that shows this token is sent by a controller that does not drive its part, if it is known
/// who does. A token higher than the part's term here means that someone newer does, of whom this view has not
/// heard: sent on by such a view, a worker went to and fro between two controllers that were both behind, and
/// never came to the third, until its lease ended its tasks.
pub fn sent_to<'a>(view: &'a ClusterState, me: &str, shard: u32, token: u64) -> Option<&'a str> {
    let p = view.shards.get(&shard)?;
    let lives = view
        .members
        .get(&p.owner)
        .is_some_and(|m| m.lease == p.lease);
    (lives && p.owner != me && token <= p.term).then_some(p.owner.as_str())
}

/// Whether a machine fails what it starts: failures of two jobs, or of one that has not failed
/// elsewhere.
pub fn quarantined(m: &WorkerState, elsewhere: &dyn Fn(&str) -> bool) -> bool {
    let jobs: HashSet<&JobId> = m.errors.iter().map(|(_, j)| j).collect();
    let own: usize = m.errors.iter().filter(|(_, j)| !elsewhere(j)).count();
    (jobs.len() >= 2 && own >= 2) || own >= 3
}

/// When any of these machines was heard last. One that was only taken over has said nothing yet: taken
/// for a word, it made a controller that was cut off believe that others were heard, and give up 425
/// machines within two seconds of taking them.
pub fn newest_heartbeat(machines: &BTreeMap<MachineId, WorkerState>) -> Micros {
    let spoke = machines.values().filter(|m| m.about.is_some());
    spoke.map(|m| m.heard).max().unwrap_or(0)
}

/// Whether it is us whom machines cannot reach, rather than single machines that died: more than one
/// is silent, and they are the most of those that are up. A call without an answer counts as silence:
/// a machine is given up some seconds after the last word from it, which can be sooner than its next
/// reports are late. Those that are given up before we know that it is us are returned with all that
/// runs there.
pub fn isolated(
    machines: &BTreeMap<MachineId, WorkerState>,
    up: &dyn Fn(&MachineId) -> bool,
    report: Micros,
    now: Micros,
) -> bool {
    let quiet =
        |m: &WorkerState| m.probe_failed > m.heard || now.saturating_sub(m.heard) > report * 3 / 2;
    if machines.values().filter(|m| quiet(m)).take(2).count() < 2 {
        return false;
    }
    let (mut all, mut silent) = (0, 0);
    for (_, m) in machines.iter().filter(|(id, _)| up(id)) {
        all += 1;
        silent += u32::from(quiet(m));
    }
    silent >= 2 && silent * 2 > all
}

/// What the owner of a machine makes of it that does not report, while calls reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboundPartition {
    /// It reports.
    None,
    /// Its lease has ended what ran there: everybody keeps off it. Before that it may yet report, and services that
    /// were moved at once were missed for longer than those of machines that did.
    Drain,
    /// It has been for longer than it is worth to wait for: returned.
    Replace,
}

/// What to make of a machine that may be mute. While many are, it is no fault of single machines, and returning
/// or draining them would leave the fleet without.
pub fn inbound_partition(
    m: &WorkerState,
    many: bool,
    lease: Micros,
    now: Micros,
) -> InboundPartition {
    let silent = now.saturating_sub(m.reported);
    if !m.inbound_partition() || many || silent <= lease {
        InboundPartition::None
    } else if silent > lease * PARTITION_LEASES {
        InboundPartition::Replace
    } else {
        InboundPartition::Drain
    }
}

/// What the key of a machine that holds our token should say, by what it says itself.
pub fn reported_state(
    m: &WorkerState,
    before: MachineState,
    inbound_partition: InboundPartition,
) -> MachineState {
    match (before, inbound_partition) {
        (_, InboundPartition::Replace) => MachineState::Lost,
        _ if m.notice.is_some() => MachineState::Draining,
        // One that fails its tasks is on its way out already.
        (MachineState::Quarantined, _) => MachineState::Quarantined,
        (_, InboundPartition::Drain) => MachineState::Draining,
        // It was mute, and reports again.
        (MachineState::Draining, InboundPartition::None) if m.reports && !m.inbound_partition() => {
            MachineState::Up
        }
        (MachineState::Booting, InboundPartition::None) => MachineState::Up,
        _ => before,
    }
}

/// The session in which a machine of ours may be given tasks, if it may: it must have answered under our token,
/// and lately, and reach us, unless `many` do not: then there is nowhere better, and what starts there runs for a
/// lease at least. That it is up need not be written first.
pub fn opens(
    m: &WorkerState,
    session: u64,
    many: bool,
    (report, now): (Micros, Micros),
) -> Option<u64> {
    let recent_commands = now.saturating_sub(m.heard) < report * 2;
    let reaches = many || !m.inbound_partition();
    (m.fenced() && recent_commands && reaches && m.session >= session).then_some(m.session)
}

/// After so many leases without a report a machine is returned.
const PARTITION_LEASES: u64 = 3;
/// More than one machine in so many that are mute are many.
const PARTITION_MANY: usize = 3;

/// Whether more than a part of the machines that hold our token are mute.
pub fn many_inbound_partitions(machines: &BTreeMap<MachineId, WorkerState>) -> bool {
    let inbound_partition = machines.values().filter(|m| m.inbound_partition()).count();
    if inbound_partition < 2 {
        return false;
    }
    let fenced = machines.values().filter(|m| m.fenced()).count();
    inbound_partition * PARTITION_MANY > fenced
}

/// Counts for the fairness round from the machines' tasks: the longest active task of each job.
pub fn longest<'a>(
    machines: impl Iterator<Item = &'a WorkerState>,
    view: &ClusterState,
    now: Micros,
) -> HashMap<JobId, [Micros; 2]> {
    let mut out: HashMap<JobId, [Micros; 2]> = HashMap::new();
    for m in machines {
        for ((job, _), s) in &m.tasks {
            if view
                .jobs
                .get(job)
                .is_none_or(|j| j.spec.kind == JobKind::Service)
            {
                continue;
            }
            let u = match s.status {
                TaskStatus::Fetching => [now - s.since, 0],
                TaskStatus::Running => [s.fetched, now - s.since],
                _ => continue,
            };
            let e = out.entry(job.clone()).or_default();
            if u[0] + u[1] > e[0] + e[1] {
                *e = u;
            }
        }
    }
    out
}

#[cfg(test)]
mod tests;

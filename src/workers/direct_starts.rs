//! Direct starts that a worker may still execute. Pure.
//!
//! A direct call may be delayed, and one that was executed and answered may arrive once more, after any time. The
//! worker executes its starts as long as it accepts the call's token and session. Until then, an attempt on the
//! machine in any state protects against a second start, and `Forget` ends that protection. So no attempt is
//! forgotten, and none is concluded to be absent, before the worker refuses the direct starts of it.

use super::commands::started_attempts;
use super::fencing_token::{FencingToken, TokenFormat};
use super::worker_state::{ObservedTask, TaskAttempt, WorkerState};
use crate::jobs::model::{JobId, Placement};
use crate::store::cluster_state::ClusterState;
use crate::wire::worker::{Command, TaskStatus};
use foldhash::{HashMap, HashSet};
use std::collections::BTreeMap;

/// Number of exited attempts on a machine that cannot be forgotten under the current term at which the term is
/// raised. It keeps heartbeats short.
const MAX_RETAINED_ATTEMPTS: usize = 64;

/// The latest direct start of an attempt. The worker may execute it until it has seen a higher token.
#[derive(Clone, Copy, Debug)]
pub(super) struct DirectStart {
    /// Token of the call.
    token: FencingToken,
    /// Whether the worker answered the call.
    acknowledged: bool,
}

/// Direct starts in the worker's current session that the worker may still execute.
#[derive(Debug, Default)]
pub(super) struct DirectStarts(HashMap<TaskAttempt, DirectStart>);

impl DirectStarts {
    /// Returns whether the worker may still execute a direct start of an attempt.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.0.contains_key(attempt)
    }

    /// Returns whether a direct start of an attempt was sent and not answered.
    pub(super) fn is_unacknowledged(&self, attempt: &TaskAttempt) -> bool {
        self.0.get(attempt).is_some_and(|start| !start.acknowledged)
    }

    /// Returns whether a worker that has seen `token` may execute a direct start of an attempt.
    fn is_accepted(&self, attempt: &TaskAttempt, token: FencingToken) -> bool {
        self.0
            .get(attempt)
            .is_some_and(|start| start.token >= token)
    }

    /// Removes the starts that a worker refuses because it has seen `token`.
    pub(super) fn remove_refused(&mut self, token: FencingToken) {
        self.0.retain(|_, start| start.token >= token);
    }

    /// Removes all starts: the worker has a later session.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the number of starts that the worker may still execute.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the attempts that the worker may still start.
    pub(super) fn attempts(&self) -> impl Iterator<Item = &TaskAttempt> {
        self.0.keys()
    }
}

impl WorkerState {
    /// Records direct starts that are being sent under the current token.
    pub fn record_direct_starts(&mut self, commands: &[Command]) {
        let start = DirectStart {
            token: self.token(),
            acknowledged: false,
        };
        let starts = started_attempts(commands).map(|attempt| (attempt, start));
        self.outstanding.direct_starts.0.extend(starts);
    }

    /// Records that direct commands were answered: all were executed or refused. The starts may arrive once more.
    pub fn acknowledge_direct_commands(&mut self, commands: &[Command]) {
        for attempt in started_attempts(commands) {
            if let Some(start) = self.outstanding.direct_starts.0.get_mut(&attempt) {
                start.acknowledged = true;
            }
        }
    }

    /// Removes the record of direct starts that were not sent.
    pub(super) fn remove_unsent_starts(&mut self, commands: &[Command]) {
        for attempt in started_attempts(commands) {
            if self.outstanding.direct_starts.is_unacknowledged(&attempt) {
                self.outstanding.direct_starts.0.remove(&attempt);
            }
        }
    }

    /// Returns whether a message under the current token may forget an attempt: the worker refuses every direct start
    /// of it from then on.
    pub(super) fn may_forget(&self, job: &JobId, index: u32, attempt: u32) -> bool {
        let attempt = (job.clone(), index, attempt);
        self.fenced()
            && !self
                .outstanding
                .direct_starts
                .is_accepted(&attempt, self.token())
    }

    /// Returns whether commands may be due without a change of the machine or its tasks, because they are withheld
    /// until the worker refuses direct starts or its heartbeat has room.
    pub(super) fn has_withheld_commands(&self) -> bool {
        let has_exited = |observed: &ObservedTask| observed.status == TaskStatus::Exited;
        self.tasks.values().any(has_exited)
            || self.pending_starts().next().is_some()
            || self.outstanding.withheld_starts > 0
    }

    /// Returns whether a direct start that may still be executed prevents an attempt from being forgotten, moved or
    /// started again. Such a start becomes impossible only when the worker has seen a higher token.
    pub fn blocked_by_direct_start(&self) -> bool {
        let token = self.token();
        self.fenced()
            && !self.outstanding.in_flight
            && self.pending_starts().any(|start| start.token >= token)
    }

    /// Returns the direct starts that may have their effect yet: those of attempts that are not on the machine, and
    /// unacknowledged ones of attempts that have exited.
    fn pending_starts(&self) -> impl Iterator<Item = &DirectStart> {
        let is_pending = |attempt: &TaskAttempt, start: &DirectStart| match self.observed(attempt) {
            None => true,
            Some(observed) => observed.status == TaskStatus::Exited && !start.acknowledged,
        };
        let starts = self.outstanding.direct_starts.0.iter();
        starts
            .filter(move |(attempt, start)| is_pending(attempt, start))
            .map(|(_, start)| start)
    }

    /// Raises the token if an attempt can be forgotten, or a start that blocks an attempt becomes impossible, only
    /// under a higher one. Without effect while controllers that know terms alone may run.
    pub(super) fn raise_token_if_needed(
        &mut self,
        view: &ClusterState,
        placed: &BTreeMap<(JobId, u32), Placement>,
    ) {
        if TokenFormat::in_use(view) == TokenFormat::Term {
            return;
        }
        let needed =
            self.retained_attempts(placed).next().is_some() || self.blocked_by_direct_start();
        if needed {
            self.increment_token();
        }
    }

    /// Raises the token by one increment. Returns whether there was one left.
    fn increment_token(&mut self) -> bool {
        let raised = self.token().incremented();
        if let Some(token) = raised {
            self.token_increments = token.increments;
        }
        raised.is_some()
    }

    /// Raises the token for a direct call that forgets attempts, if any has exited and no task block places it on the
    /// machine. The worker then drops every message sent before, so that no start in one of them can be executed after
    /// the `Forget`. Returns whether the call may forget attempts: never while controllers that know terms alone may run.
    pub(super) fn raise_token_to_forget(
        &mut self,
        view: &ClusterState,
        placed: &BTreeMap<(JobId, u32), Placement>,
    ) -> bool {
        if TokenFormat::in_use(view) == TokenFormat::Term || !self.fenced() {
            return false;
        }
        let has_unplaced_exit = self.unplaced_exits(placed).next().is_some();
        has_unplaced_exit && self.increment_token()
    }

    /// Returns the number of starts that were sent and are recorded, whether or not they were executed.
    pub(super) fn outstanding_start_count(&self) -> usize {
        self.outstanding.direct_starts.len() + self.outstanding.starts_in_response.len()
    }

    /// Returns the attempts that are not in the newest message and that the worker may still start.
    pub(super) fn unobserved_starts(&self) -> HashSet<TaskAttempt> {
        let direct = self.outstanding.direct_starts.attempts();
        let in_response = self.outstanding.starts_in_response.keys();
        direct
            .chain(in_response)
            .filter(|attempt| self.observed(attempt).is_none())
            .cloned()
            .collect()
    }

    /// Returns whether only a higher term of the shard lets a task start, or keeps heartbeats short, because exited
    /// attempts cannot be forgotten under the current token.
    pub fn blocked_by_retained_attempts(&self, placed: &BTreeMap<(JobId, u32), Placement>) -> bool {
        let blocks_placement = |(job, index, attempt): &(JobId, u32, u32)| {
            placed
                .get(&(job.clone(), *index))
                .is_some_and(|p| p.session == self.session && p.attempt > *attempt)
        };
        let takes_needed_room = self.fenced() && self.outstanding.withheld_starts > 0;
        let mut count = 0;
        self.retained_attempts(placed).any(|attempt| {
            count += 1;
            takes_needed_room || count >= MAX_RETAINED_ATTEMPTS || blocks_placement(&attempt)
        })
    }

    /// Returns the exited attempts that no task block places on the machine and that must not be forgotten under the
    /// current token.
    fn retained_attempts<'a>(
        &'a self,
        placed: &'a BTreeMap<(JobId, u32), Placement>,
    ) -> impl Iterator<Item = TaskAttempt> + 'a {
        self.unplaced_exits(placed)
            .filter(|(job, index, attempt)| !self.may_forget(job, *index, *attempt))
    }

    /// Returns the exited attempts that no task block places on the machine.
    fn unplaced_exits<'a>(
        &'a self,
        placed: &'a BTreeMap<(JobId, u32), Placement>,
    ) -> impl Iterator<Item = TaskAttempt> + 'a {
        let is_unplaced_exit = |key: &(JobId, u32), observed: &ObservedTask| {
            observed.status == TaskStatus::Exited && !self.is_placed(placed, key, observed.attempt)
        };
        self.tasks
            .iter()
            .filter(move |(key, observed)| is_unplaced_exit(key, observed))
            .map(|(key, observed)| (key.0.clone(), key.1, observed.attempt))
    }

    /// Returns the task of the newest message that is this attempt.
    fn observed(&self, (job, index, attempt): &TaskAttempt) -> Option<&ObservedTask> {
        let observed = self.tasks.get(&(job.clone(), *index));
        observed.filter(|observed| observed.attempt == *attempt)
    }

    /// Returns whether the task's block places an attempt of the newest message on the machine.
    pub(super) fn is_placed(
        &self,
        placed: &BTreeMap<(JobId, u32), Placement>,
        key: &(JobId, u32),
        attempt: u32,
    ) -> bool {
        let placement = placed.get(key);
        placement.is_some_and(|placement| self.shows(placement, attempt))
    }

    /// Returns whether an attempt in the newest message is the one that a task block places on the machine.
    pub(super) fn shows(&self, placement: &Placement, attempt: u32) -> bool {
        placement.session == self.session && placement.attempt == attempt
    }
}

#[cfg(test)]
mod tests;

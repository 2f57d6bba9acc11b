//! Attempts for which a `Forget` was sent, to notice when a worker reports one of them again. Pure.

use super::commands::task_attempt;
use super::worker_state::TaskAttempt;
use crate::wire::worker::Command;
use std::collections::VecDeque;

/// Number of attempts that are kept for each machine.
const MAX_FORGOTTEN_ATTEMPTS: usize = 16;

/// The latest attempts for which a `Forget` was sent in the worker's current session.
#[derive(Debug, Default)]
pub(super) struct ForgottenAttempts(VecDeque<TaskAttempt>);

impl ForgottenAttempts {
    /// Records the attempts that commands make a worker forget.
    pub(super) fn record(&mut self, commands: &[Command]) {
        for command in commands {
            let Command::Forget { task, attempt } = command else {
                continue;
            };
            let Some(attempt) = task_attempt(task, *attempt) else {
                continue;
            };
            if self.0.contains(&attempt) {
                continue;
            }
            self.0.truncate(MAX_FORGOTTEN_ATTEMPTS - 1);
            self.0.push_front(attempt);
        }
    }

    /// Returns whether a `Forget` was sent for an attempt.
    pub(super) fn contains(&self, attempt: &TaskAttempt) -> bool {
        self.0.contains(attempt)
    }

    /// Removes all attempts: the worker has a later session.
    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

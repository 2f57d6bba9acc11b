//! Delay between the end of an attempt and its write: ends for which no other work waits are written later,
//! in one transaction with others. The functions have no side effects.

use crate::jobs::commit::JobChange;
use crate::jobs::model::TaskState;
use crate::store::cluster_state::Job;
use crate::time::{Micros, SECOND};
use crate::wire::user::JobKind;

/// Delay of ends of tasks that were asked to stop in order to free resources for other tasks. Many of them
/// end at about the same time, and with this delay one transaction records them together.
pub(super) const STOPPED_TASK_WRITE_DELAY: Micros = 3 * SECOND / 10;
/// Delay of ends after which a task is restarted or its job may end.
const RESTART_WRITE_DELAY: Micros = 2 * SECOND / 5;
/// Delay of completions of array tasks and of ends in cancelled jobs, for which no other work waits.
const BOOKKEEPING_WRITE_DELAY: Micros = 2 * SECOND;

/// Returns the delay of the write of a job's ended attempts, counted from the time at which the first of
/// them became known. `ended` holds the changes of this job that are not written yet.
pub(super) fn write_delay(job: &Job, ended: &[JobChange]) -> Micros {
    let all_ended = ended.len() as u32 >= job.placed;
    if job.cancelled() {
        // The user has received the response, and the resources are already counted as free.
        return match all_ended {
            true => RESTART_WRITE_DELAY,
            false => BOOKKEEPING_WRITE_DELAY,
        };
    }
    if job.spec.kind != JobKind::Array {
        return 0;
    }
    // These resources were freed for other tasks, and other controllers see them only after the write.
    if ended.iter().any(|change| was_asked_to_stop(job, change)) {
        return STOPPED_TASK_WRITE_DELAY;
    }
    let completed =
        |change: &JobChange| matches!(change, JobChange::AttemptEnded { done: true, .. });
    match ended.iter().all(completed) {
        true if all_ended && job.waiting == 0 => 0,
        true => BOOKKEEPING_WRITE_DELAY,
        false => RESTART_WRITE_DELAY,
    }
}

fn was_asked_to_stop(job: &Job, change: &JobChange) -> bool {
    match change {
        JobChange::AttemptEnded { index, .. } => matches!(
            job.task_state(*index),
            Some(TaskState::Placed(placement)) if placement.stop_grace_period.is_some()
        ),
        _ => false,
    }
}

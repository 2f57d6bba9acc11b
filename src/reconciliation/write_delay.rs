//! How long the end of an attempt may wait until it is written: what nobody waits for is written later,
//! together with others. Pure.

use crate::jobs::commit::JobChange;
use crate::jobs::model::TaskState;
use crate::store::cluster_state::Job;
use crate::time::{Micros, SECOND};
use crate::wire::user::JobKind;

/// Delay of ends that free resources for someone, as tasks were asked to stop for them: these come in
/// numbers, and so much later one transaction takes them together.
pub(super) const STOPPED_DELAY: Micros = 3 * SECOND / 10;
/// Delay of ends after which a task runs again or a job may end.
const RESTART_DELAY: Micros = 2 * SECOND / 5;
/// Delay of completions of array tasks, and of ends in cancelled jobs, that nobody waits for.
const BOOKKEEPING_DELAY: Micros = 2 * SECOND;

/// How long the ended attempts of a job may wait, counted from when the first of them was known.
/// `ended` are the changes of this job that are not written yet.
pub(super) fn write_delay(job: &Job, ended: &[JobChange]) -> Micros {
    let all_ended = ended.len() as u32 >= job.placed;
    if job.cancelled() {
        // Its user has the answer, and the resources are known to be free.
        return match all_ended {
            true => RESTART_DELAY,
            false => BOOKKEEPING_DELAY,
        };
    }
    if job.spec.kind != JobKind::Array {
        return 0;
    }
    // Resources that were freed for someone: other controllers see them only once that is written.
    if ended.iter().any(|change| was_asked_to_stop(job, change)) {
        return STOPPED_DELAY;
    }
    let completed =
        |change: &JobChange| matches!(change, JobChange::AttemptEnded { done: true, .. });
    match ended.iter().all(completed) {
        true if all_ended && job.waiting == 0 => 0,
        true => BOOKKEEPING_DELAY,
        false => RESTART_DELAY,
    }
}

fn was_asked_to_stop(job: &Job, change: &JobChange) -> bool {
    match change {
        JobChange::AttemptEnded { index, .. } => matches!(
            job.slot(*index),
            Some(TaskState::Placed(placement)) if placement.stop.is_some()
        ),
        _ => false,
    }
}

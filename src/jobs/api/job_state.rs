//! State of one job as a user is told it. An answer must never contradict what another controller answered
//! before: anything but a final state needs a linearizable read.

use super::super::model::JobId;
use super::super::pipelines::{answer, final_answer};
use super::{StateUnavailable, unavailable};
use crate::controller::Controller;
use crate::wire::server::Response;
use crate::wire::user::{JobAnswer, Status, valid_id};

/// Whether the state of a job is final: it never changes again.
pub(super) fn is_final(answer: &JobAnswer) -> bool {
    matches!(answer.status, Status::Done | Status::Cancelled)
}

impl Controller {
    /// Answers a poll of a job's state.
    pub(super) async fn poll(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::status(404);
        }
        match self.job_state(id).await {
            Ok(Some(state)) => Response::with(200, &state),
            Ok(None) => Response::status(404),
            Err(StateUnavailable) => unavailable(),
        }
    }

    /// The job's state in the watch cache, which may be behind.
    pub(super) fn cached_job_state(&self, id: &str) -> Option<JobAnswer> {
        answer(&self.watch_cache.view(), id)
    }

    /// The job's present state; `None` if nobody submitted it.
    pub(super) async fn job_state(&self, id: &str) -> Result<Option<JobAnswer>, StateUnavailable> {
        let state = self.linearizable_job_state(id).await?;
        // A finished job has nothing on any machine, so that its cancellation can be confirmed at any time.
        let confirms_cancellation = state
            .as_ref()
            .is_some_and(|state| state.status == Status::Cancelled)
            && self.watch_cache.view().jobs.contains_key(id);
        if confirms_cancellation && self.membership.confirmations_held(self.clock.now()) {
            return Err(StateUnavailable);
        }
        Ok(state)
    }

    async fn linearizable_job_state(
        &self,
        id: &str,
    ) -> Result<Option<JobAnswer>, StateUnavailable> {
        // A final state never becomes stale.
        let cached = self.cached_job_state(id);
        if let Some(state) = cached.as_ref().filter(|state| is_final(state)) {
            return Ok(Some(state.clone()));
        }
        if !self.watch_cache.loaded() || !self.watch_cache.current() {
            return Err(StateUnavailable);
        }
        if cached.is_none() {
            // Final states are not loaded at the start: this one is read by its key.
            match self.watch_cache.read_finished_job(&JobId::from(id)).await {
                Ok(Some(finished_job)) => return Ok(Some(final_answer(id, finished_job))),
                Ok(None) => {}
                Err(_) => return Err(StateUnavailable),
            }
        }
        // Another controller may have answered with a newer state: the read begins after the request came.
        if !self.watch_cache.linearizable_read().await {
            return Err(StateUnavailable);
        }
        self.read_unknown_dependencies(id).await?;
        Ok(self.cached_job_state(id))
    }

    /// Reads the final states of those dependencies, direct and indirect, that the watch cache lacks. The state
    /// of a job follows from theirs: a user who was told that one of them is cancelled must not be told
    /// anything else of this one. That one cannot be found proves nothing.
    async fn read_unknown_dependencies(&self, id: &str) -> Result<(), StateUnavailable> {
        let unknown = self.watch_cache.view().unknown_ancestors(id);
        for dependency in unknown {
            match self.watch_cache.read_finished_job(&dependency).await {
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return Err(StateUnavailable),
            }
        }
        Ok(())
    }
}

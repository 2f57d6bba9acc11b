//! State of one job as users receive it. An answer must never contradict an earlier answer of another
//! controller: every state that is not final needs a linearizable read.

use super::super::model::JobId;
use super::super::pipelines::{finished_job_answer, job_answer};
use super::StateUnavailable;
use crate::controller::Controller;
use crate::wire::server::Response;
use crate::wire::user::{JobAnswer, Status, is_valid_job_id};

/// Returns whether the state of a job is final, which means that it never changes again.
pub(super) fn is_final(answer: &JobAnswer) -> bool {
    matches!(answer.status, Status::Done | Status::Cancelled)
}

impl Controller {
    /// Handles a request for a job's state.
    pub(super) async fn handle_job_state_request(
        &self,
        id: &str,
    ) -> Result<Response, StateUnavailable> {
        if !is_valid_job_id(id) {
            return Ok(Response::status(404));
        }
        Ok(match self.job_state(id).await? {
            Some(state) => Response::with_body(200, &state),
            None => Response::status(404),
        })
    }

    /// Returns the job's state in the watch cache, which may be stale.
    pub(super) fn cached_job_state(&self, id: &str) -> Option<JobAnswer> {
        job_answer(&self.watch_cache.view(), id)
    }

    /// Returns the job's current state; `None` if it was never submitted. A cancellation is not returned
    /// during a confirmation hold while the job is unfinished.
    pub(super) async fn job_state(&self, id: &str) -> Result<Option<JobAnswer>, StateUnavailable> {
        let state = self.linearizable_job_state(id).await?;
        // A finished job has no task on any machine, so its cancellation can be confirmed at any time.
        let confirms_cancellation = state
            .as_ref()
            .is_some_and(|state| state.status == Status::Cancelled)
            && self.watch_cache.view().jobs.contains_key(id);
        if confirms_cancellation && self.membership.confirmations_held(self.clock.now()) {
            return Err(StateUnavailable);
        }
        Ok(state)
    }

    /// Returns the job's state from a linearizable read, or from the watch cache if it is final.
    async fn linearizable_job_state(
        &self,
        id: &str,
    ) -> Result<Option<JobAnswer>, StateUnavailable> {
        // A final state never becomes stale.
        let cached = self.cached_job_state(id);
        if let Some(state) = cached.as_ref().filter(|state| is_final(state)) {
            return Ok(Some(state.clone()));
        }
        if !self.watch_cache.loaded() || !self.watch_cache.is_current() {
            return Err(StateUnavailable);
        }
        if cached.is_none() {
            // Final states are not loaded at startup, so this one is read by its key.
            match self.watch_cache.read_finished_job(&JobId::from(id)).await {
                Ok(Some(finished_job)) => return Ok(Some(finished_job_answer(id, finished_job))),
                Ok(None) => {}
                Err(_) => return Err(StateUnavailable),
            }
        }
        // Another controller may have answered with a newer state, so the read has to begin after this
        // request was received.
        if !self.watch_cache.linearizable_read().await {
            return Err(StateUnavailable);
        }
        self.read_unknown_ancestors(id).await?;
        Ok(self.cached_job_state(id))
    }

    /// Reads the final states of those direct and indirect dependencies that are missing in the watch
    /// cache. They determine the job's state: once a user has received the answer that a dependency is
    /// cancelled, this job must not be reported as anything else. That no final state of a dependency is
    /// found proves nothing, so the job's state is then unavailable.
    async fn read_unknown_ancestors(&self, id: &str) -> Result<(), StateUnavailable> {
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

//! Refusal of submissions. A reason to refuse becomes an answer only here, and only after it is settled that the job
//! was never accepted: the answer for an accepted job is its state, at any later time and under any limits.

use super::super::memory_budget::MemoryExhausted;
use super::super::model::AdmissionError;
use super::{RETRY_AFTER_S, StateUnavailable, service_unavailable};
use crate::controller::Controller;
use crate::store::watch_cache::LookupError;
use crate::wire::server::Response;
use crate::wire::user::{JobAnswer, is_valid_job_id};

/// `Retry-After` for a job for which there is no memory, in seconds: until other jobs end, which takes longer than a
/// write.
const MEMORY_RETRY_AFTER_S: u64 = 5;

/// Reason to refuse or to defer a job that was never accepted.
#[derive(Debug, thiserror::Error)]
pub(super) enum RefusalReason {
    /// 400: the body exceeds the size limit.
    #[error("the body is larger than 64 KiB")]
    BodyTooLarge,
    /// 400: the body cannot be decoded as a submission, or an id is invalid.
    #[error("{0}")]
    Malformed(String),
    /// 400 or 422: a field is out of range, or the job can never run.
    #[error(transparent)]
    Inadmissible(AdmissionError),
    /// 400: the job's record cannot be stored.
    #[error("names or lists are too long for a value of the state service")]
    RecordTooLarge,
    /// 429: the write would have to wait too long, or the state service refuses it because of its rate limit.
    #[error("too many writes are queued")]
    WriteQueueFull,
    /// 429: the job would not fit into memory with the unfinished ones.
    #[error(transparent)]
    MemoryExhausted(MemoryExhausted),
    /// 503: this controller cannot decide at present. Contains the cause.
    #[error("{0}")]
    Undecided(&'static str),
}

impl RefusalReason {
    /// Returns whether the same submission may be accepted later.
    fn is_temporary(&self) -> bool {
        match self {
            RefusalReason::BodyTooLarge
            | RefusalReason::Malformed(_)
            | RefusalReason::Inadmissible(_)
            | RefusalReason::RecordTooLarge => false,
            RefusalReason::WriteQueueFull
            | RefusalReason::MemoryExhausted(_)
            | RefusalReason::Undecided(_) => true,
        }
    }

    /// Returns the answer for a job that was never accepted. Private, so that `Controller::refuse` is the only caller.
    fn response(&self) -> Result<Response, StateUnavailable> {
        let error = |status| Ok(Response::error(status, &self.to_string()));
        match self {
            RefusalReason::BodyTooLarge
            | RefusalReason::Malformed(_)
            | RefusalReason::Inadmissible(AdmissionError::Malformed(_))
            | RefusalReason::RecordTooLarge => error(400),
            RefusalReason::Inadmissible(AdmissionError::Infeasible(_)) => error(422),
            RefusalReason::WriteQueueFull => Ok(Response::retry_later(429, RETRY_AFTER_S)),
            RefusalReason::MemoryExhausted(_) => {
                Ok(Response::retry_later(429, MEMORY_RETRY_AFTER_S))
            }
            RefusalReason::Undecided(_) => Err(StateUnavailable),
        }
    }
}

/// What is known about the acceptance of a job.
enum Acceptance {
    /// Accepted before; contains the job's state.
    Accepted(JobAnswer),
    /// Never accepted, by any controller.
    Never,
    /// Not looked up, because more important requests need the budget of the state service.
    NotLookedUp,
}

impl Controller {
    /// Answers a submission that is not accepted: with the job's state if a job was accepted under the same id before,
    /// with the reason if none was, and with 503 as long as neither is known.
    pub(super) async fn refuse(
        &self,
        id: Option<&str>,
        reason: RefusalReason,
    ) -> Result<Response, StateUnavailable> {
        let acceptance = match id.filter(|id| is_valid_job_id(id)) {
            Some(id) => self.settle_acceptance(id, &reason).await?,
            // No job can have been accepted under this id.
            None => Acceptance::Never,
        };
        match acceptance {
            Acceptance::Accepted(state) => Ok(Response::with_body(200, &state)),
            Acceptance::Never => {
                let response = reason.response()?;
                if !reason.is_temporary() {
                    let (status, error) = (response.status, &reason);
                    tracing::debug!(id, status, %error, "submission rejected");
                }
                Ok(response)
            }
            // Another controller would have to look the job up with the same budget.
            Acceptance::NotLookedUp => {
                self.record_skipped_lookup();
                Ok(service_unavailable())
            }
        }
    }

    /// Settles whether a job was accepted. Neither this controller's copy of the state nor its settings prove that it was
    /// not: final states are not loaded at a start, and limits and machine types may have changed since.
    async fn settle_acceptance(
        &self,
        id: &str,
        reason: &RefusalReason,
    ) -> Result<Acceptance, StateUnavailable> {
        if self.cached_job_state(id).is_none() {
            if reason.is_temporary() && self.watch_cache.was_recently_absent(id) {
                return Ok(Acceptance::Never);
            }
            // A deferral may be repeated, so its lookup takes only requests that nothing else waits for.
            if reason.is_temporary() && self.watch_cache.client().request_delay() > 0 {
                return Ok(Acceptance::NotLookedUp);
            }
            match self.watch_cache.was_accepted(&id.into()).await {
                Ok(true) => {}
                Ok(false) => return Ok(Acceptance::Never),
                Err(LookupError::QueueFull) => return Ok(Acceptance::NotLookedUp),
                Err(LookupError::Unavailable) => return Err(StateUnavailable),
            }
        }
        let state = self.job_state(id).await?;
        Ok(Acceptance::Accepted(state.ok_or(StateUnavailable)?))
    }

    /// Counts a submission that was not looked up. They are logged at an interval.
    fn record_skipped_lookup(&self) {
        if let Some(refused) = self.skipped_lookups.record(self.clock.now()) {
            tracing::warn!(
                refused,
                "submissions refused with 503, too few requests for lookups"
            );
        }
    }
}

//! Idempotent submission: the job's id is the idempotency key. A job that was accepted is answered with its
//! state, whatever a repeated submission says; only what was never accepted is rejected.

use super::super::commit::accept_submission;
use super::super::model::{AdmissionError, JobId, JobIdList, JobSpec, validate};
use super::super::pipelines::{DependencyCheck, check_dependencies};
use super::{MAX_TRANSACTIONS, RETRY_AFTER_S, StateUnavailable, unavailable};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall};
use crate::wire::decode;
use crate::wire::server::Response;
use crate::wire::state::Transaction;
use crate::wire::user::{JobAnswer, Status, Submission, id_in, valid_id};

/// A submission that would wait longer for the write budget of the state service is answered 429.
const MAX_WRITE_DELAY: Micros = SECOND / 2;

/// Final states that one submission may read for its dependencies. A longer list is accepted at a later try,
/// for which the states read so far are kept.
const MAX_DEPENDENCY_READS: usize = 40;

/// Why a submission is not accepted.
#[derive(Debug, thiserror::Error)]
enum SubmissionError {
    /// 400: the body is no submission.
    #[error("{0}")]
    Malformed(String),
    /// 400 or 422: a field is out of bounds, or the job can never run.
    #[error(transparent)]
    Inadmissible(#[from] AdmissionError),
    /// 400: the job's record cannot be stored.
    #[error("names or lists are too long for a value of the state service")]
    TooLarge,
    /// 429: writes would have to wait too long, or the state service limits them.
    #[error("too many writes are queued")]
    Overloaded,
    /// 503: whether the job can be accepted is not known, or its write got no answer.
    #[error("the submission cannot be decided at present")]
    Unavailable,
}

impl From<StateUnavailable> for SubmissionError {
    fn from(_: StateUnavailable) -> SubmissionError {
        SubmissionError::Unavailable
    }
}

/// How a submission was accepted.
enum Acceptance {
    /// 201: by this request.
    Created,
    /// 200: by an earlier one. This is the job's state.
    Existing(JobAnswer),
}

/// What became of one try to write a job.
enum WriteOutcome {
    /// The job's record is written.
    Created,
    /// The job was accepted before. This is its state.
    Existing(JobAnswer),
    /// A step before the job's record met a conflict: all steps are made anew.
    Retry,
}

impl Controller {
    /// Answers a submission.
    pub(super) async fn submit(&self, body: &[u8]) -> Response {
        let submission: Submission = match decode(body) {
            Ok(submission) => submission,
            Err(error) => {
                let id = id_in(body).unwrap_or_default();
                let error = SubmissionError::Malformed(error.to_string());
                return self.reject(&id, error).await;
            }
        };
        match self.accept(&submission).await {
            Ok(Acceptance::Created) => {
                let state = JobAnswer {
                    id: submission.id,
                    status: Status::Pending,
                    done: 0,
                    running: 0,
                    dependencies: Vec::new(),
                };
                Response::with(201, &state)
            }
            Ok(Acceptance::Existing(state)) => Response::with(200, &state),
            Err(error) => self.reject(&submission.id, error).await,
        }
    }

    /// Answers a submission that is not accepted now. A job that was accepted under its id is answered with its
    /// state instead: the cluster state does not hold every finished job, and machine types may have changed.
    async fn reject(&self, id: &str, error: SubmissionError) -> Response {
        let status = match &error {
            SubmissionError::Malformed(_)
            | SubmissionError::Inadmissible(AdmissionError::Malformed(_)) => 400,
            SubmissionError::Inadmissible(AdmissionError::Impossible(_)) => 422,
            SubmissionError::TooLarge => {
                tracing::debug!(id, %error, "submission rejected");
                return Response::refusal(400, &error.to_string());
            }
            SubmissionError::Overloaded => return Response::retry_later(429, RETRY_AFTER_S),
            SubmissionError::Unavailable => return unavailable(),
        };
        tracing::debug!(id, status, %error, "submission rejected");
        let rejection = Response::refusal(status, &error.to_string());
        if !valid_id(id) {
            return rejection;
        }
        match self.job_state(id).await {
            Ok(Some(state)) => Response::with(200, &state),
            Ok(None) => rejection,
            Err(StateUnavailable) => unavailable(),
        }
    }

    /// Accepts a submission, or says why not.
    async fn accept(&self, submission: &Submission) -> Result<Acceptance, SubmissionError> {
        let id = &submission.id;
        check_ids(submission)?;
        if self.cached_job_state(id).is_some() {
            let state = self.job_state(id).await?;
            return state
                .map(Acceptance::Existing)
                .ok_or(SubmissionError::Unavailable);
        }
        let mut spec = self.admit(submission)?;
        if !self.watch_cache.current() {
            return Err(SubmissionError::Unavailable);
        }
        let names = submission.dependencies.as_deref().unwrap_or_default();
        if !names.is_empty() {
            spec.dependencies.jobs = JobIdList(self.resolve_dependencies(id, names).await?);
        }
        let write_delay_us = self.watch_cache.client().write_delay();
        if write_delay_us > MAX_WRITE_DELAY {
            tracing::debug!(write_delay_us, "submission deferred, write queue too long");
            return Err(SubmissionError::Overloaded);
        }
        self.write_job(submission, &spec).await
    }

    /// Checks a submission against the settings and the machine types.
    fn admit(&self, submission: &Submission) -> Result<JobSpec, SubmissionError> {
        if !self.watch_cache.loaded() {
            return Err(SubmissionError::Unavailable);
        }
        let view = self.watch_cache.view();
        if view.machine_types.is_empty() {
            return Err(SubmissionError::Unavailable);
        }
        Ok(validate(
            submission,
            &self.settings,
            &view.machine_types,
            wall(),
        )?)
    }

    /// Checks the dependencies that a submission names and gives those that still count.
    async fn resolve_dependencies(
        &self,
        id: &str,
        names: &[String],
    ) -> Result<Vec<JobId>, SubmissionError> {
        // A controller of the previous version would start the job at once: none until all are newer.
        if self.watch_cache.view().layout.is_none() || !self.watch_cache.current() {
            return Err(SubmissionError::Unavailable);
        }
        let unknown = match check_dependencies(&self.watch_cache.view(), id, names) {
            DependencyCheck::Accepted(dependencies) => return Ok(dependencies),
            DependencyCheck::Impossible(reason) => return Err(impossible(reason)),
            DependencyCheck::Unknown(unknown) => unknown,
        };
        self.read_dependencies(&unknown).await?;
        match check_dependencies(&self.watch_cache.view(), id, names) {
            DependencyCheck::Accepted(dependencies) => Ok(dependencies),
            DependencyCheck::Impossible(reason) => Err(impossible(reason)),
            DependencyCheck::Unknown(_) => {
                Err(impossible("waits for a job that was never accepted"))
            }
        }
    }

    /// Reads what became of jobs that the watch cache does not have.
    async fn read_dependencies(&self, unknown: &[JobId]) -> Result<(), SubmissionError> {
        if unknown.len() > MAX_DEPENDENCY_READS {
            // Final states are kept, so that the next try needs to read fewer.
            for dependency in unknown.iter().take(MAX_DEPENDENCY_READS) {
                let _ = self.watch_cache.read_finished_job(dependency).await;
            }
            return Err(SubmissionError::Unavailable);
        }
        let mut missing = false;
        for dependency in unknown {
            match self.watch_cache.read_finished_job(dependency).await {
                Ok(finished_job) => missing |= finished_job.is_none(),
                Err(_) => return Err(SubmissionError::Unavailable),
            }
        }
        // A job that is not finished is among the unfinished ones, as a read begun now shows them, or nobody
        // accepted it.
        if missing && !self.watch_cache.linearizable_read().await {
            return Err(SubmissionError::Unavailable);
        }
        Ok(())
    }

    /// Writes an admitted job. Long lists of dependencies are written in steps before its record.
    async fn write_job(
        &self,
        submission: &Submission,
        spec: &JobSpec,
    ) -> Result<Acceptance, SubmissionError> {
        let id = &submission.id;
        for _ in 0..MAX_TRANSACTIONS {
            let steps =
                accept_submission(&self.watch_cache.view(), id, spec.clone(), self.limits());
            let steps = steps.ok_or(SubmissionError::TooLarge)?;
            match self.write_steps(id, steps).await? {
                WriteOutcome::Created => {
                    let (class, dependencies) = (&submission.class, &submission.dependencies);
                    tracing::debug!(id, class, ?dependencies, "job accepted");
                    return Ok(Acceptance::Created);
                }
                WriteOutcome::Existing(state) => return Ok(Acceptance::Existing(state)),
                WriteOutcome::Retry => {}
            }
        }
        Err(SubmissionError::Unavailable)
    }

    /// Carries out the steps of an acceptance until one meets a conflict.
    async fn write_steps(
        &self,
        id: &str,
        steps: Vec<Transaction>,
    ) -> Result<WriteOutcome, SubmissionError> {
        let record_key = keys::job(id);
        for step in steps {
            let mut mutations = step.mutations.iter();
            let writes_record = mutations.any(|mutation| mutation.key() == record_key);
            match self.watch_cache.transaction(&step).await {
                TransactionOutcome::Done(_) if writes_record => return Ok(WriteOutcome::Created),
                TransactionOutcome::Done(_) => {}
                TransactionOutcome::Conflict(_) => {
                    return match self.job_state(id).await? {
                        Some(state) => Ok(WriteOutcome::Existing(state)),
                        None if !writes_record => Ok(WriteOutcome::Retry),
                        None => Err(SubmissionError::Unavailable),
                    };
                }
                TransactionOutcome::Refused(429) => return Err(SubmissionError::Overloaded),
                TransactionOutcome::Refused(_) | TransactionOutcome::Unknown => {
                    return Err(SubmissionError::Unavailable);
                }
            }
        }
        Ok(WriteOutcome::Retry)
    }
}

/// Checks the form of every id that a submission names.
fn check_ids(submission: &Submission) -> Result<(), SubmissionError> {
    let dependencies = submission.dependencies.iter().flatten();
    let mut ids = dependencies.chain([&submission.id]);
    match ids.find(|id| !valid_id(id)) {
        Some(id) => Err(SubmissionError::Malformed(format!("no job id: {id:.40}"))),
        None => Ok(()),
    }
}

/// A dependency with which the job can never run.
fn impossible(reason: &'static str) -> SubmissionError {
    AdmissionError::Impossible(reason).into()
}

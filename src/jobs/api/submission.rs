//! Idempotent submission: the job's id is the idempotency key. The answer for an accepted job is its state,
//! even if a repeated submission has a different content; only a job that was never accepted is refused
//! (`refusal`).

use super::super::commit::accept_submission;
use super::super::memory_budget::MemoryExhausted;
use super::super::model::{AdmissionError, JobId, JobIdList, JobSpec, validate};
use super::super::pipelines::{DependencyCheck, check_dependencies};
use super::refusal::RefusalReason;
use super::{MAX_TRANSACTIONS_PER_REQUEST, StateUnavailable};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{Micros, SECOND, wall_clock_now};
use crate::wire::decode;
use crate::wire::server::{Request, Response};
use crate::wire::state::Transaction;
use crate::wire::user::{JobAnswer, Status, Submission, is_valid_job_id, job_id_in_body};

/// Longest wait for the write budget of the state service; a submission that would have to wait longer is
/// answered with status 429.
const MAX_WRITE_DELAY: Micros = SECOND / 2;

/// Largest number of final states that one submission may read for its dependencies. If more are missing,
/// the submission is accepted on a later retry, as the states that were read stay in the watch cache.
const MAX_DEPENDENCY_READS: usize = 40;

/// Reason why a submission is not accepted.
enum SubmissionError {
    /// The submission is refused, unless an earlier one was accepted.
    Refused(RefusalReason),
    /// It is unknown whether the job was accepted.
    Unknown(StateUnavailable),
}

impl From<RefusalReason> for SubmissionError {
    fn from(reason: RefusalReason) -> SubmissionError {
        SubmissionError::Refused(reason)
    }
}

impl From<StateUnavailable> for SubmissionError {
    fn from(unavailable: StateUnavailable) -> SubmissionError {
        SubmissionError::Unknown(unavailable)
    }
}

/// Result of accepting a submission.
enum Acceptance {
    /// 201: accepted by this request.
    Created,
    /// 200: accepted by an earlier request; contains the job's state.
    Existing(JobAnswer),
}

/// Result of one attempt to write a job.
enum WriteOutcome {
    /// The job's record is written.
    Created,
    /// The job was accepted by an earlier request; contains its state.
    Existing(JobAnswer),
    /// A transaction before the one with the job's record conflicted, or none wrote the record: all
    /// transactions have to be built again.
    Retry,
}

impl Controller {
    /// Handles a submission.
    pub(super) async fn submit(&self, request: &Request) -> Result<Response, StateUnavailable> {
        let Some(body) = &request.body else {
            let id = job_id_in_body(&request.body_start);
            return self
                .refuse(id.as_deref(), RefusalReason::BodyTooLarge)
                .await;
        };
        let submission: Submission = match decode(body) {
            Ok(submission) => submission,
            Err(error) => {
                let reason = RefusalReason::Malformed(error.to_string());
                return self.refuse(job_id_in_body(body).as_deref(), reason).await;
            }
        };
        match self.accept(&submission).await {
            Ok(Acceptance::Created) => Ok(created_response(submission.id)),
            Ok(Acceptance::Existing(state)) => Ok(Response::with_body(200, &state)),
            Err(SubmissionError::Refused(reason)) => {
                self.refuse(Some(&submission.id), reason).await
            }
            Err(SubmissionError::Unknown(unavailable)) => Err(unavailable),
        }
    }

    /// Accepts a submission, or returns the reason for not accepting it.
    async fn accept(&self, submission: &Submission) -> Result<Acceptance, SubmissionError> {
        let id = &submission.id;
        check_ids(submission)?;
        if self.cached_job_state(id).is_some() {
            let state = self.job_state(id).await?;
            return Ok(Acceptance::Existing(state.ok_or(StateUnavailable)?));
        }
        let mut spec = self.admit(submission)?;
        if !self.watch_cache.is_current() {
            return Err(StateUnavailable.into());
        }
        let names = submission.dependencies.as_deref().unwrap_or_default();
        if !names.is_empty() {
            spec.dependencies.jobs = JobIdList(self.resolve_dependencies(id, names).await?);
        }
        let write_delay_us = self.watch_cache.client().write_delay();
        if write_delay_us > MAX_WRITE_DELAY {
            tracing::debug!(write_delay_us, "submission deferred, write queue too long");
            return Err(RefusalReason::WriteQueueFull.into());
        }
        self.check_memory(&spec)
            .map_err(RefusalReason::MemoryExhausted)?;
        self.write_job(submission, &spec).await
    }

    /// Checks that there is memory for a job. Refusals are counted, and logged at an interval.
    fn check_memory(&self, spec: &JobSpec) -> Result<(), MemoryExhausted> {
        let Some(budget) = self.job_memory_budget else {
            return Ok(());
        };
        let view = self.watch_cache.view();
        let checked = budget.check(&view, spec);
        if let Err(shortage) = &checked
            && let Some(refused) = self.memory_refusals.record(self.clock.now())
        {
            tracing::warn!(
                refused,
                unfinished_jobs = view.jobs.len(),
                used_bytes = shortage.used_bytes,
                max_bytes = shortage.max_bytes,
                "submissions deferred, unfinished jobs use the memory reserved for them"
            );
        }
        checked
    }

    /// Validates a submission against the settings and the machine types.
    fn admit(&self, submission: &Submission) -> Result<JobSpec, SubmissionError> {
        if !self.watch_cache.loaded() {
            return Err(StateUnavailable.into());
        }
        let view = self.watch_cache.view();
        let types = &view.machine_types;
        if types.is_empty() {
            return Err(RefusalReason::Undecided("the machine types are not known").into());
        }
        let spec = validate(submission, &self.settings, types, wall_clock_now());
        Ok(spec.map_err(RefusalReason::Inadmissible)?)
    }

    /// Checks the dependencies of a submission and returns those that have to be stored.
    async fn resolve_dependencies(
        &self,
        id: &str,
        names: &[String],
    ) -> Result<Vec<JobId>, SubmissionError> {
        // A controller of the previous version would start the job at once, so dependencies are not
        // accepted until every controller runs a newer version.
        if self.watch_cache.view().layout.is_none() {
            return Err(RefusalReason::Undecided("no layout with dependencies is in force").into());
        }
        if !self.watch_cache.is_current() {
            return Err(StateUnavailable.into());
        }
        let unknown = match check_dependencies(&self.watch_cache.view(), id, names) {
            DependencyCheck::Accepted(dependencies) => return Ok(dependencies),
            DependencyCheck::Infeasible(reason) => return Err(infeasible_job(reason)),
            DependencyCheck::Unknown(unknown) => unknown,
        };
        self.read_dependencies(&unknown).await?;
        match check_dependencies(&self.watch_cache.view(), id, names) {
            DependencyCheck::Accepted(dependencies) => Ok(dependencies),
            DependencyCheck::Infeasible(reason) => Err(infeasible_job(reason)),
            DependencyCheck::Unknown(_) => {
                Err(infeasible_job("waits for a job that was never accepted"))
            }
        }
    }

    /// Reads the final states of jobs that the watch cache does not contain.
    async fn read_dependencies(&self, unknown: &[JobId]) -> Result<(), SubmissionError> {
        if unknown.len() > MAX_DEPENDENCY_READS {
            // The states that are read stay in the watch cache, so that the next retry has to read fewer.
            for dependency in unknown.iter().take(MAX_DEPENDENCY_READS) {
                let _ = self.watch_cache.read_finished_job(dependency).await;
            }
            return Err(RefusalReason::Undecided("not all dependencies are read").into());
        }
        let mut missing = false;
        for dependency in unknown {
            match self.watch_cache.read_finished_job(dependency).await {
                Ok(finished_job) => missing |= finished_job.is_none(),
                Err(_) => return Err(StateUnavailable.into()),
            }
        }
        // A job without a final state is either among the unfinished jobs, which a read that begins now
        // returns, or was never accepted.
        if missing && !self.watch_cache.linearizable_read().await {
            return Err(StateUnavailable.into());
        }
        Ok(())
    }

    /// Writes an admitted job. Long lists of dependencies are written by separate transactions before its
    /// record.
    async fn write_job(
        &self,
        submission: &Submission,
        spec: &JobSpec,
    ) -> Result<Acceptance, SubmissionError> {
        let id = &submission.id;
        for _ in 0..MAX_TRANSACTIONS_PER_REQUEST {
            let transactions = accept_submission(
                &self.watch_cache.view(),
                id,
                spec.clone(),
                self.transaction_limits(),
            );
            let transactions = transactions.ok_or(RefusalReason::RecordTooLarge)?;
            match self.send_transactions(id, transactions).await? {
                WriteOutcome::Created => {
                    let (class, dependencies) = (&submission.class, &submission.dependencies);
                    tracing::debug!(id, class, ?dependencies, "job accepted");
                    return Ok(Acceptance::Created);
                }
                WriteOutcome::Existing(state) => return Ok(Acceptance::Existing(state)),
                WriteOutcome::Retry => {}
            }
        }
        Err(StateUnavailable.into())
    }

    /// Sends the transactions of an acceptance in order, up to the first one that conflicts or fails.
    async fn send_transactions(
        &self,
        id: &str,
        transactions: Vec<Transaction>,
    ) -> Result<WriteOutcome, SubmissionError> {
        let record_key = keys::job(id);
        for transaction in transactions {
            let mut mutations = transaction.mutations.iter();
            let writes_record = mutations.any(|mutation| mutation.key() == record_key);
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Committed(_) if writes_record => {
                    return Ok(WriteOutcome::Created);
                }
                TransactionOutcome::Committed(_) => {}
                TransactionOutcome::Conflict(_) => {
                    return match self.job_state(id).await? {
                        Some(state) => Ok(WriteOutcome::Existing(state)),
                        None if !writes_record => Ok(WriteOutcome::Retry),
                        None => Err(StateUnavailable.into()),
                    };
                }
                TransactionOutcome::Rejected(429) => {
                    return Err(RefusalReason::WriteQueueFull.into());
                }
                TransactionOutcome::Rejected(400) => {
                    let missing = "the state service does not take the record";
                    return Err(RefusalReason::Undecided(missing).into());
                }
                TransactionOutcome::Rejected(_) | TransactionOutcome::Unknown => {
                    return Err(StateUnavailable.into());
                }
            }
        }
        Ok(WriteOutcome::Retry)
    }
}

/// Checks the format of every id in a submission.
fn check_ids(submission: &Submission) -> Result<(), SubmissionError> {
    let dependencies = submission.dependencies.iter().flatten();
    let mut ids = dependencies.chain([&submission.id]);
    match ids.find(|id| !is_valid_job_id(id)) {
        Some(id) => Err(RefusalReason::Malformed(format!("no job id: {id:.40}")).into()),
        None => Ok(()),
    }
}

/// Returns the error for dependencies with which the job can never run.
fn infeasible_job(reason: &'static str) -> SubmissionError {
    RefusalReason::Inadmissible(AdmissionError::Infeasible(reason)).into()
}

/// Returns the response for a job that was accepted by this request.
fn created_response(id: String) -> Response {
    let state = JobAnswer {
        id,
        status: Status::Pending,
        done: 0,
        running: 0,
        dependencies: Vec::new(),
    };
    Response::with_body(201, &state)
}

//! Lookups of jobs that this cache does not contain: whether a job was ever accepted. Batched: one request to the
//! service serves all callers that were waiting when it was sent, and requests are sent at an interval, so that a
//! flood of lookups takes a fixed share of the request budget.

use super::recent_absences::RecentAbsences;
use super::{WatchCache, sleep};
use crate::jobs::model::JobId;
use crate::store::client::TransactionOutcome;
use crate::store::keys;
use crate::time::{Micros, SECOND, to_duration};
use crate::wire::state::{Precondition, Transaction};
use async_io::Timer;
use futures_lite::FutureExt;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Pause between two batches of lookups. All callers that arrive during the pause share the next batch.
const LOOKUP_PAUSE: Micros = SECOND / 5;
/// Largest number of callers that wait for a lookup. Further ones fail at once.
const MAX_WAITING_LOOKUPS: usize = 64;
/// Longest wait for a lookup. Short enough for a caller to answer its user, who waits for 5 seconds.
const LOOKUP_TIMEOUT: Micros = 2 * SECOND;
/// Number of keys that are compared for one job: its record and its final state.
const KEYS_PER_JOB: usize = 2;

/// Error of a lookup: it is unknown whether the job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// More lookups wait than can be served.
    #[error("too many lookups wait for the state service")]
    QueueFull,
    /// The state service did not answer, or not in time.
    #[error("the state service did not answer the lookup")]
    Unavailable,
}

/// Channel for the result of one lookup: whether the job was accepted.
type ResultSender = async_channel::Sender<Result<bool, LookupError>>;

/// One caller that waits for a lookup.
struct AcceptanceLookup {
    id: JobId,
    result: ResultSender,
}

/// Callers that wait for a lookup, and results of recent ones.
pub(super) struct AcceptanceLookups {
    sender: async_channel::Sender<AcceptanceLookup>,
    receiver: async_channel::Receiver<AcceptanceLookup>,
    pub(super) recent_absences: RefCell<RecentAbsences>,
}

impl Default for AcceptanceLookups {
    fn default() -> AcceptanceLookups {
        let (sender, receiver) = async_channel::bounded(MAX_WAITING_LOOKUPS);
        AcceptanceLookups {
            sender,
            receiver,
            recent_absences: RefCell::default(),
        }
    }
}

/// Lookups that share one request, by job.
#[derive(Default)]
struct LookupBatch(BTreeMap<JobId, Vec<ResultSender>>);

impl LookupBatch {
    /// Adds a caller, unless its request has ended meanwhile.
    fn add(&mut self, lookup: AcceptanceLookup) {
        if !lookup.result.is_closed() {
            self.0.entry(lookup.id).or_default().push(lookup.result);
        }
    }

    /// Returns a transaction without changes that succeeds only if no job of the batch was ever accepted. A job that
    /// was accepted has a record until it has a final state, and both change in one transaction.
    fn absence_check(&self) -> Transaction {
        let absent = |key: String| Precondition { key, version: 0 };
        let keys = self
            .0
            .keys()
            .flat_map(|id| [keys::job(id), keys::finished_job(id)]);
        Transaction {
            preconditions: keys.map(absent).collect(),
            mutations: Vec::new(),
        }
    }

    /// Removes the jobs with one of these keys and reports to their callers that they were accepted. Returns whether
    /// there were any.
    fn resolve_accepted(&mut self, existing_keys: &[String]) -> bool {
        let exists = |id: &JobId| {
            existing_keys.contains(&keys::job(id))
                || existing_keys.contains(&keys::finished_job(id))
        };
        let jobs_before = self.0.len();
        self.0.retain(|id, callers| {
            let accepted = exists(id);
            if accepted {
                report(callers, Ok(true));
            }
            !accepted
        });
        self.0.len() < jobs_before
    }

    /// Reports a result to all callers that are left.
    fn resolve_all(self, result: Result<bool, LookupError>) {
        for callers in self.0.values() {
            report(callers, result);
        }
    }
}

fn report(callers: &[ResultSender], result: Result<bool, LookupError>) {
    for caller in callers {
        // Fails if the caller was dropped. No result is needed then.
        let _ = caller.try_send(result);
    }
}

impl WatchCache {
    /// Returns whether a job was accepted at any time before this call, by any controller. Jobs that were accepted
    /// during the call may be reported as either. Fails if that cannot be determined at present.
    pub async fn was_accepted(&self, id: &JobId) -> Result<bool, LookupError> {
        if !self.is_current() {
            return Err(LookupError::Unavailable);
        }
        let (result_sender, result) = async_channel::bounded(1);
        let lookup = AcceptanceLookup {
            id: id.clone(),
            result: result_sender,
        };
        self.lookups
            .sender
            .try_send(lookup)
            .map_err(|_| LookupError::QueueFull)?;
        let answer = async { result.recv().await.unwrap_or(Err(LookupError::Unavailable)) };
        let timeout = async {
            Timer::after(to_duration(LOOKUP_TIMEOUT)).await;
            Err(LookupError::Unavailable)
        };
        answer.or(timeout).await
    }

    /// Returns whether a recent lookup found that a job was never accepted. For jobs that are not in the state; sufficient
    /// for a deferral only, because the watch may not have delivered the acceptance yet.
    pub fn was_recently_absent(&self, id: &str) -> bool {
        let recent_absences = self.lookups.recent_absences.borrow();
        recent_absences.contains(id, self.clock.now())
    }

    /// Executes lookups while the controller runs. `max_preconditions` is the largest number of preconditions of a
    /// transaction under every limit that the state service may have.
    pub async fn acceptance_lookup_loop(&self, max_preconditions: usize) {
        let max_jobs = (max_preconditions / KEYS_PER_JOB).max(1);
        let queue = &self.lookups.receiver;
        while let Ok(first) = queue.recv().await {
            let mut batch = LookupBatch::default();
            batch.add(first);
            while batch.0.len() < max_jobs
                && let Ok(next) = queue.try_recv()
            {
                batch.add(next);
            }
            if !batch.0.is_empty() {
                self.look_up(batch).await;
                sleep(LOOKUP_PAUSE).await;
            }
        }
    }

    /// Looks up the jobs of a batch. That a job was never accepted is concluded only from a comparison that succeeded:
    /// the service may name fewer keys than those that exist.
    async fn look_up(&self, mut batch: LookupBatch) {
        while !batch.0.is_empty() {
            let sent_at = self.clock.now();
            let outcome = self.client.transaction(&batch.absence_check()).await;
            match outcome {
                TransactionOutcome::Committed(_) => {
                    self.record_absences(&batch, sent_at);
                    return batch.resolve_all(Ok(false));
                }
                TransactionOutcome::Conflict(existing_keys)
                    if batch.resolve_accepted(&existing_keys) => {}
                _ => return batch.resolve_all(Err(LookupError::Unavailable)),
            }
        }
    }

    fn record_absences(&self, batch: &LookupBatch, now: Micros) {
        let mut recent_absences = self.lookups.recent_absences.borrow_mut();
        for id in batch.0.keys() {
            recent_absences.record(id.clone(), now);
        }
    }
}

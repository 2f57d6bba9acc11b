//! Cancellation of a job. It is confirmed to the user after the durable write and, while the job is
//! unfinished, never during a confirmation hold.

use super::super::commit::cancel;
use super::super::model::JobId;
use super::job_state::is_final;
use super::{MAX_TRANSACTIONS_PER_REQUEST, StateUnavailable};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::wire::server::Response;
use crate::wire::user::is_valid_job_id;

impl Controller {
    /// Handles a cancellation request. Idempotent: the answer for a finished job is its state.
    pub(super) async fn cancel(&self, id: &str) -> Result<Response, StateUnavailable> {
        if !is_valid_job_id(id) {
            return Ok(Response::status(404));
        }
        for _ in 0..MAX_TRANSACTIONS_PER_REQUEST {
            match self.job_state(id).await? {
                Some(state) if is_final(&state) => return Ok(Response::with_body(200, &state)),
                // The cancellation could not be confirmed after the write, so nothing is written.
                Some(_) if self.membership.confirmations_held(self.clock.now()) => {
                    return Err(StateUnavailable);
                }
                Some(_) => {}
                None => return Ok(Response::status(404)),
            }
            let transaction = cancel(
                &self.watch_cache.view(),
                &JobId::from(id),
                self.transaction_limits(),
            );
            let Some(transaction) = transaction else {
                continue;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Committed(_) | TransactionOutcome::Conflict(_) => {}
                TransactionOutcome::Rejected(_) | TransactionOutcome::Unknown => {
                    return Err(StateUnavailable);
                }
            }
        }
        Err(StateUnavailable)
    }
}

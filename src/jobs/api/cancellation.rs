//! Cancellation of a job: confirmed to the user after the durable write, and not during a confirmation hold.

use super::super::commit::cancel;
use super::super::model::JobId;
use super::job_state::is_final;
use super::{MAX_TRANSACTIONS, StateUnavailable, unavailable};
use crate::controller::Controller;
use crate::store::client::TransactionOutcome;
use crate::wire::server::Response;
use crate::wire::user::valid_id;

impl Controller {
    /// Answers a cancellation. Idempotent: a finished job is answered with its state.
    pub(super) async fn cancel(&self, id: &str) -> Response {
        if !valid_id(id) {
            return Response::status(404);
        }
        for _ in 0..MAX_TRANSACTIONS {
            match self.job_state(id).await {
                Ok(Some(state)) if is_final(&state) => return Response::with(200, &state),
                // Nothing is written that could not be confirmed afterwards.
                Ok(Some(_)) if self.membership.confirmations_held(self.clock.now()) => {
                    return unavailable();
                }
                Ok(Some(_)) => {}
                Ok(None) => return Response::status(404),
                Err(StateUnavailable) => return unavailable(),
            }
            let transaction = cancel(&self.watch_cache.view(), &JobId::from(id), self.limits());
            let Some(transaction) = transaction else {
                continue;
            };
            match self.watch_cache.transaction(&transaction).await {
                TransactionOutcome::Done(_) | TransactionOutcome::Conflict(_) => {}
                TransactionOutcome::Refused(_) | TransactionOutcome::Unknown => {
                    return unavailable();
                }
            }
        }
        unavailable()
    }
}

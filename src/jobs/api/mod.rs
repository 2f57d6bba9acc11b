//! API for users and operators: submission, state, cancellation, forwarding to a peer, inspection.
//!
//! The API owns no state: it reads the cluster state from the watch cache and writes by transactions. This
//! file dispatches users' requests and contains the items that several of the submodules use.

mod cancellation;
mod forwarding;
mod inspection;
mod job_state;
mod refusal;
mod submission;

pub use forwarding::has_dependencies;

use crate::controller::Controller;
use crate::wire::server::{Request, Response};
use crate::wire::user::{Route, parse_path};
use http_types::Method;

/// `Retry-After` for temporary errors, in seconds: the smallest value that the header can express.
const RETRY_AFTER_S: u64 = 1;

/// Largest number of transactions for one request: a concurrent placement may cause a conflict, and a job's
/// record may have to be split first.
const MAX_TRANSACTIONS_PER_REQUEST: usize = 12;

/// Error for a job state that is unavailable at present: the state service did not answer, or a
/// cancellation may not be confirmed yet.
#[derive(Debug, thiserror::Error)]
#[error("the state of the job is unavailable at present")]
struct StateUnavailable;

/// Returns status 503: the request cannot be answered at present.
fn service_unavailable() -> Response {
    Response::retry_later(503, RETRY_AFTER_S)
}

impl Controller {
    /// Dispatches a user's request to its handler.
    pub async fn handle_user_request(&self, request: &Request) -> Response {
        let response = self.answer_user_request(request).await;
        response.unwrap_or_else(|StateUnavailable| service_unavailable())
    }

    /// Dispatches a user's request to its handler. Fails if this controller cannot answer it while another one
    /// may be able to.
    async fn answer_user_request(&self, request: &Request) -> Result<Response, StateUnavailable> {
        match (parse_path(&request.path), request.method) {
            (Some(Route::Submit), Method::Post) => self.submit(request).await,
            (Some(Route::Job(id)), Method::Get) => self.handle_job_state_request(id).await,
            (Some(Route::Cancel(id)), Method::Post) => self.cancel(id).await,
            (Some(_), _) => Ok(Response::status(405)),
            (None, _) => Ok(Response::status(404)),
        }
    }
}

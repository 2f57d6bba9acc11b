//! API for users and operators: submission, state, cancellation, forwarding to a peer, inspection.
//!
//! The API owns no state: it reads the cluster state that the watch cache holds and writes by transactions.
//! Each concern has its file; this one dispatches users' requests and has what several concerns need.

mod cancellation;
mod forwarding;
mod inspection;
mod job_state;
mod submission;

pub use forwarding::names_dependencies;

use crate::controller::Controller;
use crate::wire::server::{Request, Response};
use crate::wire::user::{Route, route};
use http_types::Method;

/// `Retry-After` of an answer that passes, in seconds: the least that the header can say.
const RETRY_AFTER_S: u64 = 1;

/// Transactions for one request: a placement may come in between, and a record may have to be split first.
const MAX_TRANSACTIONS: usize = 12;

/// The state of a job cannot be told at present: the state service did not answer, or a cancellation may not
/// be confirmed yet.
#[derive(Debug, thiserror::Error)]
#[error("the state of the job cannot be told at present")]
struct StateUnavailable;

/// 503: the request cannot be answered at present.
fn unavailable() -> Response {
    Response::retry_later(503, RETRY_AFTER_S)
}

impl Controller {
    /// Answers a user's request.
    pub async fn on_user(&self, request: Request) -> Response {
        match (route(&request.path), request.method) {
            (Some(Route::Submit), Method::Post) => match request.body {
                Some(body) => self.submit(&body).await,
                None => Response::refusal(400, "the body is cut short or larger than 64 KiB"),
            },
            (Some(Route::Job(id)), Method::Get) => self.poll(id).await,
            (Some(Route::Cancel(id)), Method::Post) => self.cancel(id).await,
            (Some(_), _) => Response::status(405),
            (None, _) => Response::status(404),
        }
    }
}

//! Forwards requests to a peer that reaches the state service while this controller does not. Processing a
//! request twice is harmless: submissions are idempotent by their id.

use super::{StateUnavailable, service_unavailable};
use crate::controller::Controller;
use crate::time::{Micros, SECOND};
use crate::wire::decode;
use crate::wire::peer::{FORWARD_PATH, ForwardedRequest, ForwardedResponse, pack, unpack};
use crate::wire::server::{Request, Response};
use crate::wire::user::Submission;
use http_types::Method;
use std::net::SocketAddr;

/// Time after which a forwarded request is abandoned. Short enough for this controller to answer the user
/// itself before the user's request times out.
const FORWARD_TIMEOUT: Micros = SECOND;

/// Statuses with which a submission is refused for good.
const REFUSAL_STATUSES: [u16; 2] = [400, 422];

/// Returns whether a request body is a submission with dependencies.
pub fn has_dependencies(body: &[u8]) -> bool {
    decode::<Submission>(body).is_ok_and(|submission| {
        submission
            .dependencies
            .is_some_and(|dependencies| !dependencies.is_empty())
    })
}

impl Controller {
    /// Handles a user's request, and forwards it to a peer if this controller cannot answer it.
    pub async fn handle_or_forward_user_request(&self, request: Request) -> Response {
        match self.answer_user_request(&request).await {
            Ok(response) => response,
            Err(StateUnavailable) => {
                let forwarded = self.forward_user_request(request).await;
                forwarded.unwrap_or_else(service_unavailable)
            }
        }
    }

    /// Returns a peer's answer to a user's request; `None` if there is none that may be passed on.
    async fn forward_user_request(&self, request: Request) -> Option<Response> {
        let body = request.body?;
        // A peer of the previous version ignores dependencies: it would accept the job and start it at
        // once.
        if self.watch_cache.view().layout.is_none() && has_dependencies(&body) {
            return None;
        }
        let address = self.peer_with_state_service()?;
        let forwarded = ForwardedRequest {
            post: request.method == Method::Post,
            path: request.path,
            body,
        };
        self.forward(address, &forwarded).await
    }

    /// Returns the address of a peer that reaches the state service.
    fn peer_with_state_service(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let mut peers = self.settings.peers.iter();
        peers
            .find(|peer| self.membership.peer_reaches_state_service(&peer.name, now))
            .map(|peer| peer.address)
    }

    /// Sends a request to a peer and returns its answer; `None` if the call fails, the answer cannot be decoded, or it is
    /// a refusal of a job that may have been accepted.
    async fn forward(&self, address: SocketAddr, request: &ForwardedRequest) -> Option<Response> {
        let body = Some(pack(request));
        let call = self
            .http
            .call(address, Method::Post, FORWARD_PATH, body, FORWARD_TIMEOUT);
        let answer: ForwardedResponse = unpack(&call.await.ok()?.body)?;
        let is_refusal = REFUSAL_STATUSES.contains(&answer.status);
        if is_refusal && !answer.acceptance_settled {
            return None;
        }
        Some(Response {
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after,
        })
    }

    /// Handles a request that a peer forwarded.
    pub async fn handle_forwarded_request(&self, body: &[u8]) -> Response {
        let Some(forwarded) = unpack::<ForwardedRequest>(body) else {
            return Response::status(400);
        };
        let method = if forwarded.post {
            Method::Post
        } else {
            Method::Get
        };
        let request = Request {
            method,
            path: forwarded.path,
            body: Some(forwarded.body),
            body_start: Vec::new(),
        };
        let response = self.handle_user_request(&request).await;
        Response {
            status: 200,
            body: pack(&ForwardedResponse {
                status: response.status,
                body: response.body,
                retry_after: response.retry_after,
                acceptance_settled: true,
            }),
            retry_after: None,
        }
    }
}

//! Requests that this controller cannot answer for want of the state service are forwarded to a peer that
//! reaches it. A request that is carried out twice does no harm: submissions are idempotent by their id.

use crate::controller::Controller;
use crate::time::{Micros, SECOND};
use crate::wire::decode;
use crate::wire::peer::{FORWARD_PATH, ForwardedRequest, ForwardedResponse, pack, unpack};
use crate::wire::server::{Request, Response};
use crate::wire::user::Submission;
use http_types::Method;
use std::net::SocketAddr;

/// Time for a peer's answer, short enough that the user still gets ours.
const FORWARD_TIMEOUT: Micros = SECOND;

/// Whether a body is a submission with dependencies.
pub fn names_dependencies(body: &[u8]) -> bool {
    decode::<Submission>(body).is_ok_and(|submission| {
        submission
            .dependencies
            .is_some_and(|dependencies| !dependencies.is_empty())
    })
}

impl Controller {
    /// Answers a user's request, by way of a peer if this controller cannot.
    pub async fn on_user_or_forward(&self, request: Request) -> Response {
        let forwarded = request.body.as_ref().map(|body| ForwardedRequest {
            post: request.method == Method::Post,
            path: request.path.clone(),
            body: body.clone(),
        });
        let response = self.on_user(request).await;
        let (503, Some(forwarded)) = (response.status, forwarded) else {
            return response;
        };
        // A peer of the previous version would accept the job and start it without its dependencies.
        if self.watch_cache.view().layout.is_none() && names_dependencies(&forwarded.body) {
            return response;
        }
        let Some(address) = self.serving_peer() else {
            return response;
        };
        self.forward(address, &forwarded).await.unwrap_or(response)
    }

    /// Address of a peer that reaches the state service.
    fn serving_peer(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let mut peers = self.settings.peers.iter();
        peers
            .find(|peer| self.membership.peer_reaches_state_service(&peer.name, now))
            .map(|peer| peer.address)
    }

    /// The peer's answer; `None` if there is none that can be used.
    async fn forward(&self, address: SocketAddr, request: &ForwardedRequest) -> Option<Response> {
        let body = Some(pack(request));
        let call = self
            .http
            .call(address, Method::Post, FORWARD_PATH, body, FORWARD_TIMEOUT);
        let answer: ForwardedResponse = unpack(&call.await.ok()?.body)?;
        Some(Response {
            status: answer.status,
            body: answer.body,
            retry_after: answer.retry_after,
        })
    }

    /// Answers a request that a peer forwarded.
    pub async fn on_forward(&self, body: &[u8]) -> Response {
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
        };
        let response = self.on_user(request).await;
        Response {
            status: 200,
            body: pack(&ForwardedResponse {
                status: response.status,
                body: response.body,
                retry_after: response.retry_after,
            }),
            retry_after: None,
        }
    }
}

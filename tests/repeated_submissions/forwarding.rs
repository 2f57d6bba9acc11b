//! Submissions that are forwarded to a peer, because this controller does not reach the state service.

use crate::common::state_service::{read_request, write_response};
use crate::world::{ACCEPTED_JOBS, World, service_state, submission};
use coppergw::wire::encode;
use coppergw::wire::peer::{ForwardedRequest, ForwardedResponse, PeerHeartbeat, pack, unpack};
use coppergw::wire::server::Request;
use http_types::Method;
use serde_json::json;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};

/// Name of the peer in the settings.
const PEER: &str = "b";

/// Starts a peer that gives this answer to every forwarded request.
fn start_peer(status: u16, acceptance_settled: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = pack(&ForwardedResponse {
        status,
        body: Vec::new(),
        retry_after: None,
        acceptance_settled,
    });
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
            while read_request(&mut reader).is_some() {
                write_response(&stream, 200, &answer);
            }
        }
    });
    address
}

/// Returns the status of a submission that this controller can only answer with the help of a peer.
fn forwarded_status(peer_status: u16, acceptance_settled: bool) -> u16 {
    let peer = start_peer(peer_status, acceptance_settled);
    let sibling = format!(
        "[[siblings]]\nnode_name = \"{PEER}\"\narea = \"z\"\nendpoint = \"{peer}\"\n[outside]"
    );
    let edit = |settings: String| settings.replace("[outside]", &sibling);
    let (sender, status) = std::sync::mpsc::channel();
    World::run(service_state(), edit, |world| async move {
        let heartbeat = PeerHeartbeat {
            node: PEER.into(),
            state_service_reachable: true,
            ..PeerHeartbeat::default()
        };
        world.controller.handle_peer_heartbeat(&pack(&heartbeat));
        world.service.state().outage_status = Some(503);
        let mut submission = submission(ACCEPTED_JOBS[0].id, "batch");
        submission["owner"] = json!("nobody");
        let request = Request {
            method: Method::Post,
            path: "/api/jobs".into(),
            body: Some(encode(&submission)),
            body_start: Vec::new(),
        };
        let answer = world
            .controller
            .handle_or_forward_user_request(request)
            .await;
        sender.send(answer.status).expect("a receiver");
    });
    status.recv().expect("a status")
}

/// Guards against 400 for an accepted job from a peer of an earlier version, which refuses some jobs without settling
/// whether they were accepted.
#[test]
fn refusal_of_a_peer_that_does_not_settle_acceptance_is_not_passed_on() {
    assert_eq!(forwarded_status(400, false), 503);
    assert_eq!(forwarded_status(422, false), 503);
    assert_eq!(forwarded_status(200, false), 200);
    assert_eq!(forwarded_status(429, false), 429);
    assert_eq!(forwarded_status(422, true), 422);
}

/// Guards against a settled refusal that the forwarding controller cannot tell from one of an earlier version.
#[test]
fn answer_to_a_forwarded_submission_says_that_acceptance_is_settled() {
    World::run(
        service_state(),
        |settings| settings,
        |world| async move {
            let forward = |id: &'static str| {
                let mut submission = submission(id, "batch");
                submission["owner"] = json!("nobody");
                let request = ForwardedRequest {
                    post: true,
                    path: "/api/jobs".into(),
                    body: encode(&submission),
                };
                let controller = world.controller.clone();
                async move {
                    let answer = controller.handle_forwarded_request(&pack(&request)).await;
                    unpack::<ForwardedResponse>(&answer.body).expect("an answer")
                }
            };
            let refused = forward("req-900000").await;
            assert_eq!((refused.status, refused.acceptance_settled), (422, true));
            assert_eq!(forward(ACCEPTED_JOBS[0].id).await.status, 200);
        },
    );
}

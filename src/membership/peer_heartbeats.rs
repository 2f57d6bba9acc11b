//! Heartbeats between controllers: each controller sends its state to all others every half second and
//! processes their responses. Updates [`super::peers::PeerTable`], the cancellation watermarks, the hold on
//! confirming cancellations and the time of the latest returned redirect.

use super::cancellation_watermark::{
    CancellationWatermarks, DigestExchange, DigestInputs, MAX_DIGEST_ENTRIES, cancellation_digest,
    confirmation_hold_end,
};
use super::peers::HeartbeatOrigin;
use crate::autoscaler::model::MachineState;
use crate::controller::Controller;
use crate::settings::Peer;
use crate::time::{Micros, SECOND};
use crate::wire::peer::{CancellationDigest, PEER_HEARTBEAT_PATH, PeerHeartbeat, pack, unpack};
use crate::wire::server::Response;
use http_types::Method;
use std::rc::Rc;

/// Interval between calls to a peer. Two failed calls mark the peer as unreachable, well within its lease.
const HEARTBEAT_INTERVAL: Micros = SECOND / 2;
/// Timeout of a call to a peer.
const CALL_TIMEOUT: Micros = SECOND;
/// Maximum number of ready machines in one heartbeat; bounds its size.
pub const MAX_READY_MACHINES_PER_HEARTBEAT: usize = 500;

impl Controller {
    /// Sends heartbeats to all peers at a fixed interval, until the process ends. Calls run concurrently.
    pub async fn peer_heartbeat_loop(self: Rc<Controller>) {
        loop {
            for peer in self.settings.peers.clone() {
                let controller = self.clone();
                self.executor
                    .spawn(async move { controller.exchange_heartbeat(peer).await })
                    .detach();
            }
            self.sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends one heartbeat, which requests a cancellation digest, and processes the response.
    async fn exchange_heartbeat(&self, peer: Peer) {
        let returned_redirects = self
            .workers
            .returned_redirects(&peer.name, self.clock.now());
        let request = self.own_heartbeat(self.watch_cache.is_current(), returned_redirects, None);
        let body = Some(pack(&request));
        let requested_at = self.clock.now();
        let response = self
            .http
            .call(
                peer.address,
                Method::Post,
                PEER_HEARTBEAT_PATH,
                body,
                CALL_TIMEOUT,
            )
            .await;
        match response
            .ok()
            .and_then(|response| unpack::<PeerHeartbeat>(&response.body))
        {
            Some(reply) => self.record_response(&peer.name, requested_at, request.revision, reply),
            None => {
                if self.membership.peers.record_failure(&peer.name) {
                    self.watch_cache.notifier().notify();
                }
            }
        }
    }

    /// Records the response to a request for the cancellations after a revision.
    fn record_response(
        &self,
        peer: &str,
        requested_at: Micros,
        after_revision: u64,
        response: PeerHeartbeat,
    ) {
        let exchange = DigestExchange {
            peer,
            requested_at,
            responded_at: self.clock.now(),
            after_revision,
            response: &response,
        };
        // Only a response to a request of this controller shows up to which time the peer's digest is
        // complete.
        let cancelled = self
            .membership
            .watermarks
            .borrow_mut()
            .record_response(&exchange);
        self.watch_cache.merge_cancelled(cancelled);
        self.record_peer_heartbeat(response, HeartbeatOrigin::ResponseToRequestAt(requested_at));
    }

    /// Records a heartbeat if its sender is a peer named in the settings.
    fn record_peer_heartbeat(&self, heartbeat: PeerHeartbeat, origin: HeartbeatOrigin) {
        let mut peers = self.settings.peers.iter();
        if !peers.any(|peer| peer.name == heartbeat.node) {
            return;
        }
        let now = self.clock.now();
        self.membership
            .peers
            .record_heartbeat(heartbeat, origin, now);
    }

    /// Handles a peer's heartbeat and returns the response.
    pub fn handle_peer_heartbeat(&self, body: &[u8]) -> Response {
        let Some(heartbeat) = unpack::<PeerHeartbeat>(body) else {
            return Response::status(400);
        };
        let now = self.clock.now();
        if self.misses_heartbeats_of_any(&heartbeat.returned_redirects, now) {
            self.membership
                .worker_reachability
                .record_returned_redirect(now);
        }
        let state_service_reachable = self.watch_cache.is_current();
        let digest = self.own_digest(state_service_reachable, &heartbeat);
        // The hold takes effect before the response that grants it is sent.
        let confirmations_held_until = &self.membership.confirmations_held_until;
        confirmations_held_until.set(
            confirmations_held_until
                .get()
                .max(confirmation_hold_end(&digest, now)),
        );
        self.record_peer_heartbeat(heartbeat, HeartbeatOrigin::Unsolicited);
        let response = self.own_heartbeat(state_service_reachable, Vec::new(), Some(digest));
        Response {
            status: 200,
            body: pack(&response),
            retry_after: None,
        }
    }

    /// Returns the state of this controller as sent to a peer.
    fn own_heartbeat(
        &self,
        state_service_reachable: bool,
        returned_redirects: Vec<String>,
        digest: Option<CancellationDigest>,
    ) -> PeerHeartbeat {
        PeerHeartbeat {
            node: self.node_name().to_string(),
            state_service_reachable,
            unreachable: self.membership.peers.unreachable(),
            returned_redirects,
            ready_machines: self.unrecorded_ready_machines(),
            revision: self.watch_cache.view().revision,
            digest,
        }
    }

    /// Returns the digest of the cancellations in this controller's view after the revision that a peer
    /// requests.
    fn own_digest(
        &self,
        state_service_reachable: bool,
        request: &PeerHeartbeat,
    ) -> CancellationDigest {
        let inputs = DigestInputs {
            view: &self.watch_cache.view(),
            view_loaded: self.watch_cache.was_loaded(),
            state_service_reachable,
            process_age: self.clock.elapsed(),
            max_entries: MAX_DIGEST_ENTRIES,
        };
        cancellation_digest(&inputs, request)
    }

    /// Returns this controller's machines that are ready while their records still say that they boot, with
    /// their sessions. The leader, and the owner that places gangs on the machines of all controllers, need
    /// this information, and writing it for each machine would add load at a moment when writes are the
    /// bottleneck.
    fn unrecorded_ready_machines(&self) -> Vec<(String, u64)> {
        let view = self.watch_cache.view();
        let now = self.clock.now();
        self.workers
            .machines()
            .iter()
            .filter(|(id, machine)| {
                machine.fenced()
                    && now.saturating_sub(machine.heartbeat.last_contact_at)
                        < self.settings.heartbeat_interval * 2
                    && view
                        .machines
                        .get(*id)
                        .is_some_and(|record| record.state == MachineState::Booting)
            })
            .map(|(id, machine)| (id.to_string(), machine.session))
            .take(MAX_READY_MACHINES_PER_HEARTBEAT)
            .collect()
    }

    /// Returns the time, by the monotonic clock, before which every cancellation that any controller may
    /// have confirmed is in this controller's view.
    pub fn cancellation_watermark(&self) -> Micros {
        let names = self.settings.peers.iter().map(|peer| peer.name.as_str());
        let watermarks: &CancellationWatermarks = &self.membership.watermarks.borrow();
        watermarks.cancellation_watermark(
            self.watch_cache.complete_up_to(),
            names,
            self.clock.now(),
        )
    }
}

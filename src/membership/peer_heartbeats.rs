//! Heartbeats between controllers: each sends its state to all others every half second and takes in their answers.
//! Changes [`super::peers::PeerTable`], the cancellation watermarks, the promise to confirm no
//! cancellation and the time of the last redirect that came back.

use super::cancellation_watermark::{
    CancellationWatermarks, DigestExchange, DigestSource, MAX_DIGEST_ENTRIES, cancellation_digest,
    held_until,
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

/// How often a controller calls each peer. Two failed calls declare it unreachable, well within its lease.
const HEARTBEAT_INTERVAL: Micros = SECOND / 2;
/// How long a call to a peer may take.
const CALL_TIMEOUT: Micros = SECOND;
/// A heartbeat names so many ready machines at most, to bound its size.
pub const MAX_READY_MACHINES: usize = 500;

impl Controller {
    /// Sends heartbeats to all peers, for ever. Calls do not wait for one another.
    pub async fn peer_loop(self: Rc<Controller>) {
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

    /// Sends one heartbeat, which asks for a cancellation digest, and takes in the answer.
    async fn exchange_heartbeat(&self, peer: Peer) {
        let redirected_back = self.workers.redirected_back(&peer.name, self.clock.now());
        let question = self.own_heartbeat(self.watch_cache.current(), redirected_back, None);
        let body = Some(pack(&question));
        let asked_at = self.clock.now();
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
            Some(answer) => self.record_answer(&peer.name, asked_at, question.revision, answer),
            None => {
                if self.membership.peers.record_failure(&peer.name) {
                    self.watch_cache.notifier().notify();
                }
            }
        }
    }

    /// Takes in the answer to a question about what was cancelled after a revision.
    fn record_answer(
        &self,
        peer: &str,
        asked_at: Micros,
        after_revision: u64,
        answer: PeerHeartbeat,
    ) {
        let exchange = DigestExchange {
            peer,
            asked_at,
            answered_at: self.clock.now(),
            after_revision,
            answer: &answer,
        };
        // Only the answer to a question of ours shows as of when it vouches.
        let cancelled = self
            .membership
            .watermarks
            .borrow_mut()
            .record_answer(&exchange);
        self.watch_cache.merge_cancelled(cancelled);
        self.record_peer_heartbeat(answer, HeartbeatOrigin::AnswerToQuestionAt(asked_at));
    }

    /// Takes in a heartbeat, if its sender is a peer by the settings.
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

    /// Answers a peer's heartbeat.
    pub fn on_peer_heartbeat(&self, body: &[u8]) -> Response {
        let Some(heartbeat) = unpack::<PeerHeartbeat>(body) else {
            return Response::status(400);
        };
        let now = self.clock.now();
        if self.misses_heartbeats_of_any(&heartbeat.redirected_back, now) {
            self.membership.worker_reachability.note_redirect_back(now);
        }
        let state_service_reachable = self.watch_cache.current();
        let digest = self.own_digest(state_service_reachable, &heartbeat);
        // The promise is in force before it is given.
        let held = &self.membership.confirmations_held_until;
        held.set(held.get().max(held_until(&digest, now)));
        self.record_peer_heartbeat(heartbeat, HeartbeatOrigin::Unsolicited);
        let answer = self.own_heartbeat(state_service_reachable, Vec::new(), Some(digest));
        Response {
            status: 200,
            body: pack(&answer),
            retry_after: None,
        }
    }

    /// What this controller tells a peer of itself.
    fn own_heartbeat(
        &self,
        state_service_reachable: bool,
        redirected_back: Vec<String>,
        digest: Option<CancellationDigest>,
    ) -> PeerHeartbeat {
        PeerHeartbeat {
            node: self.me().to_string(),
            state_service_reachable,
            unreachable: self.membership.peers.unreachable(),
            redirected_back,
            ready_machines: self.unrecorded_ready_machines(),
            revision: self.watch_cache.view().revision,
            digest,
        }
    }

    /// The cancellations that this controller knows of after the revision that a peer asks about.
    fn own_digest(
        &self,
        state_service_reachable: bool,
        question: &PeerHeartbeat,
    ) -> CancellationDigest {
        let source = DigestSource {
            view: &self.watch_cache.view(),
            loaded: self.watch_cache.was_loaded(),
            state_service_reachable,
            process_age: self.clock.age(),
            max_entries: MAX_DIGEST_ENTRIES,
        };
        cancellation_digest(&source, question)
    }

    /// Our machines that run while their records still say that they boot, with their sessions. The leader and
    /// the owner who places gangs on everybody's machines need to know, and a write for each of them
    /// would come at a moment when writes are the bottleneck.
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
            .take(MAX_READY_MACHINES)
            .collect()
    }

    /// Up to when, by the steady clock, every cancellation that any controller may have confirmed is known here.
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

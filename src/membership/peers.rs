//! What this controller knows of each of its peers, and what follows from it: who is declared dead, whether the
//! state service is out of reach for all, which of their machines run. Owns [`PeerTable`]; only the
//! exchange of heartbeats (`peer_heartbeats`) changes it. Times are those of the steady clock.

use super::records::Member;
use crate::ids::MachineId;
use crate::time::{Micros, SECOND};
use crate::wire::peer::PeerHeartbeat;
use foldhash::HashMap;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// So many calls to a peer must fail in a row before it counts as unreachable: a single one is lost too easily.
const UNREACHABLE_AFTER_FAILURES: u32 = 2;
/// What a peer said of its machines counts for so long: a few heartbeats.
const READY_REPORT_VALIDITY: Micros = 3 * SECOND;
/// That a machine was reported at all is remembered for so long, as its record may be written much later.
const READY_REPORT_RETENTION: Micros = 10 * 60 * SECOND;
/// That a peer does not reach the state service counts for so long after the question that showed it.
const OUTAGE_VALIDITY: Micros = 4 * SECOND;
/// That a peer reaches the state service counts for so long: requests are forwarded to it on that.
const REACHABLE_VALIDITY: Micros = 2 * SECOND;

/// What is known of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// When a message of it arrived last: an answer or one of its own.
    last_message_at: Micros,
    /// Whether it reaches the state service, by that message.
    state_service_reachable: bool,
    /// When we asked the question that it answered by saying that it does not reach the state service. Messages
    /// that it sent unasked may be old: those that a partition held back arrive when it is over, those
    /// of earlier incarnations as well.
    outage_confirmed_at: Option<Micros>,
    /// Calls to it that failed in a row.
    consecutive_failures: u32,
    /// Peers that it cannot reach itself, by that message.
    unreachable_peers: Vec<String>,
}

impl PeerState {
    fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_AFTER_FAILURES
    }
}

/// A peer's machine that runs while its record still says that it boots.
#[derive(Clone, Copy, Debug)]
struct ReadyReport {
    /// Session of the machine's agent.
    session: u64,
    /// When the peer's heartbeat arrived.
    reported_at: Micros,
}

/// How a peer's heartbeat came to us.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatOrigin {
    /// It answers a question that we asked at this time.
    AnswerToQuestionAt(Micros),
    /// The peer sent it on its own. It may be old.
    Unsolicited,
}

/// Since when a peer is known not to reach the state service: only its answer to a question of ours shows that it
/// still did not when we asked. That it does is believed of any message.
fn outage_confirmed_at(
    state_service_reachable: bool,
    origin: HeartbeatOrigin,
    previous: Option<Micros>,
) -> Option<Micros> {
    match (state_service_reachable, origin) {
        (true, _) => None,
        (false, HeartbeatOrigin::AnswerToQuestionAt(asked_at)) => Some(asked_at),
        (false, HeartbeatOrigin::Unsolicited) => previous,
    }
}

/// What is known of all peers.
#[derive(Default)]
pub(super) struct PeerTable {
    /// By name; peers that never sent anything are not in it.
    states: RefCell<HashMap<String, PeerState>>,
    /// Peers' machines that run before their records say so.
    ready_machines: RefCell<HashMap<MachineId, ReadyReport>>,
}

impl PeerTable {
    /// Takes in a heartbeat of a peer.
    pub(super) fn record_heartbeat(
        &self,
        heartbeat: PeerHeartbeat,
        origin: HeartbeatOrigin,
        now: Micros,
    ) {
        let mut ready = self.ready_machines.borrow_mut();
        ready.retain(|_, report| now.saturating_sub(report.reported_at) < READY_REPORT_RETENTION);
        ready.extend(heartbeat.ready_machines.into_iter().map(|(id, session)| {
            let report = ReadyReport {
                session,
                reported_at: now,
            };
            (id.into(), report)
        }));
        drop(ready);
        let mut states = self.states.borrow_mut();
        let previous = states
            .get(&heartbeat.node)
            .and_then(|peer| peer.outage_confirmed_at);
        let state = PeerState {
            last_message_at: now,
            state_service_reachable: heartbeat.state_service_reachable,
            outage_confirmed_at: outage_confirmed_at(
                heartbeat.state_service_reachable,
                origin,
                previous,
            ),
            consecutive_failures: 0,
            unreachable_peers: heartbeat.unreachable,
        };
        states.insert(heartbeat.node, state);
    }

    /// Notes that a call to a peer failed. Whether it counts as unreachable from this call on.
    pub(super) fn record_failure(&self, name: &str) -> bool {
        let mut states = self.states.borrow_mut();
        states.get_mut(name).is_some_and(|peer| {
            peer.consecutive_failures += 1;
            peer.consecutive_failures == UNREACHABLE_AFTER_FAILURES
        })
    }

    /// Names of the peers that did not answer our last calls.
    pub(super) fn unreachable(&self) -> Vec<String> {
        self.states
            .borrow()
            .iter()
            .filter(|(_, peer)| peer.is_unreachable())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Members without those that are declared dead: nobody reaches them any more, although their leases still
    /// run. Taking over from one that lives is safe, since terms fence it, but costs the fencing of its
    /// machines: so all peers that answer us must find the same, and at least one must.
    pub(super) fn live_members(
        &self,
        members: &BTreeMap<String, Member>,
    ) -> BTreeMap<String, Member> {
        let states = self.states.borrow();
        let answering: Vec<&PeerState> = states
            .values()
            .filter(|peer| !peer.is_unreachable())
            .collect();
        let declared_dead = |name: &str| {
            states.get(name).is_some_and(PeerState::is_unreachable)
                && !answering.is_empty()
                && answering
                    .iter()
                    .all(|peer| peer.unreachable_peers.iter().any(|other| other == name))
        };
        members
            .iter()
            .filter(|(name, _)| !declared_dead(name))
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect()
    }

    /// Whether a peer said a moment ago that it reaches the state service.
    pub(super) fn reaches_state_service(&self, name: &str, now: Micros) -> bool {
        self.states.borrow().get(name).is_some_and(|peer| {
            peer.state_service_reachable
                && now.saturating_sub(peer.last_message_at) < REACHABLE_VALIDITY
        })
    }

    /// Whether the state service is out of reach for every one of so many peers.
    pub(super) fn common_outage(&self, peer_count: usize, now: Micros) -> bool {
        let states = self.states.borrow();
        states.len() == peer_count
            && states.values().all(|peer| {
                peer.outage_confirmed_at
                    .is_some_and(|at| now.saturating_sub(at) < OUTAGE_VALIDITY)
            })
    }

    /// The session of a peer's machine that runs before its record says so, by the peer's recent heartbeat.
    pub(super) fn ready_session(&self, id: &MachineId, now: Micros) -> Option<u64> {
        self.ready_machines
            .borrow()
            .get(id)
            .filter(|report| now.saturating_sub(report.reported_at) < READY_REPORT_VALIDITY)
            .map(|report| report.session)
    }

    /// Whether a peer reported at any remembered time that its machine runs.
    pub(super) fn was_reported_ready(&self, id: &MachineId) -> bool {
        self.ready_machines.borrow().contains_key(id)
    }
}

#[cfg(test)]
mod tests;

//! State of each peer, and the conclusions drawn from it: which members are declared dead, whether no
//! controller reaches the state service, which of the peers' machines are ready. Owns [`PeerTable`], which
//! only the exchange of heartbeats (`peer_heartbeats`) modifies. Times are those of the monotonic clock.

use super::records::Member;
use crate::ids::MachineId;
use crate::time::{Micros, SECOND};
use crate::wire::peer::PeerHeartbeat;
use foldhash::HashMap;
use std::cell::RefCell;
use std::collections::BTreeMap;

/// Consecutive failed calls after which a peer counts as unreachable; a single lost call is too common to
/// count.
const UNREACHABLE_FAILURE_COUNT: u32 = 2;
/// Validity of a peer's report that a machine is ready: a few heartbeats.
const READY_REPORT_VALIDITY: Micros = 3 * SECOND;
/// Time for which the report that a machine was ready is retained, as the machine's record may be written
/// much later.
const READY_REPORT_RETENTION: Micros = 10 * 60 * SECOND;
/// Validity of a peer's report that it cannot reach the state service, from the request that the peer
/// responded to.
const OUTAGE_REPORT_VALIDITY: Micros = 4 * SECOND;
/// Validity of a peer's report that it reaches the state service; requests are forwarded to the peer on
/// this basis.
const REACHABILITY_REPORT_VALIDITY: Micros = 2 * SECOND;

/// State of one peer.
#[derive(Clone, Debug)]
pub(super) struct PeerState {
    /// Arrival time of its latest message, either a response or an unsolicited heartbeat.
    last_message_at: Micros,
    /// Whether it reaches the state service, according to that message.
    state_service_reachable: bool,
    /// Time at which this controller sent the request to which the peer responded that it cannot reach the
    /// state service. Unsolicited messages do not count, as they may be old: messages delayed by a
    /// partition arrive when it ends, including those of earlier incarnations.
    outage_confirmed_at: Option<Micros>,
    /// Number of consecutive failed calls to it.
    consecutive_failures: u32,
    /// Peers that it cannot reach itself, according to that message.
    unreachable_peers: Vec<String>,
}

impl PeerState {
    fn is_unreachable(&self) -> bool {
        self.consecutive_failures >= UNREACHABLE_FAILURE_COUNT
    }
}

/// Report of a peer's machine that is ready while its record still says that it boots.
#[derive(Clone, Copy, Debug)]
struct ReadyReport {
    /// Session of the machine's agent.
    session: u64,
    /// Arrival time of the peer's heartbeat.
    reported_at: Micros,
}

/// Origin of a peer's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeartbeatOrigin {
    /// A response to a request that this controller sent at this time.
    ResponseToRequestAt(Micros),
    /// Sent by the peer without a request. It may be old.
    Unsolicited,
}

/// Returns the latest time at which a peer is confirmed not to have reached the state service. Only a
/// response to a request of this controller shows that the peer still could not reach it when the request
/// was sent; that the peer reaches the service is accepted from any message.
fn outage_confirmed_at(
    state_service_reachable: bool,
    origin: HeartbeatOrigin,
    previous: Option<Micros>,
) -> Option<Micros> {
    match (state_service_reachable, origin) {
        (true, _) => None,
        (false, HeartbeatOrigin::ResponseToRequestAt(requested_at)) => Some(requested_at),
        (false, HeartbeatOrigin::Unsolicited) => previous,
    }
}

/// State of all peers.
#[derive(Default)]
pub(super) struct PeerTable {
    /// By name; contains only peers from which a heartbeat has arrived.
    states: RefCell<HashMap<String, PeerState>>,
    /// Peers' machines that are ready before their records are updated.
    ready_machines: RefCell<HashMap<MachineId, ReadyReport>>,
}

impl PeerTable {
    /// Records a heartbeat of a peer.
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

    /// Records a failed call to a peer. Returns whether the peer counts as unreachable from this call on.
    pub(super) fn record_failure(&self, name: &str) -> bool {
        let mut states = self.states.borrow_mut();
        states.get_mut(name).is_some_and(|peer| {
            peer.consecutive_failures += 1;
            peer.consecutive_failures == UNREACHABLE_FAILURE_COUNT
        })
    }

    /// Returns the names of the peers that did not respond to the latest calls.
    pub(super) fn unreachable(&self) -> Vec<String> {
        self.states
            .borrow()
            .iter()
            .filter(|(_, peer)| peer.is_unreachable())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Returns the members that are not declared dead. A member is declared dead if no controller can reach
    /// it any more, although its lease has not expired. Taking over from a live member is safe, since terms
    /// fence it, but its machines must then be fenced: therefore all peers that respond to this controller
    /// must report the member as unreachable too, and at least one peer must respond.
    pub(super) fn live_members(
        &self,
        members: &BTreeMap<String, Member>,
    ) -> BTreeMap<String, Member> {
        let states = self.states.borrow();
        let responding: Vec<&PeerState> = states
            .values()
            .filter(|peer| !peer.is_unreachable())
            .collect();
        let declared_dead = |name: &str| {
            states.get(name).is_some_and(PeerState::is_unreachable)
                && !responding.is_empty()
                && responding
                    .iter()
                    .all(|peer| peer.unreachable_peers.iter().any(|other| other == name))
        };
        members
            .iter()
            .filter(|(name, _)| !declared_dead(name))
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect()
    }

    /// Returns whether a peer reported a moment ago that it reaches the state service.
    pub(super) fn reaches_state_service(&self, name: &str, now: Micros) -> bool {
        self.states.borrow().get(name).is_some_and(|peer| {
            peer.state_service_reachable
                && now.saturating_sub(peer.last_message_at) < REACHABILITY_REPORT_VALIDITY
        })
    }

    /// Returns whether each of the `peer_count` peers recently responded that it cannot reach the state
    /// service.
    pub(super) fn state_service_unreachable_for_all(&self, peer_count: usize, now: Micros) -> bool {
        let states = self.states.borrow();
        states.len() == peer_count
            && states.values().all(|peer| {
                peer.outage_confirmed_at
                    .is_some_and(|at| now.saturating_sub(at) < OUTAGE_REPORT_VALIDITY)
            })
    }

    /// Returns the session of a peer's machine that is ready before its record is updated, according to a
    /// recent heartbeat of the peer.
    pub(super) fn ready_session(&self, id: &MachineId, now: Micros) -> Option<u64> {
        self.ready_machines
            .borrow()
            .get(id)
            .filter(|report| now.saturating_sub(report.reported_at) < READY_REPORT_VALIDITY)
            .map(|report| report.session)
    }

    /// Returns whether a peer reported within the retention time that its machine is ready.
    pub(super) fn was_reported_ready(&self, id: &MachineId) -> bool {
        self.ready_machines.borrow().contains_key(id)
    }
}

#[cfg(test)]
mod tests;

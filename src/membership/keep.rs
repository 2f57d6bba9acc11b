//! Keeping membership, leadership and parts; talking with peers.

use super::cancellation_watermark::{
    CancellationWatermarks, DigestSource, cancellation_digest, held_until,
};
use super::claim::{self, Incarnation, LeaderStatus};
use super::{Member, VERSION, Version, all_know};
use crate::autoscaler::model::MachineState;
use crate::controller::Controller;
use crate::ids::MachineId;
use crate::store::client::TransactionOutcome;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::time::{MILLI, Micros, SECOND, wall};
use crate::wire::peer::{PEER_HEARTBEAT_PATH, PeerHeartbeat, pack, unpack};
use crate::wire::server::Response;
use crate::wire::state::{Mutation, Precondition, Transaction};
use crate::wire::to_value;
use foldhash::{HashMap, HashSet};
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How often peers talk.
const HEARTBEAT_INTERVAL: Micros = SECOND / 2;
/// So many calls to a peer must fail in a row before it counts as unreachable.
const MISSED: u32 = 2;
/// Silence of our machines after which we look whether it is us.
const NO_HEARTBEATS: Micros = 6 * SECOND;
/// How often we look whether it is us.
const LOOK: Micros = SECOND / 4;
/// What a peer said of its machines counts for so long.
const READY_HEARD: Micros = 3 * SECOND;
/// That a peer does not reach the state service counts for so long.
const OUTAGE_HEARD: Micros = 4 * SECOND;
/// That it was up counts for so long.
const READY_KNOWN: Micros = 10 * 60 * SECOND;
/// A message between controllers names so many of them at most.
pub const READY_MOST: usize = 500;
/// How long a controller that workers could not reach wants no parts.
const UNREACHABLE_PAUSE: Micros = 30 * SECOND;

/// What a peer said last, and when.
#[derive(Clone, Debug)]
struct PeerState {
    /// When it answered or spoke last.
    heard: Micros,
    /// Whether it reaches the state service.
    state_ok: bool,
    /// When we asked the question that it answered by saying that it does not. What it says unasked may
    /// be old: messages that a cut held back arrive when it is over, those of earlier lives as well.
    without_state: Option<Micros>,
    /// Calls to it that failed in a row.
    missed: u32,
    /// Whom it cannot reach.
    unreachable: Vec<String>,
}

/// A list of cancellations between controllers names so many of them at most; a longer one is cut and
/// vouches for nothing.
const WORD_MOST: usize = 2_000;

/// Our own membership, and the peers as we hear them.
#[derive(Default)]
pub struct Membership {
    /// Our lease.
    lease: Cell<Option<u64>>,
    /// All leases that this process had.
    had: RefCell<HashSet<u64>>,
    /// Whether our workers cannot reach us, and since when.
    unreachable_by_workers_since: Cell<Option<Micros>>,
    /// Parts whose term we want to raise once more.
    raise: RefCell<HashSet<u32>>,
    peers: RefCell<HashMap<String, PeerState>>,
    /// Peers' machines that are up before their keys say so: session, when that was said.
    peers_up: RefCell<HashMap<MachineId, (u64, Micros)>>,
    /// Up to when each peer told us of every cancellation that it may have confirmed.
    words: RefCell<CancellationWatermarks>,
    /// Until then we confirm no cancellation: we promised it.
    bound: Cell<Micros>,
    /// When a peer told us that machines of ours come back to it.
    bounced: Cell<Micros>,
    /// When we looked last whether it is us whom the workers cannot reach.
    looked: Cell<Micros>,
}

impl Membership {
    /// Our lease, while it runs as far as we know.
    pub fn lease(&self) -> Option<u64> {
        self.lease.get()
    }
    /// Notes that we have a lease, or that it ended.
    fn set_lease(&self, lease: Option<u64>) {
        self.lease.set(lease);
        self.had.borrow_mut().extend(lease);
    }
    /// Whether parts taken under a lease are ours to drive. They are until somebody raises their terms, also
    /// after the lease ended, whether or not we have another by then: an outage that began at that moment left
    /// the machines of a third of the fleet without anybody who answered them.
    pub fn drives(&self, lease: u64) -> bool {
        self.had.borrow().contains(&lease)
    }
    /// Parts of ours whose term must be raised once more: an unanswered start stands in the way.
    pub fn raise_terms(&self, shards: impl Iterator<Item = u32>) {
        let mut raise = self.raise.borrow_mut();
        raise.clear();
        raise.extend(shards);
    }
    /// Whether a peer said a moment ago that it reaches the state service.
    pub fn serves(&self, name: &str, now: Micros) -> bool {
        let peers = self.peers.borrow();
        peers
            .get(name)
            .is_some_and(|p| p.state_ok && now.saturating_sub(p.heard) < 2 * SECOND)
    }
    /// Whether we promised to confirm no cancellation now.
    pub fn bound(&self, now: Micros) -> bool {
        now < self.bound.get()
    }
    /// The session of a peer's machine that is up before its key says so, by a peer's last word.
    pub fn ready_at_peer(&self, id: &MachineId, now: Micros) -> Option<u64> {
        let up = self.peers_up.borrow();
        let recent_commands = up.get(id).filter(|x| now.saturating_sub(x.1) < READY_HEARD);
        recent_commands.map(|x| x.0)
    }
    /// Whether its owner said at some time that a machine is up.
    pub fn reported_ready_by_peer(&self, id: &MachineId) -> bool {
        self.peers_up.borrow().contains_key(id)
    }
    /// Whether the state service is away for every one of so many peers.
    pub fn common_outage(&self, peer_count: usize, now: Micros) -> bool {
        let peers = self.peers.borrow();
        peers.len() == peer_count
            && peers.values().all(|p| {
                p.without_state
                    .is_some_and(|at| now.saturating_sub(at) < OUTAGE_HEARD)
            })
    }
}

/// Since when a peer is known not to reach the state service: only its answer to a question of ours
/// shows that it still did not when we asked. That it does is believed of any message.
fn without_state(ok: bool, asked: Option<Micros>, before: Option<Micros>) -> Option<Micros> {
    match (ok, asked) {
        (true, _) => None,
        (false, Some(at)) => Some(at),
        (false, None) => before,
    }
}

impl Controller {
    /// Holds a lease, and the member key on it.
    pub async fn lease_loop(self: Rc<Controller>) {
        let ttl = self.policy.member_ttl;
        // What our key should say, while we hold a lease.
        let mut wanted: Option<Member> = None;
        loop {
            match self.membership.lease.get() {
                None => {
                    if self.watch_cache.loaded()
                        && let Ok(id) = self.watch_cache.client().lease(ttl).await
                    {
                        self.membership.set_lease(Some(id));
                        let v = self.watch_cache.view();
                        let before = v.members.get(self.me());
                        wanted = Some(Member::begin(before, id, VERSION, wall()));
                    } else {
                        self.sleep(SECOND / 4).await;
                        continue;
                    }
                }
                Some(id) => match self.watch_cache.client().renew(id).await {
                    Ok(true) => {}
                    Ok(false) => {
                        tracing::info!("lease ended");
                        self.membership.set_lease(None);
                        continue;
                    }
                    Err(e) => tracing::debug!("renew: {e}"),
                },
            }
            let (Some(incarnation), Some(m)) = (self.incarnation(), &mut wanted) else {
                continue;
            };
            m.unreachable_by_workers = self.membership.unreachable_by_workers_since.get().is_some();
            let t = claim::name(&self.watch_cache.view(), incarnation, m);
            if let Some(t) = t {
                match self.watch_cache.transaction(&t).await {
                    TransactionOutcome::Done(_) => {}
                    TransactionOutcome::Refused(400) => self.membership.set_lease(None),
                    // Somebody wrote it meanwhile: a request of an earlier life that came late.
                    TransactionOutcome::Conflict(_) => {
                        self.watch_cache.linearizable_read().await;
                        continue;
                    }
                    _ => {}
                }
            }
            self.settle_layout().await;
            self.sleep(ttl / 4).await;
        }
    }

    /// Says durably that we know the newer layout, and puts it in force once all controllers of the
    /// settings said so. Until then everything is written as the version before reads it.
    async fn settle_layout(&self) {
        let t = {
            let v = self.watch_cache.view();
            if v.layout.is_some() {
                return;
            }
            let mine = keys::version(self.me());
            let mut t = Transaction::default();
            let names = || {
                let others = self.settings.peers.iter().map(|s| s.name.as_str());
                others.chain([self.me()])
            };
            let know = v.versions.get(self.me());
            let put = if know.is_none_or(|x| x.version < VERSION) {
                mine
            } else if all_know(names(), &v.versions, &v.members) {
                t.preconditions.push(Precondition {
                    key: keys::LAYOUT.into(),
                    version: 0,
                });
                keys::LAYOUT.into()
            } else {
                return;
            };
            t.mutations.push(Mutation::Put {
                key: put,
                value: to_value(&Version { version: VERSION }),
                lease: None,
            });
            t
        };
        match self.watch_cache.transaction(&t).await {
            TransactionOutcome::Done(_) => {
                if self.watch_cache.view().layout.is_some() {
                    tracing::info!("every controller knows the newer layout: in force");
                }
            }
            _ => {
                self.watch_cache.linearizable_read().await;
            }
        }
    }

    /// Takes the parts that fall to us.
    pub async fn shard_loop(self: Rc<Controller>) {
        loop {
            let l = self.watch_cache.notifier().listen();
            futures_lite::FutureExt::or(l, async {
                self.sleep(SECOND / 3).await;
            })
            .await;
            self.sleep(50 * MILLI).await;
            if !self.watch_cache.loaded() || !self.watch_cache.current() {
                continue;
            }
            self.check_worker_reachability();
            let Some(t) = self.desired_shards() else {
                continue;
            };
            match self.watch_cache.transaction(&t).await {
                TransactionOutcome::Done(_) => {
                    tracing::info!(shards = t.mutations.len(), "parts taken");
                    // The term counts once everything before it is in the view.
                    self.watch_cache.linearizable_read().await;
                }
                _ => {
                    self.watch_cache.linearizable_read().await;
                    self.sleep(100 * MILLI).await;
                }
            }
        }
    }

    fn desired_shards(&self) -> Option<Transaction> {
        let incarnation = self.incarnation()?;
        let v = self.watch_cache.view();
        let ops = self.state_limits().max_mutations;
        let mut raise = self.membership.raise.borrow_mut();
        claim::shards(&v, &self.living(&v), incarnation, &mut raise, wall(), ops)
    }

    /// This life of us, while its lease runs as far as we know.
    fn incarnation(&self) -> Option<Incarnation<'_>> {
        let lease = self.membership.lease.get()?;
        let node = self.me();
        Some(Incarnation { node, lease })
    }

    /// Gives our parts up when it is us whom the workers cannot reach.
    fn check_worker_reachability(&self) {
        let now = self.clock.now();
        if now.saturating_sub(self.membership.looked.get()) < LOOK {
            return;
        }
        self.membership.looked.set(now);
        if let Some(at) = self.membership.unreachable_by_workers_since.get() {
            if now.saturating_sub(at) > UNREACHABLE_PAUSE {
                self.membership.unreachable_by_workers_since.set(None);
            }
            return;
        }
        let v = self.watch_cache.view();
        if !self.alone(&v, now) || v.members.len() < 2 {
            return;
        }
        let told = now.saturating_sub(self.membership.bounced.get()) < NO_HEARTBEATS;
        let outbound_partition = {
            let m = self.workers.machines();
            m.values()
                .map(|m| m.heard)
                .max()
                .is_some_and(|h| now.saturating_sub(h) > NO_HEARTBEATS)
        };
        if told || outbound_partition {
            tracing::warn!(told, "workers cannot reach us: parts given up");
            self.membership.unreachable_by_workers_since.set(Some(now));
        }
    }

    /// Becomes the leader if there is none. True while we lead.
    pub async fn leads(&self) -> bool {
        let t = {
            let Some(incarnation) = self.incarnation() else {
                return false;
            };
            let v = self.watch_cache.view();
            match claim::lead(&v, &self.living(&v), incarnation, wall()) {
                LeaderStatus::This => return true,
                LeaderStatus::Other => return false,
                LeaderStatus::Vacant(t) => t,
            }
        };
        match self.watch_cache.transaction(&t).await {
            TransactionOutcome::Done(_) => {
                tracing::info!("leading");
                self.watch_cache.linearizable_read().await
            }
            _ => {
                self.watch_cache.linearizable_read().await;
                false
            }
        }
    }

    /// Tells the peers how we are, each second.
    pub async fn peer_loop(self: Rc<Controller>) {
        loop {
            for s in self.settings.peers.clone() {
                let n = self.clone();
                self.executor
                    .spawn(async move { n.hello(s).await })
                    .detach();
            }
            self.sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn hello(&self, s: crate::settings::Peer) {
        let bounced = self.workers.bounced(&s.name, self.clock.now());
        let h = PeerHeartbeat {
            node: self.me().to_string(),
            state_service_reachable: self.watch_cache.current(),
            unreachable: self.unreachable(),
            redirected_back: bounced,
            ready_machines: self.ready_unwritten(),
            revision: self.watch_cache.view().revision,
            digest: None,
        };
        let body = Some(pack(&h));
        let asked = self.clock.now();
        let a = self
            .http
            .call(s.address, Method::Post, PEER_HEARTBEAT_PATH, body, SECOND)
            .await;
        match a.ok().and_then(|a| unpack::<PeerHeartbeat>(&a.body)) {
            Some(p) => {
                // Only the answer to a question of ours tells up to when it vouches.
                let mut words = self.membership.words.borrow_mut();
                let times = (asked, self.clock.now());
                let list = words.take(&s.name, times, h.revision, &p);
                drop(words);
                self.watch_cache.merge_cancelled(list);
                self.record_peer_heartbeat(p, Some(asked));
            }
            None => {
                let mut peers = self.membership.peers.borrow_mut();
                if let Some(p) = peers.get_mut(&s.name) {
                    p.missed += 1;
                    if p.missed == MISSED {
                        drop(peers);
                        self.watch_cache.notifier().notify();
                    }
                }
            }
        }
    }

    /// Our machines that are up, while their keys still say that they boot. The leader and the owner who
    /// places gangs on everybody's machines need to know, and a write for each of them would come at a
    /// moment when writes are what everybody waits for.
    fn ready_unwritten(&self) -> Vec<(String, u64)> {
        let view = self.watch_cache.view();
        let now = self.clock.now();
        self.workers
            .machines()
            .iter()
            .filter(|(id, m)| {
                m.fenced()
                    && now.saturating_sub(m.heard) < self.settings.heartbeat_interval * 2
                    && view
                        .machines
                        .get(*id)
                        .is_some_and(|h| h.state == MachineState::Booting)
            })
            .map(|(id, m)| (id.to_string(), m.session))
            .take(READY_MOST)
            .collect()
    }

    /// Peers that did not answer us lately.
    fn unreachable(&self) -> Vec<String> {
        self.membership
            .peers
            .borrow()
            .iter()
            .filter(|(_, p)| p.missed >= MISSED)
            .map(|(n, _)| n.clone())
            .collect()
    }

    /// Members without those that nobody reaches any more, although their leases still run. Taking
    /// over from one that lives is safe (terms fence it), only unkind: so all others that answer us
    /// must find the same, and at least one must.
    fn living(&self, v: &ClusterState) -> BTreeMap<String, Member> {
        let peers = self.membership.peers.borrow();
        let answering: Vec<&PeerState> = peers.values().filter(|p| p.missed < MISSED).collect();
        let dead = |n: &str| {
            peers.get(n).is_some_and(|p| p.missed >= MISSED)
                && !answering.is_empty()
                && answering
                    .iter()
                    .all(|p| p.unreachable.iter().any(|u| u == n))
        };
        v.members
            .iter()
            .filter(|(n, _)| !dead(n))
            .map(|(n, m)| (n.clone(), m.clone()))
            .collect()
    }

    /// What a peer says, of itself or `asked` by us at this time.
    fn record_peer_heartbeat(&self, p: PeerHeartbeat, asked: Option<Micros>) {
        if !self.settings.peers.iter().any(|s| s.name == p.node) {
            return;
        }
        let now = self.clock.now();
        let mut up = self.membership.peers_up.borrow_mut();
        up.retain(|_, (_, at)| now.saturating_sub(*at) < READY_KNOWN);
        up.extend(
            p.ready_machines
                .into_iter()
                .map(|(id, s)| (id.into(), (s, now))),
        );
        drop(up);
        let mut peers = self.membership.peers.borrow_mut();
        let before = peers.get(&p.node).and_then(|x| x.without_state);
        let state = PeerState {
            heard: now,
            state_ok: p.state_service_reachable,
            without_state: without_state(p.state_service_reachable, asked, before),
            missed: 0,
            unreachable: p.unreachable,
        };
        peers.insert(p.node, state);
    }

    /// Up to when every cancellation that any controller may have confirmed is known here.
    pub fn cancellation_watermark(&self) -> Micros {
        let names = self.settings.peers.iter().map(|s| s.name.as_str());
        let words = self.membership.words.borrow();
        words.cancellation_watermark(self.watch_cache.whole_at(), names, self.clock.now())
    }

    /// Answers a peer.
    pub fn on_peer_heartbeat(&self, body: &[u8]) -> Response {
        let Some(h) = unpack::<PeerHeartbeat>(body) else {
            return Response::status(400);
        };
        let now = self.clock.now();
        let missing = {
            let m = self.workers.machines();
            h.redirected_back.iter().any(|b| {
                m.get(b.as_str()).is_some_and(|m| {
                    now.saturating_sub(m.heard) > self.settings.heartbeat_interval * 3 / 2
                })
            })
        };
        if missing {
            self.membership.bounced.set(now);
        }
        let state_ok = self.watch_cache.current();
        let speaker = DigestSource {
            view: &self.watch_cache.view(),
            loaded: self.watch_cache.was_loaded(),
            state_ok,
            age: self.clock.age(),
            most: WORD_MOST,
        };
        let word = cancellation_digest(&speaker, &h);
        let bound = self.membership.bound.get().max(held_until(&word, now));
        self.membership.bound.set(bound);
        self.record_peer_heartbeat(h, None);
        let me = PeerHeartbeat {
            node: self.me().to_string(),
            state_service_reachable: state_ok,
            unreachable: self.unreachable(),
            redirected_back: Vec::new(),
            ready_machines: self.ready_unwritten(),
            revision: self.watch_cache.view().revision,
            digest: Some(word),
        };
        Response {
            status: 200,
            body: pack(&me),
            retry_after: None,
        }
    }
}

#[cfg(test)]
mod tests;

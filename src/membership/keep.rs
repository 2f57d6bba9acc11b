//! Keeping membership, leadership and parts; talking with peers.

use super::cancellation_watermark::{Speaker, Words, bound_until, word};
use super::claim::{self, Lead, Life};
use super::{Member, VERSION, Version, all_know};
use crate::autoscaler::model::HostState;
use crate::controller::Node;
use crate::ids::HostId;
use crate::store::client::Outcome;
use crate::store::cluster_state::View;
use crate::store::keys;
use crate::time::{MILLI, Micros, SECOND, wall};
use crate::wire::peer::{Hello, PEER, pack, unpack};
use crate::wire::server::Reply;
use crate::wire::state::{Change, Guard, Txn};
use crate::wire::to_value;
use foldhash::{HashMap, HashSet};
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How often peers talk.
const HELLO: Micros = SECOND / 2;
/// So many calls to a peer must fail in a row before it counts as unreachable.
const MISSED: u32 = 2;
/// Silence of our machines after which we look whether it is us.
const DEAF: Micros = 6 * SECOND;
/// How often we look whether it is us.
const LOOK: Micros = SECOND / 4;
/// What a peer said of its machines counts for so long.
const UP_HEARD: Micros = 3 * SECOND;
/// That a peer does not reach the state service counts for so long.
const OUTAGE_HEARD: Micros = 4 * SECOND;
/// That it was up counts for so long.
const UP_KNOWN: Micros = 10 * 60 * SECOND;
/// A message between controllers names so many of them at most.
pub const UP_MOST: usize = 500;
/// How long a controller that workers could not reach wants no parts.
const SHUNNED: Micros = 30 * SECOND;

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
    shunned: Cell<Option<Micros>>,
    /// Parts whose term we want to raise once more.
    raise: RefCell<HashSet<u32>>,
    peers: RefCell<HashMap<String, PeerState>>,
    /// Peers' machines that are up before their keys say so: session, when that was said.
    peers_up: RefCell<HashMap<HostId, (u64, Micros)>>,
    /// Up to when each peer told us of every cancellation that it may have confirmed.
    words: RefCell<Words>,
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
    pub fn raise_terms(&self, parts: impl Iterator<Item = u32>) {
        let mut raise = self.raise.borrow_mut();
        raise.clear();
        raise.extend(parts);
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
    pub fn up_at_peer(&self, id: &HostId, now: Micros) -> Option<u64> {
        let up = self.peers_up.borrow();
        let lately = up.get(id).filter(|x| now.saturating_sub(x.1) < UP_HEARD);
        lately.map(|x| x.0)
    }
    /// Whether its owner said at some time that a machine is up.
    pub fn told_up(&self, id: &HostId) -> bool {
        self.peers_up.borrow().contains_key(id)
    }
    /// Whether the state service is away for every one of so many peers.
    pub fn common_outage(&self, siblings: usize, now: Micros) -> bool {
        let peers = self.peers.borrow();
        peers.len() == siblings
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

impl Node {
    /// Holds a lease, and the member key on it.
    pub async fn lease_loop(self: Rc<Node>) {
        let ttl = self.policy.member_ttl;
        // What our key should say, while we hold a lease.
        let mut wanted: Option<Member> = None;
        loop {
            match self.members.lease.get() {
                None => {
                    if self.feed.loaded()
                        && let Ok(id) = self.feed.client().lease(ttl).await
                    {
                        self.members.set_lease(Some(id));
                        let v = self.feed.view();
                        let before = v.members.get(self.me());
                        wanted = Some(Member::begin(before, id, VERSION, wall()));
                    } else {
                        self.sleep(SECOND / 4).await;
                        continue;
                    }
                }
                Some(id) => match self.feed.client().renew(id).await {
                    Ok(true) => {}
                    Ok(false) => {
                        tracing::info!("lease ended");
                        self.members.set_lease(None);
                        continue;
                    }
                    Err(e) => tracing::debug!("renew: {e}"),
                },
            }
            let (Some(life), Some(m)) = (self.life(), &mut wanted) else {
                continue;
            };
            m.shunned = self.members.shunned.get().is_some();
            let t = claim::name(&self.feed.view(), life, m);
            if let Some(t) = t {
                match self.feed.txn(&t).await {
                    Outcome::Done(_) => {}
                    Outcome::Refused(400) => self.members.set_lease(None),
                    // Somebody wrote it meanwhile: a request of an earlier life that came late.
                    Outcome::Conflict(_) => {
                        self.feed.barrier().await;
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
            let v = self.feed.view();
            if v.layout.is_some() {
                return;
            }
            let mine = keys::version(self.me());
            let mut t = Txn::default();
            let names = || {
                let others = self.settings.siblings.iter().map(|s| s.name.as_str());
                others.chain([self.me()])
            };
            let know = v.versions.get(self.me());
            let put = if know.is_none_or(|x| x.version < VERSION) {
                mine
            } else if all_know(names(), &v.versions, &v.members) {
                t.guards.push(Guard {
                    path: keys::LAYOUT.into(),
                    stamp: 0,
                });
                keys::LAYOUT.into()
            } else {
                return;
            };
            t.then.push(Change::Put {
                put,
                v: to_value(&Version { version: VERSION }),
                permit: None,
            });
            t
        };
        match self.feed.txn(&t).await {
            Outcome::Done(_) => {
                if self.feed.view().layout.is_some() {
                    tracing::info!("every controller knows the newer layout: in force");
                }
            }
            _ => {
                self.feed.barrier().await;
            }
        }
    }

    /// Takes the parts that fall to us.
    pub async fn parts_loop(self: Rc<Node>) {
        loop {
            let l = self.feed.bell().listen();
            futures_lite::FutureExt::or(l, async {
                self.sleep(SECOND / 3).await;
            })
            .await;
            self.sleep(50 * MILLI).await;
            if !self.feed.loaded() || !self.feed.current() {
                continue;
            }
            self.look_whether_deaf();
            let Some(t) = self.wanted_parts() else {
                continue;
            };
            match self.feed.txn(&t).await {
                Outcome::Done(_) => {
                    tracing::info!(parts = t.then.len(), "parts taken");
                    // The term counts once everything before it is in the view.
                    self.feed.barrier().await;
                }
                _ => {
                    self.feed.barrier().await;
                    self.sleep(100 * MILLI).await;
                }
            }
        }
    }

    fn wanted_parts(&self) -> Option<Txn> {
        let life = self.life()?;
        let v = self.feed.view();
        let ops = self.state_limits().txn_ops;
        let mut raise = self.members.raise.borrow_mut();
        claim::parts(&v, &self.living(&v), life, &mut raise, wall(), ops)
    }

    /// This life of us, while its lease runs as far as we know.
    fn life(&self) -> Option<Life<'_>> {
        let lease = self.members.lease.get()?;
        let node = self.me();
        Some(Life { node, lease })
    }

    /// Gives our parts up when it is us whom the workers cannot reach.
    fn look_whether_deaf(&self) {
        let now = self.clock.now();
        if now.saturating_sub(self.members.looked.get()) < LOOK {
            return;
        }
        self.members.looked.set(now);
        if let Some(at) = self.members.shunned.get() {
            if now.saturating_sub(at) > SHUNNED {
                self.members.shunned.set(None);
            }
            return;
        }
        let v = self.feed.view();
        if !self.alone(&v, now) || v.members.len() < 2 {
            return;
        }
        let told = now.saturating_sub(self.members.bounced.get()) < DEAF;
        let deaf = {
            let m = self.fleet.machines();
            m.values()
                .map(|m| m.heard)
                .max()
                .is_some_and(|h| now.saturating_sub(h) > DEAF)
        };
        if told || deaf {
            tracing::warn!(told, "workers cannot reach us: parts given up");
            self.members.shunned.set(Some(now));
        }
    }

    /// Becomes the leader if there is none. True while we lead.
    pub async fn leads(&self) -> bool {
        let t = {
            let Some(life) = self.life() else {
                return false;
            };
            let v = self.feed.view();
            match claim::lead(&v, &self.living(&v), life, wall()) {
                Lead::Ours => return true,
                Lead::Other => return false,
                Lead::Vacant(t) => t,
            }
        };
        match self.feed.txn(&t).await {
            Outcome::Done(_) => {
                tracing::info!("leading");
                self.feed.barrier().await
            }
            _ => {
                self.feed.barrier().await;
                false
            }
        }
    }

    /// Tells the peers how we are, each second.
    pub async fn peer_loop(self: Rc<Node>) {
        loop {
            for s in self.settings.siblings.clone() {
                let n = self.clone();
                self.ex.spawn(async move { n.hello(s).await }).detach();
            }
            self.sleep(HELLO).await;
        }
    }

    async fn hello(&self, s: crate::settings::Sibling) {
        let bounced = self.fleet.bounced(&s.name, self.clock.now());
        let h = Hello {
            node: self.me().to_string(),
            state_ok: self.feed.current(),
            unreachable: self.unreachable(),
            bounced,
            up: self.up_unwritten(),
            rev: self.feed.view().rev,
            word: None,
        };
        let body = Some(pack(&h));
        let asked = self.clock.now();
        let a = self
            .http
            .call(s.addr, Method::Post, PEER, body, SECOND)
            .await;
        match a.ok().and_then(|a| unpack::<Hello>(&a.body)) {
            Some(p) => {
                // Only the answer to a question of ours tells up to when it vouches.
                let mut words = self.members.words.borrow_mut();
                let times = (asked, self.clock.now());
                let list = words.take(&s.name, times, h.rev, &p);
                drop(words);
                self.feed.hear_withdrawn(list);
                self.note_peer(p, Some(asked));
            }
            None => {
                let mut peers = self.members.peers.borrow_mut();
                if let Some(p) = peers.get_mut(&s.name) {
                    p.missed += 1;
                    if p.missed == MISSED {
                        drop(peers);
                        self.feed.bell().ring();
                    }
                }
            }
        }
    }

    /// Our machines that are up, while their keys still say that they boot. The leader and the owner who
    /// places gangs on everybody's machines need to know, and a write for each of them would come at a
    /// moment when writes are what everybody waits for.
    fn up_unwritten(&self) -> Vec<(String, u64)> {
        let view = self.feed.view();
        let now = self.clock.now();
        self.fleet
            .machines()
            .iter()
            .filter(|(id, m)| {
                m.fenced()
                    && now.saturating_sub(m.heard) < self.settings.report * 2
                    && view
                        .hosts
                        .get(*id)
                        .is_some_and(|h| h.state == HostState::Booting)
            })
            .map(|(id, m)| (id.to_string(), m.session))
            .take(UP_MOST)
            .collect()
    }

    /// Peers that did not answer us lately.
    fn unreachable(&self) -> Vec<String> {
        self.members
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
    fn living(&self, v: &View) -> BTreeMap<String, Member> {
        let peers = self.members.peers.borrow();
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
    fn note_peer(&self, p: Hello, asked: Option<Micros>) {
        if !self.settings.siblings.iter().any(|s| s.name == p.node) {
            return;
        }
        let now = self.clock.now();
        let mut up = self.members.peers_up.borrow_mut();
        up.retain(|_, (_, at)| now.saturating_sub(*at) < UP_KNOWN);
        up.extend(p.up.into_iter().map(|(id, s)| (id.into(), (s, now))));
        drop(up);
        let mut peers = self.members.peers.borrow_mut();
        let before = peers.get(&p.node).and_then(|x| x.without_state);
        let state = PeerState {
            heard: now,
            state_ok: p.state_ok,
            without_state: without_state(p.state_ok, asked, before),
            missed: 0,
            unreachable: p.unreachable,
        };
        peers.insert(p.node, state);
    }

    /// Up to when every cancellation that any controller may have confirmed is known here.
    pub fn informed(&self) -> Micros {
        let names = self.settings.siblings.iter().map(|s| s.name.as_str());
        let words = self.members.words.borrow();
        words.informed(self.feed.whole_at(), names, self.clock.now())
    }

    /// Answers a peer.
    pub fn on_hello(&self, body: &[u8]) -> Reply {
        let Some(h) = unpack::<Hello>(body) else {
            return Reply::status(400);
        };
        let now = self.clock.now();
        let missing = {
            let m = self.fleet.machines();
            h.bounced.iter().any(|b| {
                m.get(b.as_str())
                    .is_some_and(|m| now.saturating_sub(m.heard) > self.settings.report * 3 / 2)
            })
        };
        if missing {
            self.members.bounced.set(now);
        }
        let state_ok = self.feed.current();
        let speaker = Speaker {
            view: &self.feed.view(),
            loaded: self.feed.was_loaded(),
            state_ok,
            age: self.clock.age(),
            most: WORD_MOST,
        };
        let word = word(&speaker, &h);
        let bound = self.members.bound.get().max(bound_until(&word, now));
        self.members.bound.set(bound);
        self.note_peer(h, None);
        let me = Hello {
            node: self.me().to_string(),
            state_ok,
            unreachable: self.unreachable(),
            bounced: Vec::new(),
            up: self.up_unwritten(),
            rev: self.feed.view().rev,
            word: Some(word),
        };
        Reply {
            status: 200,
            body: pack(&me),
            retry_after: None,
        }
    }
}

#[cfg(test)]
mod tests;

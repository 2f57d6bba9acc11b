//! The node: shared state, and the loops that bring what is to what is wanted.

use crate::autoscaler::reconciler::Rentals;
use crate::fairness::service_levels::Watch;
use crate::jobs::commit::Limits;
use crate::membership::Membership;
use crate::policy::Policy;
use crate::reconciliation::{Control, REQUEST_SHARE, WRITE_SHARE};
use crate::settings::{Settings, StateLimits};
use crate::store::client::StoreClient;
use crate::store::cluster_state::View;
use crate::store::keys;
use crate::store::watch_cache::Feed;
use crate::time::{Clock, Micros, dur, wall};
use crate::wire::client::Client;
use crate::wire::server::{Ask, Gauge, Reply, serve};
use crate::wire::{peer, worker};
use crate::workers::Fleet;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use http_types::Method;
use std::cell::RefCell;
use std::rc::Rc;

/// One controller.
pub struct Node {
    /// Settings.
    pub settings: Settings,
    /// Policy.
    pub policy: Policy,
    /// Steady clock.
    pub clock: Clock,
    /// Executor.
    pub ex: Rc<LocalExecutor<'static>>,
    /// Connections.
    pub http: Rc<Client>,
    /// The view, fed by the state service.
    pub feed: Feed,
    /// Membership and peers.
    pub members: Membership,
    /// Machines of our parts.
    pub fleet: Fleet,
    /// What the cloud refused.
    pub rentals: Rentals,
    /// The control loop's memory.
    pub control: Control,
    /// Which classes and teams get too little, while we lead.
    pub served: RefCell<Watch>,
    firsts: RefCell<Vec<First>>,
}

/// What a controller does for the first time since it started: said once each, so that the log shows how
/// long it took to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum First {
    /// A user had an answer.
    User,
    /// A worker's report was answered.
    Report,
    /// A task was told to start.
    Start,
}

/// Bytes of a value that stay free: what is counted beside the value itself is not known.
const VALUE_RESERVE: usize = 48;

/// Listens, or says on which address it could not.
async fn listen(field: &str, addr: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| std::io::Error::new(e.kind(), format!("{field} {addr}: {e}")))
}

impl Node {
    /// A node that has not started yet.
    pub fn new(settings: Settings, policy: Policy, ex: Rc<LocalExecutor<'static>>) -> Rc<Node> {
        let clock = Clock::start();
        let http = Rc::new(Client::new(settings.max_connections / 5));
        let n = (settings.siblings.len() + 1) as f64;
        let store = StoreClient::new(
            http.clone(),
            settings.state,
            clock,
            settings.limits.rps * REQUEST_SHARE / n,
            settings.limits.write_rps * WRITE_SHARE / n,
        );
        Rc::new(Node {
            settings,
            policy,
            clock,
            ex,
            http,
            feed: Feed::new(store, clock),
            members: Membership::default(),
            fleet: Fleet::default(),
            rentals: Rentals::default(),
            control: Control::default(),
            served: RefCell::default(),
            firsts: RefCell::default(),
        })
    }

    /// Starts every loop and serves for ever.
    pub async fn run(self: Rc<Node>) -> std::io::Result<()> {
        let front = listen("front", self.settings.front).await?;
        let peers = listen("peer_bind", self.settings.peer_bind).await?;
        tracing::info!(node = %self.settings.node, front = %self.settings.front, "started");
        macro_rules! spawn {
            ($f:ident) => {{
                let n = self.clone();
                self.ex.spawn(async move { n.$f().await }).detach();
            }};
        }
        macro_rules! feed {
            ($f:ident) => {{
                let n = self.clone();
                self.ex.spawn(async move { n.feed.$f().await }).detach();
            }};
        }
        feed!(watch_loop);
        feed!(barrier_loop);
        feed!(gates_loop);
        spawn!(lease_loop);
        spawn!(parts_loop);
        spawn!(control_loop);
        spawn!(lead_loop);
        spawn!(counts_loop);
        spawn!(peer_loop);
        let gauge = Rc::new(Gauge::default());
        // Some sockets stay for our own calls.
        let max = self.settings.max_connections * 9 / 10;
        let n = self.clone();
        let on_peer = move |a: Ask| {
            let n = n.clone();
            async move { n.on_peer(a).await }
        };
        self.ex
            .spawn(serve(self.ex.clone(), peers, gauge.clone(), max, on_peer))
            .detach();
        let n = self.clone();
        let on_front = move |a: Ask| {
            let n = n.clone();
            async move { n.on_front(a).await }
        };
        serve(self.ex.clone(), front, gauge, max, on_front).await;
        Ok(())
    }

    async fn on_front(&self, a: Ask) -> Reply {
        if a.path == worker::REPORT {
            return match (a.method, &a.body) {
                (Method::Post, Some(b)) => self.on_report(b),
                (Method::Post, None) => Reply::status(400),
                _ => Reply::status(405),
            };
        }
        if a.path == "/healthz" {
            return match a.method {
                Method::Get | Method::Head => Reply::status(if self.healthy() { 200 } else { 503 }),
                _ => Reply::status(405),
            };
        }
        if a.path.starts_with("/api/jobs") {
            let reply = self.on_user_or_forward(a).await;
            if reply.status < 429 {
                self.first(First::User);
            }
            return reply;
        }
        Reply::status(404)
    }

    async fn on_peer(&self, a: Ask) -> Reply {
        if a.path == peer::FORWARD {
            return self.on_forward(a.body.as_deref().unwrap_or_default()).await;
        }
        let Some(b) = a.body.filter(|_| a.path == peer::PEER) else {
            return self.inspect(&a.path);
        };
        if b.is_empty() {
            return Reply::status(400);
        }
        self.on_hello(&b)
    }

    /// Whether users should be sent here.
    pub fn healthy(&self) -> bool {
        if !self.feed.loaded() {
            return false;
        }
        self.feed.current() || self.common_outage()
    }

    /// Whether the state service is away for every controller, not for us alone: then there is no
    /// better node to send anyone to. It says nothing of what others accepted before.
    pub fn common_outage(&self) -> bool {
        self.members
            .common_outage(self.settings.siblings.len(), self.clock.now())
    }

    /// Says that something was done, the first time.
    pub fn first(&self, what: First) {
        let mut done = self.firsts.borrow_mut();
        if !done.contains(&what) {
            done.push(what);
            let after_ms = self.clock.age() / crate::time::MILLI;
            tracing::info!(?what, after_ms, "first");
        }
    }

    /// Sleeps.
    pub async fn sleep(&self, t: Micros) {
        Timer::after(dur(t)).await;
    }

    /// Our name.
    pub fn me(&self) -> &str {
        &self.settings.node
    }

    /// The term under which we drive a part, if we do: ours, and everything that its older owners
    /// wrote is in the view.
    pub fn term(&self, view: &View, part: u32) -> Option<u64> {
        let p = view.parts.get(&part)?;
        let ours = p.owner == self.me() && self.members.drives(p.lease);
        (ours && self.feed.loaded() && view.rev >= view.stamp(&keys::part(part))).then_some(p.term)
    }

    /// Limits of the state service that we keep to. Lower ones come into force without notice, so
    /// they are kept from the moment when every controller can.
    pub fn state_limits(&self) -> StateLimits {
        match (self.settings.next, self.feed.view().layout) {
            (Some(next), Some(_)) => next,
            _ => self.settings.limits,
        }
    }

    /// Bytes that a value may have, counted as JSON, with some reserve.
    pub fn value_limit(&self) -> usize {
        self.state_limits()
            .value_bytes
            .saturating_sub(VALUE_RESERVE)
    }

    /// Limits of a transaction.
    pub fn limits(&self) -> Limits {
        let layout = self.feed.view().layout.is_some();
        Limits {
            ops: self.state_limits().txn_ops,
            merge: (self.feed.client().write_level().1 / 2.0) as usize,
            bytes: 48 * 1024,
            value: self.value_limit(),
            layout,
            packed: layout && self.settings.next.is_some(),
            wall: wall(),
        }
    }
}

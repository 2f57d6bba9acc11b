//! The node: shared state, and the loops that bring what is to what is wanted.

use crate::autoscaler::reconciler::ProvisioningErrors;
use crate::fairness::service_levels::ServiceLevelMonitor;
use crate::jobs::commit::TransactionLimits;
use crate::membership::Membership;
use crate::policy::Policy;
use crate::reconciliation::{REQUEST_SHARE, Reconciler, WRITE_SHARE};
use crate::settings::{Settings, StateLimits};
use crate::store::client::StoreClient;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::store::watch_cache::WatchCache;
use crate::time::{Clock, Micros, dur, wall};
use crate::wire::client::Client;
use crate::wire::server::{ConnectionGauge, Request, Response, serve};
use crate::wire::{peer, worker};
use crate::workers::WorkerRegistry;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use http_types::Method;
use std::cell::RefCell;
use std::rc::Rc;

/// One controller.
pub struct Controller {
    /// Settings.
    pub settings: Settings,
    /// Policy.
    pub policy: Policy,
    /// Steady clock.
    pub clock: Clock,
    /// Executor.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connections.
    pub http: Rc<Client>,
    /// The view, fed by the state service.
    pub watch_cache: WatchCache,
    /// Membership and peers.
    pub membership: Membership,
    /// Machines of our parts.
    pub workers: WorkerRegistry,
    /// What the cloud refused.
    pub provisioning_errors: ProvisioningErrors,
    /// The control loop's memory.
    pub reconciler: Reconciler,
    /// Which classes and teams get too little, while we lead.
    pub service_level_monitor: RefCell<ServiceLevelMonitor>,
    firsts: RefCell<Vec<StartupMilestone>>,
}

/// What a controller does for the first time since it started: said once each, so that the log shows how
/// long it took to serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMilestone {
    /// A user had an answer.
    User,
    /// A worker's report was answered.
    Heartbeat,
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

impl Controller {
    /// A node that has not started yet.
    pub fn new(
        settings: Settings,
        policy: Policy,
        ex: Rc<LocalExecutor<'static>>,
    ) -> Rc<Controller> {
        let clock = Clock::start();
        let http = Rc::new(Client::new(settings.max_connections / 5));
        let n = (settings.peers.len() + 1) as f64;
        let store = StoreClient::new(
            http.clone(),
            settings.state,
            clock,
            settings.state_limits.rps * REQUEST_SHARE / n,
            settings.state_limits.write_rps * WRITE_SHARE / n,
        );
        Rc::new(Controller {
            settings,
            policy,
            clock,
            executor: ex,
            http,
            watch_cache: WatchCache::new(store, clock),
            membership: Membership::default(),
            workers: WorkerRegistry::default(),
            provisioning_errors: ProvisioningErrors::default(),
            reconciler: Reconciler::default(),
            service_level_monitor: RefCell::default(),
            firsts: RefCell::default(),
        })
    }

    /// Starts every loop and serves for ever.
    pub async fn run(self: Rc<Controller>) -> std::io::Result<()> {
        let front = listen("front", self.settings.listen).await?;
        let peers = listen("peer_bind", self.settings.peer_bind).await?;
        tracing::info!(node = %self.settings.node, front = %self.settings.listen, "started");
        macro_rules! spawn {
            ($f:ident) => {{
                let n = self.clone();
                self.executor.spawn(async move { n.$f().await }).detach();
            }};
        }
        macro_rules! watch_cache {
            ($f:ident) => {{
                let n = self.clone();
                self.executor
                    .spawn(async move { n.watch_cache.$f().await })
                    .detach();
            }};
        }
        watch_cache!(watch_loop);
        watch_cache!(linearizable_read_loop);
        watch_cache!(dependency_lookup_loop);
        spawn!(lease_loop);
        spawn!(shard_loop);
        spawn!(reconcile_loop);
        spawn!(autoscaler_loop);
        spawn!(task_counts_loop);
        spawn!(peer_loop);
        let gauge = Rc::new(ConnectionGauge::default());
        // Some sockets stay for our own calls.
        let max = self.settings.max_connections * 9 / 10;
        let n = self.clone();
        let on_peer = move |a: Request| {
            let n = n.clone();
            async move { n.on_peer(a).await }
        };
        self.executor
            .spawn(serve(
                self.executor.clone(),
                peers,
                gauge.clone(),
                max,
                on_peer,
            ))
            .detach();
        let n = self.clone();
        let on_front = move |a: Request| {
            let n = n.clone();
            async move { n.on_front(a).await }
        };
        serve(self.executor.clone(), front, gauge, max, on_front).await;
        Ok(())
    }

    async fn on_front(&self, a: Request) -> Response {
        if a.path == worker::REPORT {
            return match (a.method, &a.body) {
                (Method::Post, Some(b)) => self.on_heartbeat(b),
                (Method::Post, None) => Response::status(400),
                _ => Response::status(405),
            };
        }
        if a.path == "/healthz" {
            return match a.method {
                Method::Get | Method::Head => {
                    Response::status(if self.healthy() { 200 } else { 503 })
                }
                _ => Response::status(405),
            };
        }
        if a.path.starts_with("/api/jobs") {
            let reply = self.on_user_or_forward(a).await;
            if reply.status < 429 {
                self.first(StartupMilestone::User);
            }
            return reply;
        }
        Response::status(404)
    }

    async fn on_peer(&self, a: Request) -> Response {
        if a.path == peer::FORWARD {
            return self.on_forward(a.body.as_deref().unwrap_or_default()).await;
        }
        let Some(b) = a.body.filter(|_| a.path == peer::PEER) else {
            return self.inspect(&a.path);
        };
        if b.is_empty() {
            return Response::status(400);
        }
        self.on_peer_heartbeat(&b)
    }

    /// Whether users should be sent here.
    pub fn healthy(&self) -> bool {
        if !self.watch_cache.loaded() {
            return false;
        }
        self.watch_cache.current() || self.common_outage()
    }

    /// Whether the state service is away for every controller, not for us alone: then there is no
    /// better node to send anyone to. It says nothing of what others accepted before.
    pub fn common_outage(&self) -> bool {
        self.membership
            .common_outage(self.settings.peers.len(), self.clock.now())
    }

    /// Says that something was done, the first time.
    pub fn first(&self, what: StartupMilestone) {
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
    pub fn term(&self, view: &ClusterState, shard: u32) -> Option<u64> {
        let p = view.shards.get(&shard)?;
        let ours = p.owner == self.me() && self.membership.is_own_lease(p.lease);
        (ours && self.watch_cache.loaded() && view.revision >= view.version(&keys::shard(shard)))
            .then_some(p.term)
    }

    /// Limits of the state service that we keep to. Lower ones come into force without notice, so
    /// they are kept from the moment when every controller can.
    pub fn state_limits(&self) -> StateLimits {
        match (
            self.settings.next_state_limits,
            self.watch_cache.view().layout,
        ) {
            (Some(next), Some(_)) => next,
            _ => self.settings.state_limits,
        }
    }

    /// Bytes that a value may have, counted as JSON, with some reserve.
    pub fn value_limit(&self) -> usize {
        self.state_limits()
            .max_value_bytes
            .saturating_sub(VALUE_RESERVE)
    }

    /// Limits of a transaction.
    pub fn limits(&self) -> TransactionLimits {
        let layout = self.watch_cache.view().layout.is_some();
        TransactionLimits {
            max_mutations: self.state_limits().max_mutations,
            max_merged_mutations: (self.watch_cache.client().write_level().1 / 2.0) as usize,
            max_bytes: 48 * 1024,
            max_value_bytes: self.value_limit(),
            newer_layout: layout,
            packed: layout && self.settings.next_state_limits.is_some(),
            wall_clock: wall(),
        }
    }
}

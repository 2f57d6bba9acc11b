//! One controller: its state, the start of its loops, and the dispatch of requests.
//!
//! Each loop is a method in the slice that owns the state it changes. This file owns the startup milestones
//! only, and derives what several slices need: terms of shards and limits of the state service.

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
use crate::time::{Clock, Micros, to_duration, wall};
use crate::wire::client::Client;
use crate::wire::server::{ConnectionGauge, Request, Response, serve};
use crate::wire::{peer, worker};
use crate::workers::WorkerRegistry;
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use http_types::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// One controller.
pub struct Controller {
    /// Settings of the platform.
    pub settings: Settings,
    /// Policy of the operators.
    pub policy: Policy,
    /// Monotonic clock.
    pub clock: Clock,
    /// Executor of all loops, on one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Connection pool for calls to workers, peers and the cloud.
    pub http: Rc<Client>,
    /// The cluster state, kept up to date by watches of the state service.
    pub watch_cache: WatchCache,
    /// Membership lease, shard ownership and heartbeats of the peers.
    pub membership: Membership,
    /// Machines of our shards.
    pub workers: WorkerRegistry,
    /// Machine types and zones for which the cloud refused scale-out requests lately.
    pub provisioning_errors: ProvisioningErrors,
    /// State of the reconciliation loop.
    pub reconciler: Reconciler,
    /// Classes and teams that miss their objectives, kept while this controller leads.
    pub service_level_monitor: RefCell<ServiceLevelMonitor>,
    milestones: RefCell<Vec<StartupMilestone>>,
}

/// What a controller does for the first time since it started. Each is logged once, so that the log shows
/// how long a start or a failover took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMilestone {
    /// A user had an answer.
    User,
    /// A worker's heartbeat was answered.
    Heartbeat,
    /// A worker was commanded to start a task.
    Start,
}

/// Share of the sockets that the connection pool may use for our own calls.
const OUTBOUND_CONNECTION_DIVISOR: usize = 5;

/// Tenths of the sockets that serve connections of others; the rest stays for our own calls.
const INBOUND_CONNECTION_TENTHS: usize = 9;

/// Largest transaction, in bytes: well below the 64 KiB of a request body.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Answers from this status on do not count as answers to a user: 429 and 5xx ask to come back.
const FIRST_RETRY_STATUS: u16 = 429;

/// Path of the health check of the platform's load balancer.
const HEALTH_PATH: &str = "/healthz";

/// Prefix of the paths of users.
const USER_PATH_PREFIX: &str = "/api/jobs";

/// Bytes of a value that stay free: what the state service counts beside the value itself is not specified.
const VALUE_RESERVE_BYTES: usize = 48;

/// Listens on an address; the error names the setting and the address.
async fn listen(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| std::io::Error::new(error.kind(), format!("{field} {address}: {error}")))
}

impl Controller {
    /// A controller that has not started yet.
    pub fn new(
        settings: Settings,
        policy: Policy,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Controller> {
        let clock = Clock::start();
        let max_outbound = settings.max_connections / OUTBOUND_CONNECTION_DIVISOR;
        let http = Rc::new(Client::new(max_outbound));
        // The limits of the state service are for all controllers together.
        let controller_count = (settings.peers.len() + 1) as f64;
        let store = StoreClient::new(
            http.clone(),
            settings.state,
            clock,
            settings.state_limits.rps * REQUEST_SHARE / controller_count,
            settings.state_limits.write_rps * WRITE_SHARE / controller_count,
        );
        Rc::new(Controller {
            settings,
            policy,
            clock,
            executor,
            http,
            watch_cache: WatchCache::new(store, clock),
            membership: Membership::default(),
            workers: WorkerRegistry::default(),
            provisioning_errors: ProvisioningErrors::default(),
            reconciler: Reconciler::default(),
            service_level_monitor: RefCell::default(),
            milestones: RefCell::default(),
        })
    }

    /// Starts every loop and serves for ever. Fails if one of its addresses cannot be bound.
    pub async fn run(self: Rc<Controller>) -> std::io::Result<()> {
        let public = listen("front", self.settings.listen).await?;
        let internal = listen("peer_bind", self.settings.peer_bind).await?;
        tracing::info!(node = %self.settings.node, listen = %self.settings.listen, "controller started");
        self.spawn_loops();
        self.serve_requests(public, internal).await;
        Ok(())
    }

    /// Spawns the loops, in the order in which they first run.
    fn spawn_loops(self: &Rc<Controller>) {
        self.spawn(|this| async move { this.watch_cache.watch_loop().await });
        self.spawn(|this| async move { this.watch_cache.linearizable_read_loop().await });
        self.spawn(|this| async move { this.watch_cache.dependency_lookup_loop().await });
        self.spawn(|this| async move { this.lease_loop().await });
        self.spawn(|this| async move { this.shard_loop().await });
        self.spawn(|this| async move { this.reconcile_loop().await });
        self.spawn(|this| async move { this.autoscaler_loop().await });
        self.spawn(|this| async move { this.task_counts_loop().await });
        self.spawn(|this| async move { this.peer_loop().await });
    }

    fn spawn<F: Future + 'static>(self: &Rc<Controller>, task: impl FnOnce(Rc<Controller>) -> F)
    where
        F::Output: 'static,
    {
        self.executor.spawn(task(self.clone())).detach();
    }

    /// Serves users and workers on one address, controllers and operators on the other, for ever. Both share the
    /// limit of connections.
    async fn serve_requests(self: &Rc<Controller>, public: TcpListener, internal: TcpListener) {
        let gauge = Rc::new(ConnectionGauge::default());
        let max_inbound = self.settings.max_connections * INBOUND_CONNECTION_TENTHS / 10;
        let this = self.clone();
        let on_internal = move |request: Request| {
            let this = this.clone();
            async move { this.on_internal_request(request).await }
        };
        let executor = self.executor.clone();
        let serve_internal = serve(executor, internal, gauge.clone(), max_inbound, on_internal);
        self.executor.spawn(serve_internal).detach();
        let this = self.clone();
        let on_public = move |request: Request| {
            let this = this.clone();
            async move { this.on_public_request(request).await }
        };
        serve(self.executor.clone(), public, gauge, max_inbound, on_public).await;
    }

    /// Requests of workers, the load balancer and users.
    async fn on_public_request(&self, request: Request) -> Response {
        if request.path == worker::HEARTBEAT_PATH {
            return match (request.method, &request.body) {
                (Method::Post, Some(body)) => self.on_heartbeat(body),
                (Method::Post, None) => Response::status(400),
                _ => Response::status(405),
            };
        }
        if request.path == HEALTH_PATH {
            return match request.method {
                Method::Get | Method::Head => {
                    Response::status(if self.healthy() { 200 } else { 503 })
                }
                _ => Response::status(405),
            };
        }
        if request.path.starts_with(USER_PATH_PREFIX) {
            let response = self.on_user_or_forward(request).await;
            if response.status < FIRST_RETRY_STATUS {
                self.record_milestone(StartupMilestone::User);
            }
            return response;
        }
        Response::status(404)
    }

    /// Requests of peers and operators.
    async fn on_internal_request(&self, request: Request) -> Response {
        if request.path == peer::FORWARD_PATH {
            let body = request.body.as_deref().unwrap_or_default();
            return self.on_forward(body).await;
        }
        let heartbeat = request
            .body
            .filter(|_| request.path == peer::PEER_HEARTBEAT_PATH);
        let Some(heartbeat) = heartbeat else {
            return self.inspect(&request.path);
        };
        if heartbeat.is_empty() {
            return Response::status(400);
        }
        self.on_peer_heartbeat(&heartbeat)
    }

    /// Whether the load balancer should send users here.
    pub fn healthy(&self) -> bool {
        if !self.watch_cache.loaded() {
            return false;
        }
        self.watch_cache.current() || self.common_outage()
    }

    /// Whether no controller reaches the state service: then no other controller is a better one for
    /// users. It says nothing about what others accepted before.
    pub fn common_outage(&self) -> bool {
        self.membership
            .common_outage(self.settings.peers.len(), self.clock.now())
    }

    /// Logs a milestone when it is reached for the first time.
    pub fn record_milestone(&self, milestone: StartupMilestone) {
        let mut reached = self.milestones.borrow_mut();
        if !reached.contains(&milestone) {
            reached.push(milestone);
            let after_ms = self.clock.age() / crate::time::MILLI;
            tracing::info!(?milestone, after_ms, "startup milestone reached");
        }
    }

    /// Waits for a time.
    pub async fn sleep(&self, time: Micros) {
        Timer::after(to_duration(time)).await;
    }

    /// Name of this controller.
    pub fn me(&self) -> &str {
        &self.settings.node
    }

    /// The term under which this controller drives a shard; `None` if it does not: the shard must be ours, and
    /// the cluster state must hold everything that earlier owners wrote.
    pub fn term(&self, view: &ClusterState, shard: u32) -> Option<u64> {
        let record = view.shards.get(&shard)?;
        let ours = record.owner == self.me() && self.membership.is_own_lease(record.lease);
        (ours && self.watch_cache.loaded() && view.revision >= view.version(&keys::shard(shard)))
            .then_some(record.term)
    }

    /// Limits of the state service in use. Announced lower ones come into force without notice, so they are
    /// used as soon as every controller can read what they make us write.
    pub fn state_limits(&self) -> StateLimits {
        match (
            self.settings.next_state_limits,
            self.watch_cache.view().layout,
        ) {
            (Some(next), Some(_)) => next,
            _ => self.settings.state_limits,
        }
    }

    /// Largest value to write, in bytes of JSON, with a reserve.
    pub fn value_limit(&self) -> usize {
        self.state_limits()
            .max_value_bytes
            .saturating_sub(VALUE_RESERVE_BYTES)
    }

    /// Limits of the transactions to write.
    pub fn limits(&self) -> TransactionLimits {
        let newer_layout = self.watch_cache.view().layout.is_some();
        TransactionLimits {
            max_mutations: self.state_limits().max_mutations,
            max_merged_mutations: (self.watch_cache.client().write_level().1 / 2.0) as usize,
            max_bytes: MAX_TRANSACTION_BYTES,
            max_value_bytes: self.value_limit(),
            newer_layout,
            packed: newer_layout && self.settings.next_state_limits.is_some(),
            wall_clock: wall(),
        }
    }
}

//! Controller: its state, the start of its loops, and the dispatch of requests.
//!
//! Each loop is a method in the module that owns the state that the loop changes. This file owns only the startup
//! milestones, and derives values that several modules need: terms of shards and limits of the state service.

use crate::autoscaler::reconciler::CloudRequestState;
use crate::fairness::service_levels::ServiceLevelMonitor;
use crate::jobs::commit::TransactionLimits;
use crate::jobs::memory_budget::JobMemoryBudget;
use crate::membership::Membership;
use crate::policy::Policy;
use crate::reconciliation::{REQUEST_SHARE, Reconciler, WRITE_SHARE};
use crate::refusals::RefusalCounter;
use crate::settings::{Settings, StateLimits};
use crate::store::client::StoreClient;
use crate::store::cluster_state::ClusterState;
use crate::store::keys;
use crate::store::watch_cache::WatchCache;
use crate::time::{Clock, Micros, to_duration, wall_clock_now};
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

/// State and components of a controller.
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
    /// Workers on the machines of the shards that this controller owns.
    pub workers: WorkerRegistry,
    /// Recently refused instance kinds, and the sequence number of requests to the cloud.
    pub cloud_request_state: CloudRequestState,
    /// State of the reconciliation loop.
    pub reconciler: Reconciler,
    /// Job classes and teams that miss their objectives, tracked while this controller is the leader.
    pub service_level_monitor: RefCell<ServiceLevelMonitor>,
    /// Memory that unfinished jobs may use; `None` if the settings contain no limit.
    pub job_memory_budget: Option<JobMemoryBudget>,
    /// Submissions that were deferred because there was no memory for the job.
    pub memory_refusals: RefusalCounter,
    /// Submissions of which it was not looked up whether they were accepted before.
    pub skipped_lookups: RefusalCounter,
    milestones: RefCell<Vec<StartupMilestone>>,
}

/// Event that is logged when it first occurs after the start of a controller, so that the log shows the duration of a
/// start or a failover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupMilestone {
    /// A user's request was answered.
    User,
    /// A worker's heartbeat was answered.
    Heartbeat,
    /// A worker was commanded to start a task.
    Start,
}

/// Divisor of the socket limit that gives the limit of connections for outbound calls.
const OUTBOUND_CONNECTION_DIVISOR: usize = 5;

/// Limit of inbound connections, in tenths of the socket limit; the rest is reserved for outbound calls.
const INBOUND_CONNECTION_TENTHS: usize = 9;

/// Maximum size of a transaction, in bytes: well below the limit of 64 KiB for a request body.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;

/// Lowest status that does not count as an answer to a user: 429 and 5xx mean that the client should retry.
const FIRST_RETRY_STATUS: u16 = 429;

/// Path of the health check by the platform's load balancer.
const HEALTH_PATH: &str = "/healthz";

/// Prefix of the paths of the user API.
const USER_PATH_PREFIX: &str = "/api/jobs";

/// Bytes of the value size limit that stay unused: it is not specified what the state service counts besides the
/// value itself.
const VALUE_RESERVE_BYTES: usize = 48;

/// Listens on an address. An error contains the name of the setting and the address.
async fn listen(field: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .map_err(|error| std::io::Error::new(error.kind(), format!("{field} {address}: {error}")))
}

impl Controller {
    /// Creates a controller without starting it.
    pub fn new(
        settings: Settings,
        policy: Policy,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Controller> {
        let clock = Clock::start();
        let max_outbound = settings.max_connections / OUTBOUND_CONNECTION_DIVISOR;
        let http = Rc::new(Client::new(max_outbound));
        // All controllers together must stay within the limits of the state service.
        let controller_count = (settings.peers.len() + 1) as f64;
        let store = StoreClient::new(
            http.clone(),
            settings.state,
            clock,
            settings.state_limits.requests_per_s * REQUEST_SHARE / controller_count,
            settings.state_limits.writes_per_s * WRITE_SHARE / controller_count,
        );
        Rc::new(Controller {
            job_memory_budget: JobMemoryBudget::new(settings.memory_mb),
            memory_refusals: RefusalCounter::default(),
            skipped_lookups: RefusalCounter::default(),
            settings,
            policy,
            clock,
            executor,
            http,
            watch_cache: WatchCache::new(store, clock),
            membership: Membership::default(),
            workers: WorkerRegistry::default(),
            cloud_request_state: CloudRequestState::default(),
            reconciler: Reconciler::default(),
            service_level_monitor: RefCell::default(),
            milestones: RefCell::default(),
        })
    }

    /// Starts all loops and serves requests until the process ends. Fails if an address cannot be bound.
    pub async fn run(self: Rc<Controller>) -> std::io::Result<()> {
        let public = listen("front", self.settings.listen).await?;
        let internal = listen("peer_bind", self.settings.peer_bind).await?;
        tracing::info!(node = %self.settings.node, listen = %self.settings.listen, "controller started");
        self.spawn_loops();
        self.serve_requests(public, internal).await;
        Ok(())
    }

    /// Spawns the loops, in the order of their first run.
    fn spawn_loops(self: &Rc<Controller>) {
        self.spawn(|this| async move { this.watch_cache.watch_loop().await });
        self.spawn(|this| async move { this.watch_cache.linearizable_read_loop().await });
        self.spawn(|this| async move { this.watch_cache.dependency_lookup_loop().await });
        self.spawn(|this| async move { this.acceptance_lookup_loop().await });
        self.spawn(|this| async move { this.lease_loop().await });
        self.spawn(|this| async move { this.shard_loop().await });
        self.spawn(|this| async move { this.reconcile_loop().await });
        self.spawn(|this| async move { this.autoscaler_loop().await });
        self.spawn(|this| async move { this.task_counts_loop().await });
        self.spawn(|this| async move { this.peer_heartbeat_loop().await });
    }

    fn spawn<F: Future + 'static>(self: &Rc<Controller>, task: impl FnOnce(Rc<Controller>) -> F)
    where
        F::Output: 'static,
    {
        self.executor.spawn(task(self.clone())).detach();
    }

    /// Serves users and workers on the public address, controllers and operators on the internal one, until the
    /// process ends. Both share the limit of connections.
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

    /// Handles requests of workers, the load balancer and users.
    async fn on_public_request(&self, request: Request) -> Response {
        if request.path == worker::HEARTBEAT_PATH {
            return match (request.method, &request.body) {
                (Method::Post, Some(body)) => self.handle_heartbeat(body),
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
            let response = self.handle_or_forward_user_request(request).await;
            if response.status < FIRST_RETRY_STATUS {
                self.record_milestone(StartupMilestone::User);
            }
            return response;
        }
        Response::status(404)
    }

    /// Handles requests of peers and operators.
    async fn on_internal_request(&self, request: Request) -> Response {
        if request.path == peer::FORWARD_PATH {
            let body = request.body.as_deref().unwrap_or_default();
            return self.handle_forwarded_request(body).await;
        }
        let heartbeat = request
            .body
            .filter(|_| request.path == peer::PEER_HEARTBEAT_PATH);
        let Some(heartbeat) = heartbeat else {
            return self.handle_inspection_request(&request.path);
        };
        if heartbeat.is_empty() {
            return Response::status(400);
        }
        self.handle_peer_heartbeat(&heartbeat)
    }

    /// Returns whether the load balancer should route users to this controller.
    pub fn healthy(&self) -> bool {
        if !self.watch_cache.loaded() {
            return false;
        }
        self.watch_cache.is_current() || self.state_service_unreachable_for_all()
    }

    /// Returns whether no controller reaches the state service, so that no other controller can serve users better.
    /// It does not imply anything about requests that other controllers accepted before.
    pub fn state_service_unreachable_for_all(&self) -> bool {
        self.membership
            .state_service_unreachable_for_all(self.settings.peers.len(), self.clock.now())
    }

    /// Logs a milestone when it is reached for the first time.
    pub fn record_milestone(&self, milestone: StartupMilestone) {
        let mut reached = self.milestones.borrow_mut();
        if !reached.contains(&milestone) {
            reached.push(milestone);
            let after_ms = self.clock.elapsed() / crate::time::MILLISECOND;
            tracing::info!(?milestone, after_ms, "startup milestone reached");
        }
    }

    /// Suspends the calling task for a duration.
    pub async fn sleep(&self, duration: Micros) {
        Timer::after(to_duration(duration)).await;
    }

    /// Returns the name of this controller.
    pub fn node_name(&self) -> &str {
        &self.settings.node
    }

    /// Returns the term under which this controller acts for a shard, `None` if it must not: the shard's record must
    /// name this controller and a lease that was granted to this process, and the cluster state must include all
    /// writes of earlier owners.
    pub fn term(&self, view: &ClusterState, shard: u32) -> Option<u64> {
        let record = view.shards.get(&shard)?;
        let is_owner =
            record.owner == self.node_name() && self.membership.was_lease_granted(record.lease);
        (is_owner
            && self.watch_cache.loaded()
            && view.revision >= view.version(&keys::shard(shard)))
        .then_some(record.term)
    }

    /// Returns the limits of the state service to apply. Announced lower limits take effect without notice, so they
    /// are applied as soon as every controller can read the values that are written under them.
    pub fn state_limits(&self) -> StateLimits {
        match (
            self.settings.next_state_limits,
            self.watch_cache.view().layout,
        ) {
            (Some(next), Some(_)) => next,
            _ => self.settings.state_limits,
        }
    }

    /// Executes lookups of whether jobs were accepted, within the limits in force and those announced.
    pub async fn acceptance_lookup_loop(&self) {
        let limits = self.settings.next_state_limits;
        let limits = limits.unwrap_or(self.settings.state_limits);
        let max_preconditions = limits.max_preconditions();
        self.watch_cache
            .acceptance_lookup_loop(max_preconditions)
            .await;
    }

    /// Returns the maximum size of a written value in bytes of JSON, less a reserve.
    pub fn max_value_bytes(&self) -> usize {
        self.state_limits()
            .max_value_bytes
            .saturating_sub(VALUE_RESERVE_BYTES)
    }

    /// Returns the limits of written transactions.
    pub fn transaction_limits(&self) -> TransactionLimits {
        let layout = self.watch_cache.view().layout;
        let lower_limits_announced = self.settings.next_state_limits.is_some();
        TransactionLimits {
            max_mutations: self.state_limits().max_mutations,
            max_merged_mutations: (self.watch_cache.client().write_budget().1 / 2.0) as usize,
            max_bytes: MAX_TRANSACTION_BYTES,
            max_value_bytes: self.max_value_bytes(),
            write_newer_layout: layout.is_some(),
            write_packed_blocks: layout
                .is_some_and(|layout| layout.packs_blocks(lower_limits_announced)),
            wall_clock: wall_clock_now(),
        }
    }
}

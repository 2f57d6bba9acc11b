//! The node: shared state, and the loops that bring what is to what is wanted.

use crate::jobs::commit::{Intent, Limits, Staged, stage, sweep};
use crate::jobs::model::JobId;
use crate::members::part_of;
use crate::placement::{self, Scene};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store::client::{Outcome, StoreClient};
use crate::store::keys;
use crate::store::view::View;
use crate::time::{Clock, MILLI, Micros, SECOND, dur, wall};
use crate::wire::client::Client;
use crate::wire::server::{Ask, Gauge, Reply, serve};
use crate::wire::state::{Change, Log, Txn};
use crate::wire::{WireError, peer, worker};
use crate::workers::{self, Machine};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use event_listener::Event;
use futures_lite::FutureExt;
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

/// What a peer said last, and when.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When it answered or spoke last.
    pub heard: Micros,
    /// Whether it reaches the state service.
    pub state_ok: bool,
    /// Calls to it that failed in a row.
    pub missed: u32,
    /// Whom it cannot reach.
    pub unreachable: Vec<String>,
}

/// Failures of a job's tasks, to back off.
#[derive(Clone, Debug, Default)]
pub struct Failing {
    /// How many.
    pub count: u32,
    /// Not before.
    pub until: Micros,
    /// On which machines.
    pub hosts: HashSet<Rc<str>>,
}

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
    /// State service.
    pub store: StoreClient,
    /// View.
    pub view: RefCell<View>,
    /// Whether the view holds everything up to some moment after the start.
    pub loaded: Cell<bool>,
    /// A moment at which the view was known to be current.
    pub fresh_at: Cell<Micros>,
    /// Our lease.
    pub lease: Cell<Option<u64>>,
    /// Whether our workers cannot reach us, and since when.
    pub shunned: Cell<Option<Micros>>,
    /// Parts whose term we want to raise once more.
    pub raise: RefCell<HashSet<u32>>,
    /// Machines of our parts.
    pub machines: RefCell<BTreeMap<Rc<str>, Machine>>,
    /// Jobs with a transaction under way.
    pub busy: RefCell<HashSet<JobId>>,
    /// Machines with a write under way.
    pub busy_hosts: RefCell<HashSet<Rc<str>>>,
    /// Jobs whose tasks fail.
    pub failing: RefCell<HashMap<JobId, Failing>>,
    /// Durations of finished tasks, by job.
    pub durations: RefCell<HashMap<JobId, Vec<[Micros; 2]>>>,
    /// Machines sent to another controller: machine, to whom, when.
    pub redirected: RefCell<HashMap<String, (String, Micros, u32)>>,
    /// Peers.
    pub peers: RefCell<HashMap<String, PeerState>>,
    /// When a peer told us that machines of ours come back to it.
    pub bounced: Cell<Micros>,
    /// Rental combinations that were refused, until when.
    pub refused: RefCell<HashMap<(String, String, bool), Micros>>,
    /// Wakes the control loop.
    pub wake: Event,
    woken: Cell<bool>,
    barriers: async_channel::Sender<async_channel::Sender<bool>>,
    barrier_queue: async_channel::Receiver<async_channel::Sender<bool>>,
}

/// Shares of the state service's limits that one controller takes. Writes come unevenly, so that
/// each may use more than its third; a 429 is answered by waiting.
const REQUEST_SHARE: f64 = 0.32;
const WRITE_SHARE: f64 = 0.5;
/// Pause between two control passes.
const PASS: Micros = 20 * MILLI;
/// A control pass at least this often.
const IDLE_PASS: Micros = SECOND / 5;
/// Pause between two reads of the watch: every write would otherwise cost each node a request.
const WATCH_PAUSE: Micros = 25 * MILLI;
const WATCH_WAIT: Micros = SECOND;
/// A view that was not read for so long counts as cut off from the state service.
const STALE: Micros = 3 * SECOND;

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
        let http = Rc::new(Client::default());
        let (barriers, barrier_queue) = async_channel::unbounded();
        Rc::new(Node {
            store: StoreClient::new(
                http.clone(),
                settings.state,
                clock,
                settings.state_rps * REQUEST_SHARE,
                settings.write_rps * WRITE_SHARE,
            ),
            settings,
            policy,
            clock,
            ex,
            http,
            view: RefCell::new(View::default()),
            loaded: Cell::new(false),
            fresh_at: Cell::new(0),
            lease: Cell::new(None),
            shunned: Cell::new(None),
            raise: RefCell::default(),
            machines: RefCell::default(),
            busy: RefCell::default(),
            busy_hosts: RefCell::default(),
            failing: RefCell::default(),
            durations: RefCell::default(),
            redirected: RefCell::default(),
            peers: RefCell::default(),
            bounced: Cell::new(0),
            refused: RefCell::default(),
            wake: Event::new(),
            woken: Cell::new(true),
            barriers,
            barrier_queue,
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
        spawn!(watch_loop);
        spawn!(barrier_loop);
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
            return self.on_user_or_forward(a).await;
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
        if !self.loaded.get() {
            return false;
        }
        self.state_ok() || self.common_outage()
    }

    /// Whether the view was current a moment ago.
    pub fn state_ok(&self) -> bool {
        self.clock.now().saturating_sub(self.fresh_at.get()) < STALE
    }

    /// Whether the state service is away for every controller, not for us alone: then there is no
    /// better node to send anyone to, and nobody can have accepted anything since.
    pub fn common_outage(&self) -> bool {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        peers.len() == self.settings.siblings.len()
            && peers
                .values()
                .all(|p| now.saturating_sub(p.heard) < 4 * SECOND && !p.state_ok)
    }

    /// Asks the control loop to look.
    pub fn wake(&self) {
        self.woken.set(true);
        self.wake.notify(usize::MAX);
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
        let ours = p.owner == self.me() && Some(p.lease) == self.lease.get();
        (ours && self.loaded.get() && view.rev >= view.stamp(&keys::part(part))).then_some(p.term)
    }

    // ---- the view ----

    fn take_log(&self, log: Log, begun: Micros) {
        let mut v = self.view.borrow_mut();
        let before = v.epoch;
        for e in &log.log {
            match e {
                crate::wire::state::Event::Put { put, v: val, stamp } => v.put(put, val, *stamp),
                crate::wire::state::Event::Delete { remove, stamp } => v.delete(remove, *stamp),
            }
        }
        v.rev = v.rev.max(log.ledger_rev);
        let changed = v.epoch != before;
        drop(v);
        if self.fresh_at.get() < begun {
            self.fresh_at.set(begun);
        }
        if changed {
            self.wake();
        }
    }

    /// Applies what our own transaction wrote, ahead of the watch.
    pub fn wrote(&self, t: &Txn, rev: u64) {
        let mut v = self.view.borrow_mut();
        for c in &t.then {
            match c {
                Change::Put { put, v: val, .. } => v.put(put, val, rev),
                Change::Delete { remove } => v.delete(remove, rev),
            }
        }
        drop(v);
        self.wake();
    }

    async fn load(&self) -> Result<(), WireError> {
        let (mut lo, mut hi) = (u64::MAX, 0);
        for prefix in keys::LOADED {
            let mut seen = HashSet::new();
            let mut got = Vec::new();
            let (l, h) = self.store.list(prefix, |i| got.push(i)).await?;
            let mut v = self.view.borrow_mut();
            for i in got {
                seen.insert(i.path.clone());
                v.put(&i.path, &i.v, i.stamp);
            }
            v.retain_prefix(prefix, &seen, l);
            lo = lo.min(l);
            hi = hi.max(h);
        }
        self.view.borrow_mut().rev = lo;
        // The lists were read one after the other: only the log up to the last makes them one.
        loop {
            let after = self.view.borrow().rev;
            let begun = self.clock.now();
            let log = self.store.watch(keys::ALL, after, 0).await?;
            self.take_log(log, begun);
            if self.view.borrow().rev >= hi {
                break;
            }
        }
        self.loaded.set(true);
        tracing::info!(rev = hi, "view loaded");
        self.wake();
        Ok(())
    }

    async fn watch_loop(self: Rc<Node>) {
        loop {
            if !self.loaded.get() {
                if let Err(e) = self.load().await {
                    tracing::info!("load: {e}");
                    self.sleep(SECOND / 3).await;
                }
                continue;
            }
            let after = self.view.borrow().rev;
            match self.store.watch(keys::ALL, after, WATCH_WAIT).await {
                Ok(log) => {
                    // The answer left the service at most a while ago.
                    let begun = self.clock.now().saturating_sub(SECOND / 2);
                    self.take_log(log, begun);
                    self.sleep(WATCH_PAUSE).await;
                }
                Err(WireError::Status(410)) => self.loaded.set(false),
                Err(e) => {
                    tracing::debug!("watch: {e}");
                    self.sleep(SECOND / 4).await;
                }
            }
        }
    }

    /// Waits for a read begun after the call, with everything before it in the view. False if the
    /// state service does not answer.
    pub async fn barrier(&self) -> bool {
        if !self.loaded.get() {
            return false;
        }
        let (tx, rx) = async_channel::bounded(1);
        if self.barriers.send(tx).await.is_err() {
            return false;
        }
        rx.recv().await.unwrap_or(false)
    }

    /// One read serves everyone who asked before it began.
    async fn barrier_loop(self: Rc<Node>) {
        while let Ok(first) = self.barrier_queue.recv().await {
            let mut all = vec![first];
            while let Ok(x) = self.barrier_queue.try_recv() {
                all.push(x);
            }
            let begun = self.clock.now();
            let after = self.view.borrow().rev;
            let ok = match self.store.watch(keys::ALL, after, 0).await {
                Ok(log) => {
                    self.take_log(log, begun);
                    true
                }
                Err(WireError::Status(410)) => {
                    self.loaded.set(false);
                    false
                }
                Err(_) => false,
            };
            for x in all {
                let _ = x.try_send(ok);
            }
            self.sleep(15 * MILLI).await;
        }
    }

    // ---- control ----

    /// Limits of a transaction.
    pub fn limits(&self) -> Limits {
        Limits {
            ops: self.settings.txn_ops,
            bytes: 48 * 1024,
        }
    }

    async fn control_loop(self: Rc<Node>) {
        loop {
            if !self.woken.replace(false) {
                let l = self.wake.listen();
                if !self.woken.replace(false) {
                    l.or(self.sleep(IDLE_PASS)).await;
                    self.woken.set(false);
                }
            }
            if self.loaded.get() {
                self.pass();
            }
            self.sleep(PASS).await;
        }
    }

    /// One pass: everything that follows from the view and the reports as they are now.
    fn pass(self: &Rc<Node>) {
        let now = self.clock.now();
        let staged = {
            let view = self.view.borrow();
            self.adopt_machines(&view, now);
            let mut intents: Vec<Intent> = Vec::new();
            if self.state_ok() {
                let machines = self.machines.borrow();
                for (id, m) in machines.iter() {
                    workers::reconcile(&view, id, m, self.settings.lease, now, &mut intents);
                }
            }
            // What is over, and what was withdrawn before it was placed.
            for (id, j) in &view.jobs {
                if (j.spec.cancelled && j.placed == 0) || j.done == j.spec.tasks {
                    intents.push(Intent::Settle { job: id.clone() });
                }
            }
            if self.state_ok() {
                intents.extend(self.plan(&view, now));
            }
            if intents.is_empty() {
                Vec::new()
            } else {
                let capped = |t: &str| self.settings.team(t).is_some_and(|t| t.capped());
                stage(&view, &intents, &self.busy.borrow(), &capped, self.limits())
            }
        };
        self.write_hosts(now);
        for s in staged {
            self.busy.borrow_mut().extend(s.jobs.iter().cloned());
            let n = self.clone();
            self.ex
                .spawn(async move {
                    n.commit(&s).await;
                    let mut busy = n.busy.borrow_mut();
                    for j in &s.jobs {
                        busy.remove(j);
                    }
                    drop(busy);
                    n.wake();
                })
                .detach();
        }
        self.drive(now);
    }

    /// The part of the common plan that falls on our machines.
    fn plan(&self, view: &View, now: Micros) -> Vec<Intent> {
        if (0..crate::members::PARTS).all(|p| self.term(view, p).is_none()) {
            return Vec::new();
        }
        let machines = self.machines.borrow();
        let failing = self.failing.borrow();
        let responsive = |h: &str| match machines.get(h) {
            // Ours: it must have answered under our token, and lately.
            Some(m) => {
                m.fenced()
                    && now.saturating_sub(m.heard) < self.settings.report * 2
                    && view.hosts.get(h).is_some_and(|x| x.session == m.session)
            }
            None => self.term(view, part_of(h)).is_none(),
        };
        let held_back = |j: &str| failing.get(j).is_some_and(|f| f.until > now);
        let plan = placement::plan(&Scene {
            view,
            wall: wall(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            responsive: &responsive,
            held_back: &held_back,
            forecast: false,
        });
        let ours = |h: &str| self.term(view, part_of(h)).is_some();
        plan.intents
            .into_iter()
            .filter(|i| match i {
                Intent::Place { tasks, .. } => tasks.first().is_some_and(|t| ours(&t.1)),
                Intent::Stop { job, index, .. } => view
                    .jobs
                    .get(job)
                    .and_then(|j| j.placements().find(|(i, _)| i == index))
                    .is_some_and(|(_, p)| ours(&p.host)),
                _ => true,
            })
            .collect()
    }

    async fn commit(&self, s: &Staged) {
        match self.store.txn(&s.txn).await {
            Outcome::Done(rev) => self.wrote(&s.txn, rev),
            Outcome::Conflict(keys) => {
                tracing::debug!(?keys, "conflict");
                self.barrier().await;
            }
            Outcome::Refused(code) => {
                tracing::debug!(code, "refused");
                self.sleep(SECOND / 8).await;
            }
            Outcome::Unknown => {
                // It may have been carried out, or may yet be: its guards keep that harmless.
                self.barrier().await;
            }
        }
    }

    /// Deletes what jobs that are over left behind.
    pub async fn clean(&self) {
        let t = sweep(&self.view.borrow(), self.limits());
        if let Some(t) = t
            && let Outcome::Done(rev) = self.store.txn(&t).await
        {
            self.wrote(&t, rev);
        }
    }
}

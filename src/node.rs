//! The node: shared state, and the loops that bring what is to what is wanted.

use crate::ids::HostId;
use crate::hosts::model::{Host, HostState};
use crate::jobs::commit::{Intent, Limits, Staged, stage, sweep};
use crate::jobs::model::{Final, JobId, Room, Slot};
use crate::members::{PARTS, part_of};
use crate::placement::{self, Open, Scene};
use crate::policy::Policy;
use crate::settings::{Settings, StateLimits};
use crate::store::client::{Outcome, StoreClient};
use crate::store::keys;
use crate::store::view::{Job, View};
use crate::time::{Clock, MILLI, Micros, SECOND, dur, wall};
use crate::wire::client::Client;
use crate::wire::server::{Ask, Gauge, Reply, serve};
use crate::wire::state::{Change, Log, Txn};
use crate::wire::user::Shape;
use crate::wire::{WireError, peer, worker};
use crate::workers::{self, Machine};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use event_listener::Event;
use futures_lite::FutureExt;
use http_types::Method;
use std::cell::{Cell, RefCell};
use foldhash::{HashMap, HashMapExt, HashSet, HashSetExt};
use std::collections::BTreeMap;
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
    pub hosts: HashSet<HostId>,
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
    pub machines: RefCell<BTreeMap<HostId, Machine>>,
    /// Jobs with a transaction under way.
    pub busy: RefCell<HashSet<JobId>>,
    /// Machines with a write under way.
    pub busy_hosts: RefCell<HashSet<HostId>>,
    /// Jobs whose tasks fail.
    pub failing: RefCell<HashMap<JobId, Failing>>,
    /// Durations of finished tasks, by job.
    pub durations: RefCell<HashMap<JobId, Vec<[Micros; 2]>>>,
    /// Machines sent to another controller: machine, to whom, when.
    pub redirected: RefCell<HashMap<String, (String, Micros, u32)>>,
    /// Peers.
    pub peers: RefCell<HashMap<String, PeerState>>,
    /// Peers' machines that are up before their keys say so: session, when that was said.
    pub peers_up: RefCell<HashMap<HostId, (u64, Micros)>>,
    /// When a peer told us that machines of ours come back to it.
    pub bounced: Cell<Micros>,
    /// Rental combinations that were refused, until when.
    pub refused: RefCell<HashMap<(String, String, bool), Micros>>,
    /// Wakes the control loop.
    pub wake: Event,
    woken: Cell<bool>,
    /// What machines' reports prove about attempts, and the blocks do not say yet.
    pub lefts: RefCell<BTreeMap<HostId, Vec<Intent>>>,
    left_since: RefCell<HashMap<JobId, Micros>>,
    /// Machines to look at in the next pass.
    pub dirty: RefCell<HashSet<HostId>>,
    swept: Cell<Micros>,
    /// After which silence machines with replicas are called.
    pub call_every: Cell<Micros>,
    sweep_every: Cell<Micros>,
    arrays_at: Cell<Micros>,
    steps_at: Cell<Micros>,
    hosts_at: Cell<Micros>,
    adopted: RefCell<(u64, Vec<Option<u64>>)>,
    barriers: async_channel::Sender<async_channel::Sender<bool>>,
    barrier_queue: async_channel::Receiver<async_channel::Sender<bool>>,
}

/// The state service's limits are shared evenly by the controllers that are alive; a little stays
/// for requests that are not counted here (leases) and for clocks that differ.
const REQUEST_SHARE: f64 = 0.94;
const WRITE_SHARE: f64 = 0.97;
/// Pause between two control passes: at least this, and this many times what the pass took, so that
/// reports and users are answered while there is much to decide.
const PASS: Micros = 20 * MILLI;
const PASS_REST: u64 = 3;
/// A control pass at least this often.
const IDLE_PASS: Micros = SECOND / 5;
/// Every machine is looked at this often, and at most this part of the time goes into it.
const SWEEP: Micros = SECOND / 5;
const SWEEP_REST: u64 = 12;
/// Arrays are placed this often: what became free meanwhile is one write.
const ARRAY_ROUND: Micros = 2 * SECOND / 5;
/// Arrays get this share of a second's budget at the latest after this, whatever else waits.
const ARRAY_LATEST: Micros = 2 * SECOND;
const ARRAY_SHARE: f64 = 0.25;
/// Exits of array tasks of which nobody waits to hear are written this much later, together.
const LAZY: Micros = 2 * SECOND;
const LAZY_MAX: Micros = 8 * SECOND;
/// Ends of jobs that are written together at most.
const ENDS: usize = 4;
/// Exits that were asked for come in numbers: so much later one write takes them together.
const ASKED: Micros = 3 * SECOND / 10;
/// What must run again, or may end a job, is written after this.
const SOON: Micros = 2 * SECOND / 5;
/// Shares of the burst of writes that stay for what comes before: placements of arrays leave room
/// for services and acceptances, bookkeeping also for arrays. Ends of jobs leave none: with 15 % kept
/// back they starved while changes were short, and the next steps of pipelines with them.
const KEEP_ARRAYS: f64 = 0.25;
const KEEP_BOOKS: f64 = 0.5;
/// Others' waiting tasks are taken only after this: their owner comes first.
const TAKE_SERVICE: Micros = 6 * SECOND / 5;
const TAKE_ARRAY: Micros = 3 * SECOND;
/// A step of a pipeline has little time to lose.
const TAKE_PIPED: Micros = 4 * SECOND / 5;
/// The same if their owner is not there.
const TAKE_ORPHAN: Micros = 3 * SECOND / 10;
/// Pause between two reads of the watch: every write would otherwise cost each node a request.
const WATCH_PAUSE: Micros = 40 * MILLI;
const BARRIER_PAUSE: Micros = 40 * MILLI;
const WATCH_WAIT: Micros = SECOND;
/// A view that was not read for so long counts as cut off from the state service.
const STALE: Micros = 3 * SECOND;

/// Bytes of a value that stay free: what is counted beside the value itself is not known.
const VALUE_RESERVE: usize = 48;
/// How often jobs are looked for of which nothing is known, and how many of them each time.
const GATES: Micros = SECOND / 5;
const GATES_AT_ONCE: usize = 20;

/// The owner of this part places gangs.
const GANGS: u32 = 0;

/// How long it can wait until what is known of a job's attempts is written.
fn patience(j: &Job, lefts: &[Intent]) -> Micros {
    let done = |i: &Intent| matches!(i, Intent::Left { done: true, .. });
    let all = lefts.len() as u32 >= j.placed;
    if j.cancelled() {
        // Its user has the answer, and the room is known to be free.
        return if all { SOON } else { LAZY };
    }
    if j.spec.kind != Shape::Array {
        return 0;
    }
    // Room that was made for someone: others see it only once it is written.
    let asked = |i: &Intent| match i {
        Intent::Left { index, .. } => {
            matches!(j.slot(*index), Some(Slot::Placed(p)) if p.stop.is_some())
        }
        _ => false,
    };
    if lefts.iter().any(asked) {
        return ASKED;
    }
    match lefts.iter().all(done) {
        true if all && j.waiting == 0 => 0,
        true => LAZY,
        false => SOON,
    }
}

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
        let (barriers, barrier_queue) = async_channel::unbounded();
        Rc::new(Node {
            store: StoreClient::new(
                http.clone(),
                settings.state,
                clock,
                settings.limits.rps * REQUEST_SHARE / (settings.siblings.len() + 1) as f64,
                settings.limits.write_rps * WRITE_SHARE / (settings.siblings.len() + 1) as f64,
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
            peers_up: RefCell::default(),
            bounced: Cell::new(0),
            refused: RefCell::default(),
            wake: Event::new(),
            woken: Cell::new(true),
            lefts: RefCell::default(),
            left_since: RefCell::default(),
            dirty: RefCell::default(),
            swept: Cell::new(0),
            call_every: Cell::new(SECOND),
            sweep_every: Cell::new(0),
            arrays_at: Cell::new(0),
            steps_at: Cell::new(0),
            hosts_at: Cell::new(0),
            adopted: RefCell::default(),
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
        spawn!(gates_loop);
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
            self.sleep(BARRIER_PAUSE).await;
        }
    }

    // ---- control ----

    /// Limits of the state service that we keep to. Lower ones come into force without notice, so
    /// they are kept from the moment when every controller can.
    pub fn state_limits(&self) -> StateLimits {
        match (self.settings.next, self.view.borrow().layout) {
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
        let layout = self.view.borrow().layout.is_some();
        Limits {
            ops: self.state_limits().txn_ops,
            merge: (self.store.write_level().1 / 2.0) as usize,
            bytes: 48 * 1024,
            value: self.value_limit(),
            layout,
            packed: layout && self.settings.next.is_some(),
            wall: wall(),
        }
    }

    /// Asks how jobs ended that others wait for and of which nothing is at hand: final states are
    /// not loaded at the start.
    async fn gates_loop(self: Rc<Node>) {
        loop {
            self.sleep(GATES).await;
            if !self.loaded.get() || !self.state_ok() {
                continue;
            }
            let list = self.view.borrow().unknown_gates();
            for id in list.iter().take(GATES_AT_ONCE) {
                if self.read_final(id).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Reads how a job ended: `None` if no final state is there.
    pub async fn read_final(&self, id: &JobId) -> Result<Option<Final>, WireError> {
        match self.store.get(&keys::fin(id), SECOND).await? {
            Ok(item) => {
                let f: Final = crate::wire::from_value(&item.v)
                    .ok_or_else(|| WireError::Malformed(keys::fin(id)))?;
                self.view.borrow_mut().remember(id, f);
                self.wake();
                Ok(Some(f))
            }
            Err(_) => Ok(None),
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
            let begun = self.clock.now();
            if self.loaded.get() {
                self.pass();
            }
            let took = self.clock.now().saturating_sub(begun);
            self.sleep(PASS.max(took * PASS_REST)).await;
        }
    }

    /// Terms under which we drive each part.
    pub fn terms(&self, view: &View) -> Vec<Option<u64>> {
        (0..PARTS).map(|p| self.term(view, p)).collect()
    }

    /// One pass: everything that follows from the view and the reports as they are now. Between two
    /// sweeps only machines are looked at that were heard, or whose tasks changed.
    fn pass(self: &Rc<Node>) {
        let now = self.clock.now();
        let terms = self.terms(&self.view.borrow());
        let full = now.saturating_sub(self.swept.get()) >= self.sweep_every.get();
        let mut dirty = std::mem::take(&mut *self.dirty.borrow_mut());
        dirty.extend(std::mem::take(&mut self.view.borrow_mut().touched));
        let mut staged: Vec<Staged> = Vec::new();
        {
            let view = self.view.borrow();
            self.share(&view);
            let state = (view.hosts_epoch, terms.clone());
            if full || *self.adopted.borrow() != state {
                self.adopt_machines(&view, &terms, now);
                *self.adopted.borrow_mut() = state;
            }
            if self.state_ok() {
                self.look(&view, full, &dirty, now);
                staged = self.decide(&view, &terms, now);
            }
        }
        if full || now.saturating_sub(self.hosts_at.get()) >= SWEEP {
            self.hosts_at.set(now);
            self.write_hosts(now);
        }
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
        self.drive(now, (!full).then_some(&dirty));
        if full {
            let took = self.clock.now().saturating_sub(now);
            self.swept.set(now);
            self.sweep_every.set(SWEEP.max(took * SWEEP_REST));
        }
    }

    /// Keeps our share of the state service's limits: those who are alive share them.
    fn share(&self, view: &View) {
        let n = view
            .members
            .len()
            .clamp(1, self.settings.siblings.len() + 1) as f64;
        let l = self.state_limits();
        self.store
            .share(l.rps * REQUEST_SHARE / n, l.write_rps * WRITE_SHARE / n);
    }

    /// What the machines' reports prove.
    fn look(&self, view: &View, full: bool, dirty: &HashSet<HostId>, now: Micros) {
        let machines = self.machines.borrow();
        let mut lefts = self.lefts.borrow_mut();
        let mut one = |id: &HostId, m: &Machine| {
            let mut out = Vec::new();
            workers::reconcile(view, id, m, self.settings.lease, now, &mut out);
            if out.is_empty() {
                lefts.remove(id);
            } else {
                lefts.insert(id.clone(), out);
            }
        };
        if full {
            for (id, m) in machines.iter() {
                one(id, m);
            }
        } else {
            for id in dirty {
                if let Some(m) = machines.get(id) {
                    one(id, m);
                }
            }
        }
        lefts.retain(|id, _| machines.contains_key(id));
    }

    /// The transactions of this pass, most worth first, as far as the budget of writes goes. What is
    /// left out is found again in the next pass.
    fn decide(&self, view: &View, terms: &[Option<u64>], now: Micros) -> Vec<Staged> {
        let lefts = self.lefts.borrow();
        let mut freed: HashMap<HostId, Room> = HashMap::new();
        let mut by_job: BTreeMap<JobId, Vec<Intent>> = BTreeMap::new();
        for (host, list) in lefts.iter() {
            for i in list {
                if let Some(j) = view.jobs.get(i.job()) {
                    freed.entry(host.clone()).or_default().give(&j.spec.room);
                    by_job.entry(i.job().clone()).or_default().push(i.clone());
                }
            }
        }
        let mut since = self.left_since.borrow_mut();
        since.retain(|j, _| by_job.contains_key(j));
        // Ends of jobs and exits that were asked for, those that others wait for and the longest known
        // first: what is left out for want
        // of writes must not be the same jobs each time.
        let mut ends: Vec<(Micros, &JobId)> = Vec::new();
        let mut books: Vec<(Micros, &JobId)> = Vec::new();
        for (id, list) in &by_job {
            let Some(j) = view.jobs.get(id) else { continue };
            let at = *since.entry(id.clone()).or_insert(now);
            let wait = patience(j, list);
            if now.saturating_sub(at) >= wait {
                if wait <= ASKED { &mut ends } else { &mut books }.push((at, id));
            }
        }
        drop(since);
        // What is over, and what was withdrawn before it was placed.
        for (id, j) in &view.jobs {
            if (j.cancelled() && j.placed == 0) || j.done == j.spec.tasks {
                ends.push((0, id));
            }
        }
        ends.sort_by_key(|(at, id)| (!view.waited_for(id), *at, *id));
        let (mut level, burst) = self.store.write_level();
        let waited = now.saturating_sub(self.arrays_at.get());
        let late = waited >= ARRAY_LATEST;
        let arrays = waited >= ARRAY_ROUND && (late || level > burst * KEEP_ARRAYS);
        // A few writes place hundreds of tasks: never starved by a flood of services.
        let keep_arrays = if late {
            KEEP_ARRAYS.min(level / burst - ARRAY_SHARE)
        } else {
            KEEP_ARRAYS
        };
        if arrays {
            self.arrays_at.set(now);
        }
        // Never arrays without steps: these come first, and would find their room taken.
        let steps = arrays || now.saturating_sub(self.steps_at.get()) >= ARRAY_ROUND;
        if steps {
            self.steps_at.set(now);
        }
        let mut later: Vec<Intent> = Vec::new();
        // In the plan's order, each job's intents together.
        let mut first: Vec<(JobId, Vec<Intent>)> = Vec::new();
        let mut places: HashMap<JobId, usize> = HashMap::new();
        for i in self.plan(view, terms, &freed, (arrays, steps), now) {
            // A step of a pipeline that has its deadline before it goes with services and gangs.
            let array = matches!(&i, Intent::Place { job, .. }
            if view.jobs.get(job).is_some_and(|j| {
                j.spec.kind == Shape::Array && !j.step()
            }));
            if array {
                later.push(i);
                continue;
            }
            let id = i.job().clone();
            let k = *places.entry(id.clone()).or_insert_with(|| {
                // A write of a block takes along what else is to be said of its job.
                let known = by_job.get(&id).cloned().unwrap_or_default();
                first.push((id, known));
                first.len() - 1
            });
            first[k].1.push(i);
        }
        let capped = |t: &str| self.settings.team(t).is_some_and(|t| t.capped());
        let mut busy = self.busy.borrow().clone();
        let mut out = Vec::new();
        let mut add = |intents: &[Intent], keep: f64| {
            if intents.is_empty() {
                return;
            }
            for s in stage(view, intents, &busy, &capped, self.limits()) {
                let n = s.txn.then.len() as f64;
                if level < burst * keep {
                    // Users who wait for an answer come before all of it.
                    continue;
                }
                level -= n;
                if tracing::enabled!(tracing::Level::DEBUG) {
                    let of = |f: &dyn Fn(&Intent) -> usize| intents.iter().map(f).sum::<usize>();
                    let places = of(&|i| match i {
                        Intent::Place { tasks, .. } => tasks.len(),
                        _ => 0,
                    });
                    let lefts = of(&|i| usize::from(matches!(i, Intent::Left { .. })));
                    let stops = of(&|i| usize::from(matches!(i, Intent::Stop { .. })));
                    let jobs = s.jobs.len();
                    let first = s.jobs.first();
                    let class = first.and_then(|j| view.jobs.get(j)).map(|j| &*j.spec.class);
                    let first = first.map(|j| &**j);
                    tracing::debug!(
                        keep, n, jobs, places, lefts, stops, level, first, class, "staged"
                    );
                }
                busy.extend(s.jobs.iter().cloned());
                out.push(s);
            }
        };
        for (_, list) in &first {
            add(list, 0.0);
        }
        for chunk in ends.chunks(ENDS) {
            let list: Vec<Intent> = chunk
                .iter()
                .flat_map(|(_, id)| {
                    let known = by_job.get(*id).into_iter().flatten().cloned();
                    known.chain([Intent::Settle { job: (*id).clone() }])
                })
                .collect();
            add(&list, 0.0);
        }
        for i in later {
            let mut list = by_job.get(i.job()).cloned().unwrap_or_default();
            list.push(i);
            add(&list, keep_arrays);
        }
        books.sort();
        for (at, id) in books {
            let keep = if now.saturating_sub(at) > LAZY_MAX {
                KEEP_ARRAYS / 2.0
            } else {
                KEEP_BOOKS
            };
            add(&by_job[id], keep);
        }
        out
    }

    /// The plan for our machines, and of gangs if these fall to us.
    fn plan(
        &self,
        view: &View,
        terms: &[Option<u64>],
        freed: &HashMap<HostId, Room>,
        (arrays, steps): (bool, bool),
        now: Micros,
    ) -> Vec<Intent> {
        if terms.iter().all(Option::is_none) {
            return Vec::new();
        }
        let machines = self.machines.borrow();
        let failing = self.failing.borrow();
        let up = self.peers_up.borrow();
        let mine = |h: &str| terms[part_of(h) as usize].is_some();
        let gangs = terms[GANGS as usize].is_some();
        let waits = gangs
            && view
                .jobs
                .values()
                .any(|j| j.spec.kind == Shape::Gang && j.queued() > 0);
        let serves = view.jobs.iter().any(|(id, j)| {
            j.spec.kind == Shape::Service && j.queued() > 0 && terms[part_of(id) as usize].is_some()
        });
        let open = |id: &HostId, h: &Host| {
            if !matches!(h.state, HostState::Up | HostState::Booting) {
                return None;
            }
            match machines.get(id) {
                // Ours: it must have answered under our token, and lately. That it is up need not be
                // written first.
                Some(m) => (m.fenced()
                    && now.saturating_sub(m.heard) < self.settings.report * 2
                    && m.session >= h.session)
                    .then_some(Open {
                        session: m.session,
                        mine: true,
                    }),
                None if !(waits || serves) || mine(id) => None,
                None => {
                    let session = match h.state {
                        HostState::Up => Some(h.session),
                        _ => up.get(id).map(|x| x.0),
                    };
                    session.map(|session| Open {
                        session,
                        mine: false,
                    })
                }
            }
        };
        let home = |j: &str| terms[part_of(j) as usize].is_some();
        let held_back = |j: &str| {
            if failing.get(j).is_some_and(|f| f.until > now) {
                return true;
            }
            let Some(job) = view.jobs.get(j) else {
                return true;
            };
            if home(j) || job.spec.kind == Shape::Gang {
                return false;
            }
            let alive = view.parts.get(&part_of(j)).is_some_and(|p| {
                view.members
                    .get(&p.owner)
                    .is_some_and(|m| m.lease == p.lease)
            });
            let wait = match (alive, job.spec.kind) {
                (false, _) => TAKE_ORPHAN,
                _ if job.step() => TAKE_PIPED,
                (true, Shape::Service) => TAKE_SERVICE,
                _ => TAKE_ARRAY,
            };
            wall().saturating_sub(job.since) < wait
        };
        placement::plan(&Scene {
            view,
            wall: wall(),
            teams: &self.settings.teams,
            objectives: &self.settings.objectives,
            open: &open,
            freed,
            held_back: &held_back,
            home: &home,
            mine: &mine,
            gangs,
            arrays,
            steps,
            forecast: false,
        })
        .intents
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
        loop {
            let t = sweep(&self.view.borrow(), self.limits());
            let Some(t) = t else { return };
            match self.store.txn(&t).await {
                Outcome::Done(rev) => self.wrote(&t, rev),
                _ => return,
            }
            // More of it only with writes that nobody else needs.
            let (level, burst) = self.store.write_level();
            if level < burst * KEEP_BOOKS {
                return;
            }
        }
    }
}

//! The feed: reads the state service into the view, and says how current the view is.

use super::client::{StoreClient, TransactionOutcome};
use super::cluster_state::ClusterState;
use super::keys;
use crate::ids::MachineId;
use crate::jobs::model::{FinishedJob, JobId};
use crate::time::{Clock, MILLI, Micros, SECOND, to_duration};
use crate::wire::WireError;
use crate::wire::state::{Event, Mutation, Transaction, WatchResponse};
use async_io::Timer;
use event_listener::{Event as Wake, EventListener};
use foldhash::{HashSet, HashSetExt};
use std::cell::{Cell, Ref, RefCell};

/// Pause between two reads of the watch: every write would otherwise cost each node a request.
const WATCH_PAUSE: Micros = 40 * MILLI;
const LINEARIZABLE_READ_PAUSE: Micros = 40 * MILLI;
const WATCH_WAIT: Micros = SECOND;
/// While reads that users asked for follow each other no later than this, they tell everything: a watch
/// beside them would have every change sent and read twice.
const TOLD: Micros = 80 * MILLI;
/// A view that was not read for so long counts as cut off from the state service.
const STALE: Micros = 3 * SECOND;
/// How often jobs are looked for of which nothing is known, and how many of them each time.
const DEPENDENCY_LOOKUP_INTERVAL: Micros = SECOND / 5;
const DEPENDENCY_LOOKUPS_AT_ONCE: usize = 20;

/// Tells loops that there is something to look at.
#[derive(Default)]
pub struct ChangeNotifier {
    rung: Cell<bool>,
    event: Wake,
}

impl ChangeNotifier {
    /// Rings.
    pub fn notify(&self) {
        self.rung.set(true);
        self.event.notify(usize::MAX);
    }
    /// Whether it rang since this was asked last. For one loop only.
    pub fn take_notified(&self) -> bool {
        self.rung.replace(false)
    }
    /// Waits for the next time.
    pub fn listen(&self) -> EventListener {
        self.event.listen()
    }
}

/// Says once that the state service is away, then now and then for how long, and when it is back.
#[derive(Default)]
struct Away {
    since: Option<Micros>,
    told: Micros,
}

/// How often it is said that the state service is still away.
const STILL: Micros = 30 * SECOND;

impl Away {
    /// What to log about a failure, if anything.
    fn failed(&mut self, now: Micros, why: &dyn std::fmt::Display) -> Option<String> {
        let Some(since) = self.since else {
            (self.since, self.told) = (Some(now), now);
            return Some(format!("state service: {why}"));
        };
        if now.saturating_sub(self.told) < STILL {
            return None;
        }
        self.told = now;
        let s = now.saturating_sub(since) / SECOND;
        Some(format!("state service: away for {s} s: {why}"))
    }
    /// What to log about an answer, if anything.
    fn answered(&mut self, now: Micros) -> Option<String> {
        let since = self.since.take()?;
        let s = now.saturating_sub(since) as f64 / 1e6;
        Some(format!("state service: back after {s:.1} s"))
    }
}

/// The view, and what keeps it current.
pub struct WatchCache {
    clock: Clock,
    client: StoreClient,
    view: RefCell<ClusterState>,
    /// Whether the view holds everything up to some moment after the start.
    loaded: Cell<bool>,
    /// A moment at which the view was known to be current.
    fresh_at: Cell<Micros>,
    /// When the read began that showed it so: whatever was written by then is in the view.
    whole_at: Cell<Micros>,
    /// When a read that somebody asked for was answered last.
    told_at: Cell<Micros>,
    notifier: ChangeNotifier,
    barriers: async_channel::Sender<async_channel::Sender<bool>>,
    barrier_queue: async_channel::Receiver<async_channel::Sender<bool>>,
}

async fn sleep(t: Micros) {
    Timer::after(to_duration(t)).await;
}

impl WatchCache {
    /// A feed that read nothing yet.
    pub fn new(client: StoreClient, clock: Clock) -> WatchCache {
        let (barriers, barrier_queue) = async_channel::unbounded();
        WatchCache {
            clock,
            client,
            view: RefCell::default(),
            loaded: Cell::new(false),
            fresh_at: Cell::new(0),
            whole_at: Cell::new(0),
            told_at: Cell::new(0),
            notifier: ChangeNotifier::default(),
            barriers,
            barrier_queue,
        }
    }

    /// The view as it is now. Not to be held over an await.
    pub fn view(&self) -> Ref<'_, ClusterState> {
        self.view.borrow()
    }

    /// Machines whose key or tasks changed since this was asked last.
    pub fn take_touched(&self) -> HashSet<MachineId> {
        std::mem::take(&mut self.view.borrow_mut().changed_machines)
    }

    /// The client, for leases and budgets.
    pub fn client(&self) -> &StoreClient {
        &self.client
    }

    /// What rings when the view changes.
    pub fn notifier(&self) -> &ChangeNotifier {
        &self.notifier
    }

    /// Whether the view holds everything up to some moment after the start.
    pub fn loaded(&self) -> bool {
        self.loaded.get()
    }

    /// For how long nothing is known of the state service.
    fn blind(&self, now: Micros) -> Micros {
        now.saturating_sub(self.fresh_at.get())
    }

    /// Whether the view was current a moment ago.
    pub fn current(&self) -> bool {
        self.blind(self.clock.now()) < STALE
    }

    /// Up to when everything that was written is surely in the view. An answer may have waited in a
    /// socket while this process stood still, so it counts from when its question began.
    pub fn whole_at(&self) -> Micros {
        self.whole_at.get()
    }

    /// Whether the view was loaded at any time since the start. It is loaded again when the service's log does
    /// not reach back far enough; what it held stays in it meanwhile.
    pub fn was_loaded(&self) -> bool {
        self.whole_at.get() > 0
    }

    /// What a peer says of cancellations that the view does not show yet.
    pub fn merge_cancelled(&self, list: &[(String, u64)]) {
        let mut v = self.view.borrow_mut();
        let before = v.epoch;
        for (id, stamp) in list {
            v.merge_cancelled(id, *stamp);
        }
        let changed = v.epoch != before;
        drop(v);
        if changed {
            self.notifier.notify();
        }
    }

    /// Runs a transaction; what it wrote is in the view before the watch tells it.
    pub async fn transaction(&self, t: &Transaction) -> TransactionOutcome {
        let out = self.client.transaction(t).await;
        if let TransactionOutcome::Done(rev) = out {
            self.wrote(t, rev);
        }
        out
    }

    /// `begun`: when the question was asked; `fresh`: when its answer was surely not given yet, or a guess
    /// at when it was.
    fn take_log(&self, log: WatchResponse, begun: Micros, fresh: Micros) {
        let mut v = self.view.borrow_mut();
        let before = v.epoch;
        for e in &log.events {
            match e {
                Event::Put {
                    key: put,
                    value: val,
                    version: stamp,
                } => v.put(put, val, *stamp),
                Event::Delete {
                    key: remove,
                    version: stamp,
                } => v.delete(remove, *stamp),
            }
        }
        v.revision = v.revision.max(log.revision);
        let changed = v.epoch != before;
        drop(v);
        self.fresh_at.set(self.fresh_at.get().max(fresh));
        self.whole_at.set(self.whole_at.get().max(begun));
        if changed {
            self.notifier.notify();
        }
    }

    /// Applies what our own transaction wrote, ahead of the watch.
    fn wrote(&self, t: &Transaction, rev: u64) {
        let mut v = self.view.borrow_mut();
        for c in &t.mutations {
            match c {
                Mutation::Put {
                    key: put,
                    value: val,
                    ..
                } => v.put(put, val, rev),
                Mutation::Delete { key: remove } => v.delete(remove, rev),
            }
        }
        drop(v);
        self.notifier.notify();
    }

    async fn load(&self) -> Result<(), WireError> {
        let (mut lo, mut hi) = (u64::MAX, 0);
        for prefix in keys::LOADED {
            let mut seen = HashSet::new();
            let mut got = Vec::new();
            let (l, h) = self.client.list(prefix, |i| got.push(i)).await?;
            let mut v = self.view.borrow_mut();
            for i in got {
                seen.insert(i.key.clone());
                v.put(&i.key, &i.value, i.version);
            }
            v.retain_prefix(prefix, &seen, l);
            lo = lo.min(l);
            hi = hi.max(h);
        }
        self.view.borrow_mut().revision = lo;
        // The lists were read one after the other: only the log up to the last makes them one.
        loop {
            let after = self.view.borrow().revision;
            let begun = self.clock.now();
            let log = self.client.watch(keys::ALL, after, 0).await?;
            self.take_log(log, begun, begun);
            if self.view.borrow().revision >= hi {
                break;
            }
        }
        self.loaded.set(true);
        tracing::info!(rev = hi, "view loaded");
        self.notifier.notify();
        Ok(())
    }

    /// Keeps the view current for ever.
    pub async fn watch_loop(&self) {
        let mut away = Away::default();
        let say = |line: Option<String>| {
            if let Some(l) = line {
                tracing::info!("{l}");
            }
        };
        loop {
            if !self.loaded.get() {
                match self.load().await {
                    Ok(()) => say(away.answered(self.clock.now())),
                    Err(e) => {
                        say(away.failed(self.clock.now(), &e));
                        sleep(SECOND / 3).await;
                    }
                }
                continue;
            }
            if self.clock.now().saturating_sub(self.told_at.get()) < TOLD {
                sleep(WATCH_PAUSE / 2).await;
                continue;
            }
            let after = self.view.borrow().revision;
            let begun = self.clock.now();
            match self.client.watch(keys::ALL, after, WATCH_WAIT).await {
                Ok(log) => {
                    let now = self.clock.now();
                    say(away.answered(now));
                    // As a rule the answer left the service at most a while ago.
                    self.take_log(log, begun, now.saturating_sub(SECOND / 2));
                    sleep(WATCH_PAUSE).await;
                }
                Err(WireError::Status(410)) => self.loaded.set(false),
                Err(e) => {
                    say(away.failed(self.clock.now(), &e));
                    sleep(SECOND / 4).await;
                }
            }
        }
    }

    /// Waits for a read begun after the call, with everything before it in the view. False if the
    /// state service does not answer.
    pub async fn linearizable_read(&self) -> bool {
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
    pub async fn linearizable_read_loop(&self) {
        while let Ok(first) = self.barrier_queue.recv().await {
            let mut all = vec![first];
            while let Ok(x) = self.barrier_queue.try_recv() {
                all.push(x);
            }
            let begun = self.clock.now();
            let after = self.view.borrow().revision;
            let ok = match self.client.watch(keys::ALL, after, 0).await {
                Ok(log) => {
                    self.take_log(log, begun, begun);
                    self.told_at.set(self.clock.now());
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
            sleep(LINEARIZABLE_READ_PAUSE).await;
        }
    }

    /// Asks how jobs ended that others wait for and of which nothing is at hand: final states are
    /// not loaded at the start.
    pub async fn dependency_lookup_loop(&self) {
        loop {
            sleep(DEPENDENCY_LOOKUP_INTERVAL).await;
            if !self.loaded.get() || !self.current() {
                continue;
            }
            let list = self.view.borrow().unknown_dependencies();
            for id in list.iter().take(DEPENDENCY_LOOKUPS_AT_ONCE) {
                if self.read_final(id).await.is_err() {
                    break;
                }
            }
        }
    }

    /// Reads how a job ended: `None` if no final state is there.
    pub async fn read_final(&self, id: &JobId) -> Result<Option<FinishedJob>, WireError> {
        match self.client.get(&keys::finished_job(id), SECOND).await? {
            Ok(item) => {
                let f: FinishedJob = crate::wire::from_value(&item.value)
                    .ok_or_else(|| WireError::Malformed(keys::finished_job(id)))?;
                self.view.borrow_mut().remember(id, f);
                self.notifier.notify();
                Ok(Some(f))
            }
            Err(_) => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;

//! The feed: reads the state service into the view, and says how current the view is.

use super::client::{Outcome, StoreClient};
use super::cluster_state::View;
use super::keys;
use crate::ids::HostId;
use crate::jobs::model::{Final, JobId};
use crate::time::{Clock, MILLI, Micros, SECOND, dur};
use crate::wire::WireError;
use crate::wire::state::{Change, Event, Log, Txn};
use async_io::Timer;
use event_listener::{Event as Wake, EventListener};
use foldhash::{HashSet, HashSetExt};
use std::cell::{Cell, Ref, RefCell};

/// Pause between two reads of the watch: every write would otherwise cost each node a request.
const WATCH_PAUSE: Micros = 40 * MILLI;
const BARRIER_PAUSE: Micros = 40 * MILLI;
const WATCH_WAIT: Micros = SECOND;
/// While reads that users asked for follow each other no later than this, they tell everything: a watch
/// beside them would have every change sent and read twice.
const TOLD: Micros = 80 * MILLI;
/// A view that was not read for so long counts as cut off from the state service.
const STALE: Micros = 3 * SECOND;
/// How often jobs are looked for of which nothing is known, and how many of them each time.
const GATES: Micros = SECOND / 5;
const GATES_AT_ONCE: usize = 20;

/// Tells loops that there is something to look at.
#[derive(Default)]
pub struct Bell {
    rung: Cell<bool>,
    event: Wake,
}

impl Bell {
    /// Rings.
    pub fn ring(&self) {
        self.rung.set(true);
        self.event.notify(usize::MAX);
    }
    /// Whether it rang since this was asked last. For one loop only.
    pub fn rang(&self) -> bool {
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
pub struct Feed {
    clock: Clock,
    client: StoreClient,
    view: RefCell<View>,
    /// Whether the view holds everything up to some moment after the start.
    loaded: Cell<bool>,
    /// A moment at which the view was known to be current.
    fresh_at: Cell<Micros>,
    /// When the read began that showed it so: whatever was written by then is in the view.
    whole_at: Cell<Micros>,
    /// When a read that somebody asked for was answered last.
    told_at: Cell<Micros>,
    bell: Bell,
    barriers: async_channel::Sender<async_channel::Sender<bool>>,
    barrier_queue: async_channel::Receiver<async_channel::Sender<bool>>,
}

async fn sleep(t: Micros) {
    Timer::after(dur(t)).await;
}

impl Feed {
    /// A feed that read nothing yet.
    pub fn new(client: StoreClient, clock: Clock) -> Feed {
        let (barriers, barrier_queue) = async_channel::unbounded();
        Feed {
            clock,
            client,
            view: RefCell::default(),
            loaded: Cell::new(false),
            fresh_at: Cell::new(0),
            whole_at: Cell::new(0),
            told_at: Cell::new(0),
            bell: Bell::default(),
            barriers,
            barrier_queue,
        }
    }

    /// The view as it is now. Not to be held over an await.
    pub fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Machines whose key or tasks changed since this was asked last.
    pub fn take_touched(&self) -> HashSet<HostId> {
        std::mem::take(&mut self.view.borrow_mut().touched)
    }

    /// The client, for leases and budgets.
    pub fn client(&self) -> &StoreClient {
        &self.client
    }

    /// What rings when the view changes.
    pub fn bell(&self) -> &Bell {
        &self.bell
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
    pub fn hear_withdrawn(&self, list: &[(String, u64)]) {
        let mut v = self.view.borrow_mut();
        let before = v.epoch;
        for (id, stamp) in list {
            v.hear_withdrawn(id, *stamp);
        }
        let changed = v.epoch != before;
        drop(v);
        if changed {
            self.bell.ring();
        }
    }

    /// Runs a transaction; what it wrote is in the view before the watch tells it.
    pub async fn txn(&self, t: &Txn) -> Outcome {
        let out = self.client.txn(t).await;
        if let Outcome::Done(rev) = out {
            self.wrote(t, rev);
        }
        out
    }

    /// `begun`: when the question was asked; `fresh`: when its answer was surely not given yet, or a guess
    /// at when it was.
    fn take_log(&self, log: Log, begun: Micros, fresh: Micros) {
        let mut v = self.view.borrow_mut();
        let before = v.epoch;
        for e in &log.log {
            match e {
                Event::Put { put, v: val, stamp } => v.put(put, val, *stamp),
                Event::Delete { remove, stamp } => v.delete(remove, *stamp),
            }
        }
        v.rev = v.rev.max(log.ledger_rev);
        let changed = v.epoch != before;
        drop(v);
        self.fresh_at.set(self.fresh_at.get().max(fresh));
        self.whole_at.set(self.whole_at.get().max(begun));
        if changed {
            self.bell.ring();
        }
    }

    /// Applies what our own transaction wrote, ahead of the watch.
    fn wrote(&self, t: &Txn, rev: u64) {
        let mut v = self.view.borrow_mut();
        for c in &t.then {
            match c {
                Change::Put { put, v: val, .. } => v.put(put, val, rev),
                Change::Delete { remove } => v.delete(remove, rev),
            }
        }
        drop(v);
        self.bell.ring();
    }

    async fn load(&self) -> Result<(), WireError> {
        let (mut lo, mut hi) = (u64::MAX, 0);
        for prefix in keys::LOADED {
            let mut seen = HashSet::new();
            let mut got = Vec::new();
            let (l, h) = self.client.list(prefix, |i| got.push(i)).await?;
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
            let log = self.client.watch(keys::ALL, after, 0).await?;
            self.take_log(log, begun, begun);
            if self.view.borrow().rev >= hi {
                break;
            }
        }
        self.loaded.set(true);
        tracing::info!(rev = hi, "view loaded");
        self.bell.ring();
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
            let after = self.view.borrow().rev;
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
    pub async fn barrier_loop(&self) {
        while let Ok(first) = self.barrier_queue.recv().await {
            let mut all = vec![first];
            while let Ok(x) = self.barrier_queue.try_recv() {
                all.push(x);
            }
            let begun = self.clock.now();
            let after = self.view.borrow().rev;
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
            sleep(BARRIER_PAUSE).await;
        }
    }

    /// Asks how jobs ended that others wait for and of which nothing is at hand: final states are
    /// not loaded at the start.
    pub async fn gates_loop(&self) {
        loop {
            sleep(GATES).await;
            if !self.loaded.get() || !self.current() {
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
        match self.client.get(&keys::fin(id), SECOND).await? {
            Ok(item) => {
                let f: Final = crate::wire::from_value(&item.v)
                    .ok_or_else(|| WireError::Malformed(keys::fin(id)))?;
                self.view.borrow_mut().remember(id, f);
                self.bell.ring();
                Ok(Some(f))
            }
            Err(_) => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;

//! Watch cache: keeps the cluster state in step with the state service and says how current it is.
//!
//! [`WatchCache`] owns the one [`ClusterState`] of the process and is the only one to change it: from the
//! initial load (`initial_load`), the watch (here), linearizable reads (`linearizable_read`), final states
//! read one by one (`final_states`), this controller's own transactions and peers' cancellation digests.
//! The controller starts its three loops: `watch_loop`, `linearizable_read_loop`, `dependency_lookup_loop`.

mod change_notifier;
mod final_states;
mod initial_load;
mod linearizable_read;
mod outage_reporter;

pub use change_notifier::ChangeNotifier;

use self::outage_reporter::OutageReporter;
use super::client::{StoreClient, TransactionOutcome};
use super::cluster_state::ClusterState;
use super::keys;
use crate::ids::MachineId;
use crate::time::{Clock, MILLI, Micros, SECOND, to_duration};
use crate::wire::WireError;
use crate::wire::state::{Event, Mutation, Transaction, WatchResponse};
use async_io::Timer;
use foldhash::HashSet;
use std::cell::{Cell, Ref, RefCell};

/// Pause between two reads of the watch: otherwise every write would cost each controller a request.
const WATCH_PAUSE: Micros = 40 * MILLI;
/// How long a watch waits for changes before it answers that there are none.
const WATCH_WAIT: Micros = SECOND;
/// While linearizable reads follow each other within this time, they deliver every change: with a watch
/// beside them each change would be sent and read twice.
const READS_REPLACE_WATCH_WITHIN: Micros = 80 * MILLI;
/// How often to look whether the linearizable reads have stopped.
const REPLACED_WATCH_PAUSE: Micros = WATCH_PAUSE / 2;
/// Age that a watch's answer is taken to have when it arrives. An estimate: it counts for `current` only, and
/// never for `complete_up_to`.
const WATCH_ANSWER_AGE: Micros = SECOND / 2;
/// Without a read for so long this controller counts as cut off from the state service.
const MAX_STALENESS: Micros = 3 * SECOND;
/// Pauses before the initial load or the watch is tried again.
const LOAD_RETRY_PAUSE: Micros = SECOND / 3;
const WATCH_RETRY_PAUSE: Micros = SECOND / 4;
/// Status of a watch from a revision that the service's log no longer reaches: the state is loaded anew.
const LOG_COMPACTED: u16 = 410;

/// The cluster state, and what keeps it current.
pub struct WatchCache {
    clock: Clock,
    client: StoreClient,
    state: RefCell<ClusterState>,
    /// Whether the state holds everything up to some revision after the start.
    loaded: Cell<bool>,
    /// A moment at which the state was known to be current.
    current_at: Cell<Micros>,
    /// When the read began that showed so: whatever was committed by then is in the state.
    complete_up_to: Cell<Micros>,
    /// When a linearizable read was answered last.
    linearizable_read_at: Cell<Micros>,
    notifier: ChangeNotifier,
    /// Callers that wait for a linearizable read, each by the channel on which it gets the result.
    read_requests: async_channel::Sender<async_channel::Sender<bool>>,
    read_request_queue: async_channel::Receiver<async_channel::Sender<bool>>,
}

/// Times of one read of the log, by the local clock.
struct ReadTimes {
    /// When the request was sent.
    begun: Micros,
    /// A moment before the answer left the service, or an estimate of it.
    current_at: Micros,
}

async fn sleep(duration: Micros) {
    Timer::after(to_duration(duration)).await;
}

impl WatchCache {
    /// A cache that has read nothing yet.
    pub fn new(client: StoreClient, clock: Clock) -> WatchCache {
        let (read_requests, read_request_queue) = async_channel::unbounded();
        WatchCache {
            clock,
            client,
            state: RefCell::default(),
            loaded: Cell::new(false),
            current_at: Cell::new(0),
            complete_up_to: Cell::new(0),
            linearizable_read_at: Cell::new(0),
            notifier: ChangeNotifier::default(),
            read_requests,
            read_request_queue,
        }
    }

    /// The cluster state as it is now. Not to be held over an await.
    pub fn view(&self) -> Ref<'_, ClusterState> {
        self.state.borrow()
    }

    /// Machines whose key or tasks changed since this was called last.
    pub fn take_changed_machines(&self) -> HashSet<MachineId> {
        std::mem::take(&mut self.state.borrow_mut().changed_machines)
    }

    /// The client, for leases and budgets.
    pub fn client(&self) -> &StoreClient {
        &self.client
    }

    /// Notified when the state changes.
    pub fn notifier(&self) -> &ChangeNotifier {
        &self.notifier
    }

    /// Whether the state holds everything up to some revision after the start.
    pub fn loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Whether the state was known to be current a moment ago.
    pub fn current(&self) -> bool {
        self.clock.now().saturating_sub(self.current_at.get()) < MAX_STALENESS
    }

    /// Up to when, by the local clock, everything that was committed is surely in the state. An answer may
    /// have waited in a socket while this process stood still, so it counts from when its request began.
    pub fn complete_up_to(&self) -> Micros {
        self.complete_up_to.get()
    }

    /// Whether the state was loaded at any time since the start. It is loaded again when the service's log
    /// does not reach back far enough; what it held stays in it meanwhile.
    pub fn was_loaded(&self) -> bool {
        self.complete_up_to.get() > 0
    }

    /// Runs a transaction; what it wrote is in the state before the watch delivers it.
    pub async fn transaction(&self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.client.transaction(transaction).await;
        if let TransactionOutcome::Done(revision) = outcome {
            self.apply_own_transaction(transaction, revision);
        }
        outcome
    }

    fn apply_own_transaction(&self, transaction: &Transaction, revision: u64) {
        let mut state = self.state.borrow_mut();
        for mutation in &transaction.mutations {
            match mutation {
                Mutation::Put { key, value, .. } => state.put(key, value, revision),
                Mutation::Delete { key } => state.delete(key, revision),
            }
        }
        drop(state);
        self.notifier.notify();
    }

    /// Applies cancellations that a peer's digest reports, as job and revision, ahead of the watch.
    pub fn merge_cancelled(&self, cancelled: &[(String, u64)]) {
        self.change_state(|state| {
            for (id, revision) in cancelled {
                state.merge_cancelled(id, *revision);
            }
        });
    }

    /// Applies a part of the service's log that was read in these times.
    fn apply_log(&self, log: &WatchResponse, times: &ReadTimes) {
        self.change_state(|state| {
            for event in &log.events {
                match event {
                    Event::Put {
                        key,
                        value,
                        version,
                    } => state.put(key, value, *version),
                    Event::Delete { key, version } => state.delete(key, *version),
                }
            }
            state.revision = state.revision.max(log.revision);
            self.current_at
                .set(self.current_at.get().max(times.current_at));
            self.complete_up_to
                .set(self.complete_up_to.get().max(times.begun));
        });
    }

    /// Changes the state, and notifies if that changed anything.
    fn change_state(&self, change: impl FnOnce(&mut ClusterState)) {
        let mut state = self.state.borrow_mut();
        let epoch_before = state.epoch;
        change(&mut state);
        let changed = state.epoch != epoch_before;
        drop(state);
        if changed {
            self.notifier.notify();
        }
    }

    /// Keeps the state current for as long as the controller runs.
    pub async fn watch_loop(&self) {
        let mut outage = OutageReporter::default();
        loop {
            if !self.loaded.get() {
                self.try_load(&mut outage).await;
            } else if self.linearizable_reads_replace_watch() {
                sleep(REPLACED_WATCH_PAUSE).await;
            } else {
                self.read_watch(&mut outage).await;
            }
        }
    }

    fn linearizable_reads_replace_watch(&self) -> bool {
        let since_read = self
            .clock
            .now()
            .saturating_sub(self.linearizable_read_at.get());
        since_read < READS_REPLACE_WATCH_WITHIN
    }

    async fn try_load(&self, outage: &mut OutageReporter) {
        match self.load().await {
            Ok(()) => outage.log_answer(self.clock.now()),
            Err(error) => {
                outage.log_failure(self.clock.now(), &error);
                sleep(LOAD_RETRY_PAUSE).await;
            }
        }
    }

    async fn read_watch(&self, outage: &mut OutageReporter) {
        let after = self.state.borrow().revision;
        let begun = self.clock.now();
        match self.client.watch(keys::ALL, after, WATCH_WAIT).await {
            Ok(log) => {
                let now = self.clock.now();
                outage.log_answer(now);
                let current_at = now.saturating_sub(WATCH_ANSWER_AGE);
                self.apply_log(&log, &ReadTimes { begun, current_at });
                sleep(WATCH_PAUSE).await;
            }
            Err(WireError::Status(LOG_COMPACTED)) => self.loaded.set(false),
            Err(error) => {
                outage.log_failure(self.clock.now(), &error);
                sleep(WATCH_RETRY_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;

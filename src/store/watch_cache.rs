//! Watch cache: keeps the cluster state synchronised with the state service and reports how current it is.
//!
//! [`WatchCache`] owns the only [`ClusterState`] of the process, and no other code changes it. Changes come
//! from the initial load (`initial_load`), the watch (this file), linearizable reads (`linearizable_read`),
//! final states read individually (`final_states`), this controller's own transactions and peers'
//! cancellation digests. `acceptance_lookup` answers for jobs that are not in the state. The controller starts the
//! loops `watch_loop`, `linearizable_read_loop`, `dependency_lookup_loop` and `acceptance_lookup_loop`.

mod acceptance_lookup;
mod change_notifier;
mod final_states;
mod initial_load;
mod linearizable_read;
mod outage_reporter;
mod recent_absences;

pub use acceptance_lookup::LookupError;
pub use change_notifier::ChangeNotifier;

use self::acceptance_lookup::AcceptanceLookups;
use self::outage_reporter::OutageReporter;
use super::client::{StoreClient, TransactionOutcome};
use super::cluster_state::ClusterState;
use super::keys;
use crate::ids::MachineId;
use crate::time::{Clock, MILLISECOND, Micros, SECOND, to_duration};
use crate::wire::WireError;
use crate::wire::state::{Event, Mutation, Transaction, WatchResponse};
use async_io::Timer;
use foldhash::HashSet;
use std::cell::{Cell, Ref, RefCell};

/// Pause between two watch requests. Without it, every write would cost each controller one request.
const WATCH_PAUSE: Micros = 40 * MILLISECOND;
/// Time that a watch waits for changes before it returns an empty response.
const WATCH_WAIT_TIME: Micros = SECOND;
/// Time since the last linearizable read during which the watch is suspended. Frequent linearizable reads
/// deliver every change, so that a concurrent watch would transfer each change twice.
const WATCH_SUSPENSION_TIME: Micros = 80 * MILLISECOND;
/// Interval at which a suspended watch checks whether the linearizable reads have stopped.
const SUSPENDED_WATCH_POLL_INTERVAL: Micros = WATCH_PAUSE / 2;
/// Estimated age of a watch response on arrival. Used only for `is_current`, never for `complete_up_to`.
const ESTIMATED_WATCH_RESPONSE_AGE: Micros = SECOND / 2;
/// Time without a successful read after which this controller is considered disconnected from the state
/// service.
const MAX_STALENESS: Micros = 3 * SECOND;
/// Pause before the initial load is retried.
const LOAD_RETRY_PAUSE: Micros = SECOND / 3;
/// Pause before a failed watch is retried.
const WATCH_RETRY_PAUSE: Micros = SECOND / 4;
/// HTTP status of a watch from a revision that was compacted from the service's log. The state is then loaded
/// again.
const LOG_COMPACTED_STATUS: u16 = 410;

/// The cluster state and the means to keep it current.
pub struct WatchCache {
    clock: Clock,
    client: StoreClient,
    state: RefCell<ClusterState>,
    /// Whether the state contains all changes up to some revision after the start.
    loaded: Cell<bool>,
    /// Time at which the state was known to be current.
    current_at: Cell<Micros>,
    /// Start time of the latest successful read: everything committed before it is in the state.
    complete_up_to: Cell<Micros>,
    /// Time of the last linearizable read's response.
    linearizable_read_at: Cell<Micros>,
    notifier: ChangeNotifier,
    /// Queue of callers that wait for a linearizable read, each represented by the channel for its result.
    read_requests: async_channel::Sender<async_channel::Sender<bool>>,
    read_request_queue: async_channel::Receiver<async_channel::Sender<bool>>,
    /// Lookups of whether jobs were accepted.
    lookups: AcceptanceLookups,
}

/// Times of one read of the log, according to the local clock.
struct ReadTimes {
    /// Time at which the request was sent.
    sent_at: Micros,
    /// Time not later than the one at which the service sent the response, or an estimate of it.
    current_at: Micros,
}

async fn sleep(duration: Micros) {
    Timer::after(to_duration(duration)).await;
}

impl WatchCache {
    /// Creates an empty cache.
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
            lookups: AcceptanceLookups::default(),
        }
    }

    /// Borrows the current cluster state. The borrow must not be held across an await.
    pub fn view(&self) -> Ref<'_, ClusterState> {
        self.state.borrow()
    }

    /// Returns the machines whose key or tasks changed since the last call.
    pub fn take_changed_machines(&self) -> HashSet<MachineId> {
        std::mem::take(&mut self.state.borrow_mut().changed_machines)
    }

    /// Returns the client, for leases and budgets.
    pub fn client(&self) -> &StoreClient {
        &self.client
    }

    /// Returns the notifier that is triggered when the state changes.
    pub fn notifier(&self) -> &ChangeNotifier {
        &self.notifier
    }

    /// Returns whether the state contains all changes up to some revision after the start.
    pub fn loaded(&self) -> bool {
        self.loaded.get()
    }

    /// Returns whether the state was known to be current within the last `MAX_STALENESS`.
    pub fn is_current(&self) -> bool {
        self.clock.now().saturating_sub(self.current_at.get()) < MAX_STALENESS
    }

    /// Returns the time, according to the local clock, before which every committed change is guaranteed to
    /// be in the state. This is the start of a request and not the arrival of its response, because a
    /// response may have waited in a socket while this process was paused.
    pub fn complete_up_to(&self) -> Micros {
        self.complete_up_to.get()
    }

    /// Returns whether the state was loaded at any time since the start. It is loaded again when the required
    /// part of the service's log was compacted; each page that is read then replaces the previous contents of
    /// its keys.
    pub fn was_loaded(&self) -> bool {
        self.complete_up_to.get() > 0
    }

    /// Executes a transaction. Its writes are applied to the state before the watch delivers them.
    pub async fn transaction(&self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.client.transaction(transaction).await;
        if let TransactionOutcome::Committed(revision) = outcome {
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

    /// Applies cancellations from a peer's digest, as pairs of job and revision, before the watch delivers
    /// them.
    pub fn merge_cancelled(&self, cancelled: &[(String, u64)]) {
        self.change_state(|state| {
            for (id, revision) in cancelled {
                state.merge_cancelled(id, *revision);
            }
        });
    }

    /// Applies a part of the service's log that was read at the given times.
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
                .set(self.complete_up_to.get().max(times.sent_at));
        });
    }

    /// Applies a change to the state and sends a notification if the state has changed.
    fn change_state(&self, change: impl FnOnce(&mut ClusterState)) {
        let mut state = self.state.borrow_mut();
        let change_count_before = state.change_count;
        change(&mut state);
        let changed = state.change_count != change_count_before;
        drop(state);
        if changed {
            self.notifier.notify();
        }
    }

    /// Keeps the state current while the controller runs.
    pub async fn watch_loop(&self) {
        let mut outage = OutageReporter::default();
        loop {
            if !self.loaded.get() {
                self.try_load(&mut outage).await;
            } else if self.watch_is_suspended() {
                sleep(SUSPENDED_WATCH_POLL_INTERVAL).await;
            } else {
                self.read_watch(&mut outage).await;
            }
        }
    }

    fn watch_is_suspended(&self) -> bool {
        let since_read = self
            .clock
            .now()
            .saturating_sub(self.linearizable_read_at.get());
        since_read < WATCH_SUSPENSION_TIME
    }

    async fn try_load(&self, outage: &mut OutageReporter) {
        match self.load().await {
            Ok(()) => outage.log_response(self.clock.now()),
            Err(error) => {
                outage.log_failure(self.clock.now(), &error);
                sleep(LOAD_RETRY_PAUSE).await;
            }
        }
    }

    async fn read_watch(&self, outage: &mut OutageReporter) {
        let after = self.state.borrow().revision;
        let sent_at = self.clock.now();
        match self
            .client
            .watch(keys::ROOT_PREFIX, after, WATCH_WAIT_TIME)
            .await
        {
            Ok(log) => {
                let now = self.clock.now();
                outage.log_response(now);
                let current_at = now.saturating_sub(ESTIMATED_WATCH_RESPONSE_AGE);
                self.apply_log(
                    &log,
                    &ReadTimes {
                        sent_at,
                        current_at,
                    },
                );
                sleep(WATCH_PAUSE).await;
            }
            Err(WireError::Status(LOG_COMPACTED_STATUS)) => self.loaded.set(false),
            Err(error) => {
                outage.log_failure(self.clock.now(), &error);
                sleep(WATCH_RETRY_PAUSE).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! Client of the state service: transactions, leases, lists, reads and watches, within a budget of requests
//! and writes. It keeps nothing of what it reads.

use super::token_bucket::TokenBucket;
use crate::time::{Clock, MILLI, Micros, SECOND, to_duration};
use crate::wire::client::{Client, ClientResponse};
use crate::wire::state::{self, Lease, LeaseRequest, Page, Revision, Transaction, WatchResponse};
use crate::wire::{WireError, decode, encode};
use async_io::Timer;
use http_types::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Most time for a transaction: afterwards its outcome counts as unknown, and its keys are read again.
const TRANSACTION_TIMEOUT: Micros = 3 * SECOND / 2;
/// Most time for a page of a list: the largest answers there are.
const LIST_TIMEOUT: Micros = 5 * SECOND;
/// Most time to take or renew a lease: short, so that a failed renewal is tried again before the expiry.
const LEASE_TIMEOUT: Micros = SECOND;
/// Most time for a watch that does not wait for changes.
const READ_TIMEOUT: Micros = SECOND;
/// Most time for a watch beyond the time that it waits for changes. During an outage of the service an open
/// watch stays open without an answer.
const WATCH_GRACE: Micros = 2 * SECOND;

/// What became of a transaction.
#[derive(Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Carried out at this revision.
    Done(u64),
    /// Not carried out: preconditions on these keys failed.
    Conflict(Vec<String>),
    /// Not carried out, with this HTTP status: malformed, over a limit or out of service.
    Refused(u16),
    /// No answer that can be read: may have been carried out, or may yet be.
    Unknown,
}

/// Smallest and largest revision at which the pages of a list were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionRange {
    /// Every change up to it is in the list.
    pub smallest: u64,
    /// No change after it is in the list.
    pub largest: u64,
}

impl RevisionRange {
    /// Of no page yet.
    pub const EMPTY: RevisionRange = RevisionRange {
        smallest: u64::MAX,
        largest: 0,
    };

    /// The range that covers both.
    #[must_use]
    pub fn union(self, other: RevisionRange) -> RevisionRange {
        RevisionRange {
            smallest: self.smallest.min(other.smallest),
            largest: self.largest.max(other.largest),
        }
    }
}

/// The client. Every call waits for the budget first and then for the answer.
pub struct StoreClient {
    http: Rc<Client>,
    address: SocketAddr,
    clock: Clock,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
}

impl StoreClient {
    /// A client with a budget of requests and of written keys, each a second.
    pub fn new(
        http: Rc<Client>,
        address: SocketAddr,
        clock: Clock,
        requests_per_s: f64,
        writes_per_s: f64,
    ) -> StoreClient {
        StoreClient {
            http,
            address,
            clock,
            requests: RefCell::new(TokenBucket::new(requests_per_s)),
            writes: RefCell::new(TokenBucket::new(writes_per_s)),
        }
    }

    /// Waits until one request that writes so many keys is within the budget.
    async fn wait_for_budget(&self, writes: usize) {
        let now = self.clock.now();
        let mut delay = self.requests.borrow_mut().take(1.0, now);
        if writes > 0 {
            delay = delay.max(self.writes.borrow_mut().take(writes as f64, now));
        }
        if delay > 0 {
            Timer::after(to_duration(delay)).await;
        }
    }

    /// How long a write would have to wait for the budget.
    pub fn write_delay(&self) -> Micros {
        let now = self.clock.now();
        self.writes.borrow_mut().delay(now)
    }

    /// Keys that could be written at once, and the most that this ever is.
    pub fn write_level(&self) -> (f64, f64) {
        let now = self.clock.now();
        let mut writes = self.writes.borrow_mut();
        (writes.available(now), writes.burst())
    }

    /// Sets another budget from now on: the limits are shared by the controllers that are alive.
    pub fn set_rates(&self, requests_per_s: f64, writes_per_s: f64) {
        let now = self.clock.now();
        self.requests.borrow_mut().set_rate(requests_per_s, now);
        self.writes.borrow_mut().set_rate(writes_per_s, now);
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Micros,
    ) -> Result<ClientResponse, WireError> {
        let call = self.http.call(self.address, method, path, body, timeout);
        let response = call.await;
        if let Ok(response) = &response
            && response.status == 429
        {
            tracing::info!("state service refused a request over its rate limit");
        }
        response
    }

    /// Runs a transaction.
    pub async fn transaction(&self, transaction: &Transaction) -> TransactionOutcome {
        self.wait_for_budget(transaction.mutations.len()).await;
        if tracing::enabled!(tracing::Level::DEBUG) {
            tracing::debug!(mutations = transaction.kinds(), "transaction sent");
        }
        let body = Some(encode(transaction));
        let call = self.call(
            Method::Post,
            state::TRANSACTION_PATH,
            body,
            TRANSACTION_TIMEOUT,
        );
        match call.await {
            Ok(response) => transaction_outcome(transaction, &response),
            Err(_) => TransactionOutcome::Unknown,
        }
    }

    /// Reads every key under a prefix, in pages that may be of different revisions.
    pub async fn list(
        &self,
        prefix: &str,
        mut each: impl FnMut(state::Item),
    ) -> Result<RevisionRange, WireError> {
        let mut after: Option<String> = None;
        let mut revisions = RevisionRange::EMPTY;
        loop {
            self.wait_for_budget(0).await;
            let path = state::list(prefix, after.as_deref());
            let call = self.call(Method::Get, &path, None, LIST_TIMEOUT);
            let page: Page = call.await?.ok()?;
            revisions = revisions.union(RevisionRange {
                smallest: page.revision,
                largest: page.revision,
            });
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                each(item);
            }
            if !page.more || after.is_none() {
                return Ok(revisions);
            }
        }
    }

    /// Reads one key; `None` if it does not exist.
    pub async fn get(&self, key: &str, timeout: Micros) -> Result<Option<state::Item>, WireError> {
        self.wait_for_budget(0).await;
        let path = state::key(key);
        let response = self.call(Method::Get, &path, None, timeout).await?;
        match response.status {
            200 => Ok(Some(decode(&response.body)?)),
            404 => {
                // The service says at which revision it was missing; a 404 without that is not its answer.
                decode::<Revision>(&response.body)?;
                Ok(None)
            }
            status => Err(WireError::Status(status)),
        }
    }

    /// Asks for changes after a revision and waits for the first so long. With a wait of 0 this is a
    /// linearizable read: its answer holds every change that was committed before the call.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Micros,
    ) -> Result<WatchResponse, WireError> {
        self.wait_for_budget(0).await;
        let path = state::watch(prefix, after, wait / MILLI);
        let timeout = if wait == 0 {
            READ_TIMEOUT
        } else {
            wait + WATCH_GRACE
        };
        self.call(Method::Get, &path, None, timeout).await?.ok()
    }

    /// Takes a lease and returns its id.
    pub async fn lease(&self, time_to_live: Micros) -> Result<u64, WireError> {
        let body = encode(&LeaseRequest {
            ttl_ms: time_to_live / MILLI,
        });
        let call = self.call(Method::Post, state::LEASES_PATH, Some(body), LEASE_TIMEOUT);
        Ok(call.await?.ok::<Lease>()?.id)
    }

    /// Renews a lease: false if it has expired.
    pub async fn renew(&self, id: u64) -> Result<bool, WireError> {
        let path = state::renew(id);
        let call = self.call(Method::Post, &path, Some(Vec::new()), LEASE_TIMEOUT);
        match call.await?.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(WireError::Status(status)),
        }
    }
}

/// What the service's answer says of a transaction.
fn transaction_outcome(transaction: &Transaction, response: &ClientResponse) -> TransactionOutcome {
    match response.status {
        200 => match decode::<Revision>(&response.body) {
            Ok(answer) => TransactionOutcome::Done(answer.revision),
            Err(_) => TransactionOutcome::Unknown,
        },
        409 => {
            let failed = decode::<Revision>(&response.body).map(|answer| answer.failed);
            TransactionOutcome::Conflict(failed.unwrap_or_default())
        }
        status @ (400 | 429 | 503) => {
            if status == 400 {
                log_malformed(transaction, response);
            }
            TransactionOutcome::Refused(status)
        }
        _ => TransactionOutcome::Unknown,
    }
}

/// Logs that the service refused a transaction as malformed, which is a fault of ours, unless it only says
/// that the lease of one of the keys has expired.
fn log_malformed(transaction: &Transaction, response: &ClientResponse) {
    let reason = String::from_utf8_lossy(&response.body);
    if reason.contains("no such lease") {
        return;
    }
    tracing::error!(
        first = transaction.mutations.first().map(state::Mutation::key),
        mutations = transaction.mutations.len(),
        preconditions = transaction.preconditions.len(),
        largest_value_bytes = transaction.largest(),
        reason = reason.replace('\n', " "),
        "state service refused a transaction as malformed"
    );
}

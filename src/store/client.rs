//! Client of the state service: transactions, leases, lists, reads and watches, rate-limited to a budget of
//! requests and writes. The client is stateless apart from this budget: it caches nothing that it reads.

use super::token_bucket::TokenBucket;
use crate::time::{Clock, MILLISECOND, Micros, SECOND, to_duration};
use crate::wire::client::{Client, ClientResponse};
use crate::wire::state::{self, Lease, LeaseRequest, Page, Revision, Transaction, WatchResponse};
use crate::wire::{WireError, decode, encode};
use async_io::Timer;
use http_types::Method;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout of a transaction. After it the outcome is treated as unknown, and the keys are read again.
const TRANSACTION_TIMEOUT: Micros = 3 * SECOND / 2;
/// Timeout of one page of a list. Longer than the others because list pages are the largest responses.
const LIST_PAGE_TIMEOUT: Micros = 5 * SECOND;
/// Timeout for granting or renewing a lease. Short, so that a failed renewal is retried before the lease
/// expires.
const LEASE_TIMEOUT: Micros = SECOND;
/// Timeout of a watch that does not wait for changes.
const LINEARIZABLE_READ_TIMEOUT: Micros = SECOND;
/// Timeout of a watch in addition to the time that it waits for changes. During an outage of the service an
/// open watch stays open without a response.
const WATCH_TIMEOUT_MARGIN: Micros = 2 * SECOND;

/// Outcome of a transaction.
#[derive(Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: preconditions on these keys failed.
    Conflict(Vec<String>),
    /// Not committed, with this HTTP status: malformed, over a rate limit or service unavailable.
    Rejected(u16),
    /// No response that can be decoded: the transaction may have been committed or may still be committed.
    Unknown,
}

/// Range of the revisions at which the pages of a list were read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevisionRange {
    /// Smallest revision: the list contains every change up to it.
    pub smallest: u64,
    /// Largest revision: the list contains no change after it.
    pub largest: u64,
}

impl RevisionRange {
    /// Range before any page was read: the neutral element of `union`.
    pub const EMPTY: RevisionRange = RevisionRange {
        smallest: u64::MAX,
        largest: 0,
    };

    /// Returns the smallest range that contains both ranges.
    #[must_use]
    pub fn union(self, other: RevisionRange) -> RevisionRange {
        RevisionRange {
            smallest: self.smallest.min(other.smallest),
            largest: self.largest.max(other.largest),
        }
    }
}

/// Client of the state service. Every call first waits for the rate budget and then for the response.
pub struct StoreClient {
    http: Rc<Client>,
    address: SocketAddr,
    clock: Clock,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
}

impl StoreClient {
    /// Creates a client with a budget of requests and of written keys per second.
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

    /// Waits until one request that writes this number of keys is within the budget.
    async fn wait_for_budget(&self, written_keys: usize) {
        let now = self.clock.now();
        let mut delay = self.requests.borrow_mut().take(1.0, now);
        if written_keys > 0 {
            delay = delay.max(self.writes.borrow_mut().take(written_keys as f64, now));
        }
        if delay > 0 {
            Timer::after(to_duration(delay)).await;
        }
    }

    /// Returns the time that a request without writes would have to wait for the budget.
    pub fn request_delay(&self) -> Micros {
        let now = self.clock.now();
        self.requests.borrow_mut().delay(now)
    }

    /// Returns the time that a write would have to wait for the budget.
    pub fn write_delay(&self) -> Micros {
        let now = self.clock.now();
        self.writes.borrow_mut().delay(now)
    }

    /// Returns the number of keys that could be written without waiting, and the burst size of the write
    /// budget.
    pub fn write_budget(&self) -> (f64, f64) {
        let now = self.clock.now();
        let mut writes = self.writes.borrow_mut();
        (writes.available(now), writes.burst())
    }

    /// Changes the budget from now on. The limits of the service are shared by all live controllers.
    pub fn set_rate_limits(&self, requests_per_s: f64, writes_per_s: f64) {
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
            tracing::info!("state service rejected a request that exceeds its rate limit");
        }
        response
    }

    /// Executes a transaction.
    pub async fn transaction(&self, transaction: &Transaction) -> TransactionOutcome {
        self.wait_for_budget(transaction.mutations.len()).await;
        if tracing::enabled!(tracing::Level::DEBUG) {
            tracing::debug!(
                mutations = transaction.mutation_counts(),
                "transaction sent"
            );
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

    /// Reads all keys under a prefix, in pages that may have been read at different revisions.
    pub async fn list(
        &self,
        prefix: &str,
        mut on_item: impl FnMut(state::Item),
    ) -> Result<RevisionRange, WireError> {
        let mut after: Option<String> = None;
        let mut revisions = RevisionRange::EMPTY;
        loop {
            self.wait_for_budget(0).await;
            let path = state::list_path(prefix, after.as_deref());
            let call = self.call(Method::Get, &path, None, LIST_PAGE_TIMEOUT);
            let page: Page = call.await?.ok()?;
            revisions = revisions.union(RevisionRange {
                smallest: page.revision,
                largest: page.revision,
            });
            after = page.items.last().map(|item| item.key.clone());
            for item in page.items {
                on_item(item);
            }
            if !page.more || after.is_none() {
                return Ok(revisions);
            }
        }
    }

    /// Reads one key. Returns `None` if it does not exist.
    pub async fn get(&self, key: &str, timeout: Micros) -> Result<Option<state::Item>, WireError> {
        self.wait_for_budget(0).await;
        let path = state::key_path(key);
        let response = self.call(Method::Get, &path, None, timeout).await?;
        match response.status {
            200 => Ok(Some(decode(&response.body)?)),
            404 => {
                // The service reports the revision at which the key was missing. A 404 without it did not
                // come from the service itself.
                decode::<Revision>(&response.body)?;
                Ok(None)
            }
            status => Err(WireError::Status(status)),
        }
    }

    /// Requests the changes after a revision and waits up to `wait` for the first one. With a wait of 0 this
    /// is a linearizable read: the response contains every change that was committed before the call.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Micros,
    ) -> Result<WatchResponse, WireError> {
        self.wait_for_budget(0).await;
        let path = state::watch_path(prefix, after, wait / MILLISECOND);
        let timeout = if wait == 0 {
            LINEARIZABLE_READ_TIMEOUT
        } else {
            wait + WATCH_TIMEOUT_MARGIN
        };
        self.call(Method::Get, &path, None, timeout).await?.ok()
    }

    /// Grants a new lease and returns its id.
    pub async fn lease(&self, time_to_live: Micros) -> Result<u64, WireError> {
        let body = encode(&LeaseRequest {
            ttl_ms: time_to_live / MILLISECOND,
        });
        let call = self.call(Method::Post, state::LEASES_PATH, Some(body), LEASE_TIMEOUT);
        Ok(call.await?.ok::<Lease>()?.id)
    }

    /// Renews a lease. Returns false if it has expired.
    pub async fn renew(&self, id: u64) -> Result<bool, WireError> {
        let path = state::lease_renewal_path(id);
        let call = self.call(Method::Post, &path, Some(Vec::new()), LEASE_TIMEOUT);
        match call.await?.status {
            200 => Ok(true),
            404 => Ok(false),
            status => Err(WireError::Status(status)),
        }
    }
}

/// Maps the service's response to the outcome of a transaction.
fn transaction_outcome(transaction: &Transaction, response: &ClientResponse) -> TransactionOutcome {
    match response.status {
        200 => match decode::<Revision>(&response.body) {
            Ok(committed) => TransactionOutcome::Committed(committed.revision),
            Err(_) => TransactionOutcome::Unknown,
        },
        409 => {
            let failed = decode::<Revision>(&response.body).map(|conflict| conflict.failed);
            TransactionOutcome::Conflict(failed.unwrap_or_default())
        }
        status @ (400 | 429 | 503) => {
            if status == 400 {
                log_malformed_transaction(transaction, response);
            }
            TransactionOutcome::Rejected(status)
        }
        _ => TransactionOutcome::Unknown,
    }
}

/// Logs that the service rejected a transaction as malformed, which is a fault of this controller. Does not
/// log if the response only reports that the lease of one of the keys has expired.
fn log_malformed_transaction(transaction: &Transaction, response: &ClientResponse) {
    let reason = response.error_reason();
    if reason.contains("no such lease") {
        return;
    }
    tracing::error!(
        first = transaction.mutations.first().map(state::Mutation::key),
        mutations = transaction.mutations.len(),
        preconditions = transaction.preconditions.len(),
        largest_value_key = transaction.largest_value_key(),
        largest_value_bytes = transaction.largest_value_bytes(),
        reason,
        "state service rejected a transaction as malformed"
    );
}

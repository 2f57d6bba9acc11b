//! Client of the state service: a budget of requests, transactions, leases, lists and watches.

use crate::time::{Clock, MILLI, Micros, SECOND, to_duration};
use crate::wire::client::{Client, ClientResponse};
use crate::wire::state::{self, Lease, LeaseRequest, Page, Revision, Transaction, WatchResponse};
use crate::wire::{WireError, decode, encode};
use async_io::Timer;
use http_types::Method;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// What became of a transaction.
#[derive(Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Carried out at this revision.
    Done(u64),
    /// A condition failed.
    Conflict(Vec<String>),
    /// Not carried out: over a limit or out of service.
    Refused(u16),
    /// No answer: may have been carried out, or may yet be.
    Unknown,
}

/// A rate that refills with time, with a burst of one second's worth.
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate.max(1.0),
            at: 0,
        }
    }
    fn fill(&mut self, now: Micros) {
        if self.at > 0 {
            self.level += now.saturating_sub(self.at) as f64 / 1e6 * self.rate;
        }
        self.at = now;
        self.level = self.level.min(self.rate.max(1.0));
    }
    /// Takes `n` and tells how long to wait for it. Whoever asks first is served first.
    pub fn take(&mut self, n: f64, now: Micros) -> Micros {
        self.fill(now);
        self.level -= n;
        self.wait()
    }
    fn wait(&self) -> Micros {
        if self.level >= 0.0 {
            0
        } else {
            (-self.level / self.rate * 1e6) as Micros + MILLI
        }
    }
    /// What could be taken without waiting; negative while others wait.
    pub fn level(&mut self, now: Micros) -> f64 {
        self.fill(now);
        self.level
    }
    /// Another rate from now on.
    pub fn set_rate(&mut self, rate: f64, now: Micros) {
        self.fill(now);
        self.rate = rate;
    }
    /// How long one more would have to wait.
    pub fn queue(&mut self, now: Micros) -> Micros {
        self.fill(now);
        self.wait()
    }
}

/// The client.
pub struct StoreClient {
    http: Rc<Client>,
    addr: SocketAddr,
    clock: Clock,
    requests: RefCell<TokenBucket>,
    writes: RefCell<TokenBucket>,
    /// When a request was last answered other than by a refusal.
    pub last_ok: Cell<Micros>,
    /// When a request last failed or was refused.
    pub last_bad: Cell<Micros>,
}

/// How long one request may take.
const LIMIT: Micros = 3 * SECOND / 2;

impl StoreClient {
    /// A client that takes `share` of the limits.
    pub fn new(
        http: Rc<Client>,
        addr: SocketAddr,
        clock: Clock,
        rps: f64,
        write_rps: f64,
    ) -> StoreClient {
        StoreClient {
            http,
            addr,
            clock,
            requests: RefCell::new(TokenBucket::new(rps)),
            writes: RefCell::new(TokenBucket::new(write_rps)),
            last_ok: Cell::new(0),
            last_bad: Cell::new(0),
        }
    }

    async fn budget(&self, writes: usize) {
        let now = self.clock.now();
        let mut wait = self.requests.borrow_mut().take(1.0, now);
        if writes > 0 {
            wait = wait.max(self.writes.borrow_mut().take(writes as f64, now));
        }
        if wait > 0 {
            Timer::after(to_duration(wait)).await;
        }
    }

    /// How long a write would have to wait for the budget.
    pub fn write_queue(&self) -> Micros {
        let now = self.clock.now();
        self.writes.borrow_mut().queue(now)
    }

    /// Changes that could be written at once, and the most that this ever is.
    pub fn write_level(&self) -> (f64, f64) {
        let now = self.clock.now();
        let mut w = self.writes.borrow_mut();
        let level = w.level(now);
        (level, w.rate.max(1.0))
    }

    /// Shares the limits among so many controllers.
    pub fn share(&self, rps: f64, write_rps: f64) {
        let now = self.clock.now();
        self.requests.borrow_mut().set_rate(rps, now);
        self.writes.borrow_mut().set_rate(write_rps, now);
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Micros,
    ) -> Result<ClientResponse, WireError> {
        let res = self.http.call(self.addr, method, path, body, limit).await;
        let now = self.clock.now();
        match &res {
            Ok(a) if a.status == 503 => self.last_bad.set(now),
            Ok(a) if a.status == 429 => tracing::info!("state service: over the limit"),
            Ok(_) => self.last_ok.set(now),
            Err(_) => self.last_bad.set(now),
        }
        res
    }

    /// Runs a transaction.
    pub async fn transaction(&self, t: &Transaction) -> TransactionOutcome {
        self.budget(t.mutations.len()).await;
        if tracing::enabled!(tracing::Level::DEBUG) {
            tracing::debug!(changes = t.kinds(), "transaction");
        }
        match self
            .call(
                Method::Post,
                state::TRANSACTION_PATH,
                Some(encode(t)),
                LIMIT,
            )
            .await
        {
            Ok(a) if a.status == 200 => match decode::<Revision>(&a.body) {
                Ok(r) => TransactionOutcome::Done(r.revision),
                Err(_) => TransactionOutcome::Unknown,
            },
            Ok(a) if a.status == 409 => TransactionOutcome::Conflict(
                decode::<Revision>(&a.body)
                    .map(|r| r.failed)
                    .unwrap_or_default(),
            ),
            Ok(a) if matches!(a.status, 400 | 429 | 503) => {
                if a.status == 400 && !String::from_utf8_lossy(&a.body).contains("no such lease") {
                    // A lease that ended says so; anything else is a fault of ours.
                    tracing::error!(
                        first = t.mutations.first().map(state::Mutation::key),
                        changes = t.mutations.len(),
                        preconditions = t.preconditions.len(),
                        largest = t.largest(),
                        "transaction refused: {}",
                        String::from_utf8_lossy(&a.body).replace('\n', " ")
                    );
                }
                TransactionOutcome::Refused(a.status)
            }
            _ => TransactionOutcome::Unknown,
        }
    }

    /// Reads every key under a prefix; gives the smallest and largest revision of its pages.
    pub async fn list(
        &self,
        prefix: &str,
        mut each: impl FnMut(state::Item),
    ) -> Result<(u64, u64), WireError> {
        let mut after: Option<String> = None;
        let (mut lo, mut hi) = (u64::MAX, 0);
        loop {
            self.budget(0).await;
            let a = self
                .call(
                    Method::Get,
                    &state::list(prefix, after.as_deref()),
                    None,
                    5 * SECOND,
                )
                .await?;
            let page: Page = a.ok()?;
            lo = lo.min(page.revision);
            hi = hi.max(page.revision);
            after = page.items.last().map(|i| i.key.clone());
            for i in page.items {
                each(i);
            }
            if !page.more || after.is_none() {
                return Ok((lo, hi));
            }
        }
    }

    /// Reads one key: its item, or the revision at which it was missing.
    pub async fn get(
        &self,
        key: &str,
        limit: Micros,
    ) -> Result<Result<state::Item, u64>, WireError> {
        self.budget(0).await;
        let a = self
            .call(Method::Get, &state::key(key), None, limit)
            .await?;
        match a.status {
            200 => Ok(Ok(decode(&a.body)?)),
            404 => Ok(Err(decode::<Revision>(&a.body)?.revision)),
            s => Err(WireError::Status(s)),
        }
    }

    /// Asks for changes after a revision; with a wait of 0 this is a read begun now.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Micros,
    ) -> Result<WatchResponse, WireError> {
        self.budget(0).await;
        let path = state::watch(prefix, after, wait / MILLI);
        // An open watch stays open during an outage; give it time beyond its wait, but not for ever.
        let limit = if wait == 0 { SECOND } else { wait + 2 * SECOND };
        self.call(Method::Get, &path, None, limit).await?.ok()
    }

    /// Takes a lease.
    pub async fn lease(&self, ttl: Micros) -> Result<u64, WireError> {
        let body = encode(&LeaseRequest {
            ttl_ms: ttl / MILLI,
        });
        let a = self
            .call(Method::Post, state::LEASES_PATH, Some(body), SECOND)
            .await?;
        Ok(a.ok::<Lease>()?.id)
    }

    /// Renews a lease: false if it has ended.
    pub async fn renew(&self, id: u64) -> Result<bool, WireError> {
        let a = self
            .call(Method::Post, &state::renew(id), Some(Vec::new()), SECOND)
            .await?;
        match a.status {
            200 => Ok(true),
            404 => Ok(false),
            s => Err(WireError::Status(s)),
        }
    }
}

//! HTTP client: connections that stay open, kept per address, with a limit of time on every call.

use super::WireError;
use crate::time::{Micros, dur};
use async_h1::client::{Encoder, decode};
use async_io::Timer;
use async_net::TcpStream;
use foldhash::HashMap;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Request, Url};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// An answer: status and body.
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// The body as it came.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// The body decoded, if the status is 200.
    pub fn ok<T: serde::de::DeserializeOwned>(&self) -> Result<T, WireError> {
        if self.status == 200 {
            super::decode(&self.body)
        } else {
            Err(WireError::Status(self.status))
        }
    }
}

/// A pool of connections.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<TcpStream>>>,
    kept: Cell<usize>,
    used: Cell<usize>,
    most: usize,
}

/// Counts a call for as long as it goes on.
struct Use<'a>(&'a Cell<usize>);

impl<'a> Use<'a> {
    fn new(n: &'a Cell<usize>) -> Use<'a> {
        n.set(n.get() + 1);
        Use(n)
    }
}

impl Drop for Use<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why a connection could not be made. That this process, or its machine, has no file left says nothing
/// of the other side.
fn lack(e: &std::io::Error) -> WireError {
    // By POSIX: EMFILE and ENFILE.
    match e.raw_os_error() {
        Some(23 | 24) => WireError::Sockets,
        _ => WireError::Connection(e.to_string()),
    }
}

const IDLE_PER_ADDRESS: usize = 4;

impl Client {
    /// A pool that keeps idle connections as long as there are at most so many together with those in
    /// use: a controller that serves every machine
    /// has one connection from each already, and the platform counts sockets.
    pub fn new(most: usize) -> Client {
        Client {
            idle: RefCell::default(),
            kept: Cell::new(0),
            used: Cell::new(0),
            most,
        }
    }

    /// Sends one request and reads its answer within `limit`. The caller must treat every error as
    /// "may have been carried out, or may yet be".
    pub async fn call(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Micros,
    ) -> Result<ClientResponse, WireError> {
        let _use = Use::new(&self.used);
        self.exchange(addr, method, path, body)
            .or(async {
                Timer::after(dur(limit)).await;
                Err(WireError::Timeout)
            })
            .await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<ClientResponse, WireError> {
        // A kept connection is used only if the other side has not closed it meanwhile. Nothing is
        // ever sent twice: a first copy that seems lost may still be carried out, much later.
        while let Some(s) = self.pop(addr) {
            let mut one = [0u8; 1];
            if futures_lite::future::poll_once(s.peek(&mut one))
                .await
                .is_none()
            {
                return self.one(addr, s, method, path, body).await;
            }
        }
        // In use and idle together stay below the limit: an idle connection makes way.
        while self.kept.get() > 0 && self.kept.get() + self.used.get() > self.most {
            self.drop_idle();
        }
        let s = TcpStream::connect(addr).await.map_err(|e| lack(&e))?;
        let _ = s.set_nodelay(true);
        self.one(addr, s, method, path, body).await
    }

    fn pop(&self, addr: SocketAddr) -> Option<TcpStream> {
        let s = self.idle.borrow_mut().get_mut(&addr)?.pop()?;
        self.kept.set(self.kept.get() - 1);
        Some(s)
    }

    async fn one(
        &self,
        addr: SocketAddr,
        mut s: TcpStream,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<ClientResponse, WireError> {
        let conn = |e: &dyn std::fmt::Display| WireError::Connection(e.to_string());
        let url = Url::parse(&format!("http://{addr}{path}")).map_err(|e| conn(&e))?;
        let mut req = Request::new(method, url);
        if let Some(b) = body {
            req.set_body(b);
            req.insert_header("content-type", "application/cbor");
        }
        let mut out = Vec::with_capacity(512);
        Encoder::new(req)
            .read_to_end(&mut out)
            .await
            .map_err(|e| conn(&e))?;
        s.write_all(&out).await.map_err(|e| conn(&e))?;
        let mut res = decode(s.clone()).await.map_err(|e| conn(&e))?;
        let status = u16::from(res.status());
        let want = res.len();
        let close = res
            .header("connection")
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let body = res.body_bytes().await.map_err(|e| conn(&e))?;
        if want.is_some_and(|w| w != body.len()) {
            return Err(WireError::Connection("answer cut short".into()));
        }
        if !close {
            let mut idle = self.idle.borrow_mut();
            let v = idle.entry(addr).or_default();
            if v.len() < IDLE_PER_ADDRESS && self.kept.get() + self.used.get() <= self.most {
                self.kept.set(self.kept.get() + 1);
                v.push(s);
            }
        }
        Ok(ClientResponse { status, body })
    }

    /// Calls that go on.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    fn drop_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let Some(addr) = idle.iter().find(|(_, v)| !v.is_empty()).map(|x| *x.0) else {
            self.kept.set(0);
            return;
        };
        if let Some(v) = idle.get_mut(&addr) {
            v.pop();
            if v.is_empty() {
                idle.remove(&addr);
            }
        }
        self.kept.set(self.kept.get() - 1);
    }

    /// Drops the idle connections to an address, e.g. after it went silent.
    pub fn forget(&self, addr: SocketAddr) {
        if let Some(v) = self.idle.borrow_mut().remove(&addr) {
            self.kept.set(self.kept.get() - v.len());
        }
    }
}

#[cfg(test)]
mod tests;

//! HTTP server: one loop per connection on async-h1's decoder and encoder, with limits of time for
//! heads and bodies, and a limit of connections.

use super::MAX_BODY;
use crate::time::{Micros, SECOND, dur};
use async_executor::LocalExecutor;
use async_h1::server::{Encoder, decode};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Response as HttpResponse, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request as the slices see it.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: String,
    /// The body; `None` if it was over the limit or cut short.
    pub body: Option<Vec<u8>>,
}

/// An answer as the slices give it.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Encoded body.
    pub body: Vec<u8>,
    /// Seconds after which the asker may come back.
    pub retry_after: Option<u64>,
}

impl Response {
    /// A status with a body.
    pub fn with<T: serde::Serialize>(status: u16, body: &T) -> Response {
        Response {
            status,
            body: super::encode(body),
            retry_after: None,
        }
    }
    /// A bare status.
    pub fn status(status: u16) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after: None,
        }
    }
    /// A refusal, with the reason in plain words.
    pub fn refusal(status: u16, why: &str) -> Response {
        let error = why.to_string();
        Response::with(status, &super::ErrorBody { error })
    }
    /// Not now: come back in so many seconds.
    pub fn later(status: u16, seconds: u64) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after: Some(seconds),
        }
    }
}

/// Connections that send nothing are closed after this.
const IDLE: Micros = 75 * SECOND;
/// A request whose body does not arrive in this time is dropped.
const BODY: Micros = 5 * SECOND;
/// A client that does not take its answer in this time is dropped.
const WRITE: Micros = 5 * SECOND;

/// Counts open connections against the limit of sockets.
#[derive(Default)]
pub struct ConnectionGauge {
    open: Cell<usize>,
    refused: Cell<usize>,
    told: Cell<Option<Instant>>,
}

/// How often it is said that connections are refused.
const TELL: Duration = Duration::from_secs(30);

impl ConnectionGauge {
    /// Counts a connection that is refused, and says now and then how many were.
    fn refuse(&self, max: usize) {
        self.refused.set(self.refused.get() + 1);
        if self.told.get().is_none_or(|t| t.elapsed() >= TELL) {
            self.told.set(Some(Instant::now()));
            let refused = self.refused.take();
            tracing::warn!(refused, open = max, "connections refused: no sockets left");
        }
    }
}

struct Held(Rc<ConnectionGauge>);
impl Drop for Held {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections for ever and answers each request by `handle`.
pub async fn serve<F, Fut>(
    ex: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    gauge: Rc<ConnectionGauge>,
    max: usize,
    handle: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((s, _)) => {
                if gauge.open.get() >= max {
                    // Sockets are counted by the platform; keep some for our own calls.
                    drop(s);
                    gauge.refuse(max);
                    continue;
                }
                gauge.open.set(gauge.open.get() + 1);
                let held = Held(gauge.clone());
                let h = handle.clone();
                ex.spawn(async move {
                    let _held = held;
                    connection(s, h).await;
                })
                .detach();
            }
            Err(e) => {
                tracing::warn!("accept: {e}");
                Timer::after(dur(SECOND / 20)).await;
            }
        }
    }
}

async fn connection<F, Fut>(mut s: TcpStream, handle: F)
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let _ = s.set_nodelay(true);
    loop {
        let head = decode(s.clone())
            .or(async {
                Timer::after(dur(IDLE)).await;
                Ok(None)
            })
            .await;
        let mut req = match head {
            Ok(Some((req, _))) => req,
            Ok(None) => return,
            Err(e) => {
                tracing::debug!("bad request: {e}");
                let _ = put(&mut s, Response::status(400), Method::Get, true).await;
                return;
            }
        };
        let method = req.method();
        let path = req.url().path().to_string();
        let mut close = req
            .header("connection")
            .is_some_and(|c| c.as_str().eq_ignore_ascii_case("close"));
        let len = req.len();
        let body = if len.is_some_and(|l| l > MAX_BODY) {
            close = true;
            None
        } else {
            let mut buf = Vec::new();
            let mut b = req.take_body().take(MAX_BODY as u64 + 1);
            let got = b
                .read_to_end(&mut buf)
                .or(async {
                    Timer::after(dur(BODY)).await;
                    Err(std::io::ErrorKind::TimedOut.into())
                })
                .await;
            if got.is_err() || len.is_some_and(|l| l != buf.len()) {
                return;
            }
            if buf.len() > MAX_BODY {
                close = true;
                None
            } else {
                Some(buf)
            }
        };
        let reply = handle(Request { method, path, body }).await;
        if put(&mut s, reply, method, close).await.is_err() || close {
            return;
        }
    }
}

async fn put(s: &mut TcpStream, r: Response, method: Method, close: bool) -> std::io::Result<()> {
    let status = StatusCode::try_from(r.status).unwrap_or(StatusCode::InternalServerError);
    let mut res = HttpResponse::new(status);
    res.set_body(r.body);
    res.insert_header("content-type", "application/cbor");
    if let Some(n) = r.retry_after {
        res.insert_header("retry-after", n.to_string());
    }
    if close {
        res.insert_header("connection", "close");
    }
    let mut out = Vec::with_capacity(512);
    Encoder::new(res, method).read_to_end(&mut out).await?;
    s.write_all(&out)
        .or(async {
            Timer::after(dur(WRITE)).await;
            Err(std::io::ErrorKind::TimedOut.into())
        })
        .await
}

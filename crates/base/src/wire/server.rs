//! HTTP server: one loop per connection on async-h1's decoder and encoder, with timeouts for request heads, request
//! bodies and responses, and a limit of open connections. Its only state is the connection gauge.

use super::MAX_BODY_BYTES;
use super::worker::HEARTBEAT_PATH;
use crate::refusals::RefusalCounter;
use crate::time::{Clock, Micros, SECOND, to_duration};
use async_executor::LocalExecutor;
use async_h1::server::{Encoder, decode};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Response as HttpResponse, StatusCode};
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

/// HTTP request that is passed to a handler.
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Body; `None` if it exceeds the size limit.
    pub body: Option<Vec<u8>>,
    /// Start of a body that exceeds the size limit, as far as it arrived in time.
    pub body_start: Vec<u8>,
}

/// HTTP response that a handler returns.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Encoded body: CBOR, or MessagePack for a peer.
    pub body: Vec<u8>,
    /// `Retry-After`: seconds after which the client may retry.
    pub retry_after: Option<u64>,
}

impl Response {
    /// Creates a response with a CBOR body.
    pub fn with_body<T: serde::Serialize>(status: u16, body: &T) -> Response {
        Response {
            status,
            body: super::encode(body),
            retry_after: None,
        }
    }

    /// Creates a response without a body.
    pub fn status(status: u16) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after: None,
        }
    }

    /// Creates an error response with a human-readable reason.
    pub fn error(status: u16, reason: &str) -> Response {
        let error = reason.to_string();
        Response::with_body(status, &super::ErrorBody { error })
    }

    /// Creates the response for a transient error: the client may retry after `seconds`.
    pub fn retry_later(status: u16, seconds: u64) -> Response {
        Response {
            status,
            body: Vec::new(),
            retry_after: Some(seconds),
        }
    }
}

/// Time without a request after which a connection is closed: far longer than the heartbeat interval, so that
/// workers keep their connections.
const IDLE_TIMEOUT: Micros = 75 * SECOND;
/// Time within which a request body must arrive; otherwise the connection is closed.
const BODY_TIMEOUT: Micros = 5 * SECOND;
/// Maximum size of a heartbeat. A machine on which a controller of an earlier version placed too many tasks may send
/// heartbeats above the protocol's limit; each one that is refused brings its lease closer to the end.
const MAX_HEARTBEAT_BYTES: usize = 16 * MAX_BODY_BYTES;
/// Time within which a client must accept a response; otherwise the connection is closed.
const WRITE_TIMEOUT: Micros = 5 * SECOND;
/// Delay after a failed `accept`, which most likely lacked file descriptors.
const ACCEPT_RETRY_DELAY: Micros = SECOND / 20;
/// Initial capacity of the buffer for an encoded response: most responses fit, head and body together.
const RESPONSE_BUFFER_BYTES: usize = 512;

/// Number of open connections, compared with the limit of sockets. Servers that share the limit share a gauge.
#[derive(Default)]
pub struct ConnectionGauge {
    open: Cell<usize>,
    refusals: RefusalCounter,
}

impl ConnectionGauge {
    /// Counts a connection as open until the permit is dropped; `None` if `max_connections` are open already.
    fn open(self: &Rc<Self>, max_connections: usize) -> Option<ConnectionPermit> {
        if self.open.get() >= max_connections {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(ConnectionPermit(self.clone()))
    }

    /// Counts a refused connection, and logs the number of refused ones at an interval.
    fn record_refusal(&self, max_connections: usize, now: Micros) {
        if let Some(refused) = self.refusals.record(now) {
            tracing::warn!(
                refused,
                max_connections,
                "connection limit reached, connections refused"
            );
        }
    }
}

/// Open connection that the gauge counts until this is dropped.
struct ConnectionPermit(Rc<ConnectionGauge>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Accepts connections in an endless loop and answers each request with `handle`. Connections beyond
/// `max_connections` of the gauge are closed immediately.
pub async fn serve<F, Fut>(
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    gauge: Rc<ConnectionGauge>,
    max_connections: usize,
    handle: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let clock = Clock::start();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                Timer::after(to_duration(ACCEPT_RETRY_DELAY)).await;
                continue;
            }
        };
        // The platform limits the number of sockets; some are reserved for outbound calls.
        let Some(permit) = gauge.open(max_connections) else {
            drop(stream);
            gauge.record_refusal(max_connections, clock.now());
            continue;
        };
        let handle = handle.clone();
        executor
            .spawn(async move {
                let _permit = permit;
                serve_connection(stream, handle).await;
            })
            .detach();
    }
}

/// Answers the requests of a connection until the client or the server closes it.
async fn serve_connection<F, Fut>(mut stream: TcpStream, handle: F)
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    // Failure is ignored: small messages only take longer without TCP_NODELAY.
    let _ = stream.set_nodelay(true);
    while let Some(ReceivedRequest { request, close }) = read_request(&mut stream).await {
        let method = request.method;
        let response = handle(request).await;
        let written = write_response(&mut stream, response, method, close).await;
        if written.is_err() || close {
            return;
        }
    }
}

/// Request, and whether its connection is closed after the response.
struct ReceivedRequest {
    request: Request,
    close: bool,
}

/// Reads the next request of a connection; `None` if the connection must be closed. A request with a malformed head
/// is answered with status 400 here.
async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let head = decode(stream.clone())
        .or(async {
            Timer::after(to_duration(IDLE_TIMEOUT)).await;
            Ok(None)
        })
        .await;
    let mut head = match head {
        Ok(head) => head?.0,
        Err(error) => {
            tracing::debug!(%error, "malformed HTTP request");
            let _ = write_response(stream, Response::status(400), Method::Get, true).await;
            return None;
        }
    };
    let method = head.method();
    let path = head.url().path().to_string();
    let close = head
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
    let max_bytes = match path.as_str() {
        HEARTBEAT_PATH => MAX_HEARTBEAT_BYTES,
        _ => MAX_BODY_BYTES,
    };
    let (body, body_start) = match read_body(&mut head, max_bytes).await.ok()? {
        ReceivedBody::Complete(body) => (Some(body), Vec::new()),
        ReceivedBody::TooLarge { start } => (None, start),
    };
    // The rest of a body that exceeds the size limit is not read, so the connection can't be reused.
    let close = close || body.is_none();
    Some(ReceivedRequest {
        request: Request {
            method,
            path,
            body,
            body_start,
        },
        close,
    })
}

/// Body of a request, as far as it is read.
enum ReceivedBody {
    Complete(Vec<u8>),
    TooLarge { start: Vec<u8> },
}

/// Reads the body of a request up to the size limit. Fails if a body within the limit is truncated or late.
async fn read_body(
    head: &mut http_types::Request,
    max_bytes: usize,
) -> std::io::Result<ReceivedBody> {
    let declared_length = head.len();
    let declared_too_large = declared_length.is_some_and(|length| length > max_bytes);
    let read_bytes = if declared_too_large {
        MAX_BODY_BYTES
    } else {
        max_bytes + 1
    };
    let mut bytes = Vec::new();
    let mut body = head.take_body().take(read_bytes as u64);
    let read = body.read_to_end(&mut bytes).or(async {
        Timer::after(to_duration(BODY_TIMEOUT)).await;
        Err(std::io::ErrorKind::TimedOut.into())
    });
    let read = read.await;
    if declared_too_large || bytes.len() > max_bytes {
        bytes.truncate(max_bytes);
        return Ok(ReceivedBody::TooLarge { start: bytes });
    }
    read?;
    if declared_length.is_some_and(|length| length != bytes.len()) {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    Ok(ReceivedBody::Complete(bytes))
}

async fn write_response(
    stream: &mut TcpStream,
    response: Response,
    method: Method,
    close: bool,
) -> std::io::Result<()> {
    let status = StatusCode::try_from(response.status).unwrap_or(StatusCode::InternalServerError);
    let mut http_response = HttpResponse::new(status);
    http_response.set_body(response.body);
    http_response.insert_header("content-type", "application/cbor");
    if let Some(seconds) = response.retry_after {
        http_response.insert_header("retry-after", seconds.to_string());
    }
    if close {
        http_response.insert_header("connection", "close");
    }
    let mut bytes = Vec::with_capacity(RESPONSE_BUFFER_BYTES);
    Encoder::new(http_response, method)
        .read_to_end(&mut bytes)
        .await?;
    stream
        .write_all(&bytes)
        .or(async {
            Timer::after(to_duration(WRITE_TIMEOUT)).await;
            Err(std::io::ErrorKind::TimedOut.into())
        })
        .await
}

#[cfg(test)]
mod tests;

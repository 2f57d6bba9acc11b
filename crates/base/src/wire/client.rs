//! HTTP client with a pool of persistent connections per address and a timeout on every call.
//!
//! The pool belongs to one controller and only its calls change it. A request is never sent twice.

use super::WireError;
use crate::time::{Micros, to_duration};
use async_h1::client::{Encoder, decode};
use async_io::Timer;
use async_net::TcpStream;
use foldhash::HashMap;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::{Method, Request, Url};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

/// HTTP response: status and body.
pub struct ClientResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, not decoded.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Decodes the body if the status is 200; any other status is an error.
    pub fn ok<T: serde::de::DeserializeOwned>(&self) -> Result<T, WireError> {
        if self.status == 200 {
            super::decode(&self.body)
        } else {
            Err(WireError::Status(self.status))
        }
    }

    /// Returns the reason of an error response, or the body as text if it contains none.
    pub fn error_reason(&self) -> String {
        match super::decode::<super::ErrorBody>(&self.body) {
            Ok(body) => body.error,
            Err(_) => String::from_utf8_lossy(&self.body).replace('\n', " "),
        }
    }
}

/// HTTP client with its connection pool.
pub struct Client {
    idle: RefCell<HashMap<SocketAddr, Vec<TcpStream>>>,
    idle_count: Cell<usize>,
    in_use_count: Cell<usize>,
    max_connections: usize,
}

/// Counts a call as in progress until it is dropped.
struct InUseGuard<'a>(&'a Cell<usize>);

impl<'a> InUseGuard<'a> {
    fn new(in_use_count: &'a Cell<usize>) -> InUseGuard<'a> {
        in_use_count.set(in_use_count.get() + 1);
        InUseGuard(in_use_count)
    }
}

impl Drop for InUseGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// POSIX error number: the open file limit of the system is reached.
const ENFILE: i32 = 23;
/// POSIX error number: the open file limit of this process is reached.
const EMFILE: i32 = 24;

/// Converts an error of a connection attempt. If this process or its machine has no file descriptor left, the error
/// is a separate one, because it says nothing about the remote host.
fn connect_error(error: &std::io::Error) -> WireError {
    match error.raw_os_error() {
        Some(ENFILE | EMFILE) => WireError::NoFileDescriptors,
        _ => connection_error(error),
    }
}

fn connection_error(error: impl std::fmt::Display) -> WireError {
    WireError::Connection(error.to_string())
}

/// Maximum number of idle connections kept per address; further concurrent calls open new ones.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Initial capacity of the buffer for an encoded request: most requests fit, head and body together.
const REQUEST_BUFFER_BYTES: usize = 512;

impl Client {
    /// Creates a client that keeps idle connections while they and those in use are at most `max_connections`
    /// together: a controller that serves every machine already has one inbound connection from each, and the
    /// platform limits the number of sockets.
    pub fn new(max_connections: usize) -> Client {
        Client {
            idle: RefCell::default(),
            idle_count: Cell::new(0),
            in_use_count: Cell::new(0),
            max_connections,
        }
    }

    /// Sends one request and reads its response within `timeout`. After an error the request may have been carried
    /// out, or may still be carried out later; callers must allow for both.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Micros,
    ) -> Result<ClientResponse, WireError> {
        let _in_use = InUseGuard::new(&self.in_use_count);
        self.exchange(address, method, path, body)
            .or(async {
                Timer::after(to_duration(timeout)).await;
                Err(WireError::Timeout)
            })
            .await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<ClientResponse, WireError> {
        let stream = match self.take_open_idle(address).await {
            Some(stream) => stream,
            None => self.connect(address).await?,
        };
        let request = encode_request(address, method, path, body).await?;
        let (response, keep_alive) = send_request(&stream, &request).await?;
        if keep_alive {
            self.put_idle(address, stream);
        }
        Ok(response)
    }

    /// Takes an idle connection that the remote host has not closed. This check replaces a retry on a new
    /// connection: a request is never sent twice, because a copy that seems lost may still be carried out much later.
    async fn take_open_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        while let Some(stream) = self.take_idle(address) {
            let mut byte = [0u8; 1];
            // Readable before a request was sent: the remote host closed it or sent an unsolicited response.
            let readable = futures_lite::future::poll_once(stream.peek(&mut byte)).await;
            if readable.is_none() {
                return Some(stream);
            }
        }
        None
    }

    fn take_idle(&self, address: SocketAddr) -> Option<TcpStream> {
        let stream = self.idle.borrow_mut().get_mut(&address)?.pop()?;
        self.idle_count.set(self.idle_count.get() - 1);
        Some(stream)
    }

    /// Opens a connection. Closes idle connections while those in use and idle together exceed the limit.
    async fn connect(&self, address: SocketAddr) -> Result<TcpStream, WireError> {
        while self.idle_count.get() > 0
            && self.idle_count.get() + self.in_use_count.get() > self.max_connections
        {
            self.close_one_idle();
        }
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| connect_error(&error))?;
        // Failure is ignored: small messages only take longer without TCP_NODELAY.
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }

    /// Keeps a connection for later calls if the limits allow it.
    fn put_idle(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.borrow_mut();
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_ADDRESS
            && self.idle_count.get() + self.in_use_count.get() <= self.max_connections
        {
            self.idle_count.set(self.idle_count.get() + 1);
            streams.push(stream);
        }
    }

    /// Returns the number of calls in progress.
    pub fn calls_in_progress(&self) -> usize {
        self.in_use_count.get()
    }

    fn close_one_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        let non_empty = idle.iter().find(|(_, streams)| !streams.is_empty());
        let Some(address) = non_empty.map(|(address, _)| *address) else {
            self.idle_count.set(0);
            return;
        };
        if let Some(streams) = idle.get_mut(&address) {
            streams.pop();
            if streams.is_empty() {
                idle.remove(&address);
            }
        }
        self.idle_count.set(self.idle_count.get() - 1);
    }

    /// Closes the idle connections to an address, e.g. after it stopped responding.
    pub fn close_idle_connections(&self, address: SocketAddr) {
        if let Some(streams) = self.idle.borrow_mut().remove(&address) {
            self.idle_count.set(self.idle_count.get() - streams.len());
        }
    }
}

/// Encodes a request as HTTP/1.1.
async fn encode_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Vec<u8>, WireError> {
    let url = Url::parse(&format!("http://{address}{path}")).map_err(connection_error)?;
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.set_body(body);
        request.insert_header("content-type", "application/cbor");
    }
    let mut bytes = Vec::with_capacity(REQUEST_BUFFER_BYTES);
    Encoder::new(request)
        .read_to_end(&mut bytes)
        .await
        .map_err(connection_error)?;
    Ok(bytes)
}

/// Sends an encoded request and reads the whole response. Also returns whether the connection stays open.
async fn send_request(
    stream: &TcpStream,
    request: &[u8],
) -> Result<(ClientResponse, bool), WireError> {
    let mut writer = stream.clone();
    writer.write_all(request).await.map_err(connection_error)?;
    let mut response = decode(stream.clone()).await.map_err(connection_error)?;
    let status = u16::from(response.status());
    let expected_length = response.len();
    let close = response
        .header("connection")
        .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
    let body = response.body_bytes().await.map_err(connection_error)?;
    if expected_length.is_some_and(|length| length != body.len()) {
        return Err(WireError::Connection("answer cut short".into()));
    }
    Ok((ClientResponse { status, body }, !close))
}

#[cfg(test)]
mod tests;

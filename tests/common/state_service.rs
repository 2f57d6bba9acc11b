//! Stand-in of the state service over sockets: it serves lists in pages and takes transactions, without keeping what
//! they write.

use async_io::Timer;
use ciborium::Value;
use coppergw::controller::Controller;
use coppergw::store::watch_cache::WatchCache;
use coppergw::wire::encode;
use coppergw::wire::state::{Item, Page, Revision, TRANSACTION_PATH, WatchResponse};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Size of a page at which it ends, in bytes: half a mebibyte, as in the protocol.
const PAGE_BYTES: usize = 512 * 1024;
/// Revision that the service reports.
const REVISION: u64 = 1_000_000;

/// Interval at which the end of the load is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a cache has loaded the state; its watch loop has to run meanwhile.
pub(crate) async fn until_loaded(cache: &WatchCache) {
    while !cache.loaded() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Loads the state of a controller, and keeps it current until the executor is dropped.
pub(crate) async fn load(controller: &Rc<Controller>) {
    let (watching, reading, looking_up) =
        (controller.clone(), controller.clone(), controller.clone());
    let executor = &controller.executor;
    executor
        .spawn(async move { watching.watch_cache.watch_loop().await })
        .detach();
    executor
        .spawn(async move { reading.watch_cache.linearizable_read_loop().await })
        .detach();
    executor
        .spawn(async move { looking_up.acceptance_lookup_loop().await })
        .detach();
    until_loaded(&controller.watch_cache).await;
}

/// The keys that the stand-in serves, all with the same value, in ascending order.
pub(crate) struct Keys {
    pub(crate) names: Vec<String>,
    pub(crate) value: Value,
}

/// A stand-in of the state service.
pub(crate) struct StateService {
    listener: TcpListener,
    keys: Vec<Keys>,
}

impl StateService {
    /// Creates a service on a free port of the loopback interface.
    pub(crate) fn bind(keys: Vec<Keys>) -> StateService {
        StateService {
            listener: TcpListener::bind("127.0.0.1:0").expect("a free port"),
            keys,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Answers the requests of one connection until it is closed. Calls `on_request` at the arrival of each.
    pub(crate) fn serve_connection(&self, on_request: impl FnMut()) {
        let (stream, _) = self.listener.accept().expect("a connection");
        self.answer_requests(&stream, on_request);
    }

    /// Answers the requests of all connections until the test process ends.
    pub(crate) fn serve_in_background(self) {
        let service = Arc::new(self);
        std::thread::spawn(move || {
            for stream in service.listener.incoming() {
                let service = service.clone();
                let stream = stream.expect("a connection");
                std::thread::spawn(move || service.answer_requests(&stream, || {}));
            }
        });
    }

    fn answer_requests(&self, stream: &TcpStream, mut on_request: impl FnMut()) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = read_request(&mut reader) {
            on_request();
            write_response(stream, 200, &self.answer(&request));
        }
    }

    fn answer(&self, request: &HttpRequest) -> Vec<u8> {
        let path = request.path();
        if path == "/watch" {
            return encode(&WatchResponse {
                revision: REVISION,
                events: Vec::new(),
            });
        }
        if path == TRANSACTION_PATH {
            return encode(&Revision {
                revision: REVISION + 1,
                failed: Vec::new(),
            });
        }
        assert_eq!(path, "/keys");
        let most = request.parameter("most").and_then(|most| most.parse().ok());
        self.page(
            request.parameter("under").unwrap_or_default(),
            request.parameter("after").unwrap_or_default(),
            most.unwrap_or(1000),
        )
    }

    fn page(&self, prefix: &str, after: &str, most: usize) -> Vec<u8> {
        let mut page = Page {
            items: Vec::new(),
            more: false,
            revision: REVISION,
        };
        let mut bytes = 0;
        for Keys { names, value } in &self.keys {
            let value_bytes = encode(value).len();
            let listed = |name: &&String| name.starts_with(prefix) && name.as_str() > after;
            for name in names.iter().filter(listed) {
                bytes += value_bytes;
                if page.items.len() == most || bytes > PAGE_BYTES {
                    page.more = true;
                    return encode(&page);
                }
                page.items.push(Item {
                    key: name.clone(),
                    value: value.clone(),
                    version: 1,
                });
            }
        }
        encode(&page)
    }
}

/// Target and body of a request.
pub(crate) struct HttpRequest {
    target: String,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the target without the query.
    pub(crate) fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(&self.target, |(path, _)| path)
    }

    /// Returns the value of a parameter of the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// Reads a request; `None` if the connection was closed.
pub(crate) fn read_request(reader: &mut BufReader<TcpStream>) -> Option<HttpRequest> {
    let mut request_line = String::new();
    if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
        return None;
    }
    let mut body_bytes = 0;
    let mut header = String::new();
    while reader.read_line(&mut header).expect("a header") > 2 {
        if let Some(length) = header.to_lowercase().strip_prefix("content-length:") {
            body_bytes = length.trim().parse().expect("a length");
        }
        header.clear();
    }
    let mut body = vec![0; body_bytes];
    reader.read_exact(&mut body).expect("a body");
    let target = request_line.split(' ').nth(1).expect("a target");
    Some(HttpRequest {
        target: target.to_string(),
        body,
    })
}

/// Writes a response with a body.
pub(crate) fn write_response(mut stream: &TcpStream, status: u16, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status} status\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    // A client that has what it needs closes the connection early.
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

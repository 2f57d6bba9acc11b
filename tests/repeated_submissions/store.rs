//! Stand-in of the state service over sockets that keeps what is written, compares preconditions and counts requests.

use crate::common::Store;
use crate::common::state_service::{HttpRequest, read_request, write_response};
use coppergw::wire::state::{
    Event, Item, Page, Revision, TRANSACTION_PATH, Transaction, WatchResponse,
};
use coppergw::wire::{decode, encode};
use serde::Serialize;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Time for which a watch without events is held.
const WATCH_HOLD: Duration = Duration::from_millis(20);

/// Contents and behaviour of the service.
#[derive(Default)]
pub(crate) struct ServiceState {
    pub(crate) store: Store,
    /// Status of every answer to a write; `None` if writes are carried out.
    pub(crate) write_status: Option<u16>,
    /// Status of every answer; `None` if the service is available.
    pub(crate) outage_status: Option<u16>,
    /// Whether a conflict names only the first of the keys whose preconditions failed.
    pub(crate) names_one_failed_key: bool,
    /// Number of requests other than watches that wait for events.
    pub(crate) requests: usize,
}

/// A stand-in of the state service on a port of its own.
#[derive(Clone)]
pub(crate) struct StateService {
    pub(crate) address: SocketAddr,
    state: Arc<Mutex<ServiceState>>,
}

impl StateService {
    /// Starts a service that answers until the test process ends.
    pub(crate) fn start(state: ServiceState) -> StateService {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let service = StateService {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(state)),
        };
        let accepting = service.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let service = accepting.clone();
                let stream = stream.expect("a connection");
                std::thread::spawn(move || service.serve_connection(&stream));
            }
        });
        service
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no panic")
    }

    fn serve_connection(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        while let Some(request) = read_request(&mut reader) {
            let is_watch = request.path() == "/watch";
            let answer = self.state().answer(&request);
            if is_watch && answer.body.is_empty() {
                std::thread::sleep(WATCH_HOLD);
            }
            write_response(stream, answer.status, &answer.body);
        }
    }
}

/// Status and body of an answer.
struct Answer {
    status: u16,
    body: Vec<u8>,
}

impl Answer {
    fn new<T: Serialize>(status: u16, body: &T) -> Answer {
        Answer {
            status,
            body: encode(body),
        }
    }
}

impl ServiceState {
    fn answer(&mut self, request: &HttpRequest) -> Answer {
        let path = request.path();
        let waits = request.parameter("hold_ms").is_some_and(|time| time != "0");
        self.requests += usize::from(!waits);
        if let Some(status) = self.outage_status {
            return Answer::new(status, &());
        }
        match path {
            "/watch" => {
                let after = request
                    .parameter("after")
                    .and_then(|after| after.parse().ok());
                self.events_after(after.expect("a revision"))
            }
            "/keys" => self.page(request.parameter("under").expect("a prefix")),
            TRANSACTION_PATH => self.transaction(&decode(&request.body).expect("a transaction")),
            _ => self.key(path.strip_prefix("/keys/").expect("a key")),
        }
    }

    fn revision(&self, failed: Vec<String>) -> Revision {
        Revision {
            revision: self.store.rev,
            failed,
        }
    }

    fn events_after(&self, after: u64) -> Answer {
        let log = self
            .store
            .log
            .iter()
            .filter(|(version, ..)| *version > after);
        let event = |(version, key, value): &(u64, String, Option<ciborium::Value>)| {
            let (key, version) = (key.clone(), *version);
            match value.clone() {
                Some(value) => Event::Put {
                    key,
                    value,
                    version,
                },
                None => Event::Delete { key, version },
            }
        };
        let events = WatchResponse {
            revision: self.store.rev,
            events: log.map(event).collect(),
        };
        Answer::new(200, &events)
    }

    fn page(&self, prefix: &str) -> Answer {
        let listed = self
            .store
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let items = listed.map(|(key, (value, version))| Item {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        let page = Page {
            items: items.collect(),
            more: false,
            revision: self.store.rev,
        };
        Answer::new(200, &page)
    }

    fn key(&self, key: &str) -> Answer {
        match self.store.keys.get(key) {
            Some((value, version)) => {
                let item = Item {
                    key: key.to_string(),
                    value: value.clone(),
                    version: *version,
                };
                Answer::new(200, &item)
            }
            None => Answer::new(404, &self.revision(Vec::new())),
        }
    }

    fn transaction(&mut self, transaction: &Transaction) -> Answer {
        if let Some(status) = self
            .write_status
            .filter(|_| !transaction.mutations.is_empty())
        {
            return Answer::new(status, &());
        }
        let version = |key: &String| self.store.keys.get(key).map_or(0, |entry| entry.1);
        let failing = transaction.preconditions.iter();
        let failing = failing.filter(|condition| version(&condition.key) != condition.version);
        let mut failed: Vec<String> = failing.map(|condition| condition.key.clone()).collect();
        if self.names_one_failed_key {
            failed.truncate(1);
        }
        if !failed.is_empty() {
            return Answer::new(409, &self.revision(failed));
        }
        if !transaction.mutations.is_empty() {
            self.store.apply(transaction);
        }
        Answer::new(200, &self.revision(Vec::new()))
    }
}

//! Unit tests of `wire/client.rs`.

use super::*;
use crate::time::SECOND;
use crate::wire::server::{Response, serve};
use async_executor::LocalExecutor;
use async_net::TcpListener;
use std::rc::Rc;

/// Calls more addresses than the connection limit allows. Guards against a pool that exceeds the controller's share
/// of the sockets in place of closing idle connections before it opens a new one.
#[test]
fn idle_connections_are_closed_at_the_connection_limit() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let client = Client::new(2);
        for _ in 0..5 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address");
            let answer = |_| async { Response::status(200) };
            executor
                .spawn(serve(executor.clone(), listener, Rc::default(), 9, answer))
                .detach();
            let response = client.call(address, Method::Get, "/", None, SECOND).await;
            assert_eq!(response.expect("answer").status, 200);
            assert!(
                client.idle_count.get() >= 1,
                "the connection is kept for the next call to its address"
            );
            assert!(client.idle_count.get() <= 2);
            assert_eq!(client.calls_in_progress(), 0);
        }
    }));
}

/// Guards against counting a lack of local file descriptors as an unreachable machine: two such errors declared a
/// machine dead together with all tasks on it.
#[test]
fn file_descriptor_exhaustion_differs_from_connection_errors() {
    let error_of = |code| connect_error(&std::io::Error::from_raw_os_error(code));
    assert!(matches!(error_of(24), WireError::NoFileDescriptors));
    assert!(matches!(error_of(23), WireError::NoFileDescriptors));
    assert!(matches!(error_of(111), WireError::Connection(_)));
}

/// Guards against log lines with the bytes of an encoded reason: operators search for the text.
#[test]
fn reason_of_an_error_response_is_its_text() {
    let reason_of = |body: Vec<u8>| ClientResponse { status: 400, body }.error_reason();
    let error = "value too large".to_string();
    let encoded = crate::wire::encode(&crate::wire::ErrorBody { error });
    assert_eq!(reason_of(encoded), "value too large");
    assert_eq!(reason_of(b"two\nlines".to_vec()), "two lines");
}

//! Tests of `wire/client.rs` that need its private parts.

use super::*;
use crate::time::SECOND;
use crate::wire::server::{Response, serve};
use async_executor::LocalExecutor;
use async_net::TcpListener;
use std::rc::Rc;

/// A controller that calls one machine after the other keeps to its share of the sockets: idle
/// connections are closed for those that it needs.
#[test]
fn idle_connections_make_way() {
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
                "the next call there needs no new one"
            );
            assert!(client.idle_count.get() <= 2);
            assert_eq!(client.used(), 0);
        }
    }));
}

/// That we have no socket left says nothing about a machine; taken for its silence, two of these
/// declared it dead with all that runs there.
#[test]
fn no_socket_is_told_from_no_answer() {
    let error_of = |code| connect_error(&std::io::Error::from_raw_os_error(code));
    assert!(matches!(error_of(24), WireError::Sockets));
    assert!(matches!(error_of(23), WireError::Sockets));
    assert!(matches!(error_of(111), WireError::Connection(_)));
}

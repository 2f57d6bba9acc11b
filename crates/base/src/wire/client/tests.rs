//! Tests of `wire/client.rs` that need its private parts.

use super::*;
use crate::time::SECOND;
use crate::wire::server::{Response, serve};
use async_executor::LocalExecutor;
use async_net::TcpListener;
use std::rc::Rc;

/// A controller that calls one machine after the other keeps to its part of the sockets: connections
/// that it keeps make way for those that it needs.
#[test]
fn idle_connections_make_way() {
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.run(async {
        let client = Client::new(2);
        for _ in 0..5 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let addr = listener.local_addr().expect("address");
            let answer = |_| async { Response::status(200) };
            ex.spawn(serve(ex.clone(), listener, Rc::default(), 9, answer))
                .detach();
            let a = client.call(addr, Method::Get, "/", None, SECOND).await;
            assert_eq!(a.expect("answer").status, 200);
            assert!(
                client.kept.get() >= 1,
                "the next call there needs no new one"
            );
            assert!(client.kept.get() <= 2);
            assert_eq!(client.used(), 0);
        }
    }));
}

/// That we have no socket left says nothing of a machine; taken for its silence, two of these gave it
/// up with all that runs there.
#[test]
fn no_socket_is_told_from_no_answer() {
    let e = |code| lack(&std::io::Error::from_raw_os_error(code));
    assert!(matches!(e(24), WireError::Sockets));
    assert!(matches!(e(23), WireError::Sockets));
    assert!(matches!(e(111), WireError::Connection(_)));
}

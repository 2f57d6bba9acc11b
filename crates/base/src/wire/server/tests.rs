//! Unit tests of `wire/server.rs`.

use super::*;
use crate::time::SECOND;
use crate::wire::client::Client;

/// Guards against a heartbeat that is refused because an earlier version placed too many tasks on its machine: its lease
/// would end. Everything else keeps the protocol's limit.
#[test]
fn only_heartbeats_may_exceed_the_size_limit_of_a_message() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let answer = |request: Request| async move {
            Response::status(if request.body.is_some() { 200 } else { 400 })
        };
        let server = serve(executor.clone(), listener, Rc::default(), 10, answer);
        executor.spawn(server).detach();
        let client = Client::new(10);
        let cases = [
            ("/api/jobs", MAX_BODY_BYTES, 200),
            ("/api/jobs", MAX_BODY_BYTES + 1, 400),
            (HEARTBEAT_PATH, MAX_BODY_BYTES + 1, 200),
            (HEARTBEAT_PATH, MAX_HEARTBEAT_BYTES, 200),
            (HEARTBEAT_PATH, MAX_HEARTBEAT_BYTES + 1, 400),
        ];
        for (path, bytes, status) in cases {
            let body = Some(vec![0; bytes]);
            let reply = client.call(address, Method::Post, path, body, 5 * SECOND);
            let reply = reply.await.map(|reply| reply.status);
            assert_eq!(reply.ok(), Some(status), "{path}, {bytes} bytes");
        }
    }));
}

/// Guards against a submission above the size limit whose job cannot be told any more: it may be a repeated one.
#[test]
fn start_of_a_body_above_the_size_limit_is_kept() {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let answer =
            |request: Request| async move { Response::with_body(200, &request.body_start.len()) };
        let server = serve(executor.clone(), listener, Rc::default(), 10, answer);
        executor.spawn(server).detach();
        let client = Client::new(10);
        for (bytes, kept) in [
            (MAX_BODY_BYTES, 0),
            (MAX_BODY_BYTES + 1, MAX_BODY_BYTES),
            (3 * MAX_BODY_BYTES, MAX_BODY_BYTES),
        ] {
            let body = Some(vec![0; bytes]);
            let reply = client.call(address, Method::Post, "/api/jobs", body, 5 * SECOND);
            let reply = reply.await.expect("a reply").ok::<usize>();
            assert_eq!(reply.expect("a length"), kept, "{bytes} bytes");
        }
    }));
}

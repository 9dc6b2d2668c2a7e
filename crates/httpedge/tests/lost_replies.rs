//! A call that may have arrived is never taken for one that was not sent.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use httpedge::client::{CallError, Caller};
use httpedge::server::{Limits, Response, serve};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// What a server does after it has read the request.
#[derive(Clone, Copy, Debug)]
enum Breaks {
    AtOnce,
    InTheHead,
    InTheBody,
}

async fn break_off(breaks: Breaks) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let text: &[u8] = match breaks {
                Breaks::AtOnce => b"",
                Breaks::InTheHead => b"HTTP/1.1 200 OK\r\ncontent-le",
                Breaks::InTheBody => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\"",
            };
            let _ = stream.write_all(text).await;
        }
    });
    addr
}

#[test]
fn a_connection_that_breaks_after_the_request_leaves_it_in_doubt() {
    actix_rt::System::new().block_on(async {
        for breaks in [Breaks::AtOnce, Breaks::InTheHead, Breaks::InTheBody] {
            let addr = break_off(breaks).await;
            let caller = Caller::new();
            let reply: Result<u64, CallError> = caller.post(addr, "/start", &1, 2_000).await;
            assert_eq!(reply, Err(CallError::ReplyLost(addr)), "{breaks:?}");
        }
    });
}

#[test]
fn a_pooled_connection_that_the_server_closed_leaves_the_request_in_doubt_or_makes_a_new_one() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        actix_rt::spawn(serve(listener, Limits::of_body(1_024), |request| async move {
            if request.path == "/broken" { Response::broken() } else { Response::json(200, &7) }
        }));
        let caller = Caller::new();
        let reply: Result<u64, CallError> = caller.post(addr, "/good", &1, 2_000).await;
        assert_eq!(reply, Ok(7));
        let reply: Result<u64, CallError> = caller.post(addr, "/broken", &1, 2_000).await;
        assert_eq!(reply, Err(CallError::ReplyLost(addr)));
    });
}

#[test]
fn a_refused_connection_is_known_not_to_have_arrived() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let reply: Result<u64, CallError> = Caller::new().post(addr, "/start", &1, 2_000).await;
        assert_eq!(reply, Err(CallError::NoConnection(addr)));
    });
}

//! A request that may have arrived must never be reported as not sent: the sender would start the
//! same task a second time.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use httpedge::client::{CallError, HttpClient};
use httpedge::server::{Limits, Response, serve};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// The point at which a server closes the connection after it has read the request.
#[derive(Clone, Copy, Debug)]
enum ClosePoint {
    BeforeHead,
    WithinHead,
    WithinBody,
}

async fn serve_truncated(close_at: ClosePoint) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = [0; 4_096];
            let _ = stream.read(&mut buffer).await;
            let text: &[u8] = match close_at {
                ClosePoint::BeforeHead => b"",
                ClosePoint::WithinHead => b"HTTP/1.1 200 OK\r\ncontent-le",
                ClosePoint::WithinBody => b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"a\"",
            };
            let _ = stream.write_all(text).await;
        }
    });
    addr
}

#[test]
fn a_connection_that_breaks_after_the_request_is_a_lost_reply() {
    actix_rt::System::new().block_on(async {
        for close_at in [ClosePoint::BeforeHead, ClosePoint::WithinHead, ClosePoint::WithinBody] {
            let addr = serve_truncated(close_at).await;
            let caller = HttpClient::new();
            let reply: Result<u64, CallError> = caller.post(addr, "/start", &1, 2_000).await;
            assert_eq!(reply, Err(CallError::ReplyLost(addr)), "{close_at:?}");
        }
    });
}

#[test]
fn a_truncated_response_on_a_pooled_connection_is_a_lost_reply() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        actix_rt::spawn(serve(listener, Limits::with_max_body(1_024), |request| async move {
            if request.path == "/broken" { Response::truncated() } else { Response::json(200, &7) }
        }));
        let caller = HttpClient::new();
        let reply: Result<u64, CallError> = caller.post(addr, "/good", &1, 2_000).await;
        assert_eq!(reply, Ok(7));
        let reply: Result<u64, CallError> = caller.post(addr, "/broken", &1, 2_000).await;
        assert_eq!(reply, Err(CallError::ReplyLost(addr)));
    });
}

#[test]
fn a_refused_connection_is_reported_as_refused() {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let reply: Result<u64, CallError> = HttpClient::new().post(addr, "/start", &1, 2_000).await;
        assert_eq!(reply, Err(CallError::ConnectionRefused(addr)));
    });
}

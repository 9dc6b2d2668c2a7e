//! The serving side: whole requests in, whole responses out, on the local thread.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::error::PayloadError;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, KeepAlive, Method, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;

const BROKEN_STATUS: u16 = 0;
const BROKEN_BYTES: u64 = 64;
const KEEP_ALIVE: Duration = Duration::from_secs(75);
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the server pauses after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An address could not be listened on.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("cannot listen on {addr} for {part}: {why}; free the address or change the settings")]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// What it was for.
    pub part: &'static str,
    /// What the system said.
    pub why: std::io::Error,
}

/// Listens on an address for a part of a daemon.
///
/// # Errors
/// Fails where the address cannot be used.
pub async fn listen(addr: SocketAddr, part: &'static str) -> Result<TcpListener, ListenError> {
    TcpListener::bind(addr).await.map_err(|why| ListenError { addr, part, why })
}

/// One whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
    /// The query without the question mark.
    pub query: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, or none where it was larger than allowed or cut off.
    pub body: Option<Bytes>,
}

impl Request {
    /// Gives a header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Gives a query parameter, taken as it stands.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Gives the path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// One whole response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'static str,
    /// Headers besides.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection is closed after it.
    pub closes: bool,
}

/// What a server allows its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// Whether the handler is dropped where its client closes the connection.
    pub drop_on_disconnect: bool,
}

impl Limits {
    /// Allows bodies up to a size, and lets the handler finish without its client.
    pub const fn of_body(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, drop_on_disconnect: false }
    }
}

impl Response {
    /// Builds a JSON response.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self { status, content_type: "application/json", headers: Vec::new(), body, closes: false }
    }

    /// Builds a plain text response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        let body = body.into().into_bytes();
        let content_type = "text/plain; charset=utf-8";
        Self { status, content_type, headers: Vec::new(), body, closes: false }
    }

    /// Builds a response whose body breaks off, as when a process dies while it answers.
    pub fn broken() -> Self {
        Self { status: BROKEN_STATUS, ..Self::text(200, "") }
    }

    /// Adds a header.
    pub fn with(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Serves a listener on the local thread until the returned future is dropped.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, handler: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_TIMEOUT)
        .h1_allow_half_closed(!limits.drop_on_disconnect)
        .h1(fn_service(move |request| answer(request, limits.max_body_bytes, handler.clone())));
    let Ok(service) = ServiceFactory::<(TcpStream, _)>::new_service(&factory, ()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    let _ = service.call((stream, Some(peer))).await;
                });
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn answer<F, Fut>(
    mut request: actix_http::Request,
    max_body_bytes: usize,
    handler: F,
) -> Result<actix_http::Response<BoxBody>, actix_http::Error>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let body = whole_body(&mut request, max_body_bytes).await;
    let whole = Request {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    Ok(render(handler(whole).await))
}

async fn whole_body(request: &mut actix_http::Request, most: usize) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let mut whole = true;
    while let Some(chunk) = payload.next().await {
        let chunk: Result<Bytes, PayloadError> = chunk;
        let Ok(chunk) = chunk else { return None };
        whole &= body.len() + chunk.len() <= most;
        if whole {
            body.extend_from_slice(&chunk);
        }
    }
    whole.then(|| body.freeze())
}

fn render(response: Response) -> actix_http::Response<BoxBody> {
    if response.status == BROKEN_STATUS {
        let cut = futures_util::stream::once(async { Err(PayloadError::Incomplete(None)) });
        let body = SizedStream::new(BROKEN_BYTES, cut);
        return actix_http::Response::with_body(StatusCode::OK, BoxBody::new(body));
    }
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    let mut builder = actix_http::Response::build(status);
    builder.insert_header(("content-type", response.content_type));
    for (name, value) in response.headers {
        let name = HeaderName::from_static(name);
        if let Ok(value) = HeaderValue::from_str(&value) {
            builder.insert_header((name, value));
        }
    }
    if response.closes {
        builder.force_close();
    }
    builder.body(response.body).map_into_boxed_body()
}

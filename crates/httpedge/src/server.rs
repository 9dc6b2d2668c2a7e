//! HTTP server on the local thread. Handlers get complete requests and return complete responses.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, SizedStream};
use actix_http::error::PayloadError;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, KeepAlive, Method, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;

/// Marks a response whose body is to be truncated.
const TRUNCATED_STATUS: u16 = 0;
const TRUNCATED_CONTENT_LENGTH: u64 = 64;
const KEEP_ALIVE: Duration = Duration::from_secs(75);
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binding a listener failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("cannot listen on {addr} for {part}: {why}; free the address or change the settings")]
pub struct ListenError {
    /// Address to listen on.
    pub addr: SocketAddr,
    /// Part of the daemon that the listener is for.
    pub part: &'static str,
    /// Error of the operating system.
    pub why: std::io::Error,
}

/// Binds a listener for a part of a daemon.
///
/// # Errors
/// Returns [`ListenError`] if the address cannot be bound.
pub async fn listen(addr: SocketAddr, part: &'static str) -> Result<TcpListener, ListenError> {
    TcpListener::bind(addr).await.map_err(|why| ListenError { addr, part, why })
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Query string without the question mark; empty if there is none.
    pub query: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Body, or `None` if it was truncated or larger than [`Limits::max_body_bytes`].
    pub body: Option<Bytes>,
}

impl Request {
    /// Returns the value of a header, if present and printable ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the value of a query parameter, without percent-decoding.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body of the response.
    pub body: Vec<u8>,
    /// Whether the connection is closed after the response.
    pub close_connection: bool,
}

/// Limits on what clients of a server may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Whether a request's handler is dropped when the client closes the connection.
    pub drop_on_disconnect: bool,
}

impl Limits {
    /// Limits the size of request bodies. Handlers finish even if their client disconnects.
    pub const fn with_max_body(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, drop_on_disconnect: false }
    }
}

impl Response {
    /// Builds a JSON response.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self {
            status,
            content_type: "application/json",
            headers: Vec::new(),
            body,
            close_connection: false,
        }
    }

    /// Builds a plain text response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        let body = body.into().into_bytes();
        let content_type = "text/plain; charset=utf-8";
        Self { status, content_type, headers: Vec::new(), body, close_connection: false }
    }

    /// Builds a response whose body is truncated, as when a process dies while it sends a response.
    pub fn truncated() -> Self {
        Self { status: TRUNCATED_STATUS, ..Self::text(200, "") }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
}

/// Connections that a server has accepted and can close.
#[derive(Debug, Default)]
pub struct Accepted {
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

impl Accepted {
    /// Closes all connections, as the end of the server's process does.
    pub fn close_all(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    fn add(&self, task: JoinHandle<()>) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }
}

/// Accepts and serves connections on the local thread until the returned future is dropped.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, handler: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    accept_each(listener, limits, handler, |_| {}).await;
}

/// Like [`serve`], with connections that can be closed.
pub async fn serve_closable<F, Fut>(
    listener: TcpListener,
    limits: Limits,
    accepted: Rc<Accepted>,
    handler: F,
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    accept_each(listener, limits, handler, |task| accepted.add(task)).await;
}

async fn accept_each<F, Fut>(
    listener: TcpListener,
    limits: Limits,
    handler: F,
    on_accept: impl Fn(JoinHandle<()>),
) where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .h1_allow_half_closed(!limits.drop_on_disconnect)
        .h1(fn_service(move |request| {
            handle_request(request, limits.max_body_bytes, handler.clone())
        }));
    let Ok(service) = ServiceFactory::<(TcpStream, _)>::new_service(&factory, ()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                on_accept(actix_rt::spawn(async move {
                    let _ = service.call((stream, Some(peer))).await;
                }));
            }
            Err(_) => actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn handle_request<F, Fut>(
    mut request: actix_http::Request,
    max_body_bytes: usize,
    handler: F,
) -> Result<actix_http::Response<BoxBody>, actix_http::Error>
where
    F: Fn(Request) -> Fut,
    Fut: Future<Output = Response>,
{
    let body = read_complete_body(&mut request, max_body_bytes).await;
    let request = Request {
        method: request.method().clone(),
        path: request.uri().path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    };
    Ok(to_http_response(handler(request).await))
}

async fn read_complete_body(request: &mut actix_http::Request, max_bytes: usize) -> Option<Bytes> {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    let mut within_limit = true;
    while let Some(chunk) = payload.next().await {
        let chunk: Result<Bytes, PayloadError> = chunk;
        let Ok(chunk) = chunk else { return None };
        within_limit &= body.len() + chunk.len() <= max_bytes;
        if within_limit {
            body.extend_from_slice(&chunk);
        }
    }
    within_limit.then(|| body.freeze())
}

fn to_http_response(response: Response) -> actix_http::Response<BoxBody> {
    if response.status == TRUNCATED_STATUS {
        let truncated = futures_util::stream::once(async { Err(PayloadError::Incomplete(None)) });
        let body = SizedStream::new(TRUNCATED_CONTENT_LENGTH, truncated);
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
    if response.close_connection {
        builder.force_close();
    }
    builder.body(response.body).map_into_boxed_body()
}

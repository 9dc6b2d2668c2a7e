//! HTTP client whose errors distinguish requests that were not sent from those that may have
//! arrived.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_CONNECTIONS: usize = 8_192;
pub(crate) const MAX_REPLY_BYTES: usize = 64 << 20;

/// The reason why a request got no usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("no connection to {0}; check that it runs and that the address is right")]
    NoConnection(SocketAddr),
    /// The address refused the connection: nothing listens there, and nothing was sent.
    #[error("no connection to {0}; check that it runs: the address refused the connection")]
    ConnectionRefused(SocketAddr),
    /// The request may have arrived, but its complete reply did not.
    #[error("got no complete reply from {0}; the request may have taken effect")]
    ReplyLost(SocketAddr),
    /// The server replied with an error status.
    #[error("{addr} replied with status {status}: {body}")]
    Status {
        /// Address of the server.
        addr: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Body of the reply, as text.
        body: String,
    },
    /// The body of the reply is not the expected JSON.
    #[error("cannot decode the reply from {0}; check that both sides run compatible versions")]
    Unreadable(SocketAddr),
}

/// Addresses to which no requests are sent, to simulate a network partition in tests.
pub type BlockedAddrs = Rc<RefCell<Vec<SocketAddr>>>;

/// An HTTP client with a connection pool for the local thread.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    blocked: BlockedAddrs,
}

impl std::fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HttpClient")
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with an empty connection pool.
    pub fn new() -> Self {
        Self::with_blocked_addrs(BlockedAddrs::default())
    }

    /// Creates a client whose requests to the given addresses fail with
    /// [`CallError::NoConnection`].
    pub fn with_blocked_addrs(blocked: BlockedAddrs) -> Self {
        let connector = Connector::new()
            .limit(MAX_CONNECTIONS)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_TIMEOUT)
            .conn_lifetime(Duration::from_hours(1));
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Self { client, blocked }
    }

    /// Sends a POST request with a JSON body and decodes the JSON reply, within `timeout_ms`.
    ///
    /// # Errors
    /// The variant of [`CallError`] says whether the request may have arrived.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<T, CallError> {
        self.check_reachable(addr)?;
        let request = self.client.post(format!("http://{addr}{path}"));
        let result = request.timeout(Duration::from_millis(timeout_ms)).send_json(body);
        read_reply(addr, result.await).await
    }

    /// Sends a GET request and decodes the JSON reply, within `timeout_ms`.
    ///
    /// # Errors
    /// Returns [`CallError`] if there is no complete reply in time, if its status is an error or if
    /// its body cannot be decoded.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<T, CallError> {
        self.check_reachable(addr)?;
        let request = self.client.get(format!("http://{addr}{path}"));
        let result = request.timeout(Duration::from_millis(timeout_ms)).send();
        read_reply(addr, result.await).await
    }

    fn check_reachable(&self, addr: SocketAddr) -> Result<(), CallError> {
        if self.blocked.borrow().contains(&addr) {
            return Err(CallError::NoConnection(addr));
        }
        Ok(())
    }

    /// Sends a request with arbitrary headers and body. Returns status and body of the reply,
    /// whatever the status is.
    ///
    /// # Errors
    /// Returns [`CallError::NoConnection`], [`CallError::ConnectionRefused`] or
    /// [`CallError::ReplyLost`] if there is no complete reply in time.
    pub async fn send_raw(&self, call: RawRequest<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = call.addr;
        let limit = Duration::from_millis(call.timeout_ms);
        let complete_reply = actix_rt::time::timeout(limit, self.exchange(call));
        complete_reply.await.unwrap_or(Err(CallError::ReplyLost(addr)))
    }

    async fn exchange(&self, call: RawRequest<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = call.addr;
        self.check_reachable(addr)?;
        let url = format!("http://{addr}{}", call.path);
        let method = call.method.parse().unwrap_or(actix_http::Method::GET);
        let mut request = self.client.request(method, url);
        for (name, value) in call.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let request = request.timeout(Duration::from_millis(call.timeout_ms));
        let mut reply = request.send_body(call.body).await.map_err(|e| call_error(addr, &e))?;
        let body = read_complete_body(addr, &mut reply).await?;
        Ok((reply.status().as_u16(), body.to_vec()))
    }
}

/// A request for `HttpClient::send_raw`.
#[derive(Clone, Debug)]
pub struct RawRequest<'a> {
    /// Address of the server.
    pub addr: SocketAddr,
    /// HTTP method, such as `POST`; an invalid one is sent as `GET`.
    pub method: &'a str,
    /// Path with the query string.
    pub path: &'a str,
    /// Names and values of the headers.
    pub headers: &'a [(&'static str, String)],
    /// Body of the request.
    pub body: Vec<u8>,
    /// Maximum time until the reply is complete, in milliseconds.
    pub timeout_ms: u64,
}

/// Reads a body and checks its length against `content-length`, because `awc` reports a truncated
/// body as complete.
async fn read_complete_body<S>(
    addr: SocketAddr,
    reply: &mut awc::ClientResponse<S>,
) -> Result<bytes::Bytes, CallError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let content_length = reply.headers().get("content-length");
    let content_length =
        content_length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = reply.body().limit(MAX_REPLY_BYTES).await;
    let body = body.map_err(|_| CallError::ReplyLost(addr))?;
    if content_length.is_some_and(|length| body.len() < length) {
        return Err(CallError::ReplyLost(addr));
    }
    Ok(body)
}

async fn read_reply<T, S>(
    addr: SocketAddr,
    result: Result<awc::ClientResponse<S>, SendRequestError>,
) -> Result<T, CallError>
where
    T: DeserializeOwned,
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut reply = result.map_err(|error| call_error(addr, &error))?;
    let body = read_complete_body(addr, &mut reply).await?;
    let status = reply.status();
    if !status.is_success() {
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(CallError::Status { addr, status: status.as_u16(), body });
    }
    serde_json::from_slice(&body).map_err(|_| CallError::Unreadable(addr))
}

/// Converts an error of `awc`. Only errors that occur before a connection is established prove that
/// the request was not sent: `awc` does not report when an established connection broke.
fn call_error(addr: SocketAddr, error: &SendRequestError) -> CallError {
    match error {
        SendRequestError::Url(_) => CallError::NoConnection(addr),
        SendRequestError::Connect(error) => connect_error(addr, error),
        _ => CallError::ReplyLost(addr),
    }
}

fn connect_error(addr: SocketAddr, error: &ConnectError) -> CallError {
    match error {
        ConnectError::Timeout | ConnectError::Unresolved | ConnectError::NoRecords => {
            CallError::NoConnection(addr)
        }
        ConnectError::Io(error) => match error.kind() {
            ErrorKind::ConnectionRefused => CallError::ConnectionRefused(addr),
            ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::AddrNotAvailable => CallError::NoConnection(addr),
            _ => CallError::ReplyLost(addr),
        },
        _ => CallError::ReplyLost(addr),
    }
}

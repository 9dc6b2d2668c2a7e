//! The calling side, with errors that tell whether the request can have arrived.

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
const IDLE_CONNECTION: Duration = Duration::from_secs(30);
const MOST_CONNECTIONS: usize = 8_192;
const LARGEST_REPLY_BYTES: usize = 64 << 20;

/// Why a call brought no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    #[error("no connection to {0}; check that it runs and that the address is right")]
    NoConnection(SocketAddr),
    /// The request may have arrived; its reply did not.
    #[error("no whole reply from {0}; the request may have taken effect")]
    ReplyLost(SocketAddr),
    /// The other side answered with an error status.
    #[error("{addr} answered {status}: {body}")]
    Status {
        /// The other side.
        addr: SocketAddr,
        /// Its status.
        status: u16,
        /// Its words.
        body: String,
    },
    /// The reply is not what was expected.
    #[error("{0} gave a reply that cannot be read; check the versions on both sides")]
    Unreadable(SocketAddr),
}

/// Addresses that are cut off for a failure test.
pub type Cuts = Rc<RefCell<Vec<SocketAddr>>>;

/// A pool of connections for the local thread.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    cuts: Cuts,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Caller")
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Builds a pool.
    pub fn new() -> Self {
        Self::with_cuts(Cuts::default())
    }

    /// Builds a pool that makes no calls to the given addresses.
    pub fn with_cuts(cuts: Cuts) -> Self {
        let connector = Connector::new()
            .limit(MOST_CONNECTIONS)
            .timeout(CONNECT_TIMEOUT)
            .conn_keep_alive(IDLE_CONNECTION)
            .conn_lifetime(Duration::from_hours(1));
        let client = Client::builder().connector(connector).disable_redirects().finish();
        Self { client, cuts }
    }

    /// Posts JSON and reads JSON, within `timeout_ms`.
    ///
    /// # Errors
    /// Fails with the kind that tells whether the request can have arrived.
    pub async fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<T, CallError> {
        self.check(addr)?;
        let request = self.client.post(format!("http://{addr}{path}"));
        let sent = request.timeout(Duration::from_millis(timeout_ms)).send_json(body);
        read_reply(addr, sent.await).await
    }

    /// Gets JSON, within `timeout_ms`.
    ///
    /// # Errors
    /// Fails with the kind that tells what went wrong.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        timeout_ms: u64,
    ) -> Result<T, CallError> {
        self.check(addr)?;
        let request = self.client.get(format!("http://{addr}{path}"));
        let sent = request.timeout(Duration::from_millis(timeout_ms)).send();
        read_reply(addr, sent.await).await
    }

    fn check(&self, addr: SocketAddr) -> Result<(), CallError> {
        if self.cuts.borrow().contains(&addr) {
            return Err(CallError::NoConnection(addr));
        }
        Ok(())
    }

    /// Sends a request as a caller would and gives status and body as they come.
    ///
    /// # Errors
    /// Fails where no whole reply came in time.
    pub async fn raw(&self, call: RawCall<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = call.addr;
        let limit = Duration::from_millis(call.timeout_ms);
        let whole = actix_rt::time::timeout(limit, self.exchange(call));
        whole.await.unwrap_or(Err(CallError::ReplyLost(addr)))
    }

    async fn exchange(&self, call: RawCall<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = call.addr;
        self.check(addr)?;
        let url = format!("http://{addr}{}", call.path);
        let method = call.method.parse().unwrap_or(actix_http::Method::GET);
        let mut request = self.client.request(method, url);
        for (name, value) in call.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let request = request.timeout(Duration::from_millis(call.timeout_ms));
        let mut reply = request.send_body(call.body).await.map_err(|e| lost(addr, &e))?;
        let body = whole_body(addr, &mut reply).await?;
        Ok((reply.status().as_u16(), body.to_vec()))
    }
}

/// A request as a caller would send it.
#[derive(Clone, Debug)]
pub struct RawCall<'a> {
    /// Where to.
    pub addr: SocketAddr,
    /// The method's name.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'static str, String)],
    /// The body.
    pub body: Vec<u8>,
    /// The longest wait for the whole reply, in milliseconds.
    pub timeout_ms: u64,
}

/// Reads a body and checks it against the announced length: `awc` takes a cut-off body for whole.
async fn whole_body<S>(
    addr: SocketAddr,
    reply: &mut awc::ClientResponse<S>,
) -> Result<bytes::Bytes, CallError>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let announced = reply.headers().get("content-length");
    let announced = announced.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = reply.body().limit(LARGEST_REPLY_BYTES).await;
    let body = body.map_err(|_| CallError::ReplyLost(addr))?;
    if announced.is_some_and(|length| body.len() < length) {
        return Err(CallError::ReplyLost(addr));
    }
    Ok(body)
}

async fn read_reply<T, S>(
    addr: SocketAddr,
    sent: Result<awc::ClientResponse<S>, SendRequestError>,
) -> Result<T, CallError>
where
    T: DeserializeOwned,
    S: futures_util::Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut reply = sent.map_err(|error| lost(addr, &error))?;
    let body = whole_body(addr, &mut reply).await?;
    let status = reply.status();
    if !status.is_success() {
        let body = String::from_utf8_lossy(&body).into_owned();
        return Err(CallError::Status { addr, status: status.as_u16(), body });
    }
    serde_json::from_slice(&body).map_err(|_| CallError::Unreadable(addr))
}

/// Tells whether the request can have arrived. Only what is known to have failed before a
/// connection stood counts as not sent: a connection that breaks later looks alike to `awc`.
fn lost(addr: SocketAddr, error: &SendRequestError) -> CallError {
    let not_sent = match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => never_connected(error),
        _ => false,
    };
    if not_sent { CallError::NoConnection(addr) } else { CallError::ReplyLost(addr) }
}

fn never_connected(error: &ConnectError) -> bool {
    match error {
        ConnectError::Timeout | ConnectError::Unresolved | ConnectError::NoRecords => true,
        ConnectError::Io(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

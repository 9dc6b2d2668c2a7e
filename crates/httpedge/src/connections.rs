//! Connections that their users can tell apart by the process at the other end.
//!
//! The next process at an address may accept a connection that is opened for the one before, but no
//! connection outlives the process that has accepted it. A request that only one process may receive
//! therefore goes over a connection that this process is known to have accepted.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;

use crate::client::{CallError, MAX_REPLY_BYTES, RawRequest};

/// How long a connection stays open without requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which closed and idle connections to all addresses are dropped.
const PURGE_INTERVAL: Duration = Duration::from_secs(5);

/// Open connections of the local thread that no request uses.
#[derive(Clone)]
pub struct Connections {
    shared: Rc<Shared>,
}

struct Shared {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    purged_at: Cell<Instant>,
}

struct Idle {
    channel: Channel,
    process: Option<u64>,
    since: Instant,
}

struct Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl std::fmt::Debug for Connections {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Connections")
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self::new()
    }
}

impl Connections {
    /// Creates a set without connections.
    pub fn new() -> Self {
        let purged_at = Cell::new(Instant::now());
        Self { shared: Rc::new(Shared { idle: RefCell::default(), purged_at }) }
    }

    /// Returns an idle connection to the address: one to `process` if there is one, otherwise one whose
    /// process is not known. Opens one within `timeout_ms` if there is neither. Without a `process` any
    /// connection will do, preferably one whose process is not known, so that a reply can tell it.
    ///
    /// # Errors
    /// Returns [`CallError::ConnectionRefused`] or [`CallError::NoConnection`].
    pub async fn get(
        &self,
        addr: SocketAddr,
        process: Option<u64>,
        timeout_ms: u64,
    ) -> Result<Connection, CallError> {
        while let Some(mut idle) = self.take_idle(addr, process) {
            if idle.channel.sender.ready().await.is_ok() {
                return Ok(self.connection(addr, idle.channel, idle.process));
            }
        }
        let limit = Duration::from_millis(timeout_ms);
        let opened = actix_rt::time::timeout(limit, open(addr)).await;
        let channel = opened.unwrap_or(Err(CallError::NoConnection(addr)))?;
        Ok(self.connection(addr, channel, None))
    }

    fn connection(&self, addr: SocketAddr, channel: Channel, process: Option<u64>) -> Connection {
        Connection { owner: self.clone(), addr, channel: Some(channel), process }
    }

    fn take_idle(&self, addr: SocketAddr, process: Option<u64>) -> Option<Idle> {
        self.purge();
        let mut idle = self.shared.idle.borrow_mut();
        let idle = idle.get_mut(&addr)?;
        idle.retain(Idle::is_open);
        let position = |wanted| idle.iter().rposition(|idle| idle.process == wanted);
        let known = process.and_then(|_| position(process));
        let any = || if process.is_none() { idle.len().checked_sub(1) } else { None };
        let index = known.or_else(|| position(None)).or_else(any)?;
        Some(idle.remove(index))
    }

    fn purge(&self) {
        if self.shared.purged_at.get().elapsed() < PURGE_INTERVAL {
            return;
        }
        self.shared.purged_at.set(Instant::now());
        self.shared.idle.borrow_mut().retain(|_, idle| {
            idle.retain(Idle::is_open);
            !idle.is_empty()
        });
    }
}

impl Idle {
    fn is_open(&self) -> bool {
        !self.channel.sender.is_closed() && self.since.elapsed() < IDLE_TIMEOUT
    }
}

async fn open(addr: SocketAddr) -> Result<Channel, CallError> {
    let stream = TcpStream::connect(addr).await.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => CallError::ConnectionRefused(addr),
        _ => CallError::NoConnection(addr),
    })?;
    let _ = stream.set_nodelay(true);
    let opened = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = opened.map_err(|_| CallError::NoConnection(addr))?;
    let driver = actix_rt::spawn(async move {
        let _ = connection.await;
    });
    Ok(Channel { sender, driver })
}

/// A connection for one request at a time. It is kept for further requests when it is dropped, unless
/// the last one got no complete reply.
pub struct Connection {
    owner: Connections,
    addr: SocketAddr,
    channel: Option<Channel>,
    process: Option<u64>,
}

impl std::fmt::Debug for Connection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Connection").field("addr", &self.addr).finish_non_exhaustive()
    }
}

impl Connection {
    /// Returns the process that has accepted the connection, by its start time in Unix milliseconds;
    /// `None` if it is not known.
    pub const fn process(&self) -> Option<u64> {
        self.process
    }

    /// Records which process has replied on this connection, by its start time in Unix milliseconds.
    pub const fn set_process(&mut self, process: u64) {
        self.process = Some(process);
    }

    /// Sends a request over this connection. Returns status and body of the reply, whatever the status
    /// is.
    ///
    /// # Errors
    /// Returns [`CallError::NoConnection`] if the request was not sent, and otherwise
    /// [`CallError::ReplyLost`] if there is no complete reply in time.
    pub async fn send(&mut self, call: RawRequest<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = self.addr;
        let mut channel = self.channel.take().ok_or(CallError::NoConnection(addr))?;
        let limit = Duration::from_millis(call.timeout_ms);
        let reply = actix_rt::time::timeout(limit, channel.exchange(call)).await;
        let reply = reply.unwrap_or(Err(CallError::ReplyLost(addr)))?;
        self.channel = Some(channel);
        Ok(reply)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let Some(channel) = self.channel.take() else { return };
        let idle = Idle { channel, process: self.process, since: Instant::now() };
        self.owner.shared.idle.borrow_mut().entry(self.addr).or_default().push(idle);
    }
}

impl Channel {
    async fn exchange(&mut self, call: RawRequest<'_>) -> Result<(u16, Vec<u8>), CallError> {
        let addr = call.addr;
        let mut request = hyper::Request::builder().method(call.method).uri(call.path);
        request = request.header("host", addr.to_string());
        for (name, value) in call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(call.body)));
        let request = request.map_err(|_| CallError::NoConnection(addr))?;
        let reply = self.sender.try_send_request(request).await;
        let reply = reply.map_err(|mut error| match error.take_message() {
            Some(_) => CallError::NoConnection(addr),
            None => CallError::ReplyLost(addr),
        })?;
        let status = reply.status().as_u16();
        let body = Limited::new(reply.into_body(), MAX_REPLY_BYTES).collect().await;
        let body = body.map_err(|_| CallError::ReplyLost(addr))?;
        Ok((status, body.to_bytes().to_vec()))
    }
}

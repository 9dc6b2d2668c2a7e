//! TCP connections (links) between daemons, opened on first use.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use bytes::Bytes;
use dispatch::ticket::{Incarnation, Keyring};
use futures_util::future::{LocalBoxFuture, select};
use futures_util::{SinkExt as _, StreamExt as _};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::io::process_ready_io;
use crate::wire::{Body, Frame, KEEPALIVE_PING, Protocol, UNNUMBERED_PING};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Capacity of a connection's send queue. While a slow peer keeps it full, requests fail at once
/// and replies wait for space.
const MAX_QUEUED_FRAMES: usize = 4_096;
const MAX_FRAME_BYTES: usize = 64 << 20;

/// The reason why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// No connection could be opened or its send queue is full, so nothing was sent.
    #[error("no connection to the daemon at {0}; check that it runs")]
    NoConnection(SocketAddr),
    /// The request may have arrived, but its reply did not.
    #[error("lost the connection to {0} or got no reply in time; retry the request")]
    ReplyLost(SocketAddr),
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Number of the connection on which the request arrived, unique within this process.
    pub connection: u64,
    /// When the sender was last known to wait before this request arrived on the same connection, by the
    /// clock of the [`ContactObserver`]; `None` if that is not known. The request was sent after that.
    pub contact_ms: Option<u64>,
}

/// Follows how recently the senders of requests were known to wait for their replies.
pub trait ContactObserver {
    /// Returns the current time in milliseconds, by which pings are numbered. It is neither
    /// [`UNNUMBERED_PING`] nor [`KEEPALIVE_PING`].
    fn now_ms(&self) -> u64;

    /// Records that the sender of the requests on a connection was known to wait for their replies at
    /// `at_ms`. Cancellations that it sent before that have been handled.
    fn record_contact(&self, connection: u64, at_ms: u64);
}

/// Handles the requests of other daemons. Returns `None` for a request that needs no reply.
pub type Handler<P> = Rc<
    dyn Fn(
        Requester,
        <P as Protocol>::Request,
    ) -> LocalBoxFuture<'static, Option<<P as Protocol>::Reply>>,
>;

type PendingReplies<P> = Rc<RefCell<HashMap<u64, oneshot::Sender<<P as Protocol>::Reply>>>>;
type ProtocolFrame<P> = Frame<<P as Protocol>::Request, <P as Protocol>::Reply>;

struct Link<P: Protocol> {
    frames: mpsc::Sender<ProtocolFrame<P>>,
    pending: PendingReplies<P>,
}

/// Removes a request's reply channel when its caller stops waiting.
struct PendingReplyGuard<P: Protocol> {
    pending: PendingReplies<P>,
    id: u64,
}

impl<P: Protocol> Drop for PendingReplyGuard<P> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.id);
    }
}

/// Counters of a daemon's traffic with other daemons.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Messages sent.
    pub sent: Cell<u64>,
    /// Messages received.
    pub received: Cell<u64>,
    /// Bytes sent.
    pub sent_bytes: Cell<u64>,
    /// Bytes received.
    pub received_bytes: Cell<u64>,
    /// Messages dropped because they failed authentication, could not be decoded, or were ignored
    /// as outdated.
    pub dropped: Cell<u64>,
}

impl Traffic {
    /// Records a sent message of the given size.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + 1);
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }

    /// Records a received message of the given size.
    pub fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + 1);
        self.received_bytes.set(self.received_bytes.get() + bytes as u64);
    }

    /// Records a dropped message.
    pub fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }
}

/// Addresses with which no traffic is exchanged, to simulate a network partition in tests.
pub type BlockedAddrs = Rc<RefCell<Vec<SocketAddr>>>;

/// A daemon's connections to other daemons, by address.
pub struct Links<P: Protocol> {
    local: Incarnation,
    keys: Rc<Keyring>,
    connections: Rc<RefCell<HashMap<SocketAddr, Link<P>>>>,
    next_id: Rc<Cell<u64>>,
    last_connection: Rc<Cell<u64>>,
    traffic: Rc<Traffic>,
    blocked: BlockedAddrs,
}

impl<P: Protocol> Clone for Links<P> {
    fn clone(&self) -> Self {
        Self {
            local: self.local,
            keys: Rc::clone(&self.keys),
            connections: Rc::clone(&self.connections),
            next_id: Rc::clone(&self.next_id),
            last_connection: Rc::clone(&self.last_connection),
            traffic: Rc::clone(&self.traffic),
            blocked: Rc::clone(&self.blocked),
        }
    }
}

impl<P: Protocol> std::fmt::Debug for Links<P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Links({})", self.connections.borrow().len())
    }
}

impl<P: Protocol> Links<P> {
    /// Creates an empty set of connections for the daemon with the incarnation
    /// `local`.
    pub fn new(
        local: Incarnation,
        keys: Rc<Keyring>,
        traffic: Rc<Traffic>,
        blocked: BlockedAddrs,
    ) -> Self {
        let connections = Rc::default();
        let next_id = Rc::new(Cell::new(1));
        let last_connection = Rc::default();
        Self { local, keys, connections, next_id, last_connection, traffic, blocked }
    }

    /// Sends a request to the daemon at `addr` and waits up to `wait_ms` for its reply.
    ///
    /// # Errors
    /// The variant of [`LinkError`] says whether the request may have arrived.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: P::Request,
        wait_ms: u64,
    ) -> Result<P::Reply, LinkError> {
        self.connect(addr).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        let _guard = {
            let connections = self.connections.borrow();
            let link = connections.get(&addr).ok_or(LinkError::NoConnection(addr))?;
            let frame = Frame { from: self.local, id, body: Body::Request(request) };
            link.frames.try_send(frame).map_err(|_| LinkError::NoConnection(addr))?;
            link.pending.borrow_mut().insert(id, sender);
            PendingReplyGuard::<P> { pending: Rc::clone(&link.pending), id }
        };
        let reply = actix_rt::time::timeout(Duration::from_millis(wait_ms), receiver).await;
        match reply {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(LinkError::ReplyLost(addr)),
        }
    }

    /// Sends a request that needs no reply to the daemon at `addr`.
    ///
    /// # Errors
    /// Returns [`LinkError::NoConnection`] if no connection can be opened or its send queue is full.
    pub async fn notify(&self, addr: SocketAddr, request: P::Request) -> Result<(), LinkError> {
        self.connect(addr).await?;
        let connections = self.connections.borrow();
        let link = connections.get(&addr).ok_or(LinkError::NoConnection(addr))?;
        let frame = Frame { from: self.local, id: 0, body: Body::Request(request) };
        link.frames.try_send(frame).map_err(|_| LinkError::NoConnection(addr))
    }

    /// Closes the connections to the given addresses.
    pub fn close(&self, addrs: &[SocketAddr]) {
        self.connections.borrow_mut().retain(|addr, _| !addrs.contains(addr));
    }

    /// Accepts connections from other daemons until the returned future is dropped.
    pub async fn serve(
        self,
        listener: TcpListener,
        handler: Handler<P>,
        contacts: Option<Rc<dyn ContactObserver>>,
    ) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let links = self.clone();
            let (handler, contacts) = (Rc::clone(&handler), contacts.clone());
            actix_rt::spawn(async move { links.serve_stream(stream, handler, contacts).await });
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<(), LinkError> {
        if self.blocked.borrow().contains(&addr) {
            return Err(LinkError::NoConnection(addr));
        }
        let usable =
            self.connections.borrow().get(&addr).is_some_and(|link| !link.frames.is_closed());
        if usable {
            return Ok(());
        }
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(LinkError::NoConnection(addr));
        };
        let _ = stream.set_nodelay(true);
        let (frames, outgoing) = mpsc::channel(MAX_QUEUED_FRAMES);
        let pending = PendingReplies::<P>::default();
        let echoes = frames.downgrade();
        let link = Link { frames, pending: Rc::clone(&pending) };
        let mut connections = self.connections.borrow_mut();
        if connections.get(&addr).is_some_and(|link| !link.frames.is_closed()) {
            return Ok(());
        }
        connections.insert(addr, link);
        let links = self.clone();
        actix_rt::spawn(async move {
            links.drive_connection(addr, stream, (outgoing, echoes), pending).await;
        });
        Ok(())
    }

    /// Sends requests and receives replies on an outgoing connection until it closes. Pending
    /// requests then fail with [`LinkError::ReplyLost`].
    async fn drive_connection(
        &self,
        addr: SocketAddr,
        stream: TcpStream,
        (mut outgoing, echoes): OutgoingFrames<P>,
        pending: PendingReplies<P>,
    ) {
        let (mut sink, mut source) = framed(stream).split();
        let unanswered_pings = Cell::new(0_u64);
        let reader = async {
            while let Some(Ok(bytes)) = source.next().await {
                unanswered_pings.set(0);
                let Some(frame) = self.open_frame(&bytes) else {
                    break;
                };
                match frame.body {
                    Body::Reply(reply) => {
                        if let Some(sender) = pending.borrow_mut().remove(&frame.id) {
                            let _ = sender.send(reply);
                        }
                    }
                    Body::Ping if is_numbered(frame.id) => {
                        let echo = Frame { from: self.local, id: frame.id, body: Body::Ping };
                        actix_rt::spawn(echo_if_waiting::<P>(
                            echo,
                            echoes.clone(),
                            Rc::clone(&pending),
                        ));
                    }
                    Body::Ping | Body::Request(_) => {}
                }
            }
        };
        let writer = async {
            loop {
                let frame = match self.next_frame(&mut outgoing, &pending, &unanswered_pings).await
                {
                    NextFrame::Frame(frame) => frame,
                    NextFrame::Idle => continue,
                    NextFrame::Closed => break,
                };
                if sink.send(self.seal_frame(&frame)).await.is_err() {
                    break;
                }
            }
        };
        select(std::pin::pin!(reader), std::pin::pin!(writer)).await;
        drop(outgoing);
        pending.borrow_mut().clear();
        log::debug!("peers: closed the connection to {addr}");
    }

    /// Waits for the next frame to send. If replies are pending and nothing is sent for a third of
    /// the silence limit, sends a ping; closes the connection after three unanswered pings.
    async fn next_frame(
        &self,
        outgoing: &mut mpsc::Receiver<ProtocolFrame<P>>,
        pending: &PendingReplies<P>,
        unanswered_pings: &Cell<u64>,
    ) -> NextFrame<P> {
        if P::SILENCE_LIMIT_MS == 0 {
            return outgoing.recv().await.map_or(NextFrame::Closed, NextFrame::Frame);
        }
        let ping_interval = Duration::from_millis(P::SILENCE_LIMIT_MS / PINGS_PER_LIMIT);
        match actix_rt::time::timeout(ping_interval, outgoing.recv()).await {
            Ok(frame) => frame.map_or(NextFrame::Closed, NextFrame::Frame),
            Err(_) if pending.borrow().is_empty() => {
                unanswered_pings.set(0);
                NextFrame::Idle
            }
            Err(_) if unanswered_pings.get() >= PINGS_PER_LIMIT => NextFrame::Closed,
            Err(_) => {
                unanswered_pings.set(unanswered_pings.get() + 1);
                NextFrame::Frame(Frame { from: self.local, id: KEEPALIVE_PING, body: Body::Ping })
            }
        }
    }

    /// Handles the requests on an incoming connection until it closes.
    async fn serve_stream(
        &self,
        stream: TcpStream,
        handler: Handler<P>,
        contacts: Option<Rc<dyn ContactObserver>>,
    ) {
        let connection = self.last_connection.get() + 1;
        self.last_connection.set(connection);
        let _ = stream.set_nodelay(true);
        let (mut sink, mut source) = framed(stream).split();
        let (replies, mut outgoing) = mpsc::channel::<ProtocolFrame<P>>(MAX_QUEUED_FRAMES);
        let in_flight = InFlightRequests::<P>::default();
        let has_requests = Notify::new();
        let contact_ms = Cell::new(None);
        let reader = async {
            while let Some(Ok(bytes)) = next_before_silence_limit(&mut source, &in_flight).await {
                let Some(frame) = self.open_frame(&bytes) else {
                    break;
                };
                let (from, id) = (self.local, frame.id);
                let request = match frame.body {
                    Body::Request(request) => request,
                    Body::Ping => {
                        if !is_numbered(id) {
                            let _ = replies.try_send(Frame { from, id, body: Body::Ping });
                        }
                        if let Some(contacts) = contacts.clone().filter(|_| id != KEEPALIVE_PING) {
                            let time_of = move |now_ms: u64| {
                                if is_numbered(id) { id.min(now_ms) } else { now_ms }
                            };
                            contact_ms.set(Some(time_of(contacts.now_ms())));
                            // Runs after the handlers of the frames before this one.
                            in_flight.spawn(async move {
                                contacts.record_contact(connection, time_of(contacts.now_ms()));
                            });
                        }
                        continue;
                    }
                    Body::Reply(_) => break,
                };
                let requester =
                    Requester { incarnation: frame.from, connection, contact_ms: contact_ms.get() };
                let reply = handler(requester, request);
                has_requests.notify_one();
                let replies = replies.clone();
                in_flight.spawn(async move {
                    let Some(reply) = reply.await else { return };
                    let _ = replies.send(Frame { from, id, body: Body::Reply(reply) }).await;
                });
            }
        };
        let writer = async {
            while let Some(frame) = outgoing.recv().await {
                if sink.send(self.seal_frame(&frame)).await.is_err() {
                    break;
                }
            }
        };
        let pinger = self.send_pings(
            &replies,
            &in_flight,
            (&has_requests, &contact_ms),
            contacts.as_deref(),
        );
        let (reader, writer) = (std::pin::pin!(reader), std::pin::pin!(writer));
        select(select(reader, writer), std::pin::pin!(pinger)).await;
    }

    /// Pings the sender of the requests of a connection while any are in progress. The pings carry the
    /// time by the observer's clock. Never returns.
    async fn send_pings(
        &self,
        replies: &mpsc::Sender<ProtocolFrame<P>>,
        in_flight: &InFlightRequests<P>,
        (has_requests, contact_ms): (&Notify, &Cell<Option<u64>>),
        contacts: Option<&dyn ContactObserver>,
    ) {
        let Some(contacts) = contacts.filter(|_| P::CONTACT_INTERVAL_MS > 0) else {
            return std::future::pending().await;
        };
        loop {
            has_requests.notified().await;
            let is_recent =
                |at_ms| contacts.now_ms().saturating_sub(at_ms) < P::CONTACT_INTERVAL_MS;
            if contact_ms.get().is_some_and(is_recent) {
                actix_rt::time::sleep(Duration::from_millis(P::FIRST_PING_DELAY_MS)).await;
            }
            while in_flight.any_unfinished() {
                let id = contacts.now_ms();
                let _ = replies.try_send(Frame { from: self.local, id, body: Body::Ping });
                actix_rt::time::sleep(Duration::from_millis(P::CONTACT_INTERVAL_MS)).await;
            }
        }
    }

    fn seal_frame(&self, frame: &ProtocolFrame<P>) -> Bytes {
        let sealed = self.keys.seal(postcard::to_allocvec(frame).unwrap_or_default());
        self.traffic.count_sent(sealed.len());
        sealed.into()
    }

    fn open_frame(&self, bytes: &[u8]) -> Option<ProtocolFrame<P>> {
        self.traffic.count_received(bytes.len());
        let content = self.keys.open(bytes).ok();
        let frame = content.and_then(|content| postcard::from_bytes(content).ok());
        if frame.is_none() {
            self.traffic.count_dropped();
        }
        frame
    }
}

/// Number of unanswered pings after which a connection counts as broken. Pings are sent at
/// `Protocol::SILENCE_LIMIT_MS` divided by this number.
const PINGS_PER_LIMIT: u64 = 3;

/// Whether a ping carries the time of the receiver of requests.
const fn is_numbered(id: u64) -> bool {
    id != UNNUMBERED_PING && id != KEEPALIVE_PING
}

/// Frames to be sent on an outgoing connection, and the means to add echoes that keep it open no longer
/// than its users do.
type OutgoingFrames<P> = (mpsc::Receiver<ProtocolFrame<P>>, mpsc::WeakSender<ProtocolFrame<P>>);

/// Answers a ping of the receiver of requests, if replies are still awaited after the pending I/O is
/// processed: a requester that has gone, or a request that was cancelled, is not vouched for.
async fn echo_if_waiting<P: Protocol>(
    echo: ProtocolFrame<P>,
    frames: mpsc::WeakSender<ProtocolFrame<P>>,
    pending: PendingReplies<P>,
) {
    process_ready_io().await;
    if pending.borrow().is_empty() {
        return;
    }
    if let Some(frames) = frames.upgrade() {
        let _ = frames.try_send(echo);
    }
}

enum NextFrame<P: Protocol> {
    Frame(ProtocolFrame<P>),
    Idle,
    Closed,
}

/// Requests of an incoming connection that are in progress. Dropping this aborts them if the
/// protocol ends requests with their connection.
struct InFlightRequests<P: Protocol> {
    tasks: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
    protocol: std::marker::PhantomData<P>,
}

impl<P: Protocol> Default for InFlightRequests<P> {
    fn default() -> Self {
        Self { tasks: RefCell::default(), protocol: std::marker::PhantomData }
    }
}

impl<P: Protocol> InFlightRequests<P> {
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let task = actix_rt::spawn(task);
        if P::REQUESTS_END_WITH_LINK {
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task);
        }
    }
}

impl<P: Protocol> InFlightRequests<P> {
    fn any_unfinished(&self) -> bool {
        self.tasks.borrow().iter().any(|task| !task.is_finished())
    }
}

impl<P: Protocol> Drop for InFlightRequests<P> {
    fn drop(&mut self) {
        for task in self.tasks.get_mut() {
            task.abort();
        }
    }
}

/// Waits for the next frame. Returns `None` if the connection closes, or if the peer sends nothing
/// within the silence limit while it waits for replies.
async fn next_before_silence_limit<P: Protocol, S: futures_util::Stream + Unpin>(
    source: &mut S,
    in_flight: &InFlightRequests<P>,
) -> Option<S::Item> {
    if P::SILENCE_LIMIT_MS == 0 {
        return source.next().await;
    }
    let limit = Duration::from_millis(P::SILENCE_LIMIT_MS);
    loop {
        match actix_rt::time::timeout(limit, source.next()).await {
            Ok(item) => return item,
            Err(_) if in_flight.any_unfinished() => return None,
            Err(_) => {}
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

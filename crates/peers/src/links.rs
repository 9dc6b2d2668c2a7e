//! Links between daemons over TCP, made when they are first needed.

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
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::wire::{Ask, Body, Frame, Tell};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Frames that wait for a slow peer; past it nothing more is sent.
const MOST_QUEUED_FRAMES: usize = 4_096;
const LARGEST_FRAME_BYTES: usize = 64 << 20;

/// Why a question brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// No connection was made, so nothing was sent.
    #[error("no connection to the daemon at {0}; check that it runs")]
    NoConnection(SocketAddr),
    /// The question may have arrived; its reply did not.
    #[error("the link to {0} broke or was too slow; ask again")]
    ReplyLost(SocketAddr),
}

/// Answers the questions of other daemons; none where no reply is wanted.
pub type Handler = Rc<dyn Fn(Incarnation, Ask) -> LocalBoxFuture<'static, Option<Tell>>>;

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Tell>>>>;

struct Link {
    frames: mpsc::Sender<Frame>,
    waiting: Waiting,
}

/// Counts of a daemon's traffic with other daemons.
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
    /// Messages dropped because they could not be read, trusted or placed.
    pub dropped: Cell<u64>,
}

impl Traffic {
    /// Counts a message sent.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + 1);
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }

    /// Counts a message received.
    pub fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + 1);
        self.received_bytes.set(self.received_bytes.get() + bytes as u64);
    }

    /// Counts a message dropped.
    pub fn count_dropped(&self) {
        self.dropped.set(self.dropped.get() + 1);
    }
}

/// Addresses that are cut off for a failure test.
pub type Cuts = Rc<RefCell<Vec<SocketAddr>>>;

/// The links of one daemon.
#[derive(Clone)]
pub struct Links {
    own: Incarnation,
    keys: Rc<Keyring>,
    open: Rc<RefCell<HashMap<SocketAddr, Link>>>,
    next_id: Rc<Cell<u64>>,
    traffic: Rc<Traffic>,
    cuts: Cuts,
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Links({})", self.open.borrow().len())
    }
}

impl Links {
    /// Builds the links of a daemon, none of which is open.
    pub fn new(own: Incarnation, keys: Rc<Keyring>, traffic: Rc<Traffic>, cuts: Cuts) -> Self {
        let open = Rc::default();
        Self { own, keys, open, next_id: Rc::new(Cell::new(1)), traffic, cuts }
    }

    /// Asks the daemon at `addr` and waits for its reply.
    ///
    /// # Errors
    /// Fails with the kind that tells whether the question can have arrived.
    pub async fn call(&self, addr: SocketAddr, ask: Ask, wait_ms: u64) -> Result<Tell, LinkError> {
        self.connect(addr).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        {
            let open = self.open.borrow();
            let link = open.get(&addr).ok_or(LinkError::NoConnection(addr))?;
            let frame = Frame { from: self.own, id, body: Body::Ask(ask) };
            link.frames.try_send(frame).map_err(|_| LinkError::NoConnection(addr))?;
            link.waiting.borrow_mut().insert(id, sender);
        }
        let reply = actix_rt::time::timeout(Duration::from_millis(wait_ms), receiver).await;
        match reply {
            Ok(Ok(tell)) => Ok(tell),
            Ok(Err(_)) => Err(LinkError::ReplyLost(addr)),
            Err(_) => {
                if let Some(link) = self.open.borrow().get(&addr) {
                    link.waiting.borrow_mut().remove(&id);
                }
                Err(LinkError::ReplyLost(addr))
            }
        }
    }

    /// Tells the daemon at `addr` something that needs no reply.
    ///
    /// # Errors
    /// Fails where no connection can be made.
    pub async fn tell(&self, addr: SocketAddr, ask: Ask) -> Result<(), LinkError> {
        self.connect(addr).await?;
        let open = self.open.borrow();
        let link = open.get(&addr).ok_or(LinkError::NoConnection(addr))?;
        let frame = Frame { from: self.own, id: 0, body: Body::Ask(ask) };
        link.frames.try_send(frame).map_err(|_| LinkError::NoConnection(addr))
    }

    /// Closes every link to the given addresses.
    pub fn close(&self, addrs: &[SocketAddr]) {
        self.open.borrow_mut().retain(|addr, _| !addrs.contains(addr));
    }

    /// Serves other daemons on a listener until the returned future is dropped.
    pub async fn serve(self, listener: TcpListener, handler: Handler) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let links = self.clone();
            let handler = Rc::clone(&handler);
            actix_rt::spawn(async move { links.serve_stream(stream, handler).await });
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<(), LinkError> {
        if self.cuts.borrow().contains(&addr) {
            return Err(LinkError::NoConnection(addr));
        }
        let usable = self.open.borrow().get(&addr).is_some_and(|link| !link.frames.is_closed());
        if usable {
            return Ok(());
        }
        let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Ok(Ok(stream)) = connecting.await else {
            return Err(LinkError::NoConnection(addr));
        };
        let _ = stream.set_nodelay(true);
        let (frames, outgoing) = mpsc::channel(MOST_QUEUED_FRAMES);
        let waiting = Waiting::default();
        let link = Link { frames, waiting: Rc::clone(&waiting) };
        let mut open = self.open.borrow_mut();
        if open.get(&addr).is_some_and(|link| !link.frames.is_closed()) {
            return Ok(());
        }
        open.insert(addr, link);
        let links = self.clone();
        actix_rt::spawn(async move { links.carry(addr, stream, outgoing, waiting).await });
        Ok(())
    }

    /// Carries one outgoing link until it breaks.
    async fn carry(
        &self,
        addr: SocketAddr,
        stream: TcpStream,
        mut outgoing: mpsc::Receiver<Frame>,
        waiting: Waiting,
    ) {
        let (mut sink, mut source) = framed(stream).split();
        let reader = async {
            while let Some(Ok(bytes)) = source.next().await {
                let Some(frame) = self.open_frame(&bytes) else {
                    break;
                };
                if let Body::Tell(tell) = frame.body
                    && let Some(sender) = waiting.borrow_mut().remove(&frame.id)
                {
                    let _ = sender.send(tell);
                }
            }
        };
        let writer = async {
            while let Some(frame) = outgoing.recv().await {
                if sink.send(self.seal_frame(&frame)).await.is_err() {
                    break;
                }
            }
        };
        select(std::pin::pin!(reader), std::pin::pin!(writer)).await;
        drop(outgoing);
        waiting.borrow_mut().clear();
        log::debug!("peers: The link to {addr} is closed.");
    }

    /// Answers one incoming link until it breaks.
    async fn serve_stream(&self, stream: TcpStream, handler: Handler) {
        let _ = stream.set_nodelay(true);
        let (mut sink, mut source) = framed(stream).split();
        let (replies, mut outgoing) = mpsc::channel::<Frame>(MOST_QUEUED_FRAMES);
        let reader = async {
            while let Some(Ok(bytes)) = source.next().await {
                let Some(frame) = self.open_frame(&bytes) else {
                    break;
                };
                let Body::Ask(ask) = frame.body else { break };
                let answered = handler(frame.from, ask);
                let replies = replies.clone();
                let (from, id) = (self.own, frame.id);
                actix_rt::spawn(async move {
                    let Some(tell) = answered.await else { return };
                    let _ = replies.send(Frame { from, id, body: Body::Tell(tell) }).await;
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
        select(std::pin::pin!(reader), std::pin::pin!(writer)).await;
    }

    fn seal_frame(&self, frame: &Frame) -> Bytes {
        let sealed = self.keys.seal(postcard::to_allocvec(frame).unwrap_or_default());
        self.traffic.count_sent(sealed.len());
        sealed.into()
    }

    fn open_frame(&self, bytes: &[u8]) -> Option<Frame> {
        self.traffic.count_received(bytes.len());
        let content = self.keys.open(bytes).ok();
        let frame = content.and_then(|content| postcard::from_bytes(content).ok());
        if frame.is_none() {
            self.traffic.count_dropped();
        }
        frame
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(LARGEST_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

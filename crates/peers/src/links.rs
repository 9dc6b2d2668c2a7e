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

use crate::wire::{Body, Frame, Protocol};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Frames that wait for a slow peer; past it nothing more is sent.
const MOST_QUEUED_FRAMES: usize = 4_096;
const LARGEST_FRAME_BYTES: usize = 64 << 20;

/// Why a question brought no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum LinkError {
    /// No connection was made, so nothing was sent.
    #[error("no connection to the daemon at {0}; check that it runs")]
    NoConnection(SocketAddr),
    /// The question may have arrived; its reply did not.
    #[error("the link to {0} broke or was too slow; ask again")]
    ReplyLost(SocketAddr),
}

/// Answers the questions of other daemons; none where no reply is wanted.
pub type Handler<P> = Rc<
    dyn Fn(
        Incarnation,
        <P as Protocol>::Ask,
    ) -> LocalBoxFuture<'static, Option<<P as Protocol>::Tell>>,
>;

type Waiting<P> = Rc<RefCell<HashMap<u64, oneshot::Sender<<P as Protocol>::Tell>>>>;
type FrameOf<P> = Frame<<P as Protocol>::Ask, <P as Protocol>::Tell>;

struct Link<P: Protocol> {
    frames: mpsc::Sender<FrameOf<P>>,
    waiting: Waiting<P>,
}

/// Takes a question back where nobody waits for its reply any more.
struct Awaited<P: Protocol> {
    waiting: Waiting<P>,
    id: u64,
}

impl<P: Protocol> Drop for Awaited<P> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.id);
    }
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
pub struct Links<P: Protocol> {
    own: Incarnation,
    keys: Rc<Keyring>,
    open: Rc<RefCell<HashMap<SocketAddr, Link<P>>>>,
    next_id: Rc<Cell<u64>>,
    traffic: Rc<Traffic>,
    cuts: Cuts,
}

impl<P: Protocol> Clone for Links<P> {
    fn clone(&self) -> Self {
        Self {
            own: self.own,
            keys: Rc::clone(&self.keys),
            open: Rc::clone(&self.open),
            next_id: Rc::clone(&self.next_id),
            traffic: Rc::clone(&self.traffic),
            cuts: Rc::clone(&self.cuts),
        }
    }
}

impl<P: Protocol> std::fmt::Debug for Links<P> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Links({})", self.open.borrow().len())
    }
}

impl<P: Protocol> Links<P> {
    /// Builds the links of a daemon, none of which is open.
    pub fn new(own: Incarnation, keys: Rc<Keyring>, traffic: Rc<Traffic>, cuts: Cuts) -> Self {
        let open = Rc::default();
        Self { own, keys, open, next_id: Rc::new(Cell::new(1)), traffic, cuts }
    }

    /// Asks the daemon at `addr` and waits for its reply.
    ///
    /// # Errors
    /// Fails with the kind that tells whether the question can have arrived.
    pub async fn call(
        &self,
        addr: SocketAddr,
        ask: P::Ask,
        wait_ms: u64,
    ) -> Result<P::Tell, LinkError> {
        self.connect(addr).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (sender, receiver) = oneshot::channel();
        let _awaited = {
            let open = self.open.borrow();
            let link = open.get(&addr).ok_or(LinkError::NoConnection(addr))?;
            let frame = Frame { from: self.own, id, body: Body::Ask(ask) };
            link.frames.try_send(frame).map_err(|_| LinkError::NoConnection(addr))?;
            link.waiting.borrow_mut().insert(id, sender);
            Awaited::<P> { waiting: Rc::clone(&link.waiting), id }
        };
        let reply = actix_rt::time::timeout(Duration::from_millis(wait_ms), receiver).await;
        match reply {
            Ok(Ok(tell)) => Ok(tell),
            Ok(Err(_)) | Err(_) => Err(LinkError::ReplyLost(addr)),
        }
    }

    /// Tells the daemon at `addr` something that needs no reply.
    ///
    /// # Errors
    /// Fails where no connection can be made.
    pub async fn tell(&self, addr: SocketAddr, ask: P::Ask) -> Result<(), LinkError> {
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
    pub async fn serve(self, listener: TcpListener, handler: Handler<P>) {
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
        let waiting = Waiting::<P>::default();
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
        mut outgoing: mpsc::Receiver<FrameOf<P>>,
        waiting: Waiting<P>,
    ) {
        let (mut sink, mut source) = framed(stream).split();
        let unanswered = Cell::new(0_u64);
        let reader = async {
            while let Some(Ok(bytes)) = source.next().await {
                unanswered.set(0);
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
            loop {
                let frame = match self.next_frame(&mut outgoing, &waiting, &unanswered).await {
                    Next::Frame(frame) => frame,
                    Next::Nothing => continue,
                    Next::Over => break,
                };
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

    /// Waits for the next frame to send; a silent link on which replies are awaited gets a ping,
    /// and is over after several without any frame in return.
    async fn next_frame(
        &self,
        outgoing: &mut mpsc::Receiver<FrameOf<P>>,
        waiting: &Waiting<P>,
        unanswered: &Cell<u64>,
    ) -> Next<P> {
        if P::SILENCE_LIMIT_MS == 0 {
            return outgoing.recv().await.map_or(Next::Over, Next::Frame);
        }
        let pause = Duration::from_millis(P::SILENCE_LIMIT_MS / PINGS_PER_LIMIT);
        match actix_rt::time::timeout(pause, outgoing.recv()).await {
            Ok(frame) => frame.map_or(Next::Over, Next::Frame),
            Err(_) if waiting.borrow().is_empty() => {
                unanswered.set(0);
                Next::Nothing
            }
            Err(_) if unanswered.get() >= PINGS_PER_LIMIT => Next::Over,
            Err(_) => {
                unanswered.set(unanswered.get() + 1);
                Next::Frame(Frame { from: self.own, id: 0, body: Body::Ping })
            }
        }
    }

    /// Answers one incoming link until it breaks.
    async fn serve_stream(&self, stream: TcpStream, handler: Handler<P>) {
        let _ = stream.set_nodelay(true);
        let (mut sink, mut source) = framed(stream).split();
        let (replies, mut outgoing) = mpsc::channel::<FrameOf<P>>(MOST_QUEUED_FRAMES);
        let asks = Asks::<P>::default();
        let reader = async {
            while let Some(Ok(bytes)) = next_unless_silent(&mut source, &asks).await {
                let Some(frame) = self.open_frame(&bytes) else {
                    break;
                };
                let (from, id) = (self.own, frame.id);
                let ask = match frame.body {
                    Body::Ask(ask) => ask,
                    Body::Ping => {
                        let _ = replies.try_send(Frame { from, id, body: Body::Ping });
                        continue;
                    }
                    Body::Tell(_) => break,
                };
                let answered = handler(frame.from, ask);
                let replies = replies.clone();
                asks.spawn(async move {
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

    fn seal_frame(&self, frame: &FrameOf<P>) -> Bytes {
        let sealed = self.keys.seal(postcard::to_allocvec(frame).unwrap_or_default());
        self.traffic.count_sent(sealed.len());
        sealed.into()
    }

    fn open_frame(&self, bytes: &[u8]) -> Option<FrameOf<P>> {
        self.traffic.count_received(bytes.len());
        let content = self.keys.open(bytes).ok();
        let frame = content.and_then(|content| postcard::from_bytes(content).ok());
        if frame.is_none() {
            self.traffic.count_dropped();
        }
        frame
    }
}

/// The pings without an answer after which a silent link is over.
const PINGS_PER_LIMIT: u64 = 3;

enum Next<P: Protocol> {
    Frame(FrameOf<P>),
    Nothing,
    Over,
}

/// The questions of one incoming link that are being answered.
struct Asks<P: Protocol> {
    tasks: RefCell<Vec<actix_rt::task::JoinHandle<()>>>,
    protocol: std::marker::PhantomData<P>,
}

impl<P: Protocol> Default for Asks<P> {
    fn default() -> Self {
        Self { tasks: RefCell::default(), protocol: std::marker::PhantomData }
    }
}

impl<P: Protocol> Asks<P> {
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let task = actix_rt::spawn(task);
        if P::ASKS_END_WITH_LINK {
            let mut tasks = self.tasks.borrow_mut();
            tasks.retain(|task| !task.is_finished());
            tasks.push(task);
        }
    }
}

impl<P: Protocol> Asks<P> {
    fn are_open(&self) -> bool {
        self.tasks.borrow().iter().any(|task| !task.is_finished())
    }
}

impl<P: Protocol> Drop for Asks<P> {
    fn drop(&mut self) {
        for task in self.tasks.get_mut() {
            task.abort();
        }
    }
}

/// Waits for the next frame; none where the asker has fallen silent while it waits for replies.
async fn next_unless_silent<P: Protocol, S: futures_util::Stream + Unpin>(
    source: &mut S,
    asks: &Asks<P>,
) -> Option<S::Item> {
    if P::SILENCE_LIMIT_MS == 0 {
        return source.next().await;
    }
    let limit = Duration::from_millis(P::SILENCE_LIMIT_MS);
    loop {
        match actix_rt::time::timeout(limit, source.next()).await {
            Ok(item) => return item,
            Err(_) if asks.are_open() => return None,
            Err(_) => {}
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(LARGEST_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

//! A TCP proxy on loopback that injects network faults: delays, resets and lost data.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// How the proxy treats its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Forwards all data.
    #[default]
    Normal,
    /// Delays each chunk of data by this many milliseconds.
    Slow(u64),
    /// Closes the open connections, and closes new ones at once.
    Reset,
    /// Holds back all data, and keeps the connections open.
    Silent,
    /// Forwards requests and holds back replies.
    OneWay,
    /// Forwards replies and holds back requests.
    NoRequests,
    /// Closes the open connections and refuses new ones: no process listens.
    Refused,
}

/// Treatment of all connections of a proxy; may be changed at any time.
#[derive(Debug, Default)]
pub struct LinkState {
    link: Cell<Link>,
    is_target_down: Cell<bool>,
    /// How often the target's process has ended. A connection does not outlive its process.
    ended_processes: Cell<u64>,
}

impl LinkState {
    /// Sets how the connections are treated while the target's process runs.
    pub fn set(&self, link: Link) {
        self.link.set(link);
    }

    /// Records that the target's process has ended. Its address refuses connections.
    pub fn end_target(&self) {
        self.is_target_down.set(true);
        self.ended_processes.set(self.ended_processes.get() + 1);
    }

    /// Records that a process listens at the target again.
    pub fn start_target(&self) {
        self.is_target_down.set(false);
    }

    /// Returns the treatment. Behind a silent link the end of the process does not show.
    fn get(&self) -> Link {
        match self.link.get() {
            Link::Silent => Link::Silent,
            _ if self.is_target_down.get() => Link::Refused,
            link => link,
        }
    }

    /// Whether data in a direction, and the end of its connection, are held back.
    fn holds(&self, is_reply: bool) -> bool {
        match self.get() {
            Link::Silent => true,
            Link::OneWay => is_reply,
            Link::NoRequests => !is_reply,
            Link::Normal | Link::Slow(_) | Link::Reset | Link::Refused => false,
        }
    }

    /// Whether a connection is closed that was opened after `ended_processes` had ended.
    fn closes(&self, ended_processes: u64) -> bool {
        match self.get() {
            Link::Silent => false,
            Link::Reset | Link::Refused => true,
            Link::Normal | Link::Slow(_) | Link::OneWay | Link::NoRequests => {
                self.ended_processes.get() != ended_processes
            }
        }
    }
}

/// Interval at which a connection without traffic checks for a changed [`Link`].
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 << 10;

/// A proxy for one target address.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which the proxy listens.
    pub addr: SocketAddr,
    /// Treatment of all connections of this proxy.
    pub link: Rc<LinkState>,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `target`.
    ///
    /// # Errors
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let link: Rc<LinkState> = Rc::default();
        actix_rt::spawn(accept(listener, addr, target, Rc::clone(&link)));
        Ok(Self { addr, link })
    }
}

/// Accepts connections. The listener is closed while the link is [`Link::Refused`].
async fn accept(
    mut listener: TcpListener,
    addr: SocketAddr,
    target: SocketAddr,
    link: Rc<LinkState>,
) {
    loop {
        if link.get() == Link::Refused {
            drop(listener);
            while link.get() == Link::Refused {
                actix_rt::time::sleep(POLL_INTERVAL).await;
            }
            listener = match TcpListener::bind(addr).await {
                Ok(listener) => listener,
                Err(error) => {
                    eprintln!("soak: cannot listen on {addr} again: {error}");
                    return;
                }
            };
        }
        if let Ok(Ok((client, _))) = actix_rt::time::timeout(POLL_INTERVAL, listener.accept()).await
        {
            actix_rt::spawn(forward(client, target, Rc::clone(&link)));
        }
    }
}

async fn forward(client: TcpStream, target: SocketAddr, link: Rc<LinkState>) {
    while matches!(link.get(), Link::Silent) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let ended_processes = link.ended_processes.get();
    if link.closes(ended_processes) {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = copy(from_client, to_server, Rc::clone(&link), ended_processes, false);
    let replies = copy(from_server, to_client, link, ended_processes, true);
    futures_util::future::select(std::pin::pin!(requests), std::pin::pin!(replies)).await;
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Rc<LinkState>,
    ended_processes: u64,
    is_reply: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = actix_rt::time::timeout(POLL_INTERVAL, from.read(&mut buffer)).await;
        if link.closes(ended_processes) {
            return;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(0) | Err(_)) => 0,
            Ok(Ok(length)) => length,
        };
        while link.holds(is_reply) {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        if let Link::Slow(ms) = link.get() {
            actix_rt::time::sleep(Duration::from_millis(ms)).await;
        }
        if length == 0
            || link.closes(ended_processes)
            || to.write_all(&buffer[..length]).await.is_err()
        {
            return;
        }
    }
}

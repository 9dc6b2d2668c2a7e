//! A proxy on loopback that delays, resets, cuts and silences connections.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// What happens to the connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Nothing.
    #[default]
    Good,
    /// Each read waits so many milliseconds.
    Slow(u64),
    /// Open ones are closed, and new ones are closed at once.
    Reset,
    /// Nothing passes, and nothing is closed.
    Silent,
    /// Requests pass, replies do not.
    OneWay,
}

/// The pause between two looks at a link through which nothing passes.
const PAUSE: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 << 10;

/// One proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What happens to its connections.
    pub link: Rc<Cell<Link>>,
}

impl Proxy {
    /// Begins to pass connections to `target`.
    ///
    /// # Errors
    /// Fails where no port is free.
    pub async fn begin(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let link: Rc<Cell<Link>> = Rc::default();
        let shared = Rc::clone(&link);
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                actix_rt::spawn(pass(client, target, Rc::clone(&shared)));
            }
        });
        Ok(Self { addr, link })
    }
}

async fn pass(client: TcpStream, target: SocketAddr, link: Rc<Cell<Link>>) {
    while matches!(link.get(), Link::Silent) {
        actix_rt::time::sleep(PAUSE).await;
    }
    if link.get() == Link::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let forth = copy(from_client, to_server, Rc::clone(&link), false);
    let back = copy(from_server, to_client, link, true);
    futures_util::future::select(std::pin::pin!(forth), std::pin::pin!(back)).await;
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link: Rc<Cell<Link>>,
    is_reply: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = actix_rt::time::timeout(PAUSE, from.read(&mut buffer)).await;
        if link.get() == Link::Reset {
            return;
        }
        let length = match read {
            Err(_) => continue,
            Ok(Ok(0) | Err(_)) => return,
            Ok(Ok(length)) => length,
        };
        loop {
            match link.get() {
                Link::Reset => return,
                Link::Silent => actix_rt::time::sleep(PAUSE).await,
                Link::OneWay if is_reply => actix_rt::time::sleep(PAUSE).await,
                Link::Slow(ms) => {
                    actix_rt::time::sleep(Duration::from_millis(ms)).await;
                    break;
                }
                Link::Good | Link::OneWay => break,
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

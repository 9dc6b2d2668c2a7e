//! A proxy in front of a daemon's address for other daemons. It can cut off single senders, because each
//! frame begins with the incarnation of the process that sends it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::{TcpListener, TcpStream};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes of the length of a frame.
const LENGTH_BYTES: usize = 4;
/// Longest encoding of the incarnation, seven bits a byte.
const MAX_VARINT_BYTES: usize = 10;

/// Incarnations whose connections are silent.
pub type Cut = Rc<RefCell<BTreeSet<u64>>>;

#[derive(Debug)]
pub struct PeerProxy {
    pub addr: SocketAddr,
    pub cut: Cut,
}

impl PeerProxy {
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let cut = Cut::default();
        let shared = Rc::clone(&cut);
        actix_rt::spawn(async move {
            loop {
                if let Ok((client, _)) = listener.accept().await {
                    actix_rt::spawn(forward(client, target, Rc::clone(&shared)));
                }
            }
        });
        Ok(Self { addr, cut })
    }
}

async fn forward(client: TcpStream, target: SocketAddr, cut: Cut) {
    let _ = client.set_nodelay(true);
    let (mut from_client, to_client) = client.into_split();
    let Some((first, sender)) = read_sender(&mut from_client).await else { return };
    wait_while_cut(&cut, sender).await;
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = server.set_nodelay(true);
    let (from_server, mut to_server) = server.into_split();
    if to_server.write_all(&first).await.is_err() {
        return;
    }
    let requests = copy(from_client, to_server, Rc::clone(&cut), sender);
    let replies = copy(from_server, to_client, cut, sender);
    actix_rt::spawn(requests);
    replies.await;
}

/// Reads the begin of the first frame. Returns what was read and the sender's incarnation.
async fn read_sender(from: &mut OwnedReadHalf) -> Option<(Vec<u8>, u64)> {
    let mut first = Vec::new();
    loop {
        let mut incarnation = 0;
        for (at, byte) in first.iter().skip(LENGTH_BYTES).take(MAX_VARINT_BYTES).enumerate() {
            incarnation |= u64::from(byte & 0x7f) << (7 * at);
            if byte & 0x80 == 0 {
                return Some((first, incarnation));
            }
        }
        let mut buffer = [0; 1 << 12];
        let length = from.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        first.extend_from_slice(&buffer[..length]);
    }
}

async fn wait_while_cut(cut: &Cut, sender: u64) {
    while cut.borrow().contains(&sender) {
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Forwards one direction. The end of a connection is held back by a cut, too.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: Cut, sender: u64) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        wait_while_cut(&cut, sender).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// A proxy whose open connections can go silent for good while new ones work.
#[derive(Debug)]
pub struct GenerationProxy {
    pub addr: SocketAddr,
    generation: Rc<Cell<u64>>,
}

impl GenerationProxy {
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let generation: Rc<Cell<u64>> = Rc::default();
        let shared = Rc::clone(&generation);
        actix_rt::spawn(async move {
            loop {
                if let Ok((client, _)) = listener.accept().await {
                    let shared = Rc::clone(&shared);
                    actix_rt::spawn(async move {
                        let own = shared.get();
                        let _ = client.set_nodelay(true);
                        let Ok(server) = TcpStream::connect(target).await else { return };
                        let _ = server.set_nodelay(true);
                        let (from_client, to_client) = client.into_split();
                        let (from_server, to_server) = server.into_split();
                        actix_rt::spawn(copy_while(
                            from_client,
                            to_server,
                            Rc::clone(&shared),
                            own,
                        ));
                        copy_while(from_server, to_client, shared, own).await;
                    });
                }
            }
        });
        Ok(Self { addr, generation })
    }

    /// Silences all connections that are open now.
    pub fn silence(&self) {
        self.generation.set(self.generation.get() + 1);
    }
}

async fn copy_while(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    generation: Rc<Cell<u64>>,
    own: u64,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let length = from.read(&mut buffer).await.unwrap_or(0);
        while generation.get() != own {
            actix_rt::time::sleep(Duration::from_secs(3_600)).await;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

//! Heartbeats between daemons: one authenticated UDP datagram per heartbeat and recipient.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_rt::net::UdpSocket;
use dispatch::membership::Heartbeat;
use dispatch::ticket::Keyring;

use crate::links::{BlockedAddrs, Traffic};

/// Maximum size of a datagram that is accepted, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Sends and receives a daemon's heartbeats over UDP.
#[derive(Clone)]
pub struct HeartbeatSocket {
    socket: Rc<UdpSocket>,
    keys: Rc<Keyring>,
    traffic: Rc<Traffic>,
    blocked: BlockedAddrs,
}

impl std::fmt::Debug for HeartbeatSocket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HeartbeatSocket")
    }
}

impl HeartbeatSocket {
    /// Wraps a bound socket. Nothing is sent to, or accepted from, the addresses in `blocked`.
    pub fn new(
        socket: UdpSocket,
        keys: Rc<Keyring>,
        traffic: Rc<Traffic>,
        blocked: BlockedAddrs,
    ) -> Self {
        Self { socket: Rc::new(socket), keys, traffic, blocked }
    }

    /// Sends a heartbeat to each of the given daemons, without waiting for delivery.
    pub async fn send(&self, heartbeat: &Heartbeat, to: &[SocketAddr]) {
        let sealed = self.keys.seal(postcard::to_allocvec(heartbeat).unwrap_or_default());
        for addr in to {
            if self.blocked.borrow().contains(addr) {
                continue;
            }
            if self.socket.send_to(&sealed, addr).await.is_ok() {
                self.traffic.count_sent(sealed.len());
            }
        }
    }

    /// Waits for the next valid, authenticated heartbeat; counts invalid datagrams as dropped.
    pub async fn receive(&self) -> Heartbeat {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            self.traffic.count_received(length);
            match decode_heartbeat(&self.keys, &buffer[..length]) {
                Some(message) if !self.blocked.borrow().contains(&message.addr) => return message,
                Some(_) => {}
                None => self.traffic.count_dropped(),
            }
        }
    }
}

/// Verifies and decodes a datagram. Returns `None` if it is malformed, forged, truncated or
/// oversized, or has trailing bytes.
pub fn decode_heartbeat(keys: &Keyring, datagram: &[u8]) -> Option<Heartbeat> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return None;
    }
    let content = keys.open(datagram).ok()?;
    let (heartbeat, rest): (Heartbeat, &[u8]) = postcard::take_from_bytes(content).ok()?;
    rest.is_empty().then_some(heartbeat)
}

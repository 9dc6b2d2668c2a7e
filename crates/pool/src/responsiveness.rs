//! Which daemons get no requests because they did not reply lately.
//!
//! A zone that is cut off swallows requests: each job sent there is lost once the link has been
//! silent for long enough. The pause therefore doubles with each failure, until the daemon replies.

use std::collections::HashMap;
use std::net::SocketAddr;

use dispatch::clock::Millis;

/// How long a daemon gets no requests after it did not reply for the first time, in milliseconds.
const MIN_PAUSE_MS: u64 = 400;
/// Upper limit of the pause, in milliseconds. A daemon that is reachable again has to be found out
/// by a job, as long as it announces nothing.
const MAX_PAUSE_MS: u64 = 3_200;

/// Pause of a daemon that did not reply.
#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Millis,
    length_ms: u64,
}

/// The daemons that did not reply lately.
#[derive(Clone, Debug, Default)]
pub struct Responsiveness {
    paused: HashMap<SocketAddr, Pause>,
}

impl Responsiveness {
    /// Records that a daemon did not reply to a request. Requests that were sent before the pause
    /// and fail during it do not lengthen it.
    pub fn record_failure(&mut self, addr: SocketAddr, now: Millis) {
        let length_ms = match self.paused.get(&addr) {
            Some(pause) if now < pause.until => return,
            Some(pause) => (pause.length_ms * 2).min(MAX_PAUSE_MS),
            None => MIN_PAUSE_MS,
        };
        self.paused.insert(addr, Pause { until: now.plus(length_ms), length_ms });
    }

    /// Records that a daemon replied to a request or announced itself.
    pub fn record_reply(&mut self, addr: SocketAddr) {
        self.paused.remove(&addr);
    }

    /// Whether requests may be sent to a daemon.
    pub fn is_responsive(&self, addr: SocketAddr, now: Millis) -> bool {
        self.paused.get(&addr).is_none_or(|pause| now >= pause.until)
    }
}

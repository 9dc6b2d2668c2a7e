//! The platform's choice of a daemon for each new connection, from readiness checks.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use adapter::settings::READY_PATH;

use crate::http::get_status;
use crate::record::Record;
use crate::setup::sleep;

/// Readiness checks that a daemon may miss before it gets no new connections.
const MAX_MISSES: u32 = 2;

pub struct Balancer {
    misses: RefCell<Vec<u32>>,
    /// Whether the case is over.
    pub ended: Cell<bool>,
}

impl Balancer {
    /// Begins to check the daemons once a second.
    pub fn start(readies: Vec<SocketAddr>, record: &Record) -> Rc<Self> {
        let record = record.clone();
        let misses = RefCell::new(vec![0; readies.len()]);
        let balancer = Rc::new(Self { misses, ended: Cell::new(false) });
        let checking = Rc::clone(&balancer);
        actix_rt::spawn(async move {
            while !checking.ended.get() {
                for (at, ready) in readies.iter().enumerate() {
                    let is_ready = get_status(*ready, READY_PATH).await == 200;
                    let mut misses = checking.misses.borrow_mut();
                    if is_ready != (misses[at] == 0) {
                        record.line(&format!("READY daemon={} {is_ready}", at + 1));
                    }
                    misses[at] = if is_ready { 0 } else { misses[at] + 1 };
                }
                sleep(1_000).await;
            }
        });
        balancer
    }

    /// Returns the daemon for a new connection of a client, by a hash. If fewer than half of the
    /// zone's daemons are in rotation, all of them are used.
    pub fn choose(&self, client: u64, attempt: u64) -> usize {
        let misses = self.misses.borrow();
        let mut usable: Vec<usize> =
            (0..misses.len()).filter(|daemon| misses[*daemon] < MAX_MISSES).collect();
        if usable.len() * 2 < misses.len() {
            usable = (0..misses.len()).collect();
        }
        let hash = (client.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33).wrapping_add(attempt);
        usable[hash as usize % usable.len()]
    }
}

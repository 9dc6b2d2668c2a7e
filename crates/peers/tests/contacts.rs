//! Guards against a requester that counts as waiting because of an old message, or before it knows
//! itself that its own caller has gone.

use std::cell::RefCell;
use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::time::{Duration, Instant};

use actix_rt::net::TcpListener;
use dispatch::ticket::{Incarnation, Key, Keyring};
use peers::links::{BlockedAddrs, ContactObserver, Handler, Links};
use peers::wire::{Body, Frame, KEEPALIVE_PING, Protocol, UNNUMBERED_PING};

const START_MS: u64 = 1_000;

enum TestProtocol {}

impl Protocol for TestProtocol {
    type Request = u32;
    type Reply = u32;
    const REQUESTS_END_WITH_LINK: bool = true;
    const SILENCE_LIMIT_MS: u64 = 450;
    const CONTACT_INTERVAL_MS: u64 = 30;
    const FIRST_PING_DELAY_MS: u64 = 10;
}

type TestFrame = Frame<u32, u32>;

fn keys() -> Keyring {
    Keyring::new(Key { id: 1, secret: [1; 32] }, Vec::new())
}

fn links() -> Links<TestProtocol> {
    Links::new(Incarnation(5), Rc::new(keys()), Rc::default(), BlockedAddrs::default())
}

fn ping(id: u64) -> TestFrame {
    Frame { from: Incarnation(6), id, body: Body::Ping }
}

/// The other end of a link, which sends and reads single frames.
struct RawPeer(TcpStream);

impl RawPeer {
    fn send(&mut self, frame: &TestFrame) {
        let sealed = keys().seal(postcard::to_allocvec(frame).unwrap());
        self.0.write_all(&(sealed.len() as u32).to_be_bytes()).unwrap();
        self.0.write_all(&sealed).unwrap();
    }

    /// Returns the next frame; `None` after a silence of 200 ms.
    fn receive(&mut self) -> Option<TestFrame> {
        self.0.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut length = [0; 4];
        self.0.read_exact(&mut length).ok()?;
        let mut sealed = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut sealed).unwrap();
        Some(postcard::from_bytes(keys().open(&sealed).unwrap()).unwrap())
    }

    /// Returns the ids of the pings that arrive within a time.
    fn pings_for(&mut self, span_ms: u64) -> Vec<u64> {
        let until = Instant::now() + Duration::from_millis(span_ms);
        let mut ids = Vec::new();
        while Instant::now() < until {
            ids.extend(self.receive().filter(|f| matches!(f.body, Body::Ping)).map(|f| f.id));
        }
        ids
    }
}

#[derive(Debug)]
struct Recorder {
    began: Instant,
    /// Times of contacts, and when they were recorded.
    contacts: RefCell<Vec<(u64, u64)>>,
}

impl ContactObserver for Recorder {
    fn now_ms(&self) -> u64 {
        START_MS + self.began.elapsed().as_millis() as u64
    }

    fn record_contact(&self, _: u64, at_ms: u64) {
        self.contacts.borrow_mut().push((at_ms, self.now_ms()));
    }
}

/// Serves a request that stays in progress for a requester that runs on a thread of its own, and returns the
/// contacts that were recorded meanwhile.
fn serve(requester: impl FnOnce(RawPeer) + Send + 'static) -> Vec<(u64, u64)> {
    actix_rt::System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let contacts = RefCell::default();
        let recorder = Rc::new(Recorder { began: Instant::now(), contacts });
        let observer: Rc<dyn ContactObserver> = Rc::<Recorder>::clone(&recorder);
        let handler: Handler<TestProtocol> =
            Rc::new(|_, _| Box::pin(async { std::future::pending().await }));
        actix_rt::spawn(links().serve(listener, handler, Some(observer)));
        let done = tokio::task::spawn_blocking(move || {
            let mut peer = RawPeer(TcpStream::connect(addr).unwrap());
            peer.send(&Frame { from: Incarnation(6), id: 1, body: Body::Request(0) });
            requester(peer);
        });
        done.await.unwrap();
        recorder.contacts.take()
    })
}

#[test]
fn a_contact_has_the_time_of_the_ping_however_late_its_echo_is_read() {
    for delay_ms in [0, 150] {
        let contacts = serve(move |mut peer| {
            for _ in 0..3 {
                let frame = peer.receive().expect("a ping while the request is in progress");
                std::thread::sleep(Duration::from_millis(delay_ms));
                peer.send(&frame);
            }
            std::thread::sleep(Duration::from_millis(50));
        });
        assert_eq!(contacts.len(), 3, "{contacts:?}");
        for (at_ms, read_ms) in contacts {
            assert!(at_ms >= START_MS && at_ms + delay_ms <= read_ms, "{at_ms} read at {read_ms}");
        }
    }
}

#[test]
fn pings_without_a_time_count_when_they_are_read_and_keepalives_never() {
    for (id, expected) in [(UNNUMBERED_PING, 3), (KEEPALIVE_PING, 0)] {
        let contacts = serve(move |mut peer| {
            for _ in 0..3 {
                peer.send(&ping(id));
                std::thread::sleep(Duration::from_millis(20));
            }
            assert_eq!(peer.pings_for(50).iter().filter(|echo| **echo == id).count(), 3);
        });
        assert_eq!(contacts.len(), expected, "{id}: {contacts:?}");
        assert!(contacts.iter().all(|(at_ms, read_ms)| at_ms == read_ms), "{contacts:?}");
    }
}

/// Plays the receiver of a request and the caller of the requester. Returns which pings it got back, of one
/// before the requester's pause and one in it.
fn ping_requester(
    listener: &std::net::TcpListener,
    mut caller: TcpStream,
    leaves: bool,
    pause: (Sender<()>, Receiver<()>),
) -> Vec<u64> {
    let mut owner = RawPeer(listener.accept().unwrap().0);
    owner.receive().expect("the request");
    owner.send(&ping(7));
    let mut echoes = owner.pings_for(30);
    pause.0.send(()).unwrap();
    pause.1.recv().unwrap();
    owner.send(&ping(8));
    if leaves {
        drop(caller);
        echoes.extend(owner.pings_for(200));
    } else {
        echoes.extend(owner.pings_for(200));
        caller.write_all(b".").unwrap();
    }
    echoes.retain(|id| *id != KEEPALIVE_PING);
    echoes
}

#[test]
fn a_requester_that_was_paused_vouches_for_no_caller_that_has_gone_meanwhile() {
    for (leaves, expected) in [(false, vec![7, 8]), (true, vec![7])] {
        let echoes = actix_rt::System::new().block_on(async {
            let callers = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let caller = TcpStream::connect(callers.local_addr().unwrap()).unwrap();
            let (held, _) = callers.accept().await.unwrap();
            let owners = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let addr = owners.local_addr().unwrap();
            let (pausing, pauses) = channel();
            let (resume, resumed) = channel();
            let owner = tokio::task::spawn_blocking(move || {
                ping_requester(&owners, caller, leaves, (pausing, resumed))
            });
            let requester = links();
            // One task reads that the caller has gone, and another one then gives the request up.
            let (leaving, left) = tokio::sync::oneshot::channel();
            actix_rt::spawn(async move {
                let _ = held.peek(&mut [0]).await;
                let _ = leaving.send(());
            });
            actix_rt::spawn(async move {
                let call = std::pin::pin!(requester.call(addr, 0, 5_000));
                futures_util::future::select(call, left).await;
            });
            while pauses.try_recv() == Err(TryRecvError::Empty) {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
            resume.send(()).unwrap();
            std::thread::sleep(Duration::from_millis(80));
            owner.await.unwrap()
        });
        assert_eq!(echoes, expected, "the caller leaves: {leaves}");
    }
}

//! Test double of the platform's log service: offsets, retention, a rate limit, and faults.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Method;
use actix_rt::net::TcpListener;
use httpedge::server::{Limits, Request, Response, serve};
use platform::wire::{AppendReply, AppendRequest, Page, StoredRecord};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::worker::with_body;

const MAX_BODY_BYTES: usize = 32 << 20;
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Faults and limits of the log service, set by `POST /faults`.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Breaks the reply to every append and read.
    pub down: bool,
    /// Delay of every reply to an append or read, in milliseconds.
    pub slow_ms: u64,
    /// Loses the reply to every n-th append after the records were stored; 0 for none.
    pub lose_reply_every: u64,
    /// Retention period of records, in milliseconds.
    pub retention_ms: u64,
    /// Rate limit: appends accepted per second; further ones get status 429.
    pub appends_per_s: u64,
}

impl Default for LogFaults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 3,
            lose_reply_every: 0,
            retention_ms: 3_600_000,
            appends_per_s: 400,
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first_kept: u64,
    records: VecDeque<StoredRecord>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first_kept + self.records.len() as u64
    }

    fn expire(&mut self, oldest_ms: u64) {
        while self.records.front().is_some_and(|record| record.at_ms < oldest_ms) {
            self.records.pop_front();
            self.first_kept += 1;
        }
    }
}

/// Counters of the log service, read by `GET /stats`.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LogStats {
    /// Appends accepted.
    pub appends: u64,
    /// Appends refused by the rate limit.
    pub refused: u64,
    /// Reads of a stream; a waiting read counts each time it checks for records.
    pub reads: u64,
    /// Total size of the appended records, in bytes.
    pub bytes: u64,
}

#[derive(Debug)]
struct LogState {
    streams: HashMap<String, Stream>,
    faults: LogFaults,
    stats: LogStats,
    /// Current second and the number of appends received in it.
    second: (u64, u64),
    changed: Rc<Notify>,
    started_at: Instant,
    started_unix_ms: u64,
}

type Shared = Rc<RefCell<LogState>>;

impl LogState {
    fn now_ms(&self) -> u64 {
        self.started_unix_ms + self.started_at.elapsed().as_millis() as u64
    }

    fn admit_append(&mut self) -> bool {
        let second = self.now_ms() / 1_000;
        if self.second.0 != second {
            self.second = (second, 0);
        }
        self.second.1 += 1;
        self.second.1 <= self.faults.appends_per_s
    }

    fn append(&mut self, name: &str, records: Vec<String>) -> AppendReply {
        let now_ms = self.now_ms();
        let retention_ms = self.faults.retention_ms;
        self.stats.appends += 1;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(now_ms.saturating_sub(retention_ms));
        let first = stream.next();
        for (index, data) in records.into_iter().enumerate() {
            self.stats.bytes += data.len() as u64;
            let offset = first + index as u64;
            stream.records.push_back(StoredRecord { offset, at_ms: now_ms, data });
        }
        self.changed.notify_waiters();
        AppendReply { first, now_ms, retention_ms }
    }

    fn page(&mut self, name: &str, from: u64, limit: usize) -> Page {
        let now_ms = self.now_ms();
        let retention_ms = self.faults.retention_ms;
        self.stats.reads += 1;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(now_ms.saturating_sub(retention_ms));
        let skip = from.saturating_sub(stream.first_kept) as usize;
        let records = stream.records.iter().skip(skip).take(limit).cloned().collect();
        let (first_kept, next) = (stream.first_kept, stream.next());
        Page { first_kept, next, records, now_ms, retention_ms }
    }
}

/// Serves a log service on `listener` until the returned future is dropped.
pub async fn serve_log(listener: TcpListener) {
    let unix_time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let state = LogState {
        streams: HashMap::new(),
        faults: LogFaults::default(),
        stats: LogStats::default(),
        second: (0, 0),
        changed: Rc::new(Notify::new()),
        started_at: Instant::now(),
        started_unix_ms: unix_time.map_or(0, |elapsed| elapsed.as_millis() as u64),
    };
    let log = Rc::new(RefCell::new(state));
    serve(listener, Limits::with_max_body(MAX_BODY_BYTES), move |request| {
        route(Rc::clone(&log), request)
    })
    .await;
}

async fn route(log: Shared, request: Request) -> Response {
    let segments = request.segments();
    let body = request.body.clone().unwrap_or_default();
    match (&request.method, segments.as_slice()) {
        (&Method::POST, ["streams", name]) => {
            with_body(&body, |call| append(&log, name, call)).await
        }
        (&Method::GET, ["streams", name]) => read(&log, name, &request).await,
        (&Method::POST, ["faults"]) => {
            with_body(&body, |faults| async move {
                log.borrow_mut().faults = faults;
                log.borrow().changed.notify_waiters();
                Response::json(200, &faults)
            })
            .await
        }
        (&Method::GET, ["faults"]) => Response::json(200, &log.borrow().faults),
        (&Method::GET, ["stats"]) => Response::json(200, &log.borrow().stats),
        _ => Response::text(404, "no such call; POST and GET /streams/NAME, POST /faults"),
    }
}

async fn append(log: &Shared, name: &str, call: AppendRequest) -> Response {
    let faults = log.borrow().faults;
    if faults.down {
        return Response::truncated();
    }
    if !log.borrow_mut().admit_append() {
        log.borrow_mut().stats.refused += 1;
        return Response::text(429, "too many appends this second; group them");
    }
    let appended = log.borrow_mut().append(name, call.records);
    actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let every = faults.lose_reply_every;
    if every > 0 && log.borrow().stats.appends.is_multiple_of(every) {
        return Response::truncated();
    }
    Response::json(200, &appended)
}

async fn read(log: &Shared, name: &str, request: &Request) -> Response {
    let number = |key| request.param(key).and_then(|text| text.parse::<u64>().ok());
    let from = number("from").unwrap_or(0);
    let limit = number("most").unwrap_or(1_000) as usize;
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    loop {
        let faults = log.borrow().faults;
        if faults.down {
            return Response::truncated();
        }
        let changed = Rc::clone(&log.borrow().changed);
        let notified = changed.notified();
        let page = log.borrow_mut().page(name, from, limit);
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !page.records.is_empty() || remaining.is_zero() {
            actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
            return Response::json(200, &page);
        }
        let _ = actix_rt::time::timeout(remaining, notified).await;
    }
}

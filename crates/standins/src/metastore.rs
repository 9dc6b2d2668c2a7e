//! Test double of the platform's metadata store: topics of keyed records, a consumer group that
//! assigns partitions, and faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpListener;
use adapter::config::evacuation_zone;
use adapter::store::{
    HeldPartition, JoinReply, KeyedRecord, NewestPage, Owner, StoreCall, read_store_call,
    render_joined, render_newest, render_owners, render_records,
};
use httpedge::server::{Limits, Request, Response, serve};

const MAX_BODY_BYTES: usize = 1 << 20;
/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Behaviour of the store: normal, or with a simulated fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreBehaviour {
    /// No fault.
    #[default]
    Normal,
    /// Does not carry out calls and never replies.
    Silent,
    /// Refuses every call with status 503.
    Busy,
    /// Carries out calls and breaks the replies.
    LosesReplies,
}

/// A defect planted in the store, to check that the test detects it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreDefect {
    /// No defect.
    #[default]
    Nothing,
    /// Listings lack the evacuation records, so that a daemon that starts later, and then becomes an
    /// owner, knows of no evacuation.
    HidesEvacuations,
}

#[derive(Debug, Default)]
struct Topic {
    /// Offset of the first record that the history retains.
    first_offset: u64,
    /// History, from `first_offset` on.
    records: Vec<KeyedRecord>,
    /// Newest record of each key that is not deleted.
    newest: BTreeMap<String, KeyedRecord>,
}

impl Topic {
    fn append(&mut self, key: &str, value: Option<Vec<u8>>) {
        let record = KeyedRecord { key: key.to_owned(), value, offset: self.end_offset() };
        if record.value.is_some() {
            self.newest.insert(key.to_owned(), record.clone());
        } else {
            self.newest.remove(key);
        }
        self.records.push(record);
    }

    fn discard_history(&mut self) {
        self.first_offset = self.end_offset();
        self.records.clear();
    }

    fn end_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

#[derive(Debug)]
struct Member {
    topics: BTreeSet<String>,
    expires_at: Instant,
    /// Newest generation of the group that the member has seen.
    generation: u64,
}

/// Consumer group: its members and the partitions that each of them holds.
#[derive(Debug, Default)]
struct Group {
    /// Incremented whenever the members or their topics change.
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Name of the member that holds each partition, by topic and partition.
    held: HashMap<(String, u32), String>,
}

impl Group {
    /// Removes members whose registration has expired, with their partitions.
    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() != before {
            self.generation += 1;
        }
        let members = &self.members;
        self.held.retain(|_, holder| members.contains_key(holder));
    }

    /// Returns the member to which a partition should be assigned.
    fn assigned_member(&self, topic: &str, partition: u32) -> Option<&str> {
        let subscribers = self.members.iter().filter(|(_, member)| member.topics.contains(topic));
        let subscribers: Vec<&str> = subscribers.map(|(name, _)| name.as_str()).collect();
        let count = subscribers.len().max(1);
        subscribers.get(partition as usize % count).copied()
    }

    /// Registers a member or renews its registration, and moves the partitions that it may take
    /// over or has to release. Returns the partitions that it holds and keeps.
    fn join(&mut self, name: &str, member: Member, partitions: u32) -> JoinReply {
        let known = self.members.get(name).is_some_and(|known| known.topics == member.topics);
        if !known {
            self.generation += 1;
        }
        // A member keeps a partition that is to move to another member until it has seen the new
        // generation.
        let has_seen_generation = member.generation >= self.generation;
        self.members.insert(name.to_owned(), member);
        let topics: BTreeSet<String> =
            self.members.values().flat_map(|member| member.topics.iter().cloned()).collect();
        let mut held = Vec::new();
        for topic in topics {
            for partition in 0..partitions {
                let key = (topic.clone(), partition);
                let is_assigned = self.assigned_member(&topic, partition) == Some(name);
                let holder = self.held.get(&key).cloned();
                match holder {
                    Some(holder) if holder == name && !is_assigned && has_seen_generation => {
                        self.held.remove(&key);
                    }
                    None if is_assigned => {
                        self.held.insert(key, name.to_owned());
                    }
                    _ => {}
                }
                let current_holder = self.held.get(&(topic.clone(), partition)).map(String::as_str);
                if current_holder == Some(name) && is_assigned {
                    held.push(HeldPartition { topic: topic.clone(), partition });
                }
            }
        }
        JoinReply { generation: self.generation, held }
    }
}

/// Metadata store served over HTTP.
#[derive(Debug)]
pub struct MetaStore {
    /// Address on which the store accepts calls.
    pub addr: SocketAddr,
    /// Current behaviour.
    pub behaviour: Cell<StoreBehaviour>,
    /// Planted defect.
    pub defect: Cell<StoreDefect>,
    /// Number of calls received.
    pub calls: Cell<u64>,
    partitions: u32,
    topics: RefCell<HashMap<String, Topic>>,
    group: RefCell<Group>,
}

impl MetaStore {
    /// Starts a store with `partitions` partitions per topic on a free port of the loopback
    /// interface.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub async fn start(partitions: u32) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Rc::new(Self {
            addr: listener.local_addr()?,
            behaviour: Cell::default(),
            defect: Cell::default(),
            calls: Cell::new(0),
            partitions,
            topics: RefCell::default(),
            group: RefCell::default(),
        });
        let shared = Rc::clone(&store);
        let handler = move |request| Rc::clone(&shared).handle(request);
        actix_rt::spawn(serve(listener, Limits::with_max_body(MAX_BODY_BYTES), handler));
        Ok(store)
    }

    /// Appends a record to a topic; `None` as the value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<Vec<u8>>) {
        self.topics.borrow_mut().entry(topic.to_owned()).or_default().append(key, value);
    }

    /// Deletes a key: it is no longer listed, and a record without a value is appended.
    pub fn delete(&self, topic: &str, key: &str) {
        self.put(topic, key, None);
    }

    /// Discards the history of all topics, so that reads from before its end get status 410.
    /// Listings stay the same.
    pub fn trim(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            topic.discard_history();
        }
    }

    /// Compacts all topics: only the newest record of each key stays, at a new offset, so that
    /// reads from an older offset get status 410.
    pub fn compact(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            topic.discard_history();
            topic.first_offset += 1;
            for (key, record) in std::mem::take(&mut topic.newest) {
                topic.append(&key, record.value);
            }
        }
    }

    /// Releases all partitions at once and starts a new generation, so that every partition is
    /// assigned again when members renew their registration.
    pub fn rebalance(&self) {
        let mut group = self.group.borrow_mut();
        group.generation += 1;
        group.held.clear();
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.calls.set(self.calls.get() + 1);
        match self.behaviour.get() {
            StoreBehaviour::Silent => std::future::pending().await,
            StoreBehaviour::Busy => return Response::text(503, ""),
            StoreBehaviour::Normal | StoreBehaviour::LosesReplies => {}
        }
        let Some(call) = read_store_call(&request) else {
            return Response::text(400, "");
        };
        let response = self.execute(call).await;
        if self.behaviour.get() == StoreBehaviour::LosesReplies {
            Response::truncated()
        } else {
            response
        }
    }

    async fn execute(&self, call: StoreCall) -> Response {
        let now = Instant::now();
        self.group.borrow_mut().expire(now);
        match call {
            StoreCall::Newest { topic } => render_newest(&self.newest(&topic)),
            StoreCall::Read { topic, from, wait_ms } => self.read(&topic, from, wait_ms).await,
            StoreCall::Join { member, topics, ttl_ms, generation } => {
                let topics = topics.into_iter().collect();
                let expires_at = now + Duration::from_millis(ttl_ms);
                let joining = Member { topics, expires_at, generation };
                let joined = self.group.borrow_mut().join(&member, joining, self.partitions);
                render_joined(&joined)
            }
            StoreCall::Leave { member } => {
                let mut group = self.group.borrow_mut();
                if group.members.remove(&member).is_some() {
                    group.generation += 1;
                }
                group.held.retain(|_, holder| *holder != member);
                Response::json(200, &())
            }
            StoreCall::Owners => {
                let group = self.group.borrow();
                let row = |((topic, partition), member): (&(String, u32), &String)| Owner {
                    topic: topic.clone(),
                    partition: *partition,
                    member: member.clone(),
                };
                let rows: Vec<Owner> = group.held.iter().map(row).collect();
                render_owners(&rows)
            }
        }
    }

    fn newest(&self, topic: &str) -> NewestPage {
        let topics = self.topics.borrow();
        let empty = Topic::default();
        let topic = topics.get(topic).unwrap_or(&empty);
        let is_hidden = |key: &str| {
            self.defect.get() == StoreDefect::HidesEvacuations && evacuation_zone(key).is_some()
        };
        let records = topic.newest.values().filter(|record| !is_hidden(&record.key)).cloned();
        let end_offset = topic.end_offset();
        NewestPage { records: records.collect(), has_more: false, end_offset }
    }

    async fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Response {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let topics = self.topics.borrow();
                let empty = Topic::default();
                let topic = topics.get(topic).unwrap_or(&empty);
                let end_offset = topic.end_offset();
                if from < topic.first_offset {
                    return Response::text(410, "");
                }
                if from < end_offset || Instant::now() >= deadline {
                    let skip = (from - topic.first_offset) as usize;
                    let records = topic.records.get(skip..).unwrap_or_default();
                    return render_records(end_offset, topic.first_offset, records);
                }
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

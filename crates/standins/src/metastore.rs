//! A stand-in for the platform's metadata store: keyed topics and groups, with faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpListener;
use adapter::store::{
    Held, Joined, KeyedRecord, NewestPage, Owner, StoreCall, read_store_call, render_joined,
    render_newest, render_owners, render_records,
};
use httpedge::server::{Limits, Request, Response, serve};

const MAX_BODY_BYTES: usize = 1 << 20;
const PAUSE: Duration = Duration::from_millis(5);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMood {
    /// It does not.
    #[default]
    Well,
    /// It answers nothing.
    Silent,
    /// It does nothing and says so.
    Busy,
    /// It carries calls out and loses the replies.
    LosesReplies,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<KeyedRecord>,
}

#[derive(Debug)]
struct Member {
    topics: BTreeSet<String>,
    expires_at: Instant,
    generation: u64,
}

/// The partitions of a group and their holders.
#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    held: HashMap<(String, u32), String>,
}

impl Group {
    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, member| member.expires_at > now);
        if self.members.len() != before {
            self.generation += 1;
        }
        let members = &self.members;
        self.held.retain(|_, holder| members.contains_key(holder));
    }

    /// Gives the member that a partition should go to.
    fn target(&self, topic: &str, partition: u32) -> Option<&str> {
        let wanting = self.members.iter().filter(|(_, member)| member.topics.contains(topic));
        let wanting: Vec<&str> = wanting.map(|(name, _)| name.as_str()).collect();
        let count = wanting.len().max(1);
        wanting.get(partition as usize % count).copied()
    }

    fn join(&mut self, name: &str, member: Member, partitions: u32) -> Joined {
        let known = self.members.get(name).is_some_and(|known| known.topics == member.topics);
        if !known {
            self.generation += 1;
        }
        // A holder keeps what goes to another one until it has seen the change.
        let has_seen = member.generation >= self.generation;
        self.members.insert(name.to_owned(), member);
        let topics: BTreeSet<String> =
            self.members.values().flat_map(|member| member.topics.iter().cloned()).collect();
        let mut held = Vec::new();
        for topic in topics {
            for partition in 0..partitions {
                let key = (topic.clone(), partition);
                let is_target = self.target(&topic, partition) == Some(name);
                let holder = self.held.get(&key).cloned();
                match holder {
                    Some(holder) if holder == name && !is_target && has_seen => {
                        self.held.remove(&key);
                    }
                    None if is_target => {
                        self.held.insert(key, name.to_owned());
                    }
                    _ => {}
                }
                let is_held = self.held.get(&(topic.clone(), partition)).map(String::as_str);
                if is_held == Some(name) && is_target {
                    held.push(Held { topic: topic.clone(), partition });
                }
            }
        }
        Joined { generation: self.generation, held }
    }
}

/// The store behind a socket.
#[derive(Debug)]
pub struct MetaStore {
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// How it misbehaves.
    pub mood: Cell<StoreMood>,
    /// How many calls came.
    pub calls: Cell<u64>,
    partitions: u32,
    topics: RefCell<HashMap<String, Topic>>,
    group: RefCell<Group>,
}

impl MetaStore {
    /// Serves a store on a free port of loopback.
    ///
    /// # Errors
    /// Fails where no port is free.
    pub async fn begin(partitions: u32) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Rc::new(Self {
            addr: listener.local_addr()?,
            mood: Cell::default(),
            calls: Cell::new(0),
            partitions,
            topics: RefCell::default(),
            group: RefCell::default(),
        });
        let shared = Rc::clone(&store);
        let handler = move |request| Rc::clone(&shared).answer(request);
        actix_rt::spawn(serve(listener, Limits::with_max_body(MAX_BODY_BYTES), handler));
        Ok(store)
    }

    /// Writes a record; no value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<Vec<u8>>) {
        let record = KeyedRecord { key: key.to_owned(), value };
        self.topics.borrow_mut().entry(topic.to_owned()).or_default().records.push(record);
    }

    /// Forgets the history; the newest record of each key stays.
    pub fn compact(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            let mut newest: BTreeMap<String, KeyedRecord> = BTreeMap::new();
            for record in topic.records.drain(..) {
                topic.first += 1;
                newest.insert(record.key.clone(), record);
            }
            topic.first += 1;
            topic.records.extend(newest.into_values());
        }
    }

    /// Deals all partitions anew at once, without being asked.
    pub fn deal_anew(&self) {
        let mut group = self.group.borrow_mut();
        group.generation += 1;
        group.held.clear();
    }

    async fn answer(self: Rc<Self>, request: Request) -> Response {
        self.calls.set(self.calls.get() + 1);
        match self.mood.get() {
            StoreMood::Silent => std::future::pending().await,
            StoreMood::Busy => return Response::text(503, ""),
            StoreMood::Well | StoreMood::LosesReplies => {}
        }
        let Some(call) = read_store_call(&request) else {
            return Response::text(400, "");
        };
        let response = self.carry_out(call).await;
        if self.mood.get() == StoreMood::LosesReplies { Response::truncated() } else { response }
    }

    async fn carry_out(&self, call: StoreCall) -> Response {
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
                group.members.remove(&member);
                group.held.retain(|_, holder| *holder != member);
                group.generation += 1;
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
        let mut newest: BTreeMap<&str, &KeyedRecord> = BTreeMap::new();
        for record in &topic.records {
            newest.insert(&record.key, record);
        }
        let records = newest.into_values().filter(|record| record.value.is_some()).cloned();
        let end_offset = topic.first + topic.records.len() as u64;
        NewestPage { records: records.collect(), has_more: false, end_offset }
    }

    async fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Response {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let topics = self.topics.borrow();
                let empty = Topic::default();
                let topic = topics.get(topic).unwrap_or(&empty);
                let end_offset = topic.first + topic.records.len() as u64;
                if from < topic.first {
                    return Response::text(410, "");
                }
                if from < end_offset || Instant::now() >= until {
                    let skip = (from - topic.first) as usize;
                    let records = topic.records.get(skip..).unwrap_or_default();
                    return render_records(end_offset, topic.first, records);
                }
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }
}

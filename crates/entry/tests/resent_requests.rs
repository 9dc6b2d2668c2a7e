//! End-to-end tests of several requests of one submitter for the same job, which are in progress at one
//! owner at the same time: its caller has sent the job again, or its link to the owner was replaced.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use dispatch::ticket::{Incarnation, Key, Keyring};
use entry::protocol::{EntryProtocol, Reply, Request, RunRequest};
use peers::links::{BlockedAddrs, LinkError, Links};
use pool::cells::Cell;
use pool::job::{JobSpec, Outcome, PreviousOwner};
use pool::pool::Submission;
use soak::cluster::{Cluster, Layout, catalogue, job};

/// Run time of the task: longer than a lease lasts without contact with its submitter.
const TASK_MS: u64 = 1_800;
/// Time in which a request reaches the owner and its task has started.
const START_MS: u64 = 400;
/// Time in which the run of a cancelled job ends, without waiting for the end of its lease.
const STOP_MS: u64 = 300;

/// One process that submits jobs to the owner of a cell.
struct Submitter {
    links: [Links<EntryProtocol>; 2],
    owner: SocketAddr,
    cell: Cell,
    job: JobSpec,
}

impl Submitter {
    fn new(owner: SocketAddr, cell: Cell, job: JobSpec) -> Self {
        let secret = blake3::derive_key("clementinedock links", b"z0");
        let keys = Rc::new(Keyring::new(Key { id: 0, secret }, Vec::new()));
        let links = || {
            let (keys, blocked) = (Rc::clone(&keys), BlockedAddrs::default());
            Links::new(Incarnation(9), keys, Rc::default(), blocked)
        };
        Self { links: [links(), links()], owner, cell, job }
    }

    /// Sends the job on one of two connections.
    fn submit(&self, link: usize, attempt: u64) -> JoinHandle<Result<Reply, LinkError>> {
        let submission = Submission {
            spec: self.job.clone(),
            terms: catalogue(1).routes[0].terms.clone(),
            age_ms: 0,
            limit_ms: 5_000,
            previous_owner: PreviousOwner::None,
            may_wait: true,
            is_remote: false,
        };
        let cell = self.cell.clone();
        let request = RunRequest { cell, submission, submitter: None, echoes_pings: true, attempt };
        let (links, owner) = (self.links[link].clone(), self.owner);
        actix_rt::spawn(
            async move { links.call(owner, Request::Run(Box::new(request)), 3_500).await },
        )
    }

    async fn cancel(&self, link: usize, attempt: u64) {
        let request = Request::Cancel(Rc::clone(&self.job.id), attempt);
        self.links[link].notify(self.owner, request).await.unwrap();
    }
}

async fn pause(pause_ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
}

async fn start() -> (Cluster, Cell) {
    let program = Path::new(env!("CARGO_BIN_EXE_clementine-entry"));
    let layout = Layout { zones: 1, daemons: 1, workers: 2 };
    let cluster = Cluster::start(program, layout).await;
    let dump = cluster.get(cluster.daemons[0].metrics_addr, "/state").await.unwrap().1;
    let dump: serde_json::Value = serde_json::from_slice(&dump).unwrap();
    let name = dump["cells"][0]["cell"].as_str().unwrap();
    let (zone, partition) = name.split_once('/').unwrap();
    (cluster, Cell { zone: zone.into(), partition: partition.parse().unwrap() })
}

/// What ends of the first of two requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// Its submitter cancels it.
    Cancelled,
    /// The connection that it came on closes.
    LinkClosed,
}

fn is_completed(reply: &Result<Reply, LinkError>) -> bool {
    matches!(reply, Ok(Reply::Outcome(Outcome::Completed, ..)))
}

/// Guards against the end of a request that ends another one of the same job, leaves it without the
/// contact that renews its lease, or keeps it from being cancelled.
#[actix_rt::test]
async fn the_end_of_a_request_leaves_a_later_one_for_the_same_job_as_it_is() {
    let (cluster, cell) = start().await;
    let owner = cluster.daemons[0].peers_proxy.addr;
    let mut id = 0;
    for end in [End::Cancelled, End::LinkClosed] {
        for is_cancelled in [false, true] {
            id += 1;
            let case =
                format!("the first one is {end:?}, the second one cancelled: {is_cancelled}");
            let task_ms = TASK_MS.to_string();
            let submitter = Submitter::new(owner, cell.clone(), job(id, 1, TASK_MS, &task_ms));
            let later_link = usize::from(end == End::LinkClosed);
            let first = submitter.submit(0, 2 * id);
            pause(50).await;
            let later = submitter.submit(later_link, 2 * id + 1);
            pause(START_MS).await;
            match end {
                End::Cancelled => submitter.cancel(0, 2 * id).await,
                End::LinkClosed => submitter.links[0].close(&[owner]),
            }
            pause(START_MS).await;
            let active = |cluster: &Cluster| -> usize {
                cluster.workers.iter().map(|worker| worker.active_count()).sum()
            };
            assert_eq!(active(&cluster), 1, "{case}: the run has ended");
            if is_cancelled {
                submitter.cancel(later_link, 2 * id + 1).await;
                pause(STOP_MS).await;
                assert_eq!(active(&cluster), 0, "{case}: the run goes on");
            }
            let (first, later) = (first.await.unwrap(), later.await.unwrap());
            assert!(!is_completed(&first), "{case}: {first:?}");
            assert_eq!(is_completed(&later), !is_cancelled, "{case}: {later:?}");
            assert_eq!(cluster.count_starts(&submitter.job), 1, "{case}");
        }
    }
}

/// Guards against requests that stay in progress at the owner after they were cancelled: it pings their
/// submitter on, and closes the link if that sends nothing else.
#[actix_rt::test]
async fn a_cancelled_request_ends_at_the_owner() {
    let (cluster, cell) = start().await;
    let owner = cluster.daemons[0].peers_proxy.addr;
    let submitter = Submitter::new(owner, cell, job(1, 1, TASK_MS, "1800"));
    let request = submitter.submit(0, 1);
    pause(START_MS).await;
    submitter.cancel(0, 1).await;
    let ended = actix_rt::time::timeout(Duration::from_millis(STOP_MS), request).await;
    assert!(ended.is_ok(), "the request is still in progress");
}

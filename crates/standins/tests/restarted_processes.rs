//! Guards against a start that the next process of its worker carries out, because it goes over a new
//! connection while its owner still knows the process before.

use std::rc::Rc;
use std::time::Duration;

use adapter::worker_calls::WorkerClient;
use futures_util::future::join_all;
use pool::call::{PollCall, PollReply, Refusal, Report, StartCall, StartReply, Target};
use pool::job::TaskName;
use pool::resources::Resources;
use standins::pool_worker_server::{Behaviour, PoolWorkerServer};

const TOKEN: u64 = 7;

struct Owner {
    server: Rc<PoolWorkerServer>,
    client: WorkerClient,
}

impl Owner {
    async fn new() -> Self {
        let one = Resources { cpu_millicores: 1_000, memory_mb: 64, accelerators: 0 };
        let capacity = Resources { cpu_millicores: 8_000, memory_mb: 512, accelerators: 0 };
        let server = PoolWorkerServer::start(capacity, one).await.unwrap();
        Self { server, client: WorkerClient::new() }
    }

    fn target(&self, process: Option<u64>) -> Target {
        Target { id: Rc::from("w0"), addr: self.server.addr, process, timeout_ms: 300 }
    }

    async fn poll(&self, token: u64) -> PollReply {
        let call = PollCall { token, ack_cursor: 0, lease_until_ms: None, wait_ms: 0 };
        self.client.poll(&self.target(None), call).await
    }

    async fn report(&self) -> Report {
        match self.poll(TOKEN).await {
            PollReply::Report(report) => report,
            other => panic!("a poll was not answered: {other:?}"),
        }
    }

    /// Starts a task with a lease that either process would grant.
    async fn start(&self, index: u32, process: Option<u64>) -> StartReply {
        let task = TaskName::parse(&format!("0000000000000001.0.0.{index}")).unwrap();
        let spec = Rc::from("5000");
        let call = StartCall { task, run: 1, spec, lease_until_ms: u64::MAX, token: TOKEN };
        self.client.start(&self.target(process), &call).await
    }
}

#[actix_rt::test]
async fn a_start_is_not_carried_out_by_another_process_than_the_one_that_it_is_meant_for() {
    let owner = Owner::new().await;
    let before = owner.report().await.started_at_ms;
    owner.server.end_process();
    owner.server.start_process();
    // Until the client notices that its connection is closed.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let reply = owner.start(0, before).await;
    assert_eq!(*owner.server.started_runs.borrow(), [], "the next process has started a run");
    assert_eq!(reply, StartReply::Refused(Refusal::InstanceMismatch));
    let lower = owner.poll(TOKEN - 1).await;
    assert_eq!(lower, PollReply::Refused(Refusal::Fenced), "the next process is not fenced");
    let next = owner.report().await.started_at_ms;
    assert!(matches!(owner.start(0, next).await, StartReply::Started { .. }));
    owner.server.behaviour.set(Behaviour::LosesReplies);
    let (unknown, lost) = (owner.start(1, before).await, owner.start(2, next).await);
    assert_eq!((unknown, lost), (StartReply::Refused(Refusal::NotSent), StartReply::Lost));
}

/// Each poll of a worker has a price, and so has each connection.
#[actix_rt::test]
async fn a_connection_is_verified_once() {
    let owner = Owner::new().await;
    let process = owner.report().await.started_at_ms;
    for (starts, polls) in [(0..1, 0), (1..4, 2), (4..7, 0)] {
        let before = owner.server.polls.get();
        let replies = join_all(starts.map(|index| owner.start(index, process))).await;
        let is_started = |reply: &StartReply| matches!(reply, StartReply::Started { .. });
        assert!(replies.iter().all(is_started), "{replies:?}");
        assert_eq!(owner.server.polls.get() - before, polls);
    }
    assert!(matches!(owner.start(7, None).await, StartReply::Started { .. }));
}

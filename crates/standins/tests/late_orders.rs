//! Guards against a stand-in that loses or answers orders that it has to carry out late, or that carries
//! them out in a process that did not receive them.

use std::rc::Rc;
use std::time::Duration;

use adapter::worker_calls::WorkerClient;
use pool::call::{PollCall, PollReply, StartCall, StartReply, StopCall, StopReply, Target};
use pool::job::TaskName;
use pool::resources::Resources;
use standins::pool_worker_server::{Behaviour, LateOrders, PoolWorkerServer};

const ALL_LATE: Behaviour =
    Behaviour::LateOrders(LateOrders { share_percent: 100, min_delay_ms: 300, max_delay_ms: 300 });
const TIMEOUT_MS: u64 = 100;
const AFTER_DELAY: Duration = Duration::from_millis(500);
const RUN_MS: &str = "5000";

struct Worker {
    server: Rc<PoolWorkerServer>,
    client: WorkerClient,
    target: Target,
    task: TaskName,
}

impl Worker {
    async fn start() -> Self {
        let one = Resources { cpu_millicores: 1_000, memory_mb: 64, accelerators: 0 };
        let server = PoolWorkerServer::start(one, one).await.unwrap();
        let target =
            Target { id: Rc::from("w0"), addr: server.addr, process: None, timeout_ms: TIMEOUT_MS };
        let client = WorkerClient::new();
        let task = TaskName::parse("0000000000000001.0.0.0").unwrap();
        Self { server, client, target, task }
    }

    /// Polls the worker, which must answer, and returns the reading of its clock.
    async fn poll(&self, lease_until_ms: Option<u64>) -> u64 {
        let call = PollCall { token: 1, ack_cursor: 0, lease_until_ms, wait_ms: 0 };
        match self.client.poll(&self.target, call).await {
            PollReply::Report(report) => report.clock_ms,
            other => panic!("a poll was not answered: {other:?}"),
        }
    }

    async fn send_start(&self) -> StartReply {
        let lease_until_ms = self.poll(None).await + 1_000;
        let call = StartCall {
            task: self.task.clone(),
            run: 1,
            spec: Rc::from(RUN_MS),
            lease_until_ms,
            token: 1,
        };
        self.client.start(&self.target, &call).await
    }

    fn is_running(&self) -> bool {
        self.server.is_running(&self.task)
    }
}

#[actix_rt::test]
async fn late_orders_get_no_reply_and_are_carried_out_while_polls_are_answered() {
    let worker = Worker::start().await;
    worker.server.behaviour.set(ALL_LATE);
    assert_eq!(worker.send_start().await, StartReply::Lost);
    assert!(!worker.is_running());
    actix_rt::time::sleep(AFTER_DELAY).await;
    assert!(worker.is_running());

    let lease_until_ms = worker.poll(None).await + 1_000;
    worker.poll(Some(lease_until_ms)).await;
    let stop = StopCall { task: worker.task.clone(), run: 1, token: 1 };
    assert_eq!(worker.client.stop(&worker.target, &stop).await, StopReply::Lost);
    assert!(worker.is_running());
    actix_rt::time::sleep(AFTER_DELAY).await;
    assert!(!worker.is_running());
}

#[actix_rt::test]
async fn a_late_order_ends_with_the_process_that_received_it() {
    let worker = Worker::start().await;
    worker.server.behaviour.set(ALL_LATE);
    assert_eq!(worker.send_start().await, StartReply::Lost);
    worker.server.end_process();
    worker.server.start_process();
    actix_rt::time::sleep(AFTER_DELAY).await;
    assert!(worker.server.started_runs.borrow().is_empty());
}

//! The workers' contract, against the stand-in: each call with what it proves.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use dispatch::engine::StartOutcome;
use dispatch::ticket::{Incarnation, JobId, TaskId};
use httpedge::client::Caller;
use serde_json::Value;
use standins::ledger::{Ledger, TaskEvent};
use standins::worker::{Faults, serve_worker};
use upstreams::client::WorkerClient;
use upstreams::wire::StartCall;

struct TestEnv {
    worker: SocketAddr,
    caller: Caller,
    client: WorkerClient,
}

impl TestEnv {
    async fn start(slots: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = listener.local_addr().unwrap();
        actix_rt::spawn(serve_worker(listener, slots));
        let caller = Caller::new();
        Self { worker, client: WorkerClient::new(caller.clone()), caller }
    }

    async fn faults(&self, faults: Faults) {
        let _: Value = self.caller.post(self.worker, "/faults", &faults, 2_000).await.unwrap();
    }

    async fn run(&self, index: u32, work_ms: u64, lease_ms: u64) -> StartOutcome {
        let call = StartCall {
            task: task(index).to_string(),
            kind: "check".into(),
            input: format!(r#"{{"work_ms": {work_ms}}}"#),
            lease_ms,
            boot: None,
            hold: false,
        };
        self.client.start(self.worker, task(index), &call).await.0
    }

    async fn settle(&self, index: u32) -> StartOutcome {
        self.client.settle(self.worker, task(index)).await.0
    }

    async fn deeds(&self, index: u32) -> Vec<TaskEvent> {
        let ledger: Ledger = self.caller.get(self.worker, "/ledger", 2_000).await.unwrap();
        ledger.tasks.get(&task(index).to_string()).cloned().unwrap_or_default()
    }
}

fn task(index: u32) -> TaskId {
    TaskId { job: JobId { incarnation: Incarnation(1), seq: 1 }, index }
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn a_task_runs_and_can_be_asked_about_afterwards() {
    run(async {
        let env = TestEnv::start(2).await;
        assert!(matches!(env.run(0, 5, 10_000).await, StartOutcome::Done { .. }));
        assert!(matches!(env.settle(0).await, StartOutcome::Done { .. }));
        assert_eq!(env.deeds(0).await, [TaskEvent::Started, TaskEvent::Finished]);
    });
}

#[test]
fn a_question_bars_a_task_that_never_began() {
    run(async {
        let env = TestEnv::start(2).await;
        assert_eq!(env.settle(0).await, StartOutcome::NeverWill);
        assert_eq!(env.run(0, 5, 10_000).await, StartOutcome::NeverWill);
        assert_eq!(env.deeds(0).await, [TaskEvent::Barred, TaskEvent::Refused]);
    });
}

#[test]
fn a_start_meant_for_an_earlier_process_is_refused() {
    run(async {
        let env = TestEnv::start(2).await;
        let boot = env.client.boot(env.worker).await.unwrap();
        assert_eq!(env.settle(0).await, StartOutcome::NeverWill);
        env.faults(Faults { restart: true, ..Faults::default() }).await;
        let call = StartCall {
            task: task(0).to_string(),
            kind: "check".into(),
            input: String::new(),
            lease_ms: 1_000,
            boot: Some(boot),
            hold: false,
        };
        let end = env.client.start(env.worker, task(0), &call).await.0;
        assert_eq!(end, StartOutcome::Refused);
        assert!(!env.deeds(0).await.contains(&TaskEvent::Started));
    });
}

#[test]
fn each_fault_is_seen_as_what_it_proves() {
    let lost = (StartOutcome::ReplyLost, true);
    let cases = [
        (Faults { refuse: true, ..Faults::default() }, StartOutcome::Refused, false),
        (Faults { leaving: true, ..Faults::default() }, StartOutcome::Leaving, false),
        (Faults { lose_answer: true, ..Faults::default() }, lost.0.clone(), lost.1),
        (Faults { lose_request: true, ..Faults::default() }, StartOutcome::ReplyLost, false),
    ];
    run(async {
        for (faults, expected, began) in cases {
            let env = TestEnv::start(2).await;
            env.faults(faults).await;
            assert_eq!(env.run(0, 5, 10_000).await, expected, "{faults:?}");
            let started = env.deeds(0).await.contains(&TaskEvent::Started);
            assert_eq!(started, began, "{faults:?}");
        }
    });
}

#[test]
fn a_full_worker_refuses_and_a_lapsed_lease_stops() {
    run(async {
        let env = TestEnv::start(1).await;
        let client = env.client.clone();
        let (worker, call) = (
            env.worker,
            StartCall {
                task: task(0).to_string(),
                kind: "check".into(),
                input: r#"{"work_ms": 60000}"#.into(),
                lease_ms: 400,
                boot: None,
                hold: false,
            },
        );
        let first = actix_rt::spawn(async move { client.start(worker, task(0), &call).await.0 });
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
        assert_eq!(env.run(1, 5, 10_000).await, StartOutcome::Full);
        assert_eq!(env.settle(0).await, StartOutcome::StillRuns);
        assert_eq!(env.client.renew(worker, &[task(0)], 400).await.ok(), Some(1));
        assert_eq!(first.await.unwrap(), StartOutcome::Stopped, "the lease lapsed");
        assert_eq!(env.client.renew(worker, &[task(0)], 400).await.ok(), Some(0));
        assert_eq!(env.deeds(0).await, [TaskEvent::Started, TaskEvent::Stopped]);
    });
}

#[test]
fn a_worker_that_is_gone_was_never_reached() {
    run(async {
        let env = TestEnv::start(1).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let worker = listener.local_addr().unwrap();
        drop(listener);
        let gone = TestEnv { worker, ..env };
        assert_eq!(gone.run(0, 5, 1_000).await, StartOutcome::NoConnection);
        assert_eq!(gone.settle(0).await, StartOutcome::NoAnswer);
    });
}

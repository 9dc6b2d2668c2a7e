//! The platform's contract, against the stand-in: offsets, retention, lost replies, limits, lag.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use httpedge::client::{CallError, HttpClient};
use platform::client::{LogClient, VmClient, entries_of, workers_of};
use platform::wire::{Vm, VmRole};
use serde_json::{Value, json};
use standins::log::{LogFaults, serve_log};
use standins::vms::serve_vms;

async fn log() -> (LogClient, HttpClient, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(serve_log(listener));
    let caller = HttpClient::new();
    (LogClient::new(addr, caller.clone()), caller, addr)
}

async fn set(caller: &HttpClient, addr: SocketAddr, faults: LogFaults) {
    let _: Value = caller.post(addr, "/faults", &faults, 2_000).await.unwrap();
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn records_get_offsets_in_a_row_and_are_read_from_any_of_them() {
    run(async {
        let (log, ..) = log().await;
        let first = log.append("s", vec!["a".into(), "b".into()]).await.unwrap().first;
        let second = log.append("s", vec!["c".into()]).await.unwrap().first;
        assert_eq!((first, second), (0, 2));
        let page = log.read("s", 1, 0).await.unwrap();
        let read: Vec<(u64, &str)> =
            page.records.iter().map(|r| (r.offset, r.data.as_str())).collect();
        assert_eq!(read, [(1, "b"), (2, "c")]);
        assert_eq!((page.first_kept, page.next), (0, 3));
        assert!(log.read("other", 0, 0).await.unwrap().records.is_empty());
    });
}

#[test]
fn a_lost_reply_leaves_the_record_in_the_log_and_an_outage_does_not() {
    run(async {
        let (log, caller, addr) = log().await;
        set(&caller, addr, LogFaults { lose_reply_every: 1, ..LogFaults::default() }).await;
        let lost = log.append("s", vec!["a".into()]).await.unwrap_err();
        assert_eq!(lost, CallError::ReplyLost(addr));
        set(&caller, addr, LogFaults { down: true, ..LogFaults::default() }).await;
        assert!(log.append("s", vec!["b".into()]).await.is_err());
        assert!(log.read("s", 0, 0).await.is_err());
        set(&caller, addr, LogFaults::default()).await;
        let page = log.read("s", 0, 0).await.unwrap();
        assert_eq!(page.records.len(), 1);
        assert_eq!(page.records[0].data, "a");
    });
}

#[test]
fn retention_takes_old_records_and_never_their_offsets() {
    run(async {
        let (log, caller, addr) = log().await;
        log.append("s", vec!["a".into()]).await.unwrap();
        set(&caller, addr, LogFaults { retention_ms: 0, ..LogFaults::default() }).await;
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
        let page = log.read("s", 0, 0).await.unwrap();
        assert_eq!((page.first_kept, page.next, page.records.len()), (1, 1, 0));
        assert_eq!(log.append("s", vec!["b".into()]).await.unwrap().first, 1);
    });
}

#[test]
fn past_the_rate_an_append_is_refused_and_not_in_the_log() {
    run(async {
        let (log, caller, addr) = log().await;
        set(&caller, addr, LogFaults { appends_per_s: 0, ..LogFaults::default() }).await;
        let refused = log.append("s", vec!["a".into()]).await.unwrap_err();
        assert!(matches!(refused, CallError::Status { status: 429, .. }), "{refused}");
        assert!(log.read("s", 0, 0).await.unwrap().records.is_empty());
    });
}

#[test]
fn a_waiting_read_ends_with_the_next_record() {
    run(async {
        let (log, ..) = log().await;
        let reader = log.clone();
        let read = actix_rt::spawn(async move { reader.read("s", 0, 20_000).await });
        actix_rt::time::sleep(std::time::Duration::from_millis(30)).await;
        log.append("s", vec!["a".into()]).await.unwrap();
        assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
    });
}

#[test]
fn the_vm_list_tells_changes_by_version_only() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let vm = |role, port, leaving| Vm {
            role,
            addr: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: "z".into(),
            leaving,
            slots: 8,
            cores: 4,
            memory_mb: 64,
            accelerators: 1,
        };
        let vms = vec![
            vm(VmRole::Worker, 1, true),
            vm(VmRole::Entry, 2, false),
            vm(VmRole::Entry, 3, true),
        ];
        actix_rt::spawn(serve_vms(listener, vms));
        let caller = HttpClient::new();
        let client = VmClient::new(addr, caller.clone());
        let list = client.list(0).await.unwrap();
        let shown = list.vms.unwrap();
        assert_eq!(workers_of(&shown).len(), 1);
        assert!(workers_of(&shown)[0].leaving);
        assert_eq!(workers_of(&shown)[0].size.accelerators, 1);
        assert_eq!(entries_of(&shown), [SocketAddr::from(([127, 0, 0, 1], 2))]);
        assert!(client.list(list.version).await.unwrap().vms.is_none());
        let put = json!({ "vms": [], "lag_ms": 100 });
        let _: Value = caller.post(addr, "/vms", &put, 2_000).await.unwrap();
        assert!(client.list(list.version).await.unwrap().vms.is_none(), "the list lags");
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        assert_eq!(client.list(list.version).await.unwrap().vms.map(|vms| vms.len()), Some(0));
    });
}

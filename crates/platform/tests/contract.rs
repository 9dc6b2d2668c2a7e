//! Contract of the log service and the VM list, tested against the stand-ins: offsets, retention,
//! lost replies, rate limits, waiting reads and a lagging VM list.

use std::net::SocketAddr;

use actix_rt::net::TcpListener;
use httpedge::client::{CallError, HttpClient};
use platform::client::{LogClient, VmListClient, entry_vm_addrs, worker_infos};
use platform::wire::{Vm, VmRole};
use serde_json::{Value, json};
use standins::log::{LogFaults, serve_log};
use standins::vms::serve_vms;

async fn start_log() -> (LogClient, HttpClient, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(serve_log(listener));
    let caller = HttpClient::new();
    (LogClient::new(addr, caller.clone()), caller, addr)
}

async fn set_faults(caller: &HttpClient, addr: SocketAddr, faults: LogFaults) {
    let _: Value = caller.post(addr, "/faults", &faults, 2_000).await.unwrap();
}

fn run_test(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(test);
}

#[test]
fn records_get_consecutive_offsets_and_can_be_read_from_any_offset() {
    run_test(async {
        let (log, ..) = start_log().await;
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
fn a_record_is_stored_if_only_its_reply_is_lost_and_not_during_an_outage() {
    run_test(async {
        let (log, caller, addr) = start_log().await;
        set_faults(&caller, addr, LogFaults { lose_reply_every: 1, ..LogFaults::default() }).await;
        let lost = log.append("s", vec!["a".into()]).await.unwrap_err();
        assert_eq!(lost, CallError::ReplyLost(addr));
        set_faults(&caller, addr, LogFaults { down: true, ..LogFaults::default() }).await;
        assert!(log.append("s", vec!["b".into()]).await.is_err());
        assert!(log.read("s", 0, 0).await.is_err());
        set_faults(&caller, addr, LogFaults::default()).await;
        let page = log.read("s", 0, 0).await.unwrap();
        assert_eq!(page.records.len(), 1);
        assert_eq!(page.records[0].data, "a");
    });
}

#[test]
fn expired_records_are_removed_and_their_offsets_are_never_reused() {
    run_test(async {
        let (log, caller, addr) = start_log().await;
        log.append("s", vec!["a".into()]).await.unwrap();
        set_faults(&caller, addr, LogFaults { retention_ms: 0, ..LogFaults::default() }).await;
        actix_rt::time::sleep(std::time::Duration::from_millis(5)).await;
        let page = log.read("s", 0, 0).await.unwrap();
        assert_eq!((page.first_kept, page.next, page.records.len()), (1, 1, 0));
        assert_eq!(log.append("s", vec!["b".into()]).await.unwrap().first, 1);
    });
}

#[test]
fn an_append_above_the_rate_limit_is_refused_and_not_stored() {
    run_test(async {
        let (log, caller, addr) = start_log().await;
        set_faults(&caller, addr, LogFaults { appends_per_s: 0, ..LogFaults::default() }).await;
        let refused = log.append("s", vec!["a".into()]).await.unwrap_err();
        assert!(matches!(refused, CallError::Status { status: 429, .. }), "{refused}");
        assert!(log.read("s", 0, 0).await.unwrap().records.is_empty());
    });
}

#[test]
fn a_waiting_read_returns_when_a_record_is_appended() {
    run_test(async {
        let (log, ..) = start_log().await;
        let reader = log.clone();
        let read = actix_rt::spawn(async move { reader.read("s", 0, 20_000).await });
        actix_rt::time::sleep(std::time::Duration::from_millis(30)).await;
        log.append("s", vec!["a".into()]).await.unwrap();
        assert_eq!(read.await.unwrap().unwrap().records.len(), 1);
    });
}

#[test]
fn the_vm_list_is_returned_only_if_its_version_changed() {
    run_test(async {
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
        let client = VmListClient::new(addr, caller.clone());
        let list = client.list(0).await.unwrap();
        let listed_vms = list.vms.unwrap();
        assert_eq!(worker_infos(&listed_vms).len(), 1);
        assert!(worker_infos(&listed_vms)[0].leaving);
        assert_eq!(worker_infos(&listed_vms)[0].size.accelerators, 1);
        assert_eq!(entry_vm_addrs(&listed_vms), [SocketAddr::from(([127, 0, 0, 1], 2))]);
        assert!(client.list(list.version).await.unwrap().vms.is_none());
        let put = json!({ "vms": [], "lag_ms": 100 });
        let _: Value = caller.post(addr, "/vms", &put, 2_000).await.unwrap();
        assert!(
            client.list(list.version).await.unwrap().vms.is_none(),
            "the list must lag by 100 ms"
        );
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        assert_eq!(client.list(list.version).await.unwrap().vms.map(|vms| vms.len()), Some(0));
    });
}

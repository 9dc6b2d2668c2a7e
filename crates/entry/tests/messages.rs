//! Property tests of the messages between daemons: changed and random bytes are rejected or read,
//! without a panic.

use dispatch::clock::Millis;
use entry::protocol::{
    DelegationRequest, DelegationStep, Ownership, ReleaseRequest, Reply, Request, RunRequest,
};
use entry::speeds::CellSpeeds;
use pool::catalogue::Terms;
use pool::cells::Cell;
use pool::evacuation::ZoneRecord;
use pool::free_cores::FreeCores;
use pool::job::{JobSpec, Outcome, PreviousOwner, Reason};
use pool::load_table::{Demand, LoadReport, LoadTable};
use pool::pool::Submission;
use pool::queue::Backlog;
use pool::speed::WorkerSpeed;
use proptest::prelude::*;
use serde::{Deserialize, Serialize};

fn run_request() -> RunRequest {
    let spec = JobSpec { id: "0000000000000001".into(), payload: "".into(), steps: Vec::new() };
    let terms = Terms {
        route: "r".into(),
        service: "s".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_ms: 60,
        timeout_ms: 1_500,
    };
    let submission = Submission {
        spec,
        terms,
        age_ms: 3,
        limit_ms: 1_500,
        previous_owner: PreviousOwner::None,
        may_wait: true,
        is_remote: false,
    };
    let cell = Cell { zone: "z0".into(), partition: 9 };
    RunRequest {
        cell,
        submission,
        submitter: Some(([127, 0, 0, 1], 7_000).into()),
        echoes_pings: true,
        attempt: 5,
    }
}

fn valid_messages() -> Vec<Vec<u8>> {
    let cell = Cell { zone: "z0".into(), partition: 9 };
    let addr = ([127, 0, 0, 1], 7_000).into();
    let requests = [
        Request::ReleaseCell(ReleaseRequest {
            cell: cell.clone(),
            generation: 300,
            is_settling: true,
        }),
        Request::AnnounceOwner(Ownership { cell: cell.clone(), addr, token: 7 }, Some(addr)),
        Request::Delegate(DelegationRequest {
            cell: cell.clone(),
            token: 3_073,
            holder: addr,
            step: DelegationStep::TakeOver,
        }),
        Request::ReturnCell(cell.clone(), 3_073),
        Request::TakeOver(cell.clone(), 7),
        Request::Hello(addr, "z0".into()),
        Request::WorkerCounts,
        Request::Cancel("0000000000000001".into(), 5),
        Request::Withdraw("0000000000000001".into(), 5),
        Request::Run(Box::new(run_request())),
        Request::Speeds(CellSpeeds {
            cell: Cell { zone: "z0".into(), partition: 9 },
            speeds: vec![WorkerSpeed { worker: "w1".into(), percent: 55 }],
        }),
    ];
    let evacuation = ZoneRecord { zone: "z0".into(), offset: 300, is_evacuated: true };
    let owners = Reply::Owners(Vec::new(), vec![evacuation], vec![(cell, addr)]);
    let requests = requests.iter().map(|request| postcard::to_allocvec(request).unwrap());
    requests.chain([postcard::to_allocvec(&owners).unwrap()]).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn changed_messages_cause_no_panic(
        message in any::<prop::sample::Index>(),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
    ) {
        let messages = valid_messages();
        let mut bytes = message.get(&messages).clone();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        let length = cut.index(bytes.len() + 1);
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Request>(&bytes[..length]);
        let _ = postcard::from_bytes::<Reply>(&bytes);
    }

    /// Guards against reports of a faulty daemon that end the process or fill its memory.
    #[test]
    fn incorrect_load_reports_cause_no_panic_and_no_growth(
        reports in prop::collection::vec(prop::collection::vec(any::<u8>(), 24..30), 0..400),
        tasks in any::<u64>(),
        task_millicores in any::<u64>(),
    ) {
        let mut loads = LoadTable::new(["a", "b"]);
        let (cell, demand) = (Cell { zone: "a".into(), partition: 0 }, Demand { tasks, task_millicores });
        for bytes in &reports {
            let Ok(report) = postcard::from_bytes::<LoadReport>(bytes) else { continue };
            loads.record_reports(&[report], Millis(9));
            loads.record_sent(&cell, demand, Millis(9));
        }
        loads.fit(&cell, demand, Millis(9));
        prop_assert!(loads.len() <= 257, "{} cells", loads.len());
    }

    #[test]
    fn random_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = postcard::from_bytes::<Request>(&bytes);
        let _ = postcard::from_bytes::<Reply>(&bytes);
    }
}

#[test]
fn a_message_of_a_later_version_is_an_error() {
    assert!(postcard::from_bytes::<Request>(&[0x7f]).is_err());
    assert!(postcard::from_bytes::<Reply>(&[0x7f]).is_err());
}

/// The replies of the version before, which end after the queued work.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
enum PreviousReply {
    Outcome(Outcome, PreviousBacklog),
}

#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct PreviousBacklog {
    capacity_millicores: u64,
    free_millicores: u64,
    queued_work: u64,
}

/// Guards against answers that are lost in a rolling update, in which both versions run.
#[test]
fn outcomes_are_read_by_and_from_the_version_before() {
    let outcome = Outcome::NotRun { reason: Reason::Busy, retry_after_ms: 200 };
    let backlog =
        PreviousBacklog { capacity_millicores: 640_000, free_millicores: 7, queued_work: 300 };
    let bytes = postcard::to_allocvec(&PreviousReply::Outcome(outcome.clone(), backlog)).unwrap();
    let Reply::Outcome(read, backlog, reports) = postcard::from_bytes(&bytes).unwrap() else {
        panic!("another reply was read");
    };
    assert_eq!((&read, backlog.free_millicores, backlog.queued_work), (&outcome, 7, 300));
    assert_eq!((backlog.free, reports.len()), (None, 0));

    let free = FreeCores::new([(16_000, 8_000)].into_iter());
    let backlog = Backlog { free: Some(free), ..backlog };
    let bytes = postcard::to_allocvec(&Reply::Outcome(outcome, backlog, reports)).unwrap();
    let PreviousReply::Outcome(_, read) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!((read.free_millicores, read.queued_work), (7, 300));
}

/// Guards against jobs that are lost in a rolling update because the other version cannot read them.
#[test]
fn a_run_request_of_the_version_before_is_read() {
    let request = run_request();
    let bytes = postcard::to_allocvec(&(&request.cell, &request.submission)).unwrap();
    let read: RunRequest = postcard::from_bytes(&bytes).unwrap();
    assert_eq!((read.cell, read.submitter), (request.cell.clone(), None));
    let bytes = (&request.cell, &request.submission, &request.submitter);
    let read: RunRequest = postcard::from_bytes(&postcard::to_allocvec(&bytes).unwrap()).unwrap();
    assert_eq!((read.submitter, read.echoes_pings), (request.submitter, false));
    let bytes = (&request.cell, &request.submission, &request.submitter, request.echoes_pings);
    let read: RunRequest = postcard::from_bytes(&postcard::to_allocvec(&bytes).unwrap()).unwrap();
    assert_eq!((read.echoes_pings, read.attempt), (true, 0));
    let bytes = postcard::to_allocvec(&request).unwrap();
    let (_, submission): (Cell, Submission) = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(submission.spec, request.submission.spec);
}

/// The reply of the version before with the owners that it knows, after its variant.
type OwnersBefore = (u32, Vec<Ownership>, Vec<ZoneRecord>);

/// Guards against owners that stay unknown in a rolling update because the other version cannot read
/// who announces them.
#[test]
fn owners_are_read_by_and_from_the_version_before() {
    let ownership = Ownership {
        cell: Cell { zone: "z0".into(), partition: 9 },
        addr: ([127, 0, 0, 1], 7_000).into(),
        token: 7,
    };
    let holder = Some(([127, 0, 0, 2], 7_000).into());
    let bytes = postcard::to_allocvec(&Request::AnnounceOwner(ownership.clone(), holder)).unwrap();
    let Ok((variant, read)) = postcard::from_bytes::<(u32, Ownership)>(&bytes) else {
        panic!("the version before cannot read the announcement");
    };
    assert_eq!((&read.cell, read.addr, read.token), (&ownership.cell, ownership.addr, 7));
    let bytes = postcard::to_allocvec(&(variant, &ownership)).unwrap();
    let Ok(Request::AnnounceOwner(read, None)) = postcard::from_bytes(&bytes) else {
        panic!("the announcement of the version before cannot be read");
    };
    assert_eq!(read.cell, ownership.cell);

    let holders = vec![(ownership.cell.clone(), ownership.addr)];
    let reply = Reply::Owners(vec![ownership.clone()], Vec::new(), holders);
    let bytes = postcard::to_allocvec(&reply).unwrap();
    let (variant, owners, zones): OwnersBefore = postcard::from_bytes(&bytes).unwrap();
    assert_eq!((owners.len(), zones.len()), (1, 0));
    let bytes = postcard::to_allocvec(&(variant, &owners, &zones)).unwrap();
    let Ok(Reply::Owners(owners, _, holders)) = postcard::from_bytes(&bytes) else {
        panic!("the owners of the version before cannot be read");
    };
    assert_eq!((owners.len(), holders.len()), (1, 0));
}

/// Guards against reports that burden narrow links: 8 in each reply, of 24 bytes each.
#[test]
fn a_load_report_takes_at_most_24_bytes() {
    let (mut loads, cell) = (LoadTable::new(["a", "b"]), Cell { zone: "b".into(), partition: 27 });
    let backlog = Backlog {
        capacity_millicores: 1,
        queued_work: u64::MAX,
        free: Some(FreeCores::new([(u64::MAX, u64::MAX); 300].into_iter())),
        ..Backlog::default()
    };
    loads.record_backlog(&cell, backlog, Millis(100));
    let reports = loads.reports(&Cell { partition: 0, ..cell }, Millis(599));
    assert_eq!(reports.len(), 1);
    assert!(postcard::to_allocvec(&reports[0]).unwrap().len() <= 24);
}

/// Guards against cancellations that are lost in a rolling update because the other version cannot read
/// which request they end.
#[test]
fn cancellations_are_read_by_and_from_the_version_before() {
    let id = "0000000000000001";
    for request in [Request::Cancel(id.into(), 5), Request::Withdraw(id.into(), 5)] {
        let bytes = postcard::to_allocvec(&request).unwrap();
        let before: (u32, String) = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(before.1, id);
        let read = postcard::from_bytes(&postcard::to_allocvec(&before).unwrap());
        let Ok(Request::Cancel(read, 0) | Request::Withdraw(read, 0)) = read else {
            panic!("{request:?} of the version before cannot be read");
        };
        assert_eq!(&*read, id);
    }
}

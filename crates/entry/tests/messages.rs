//! Property tests of the messages between daemons: changed and random bytes are rejected or read,
//! without a panic.

use entry::protocol::{Ownership, ReleaseRequest, Reply, Request};
use entry::speeds::CellSpeeds;
use pool::cells::Cell;
use pool::speed::WorkerSpeed;
use proptest::prelude::*;

fn valid_messages() -> Vec<Vec<u8>> {
    let cell = Cell { zone: "z0".into(), partition: 9 };
    let addr = ([127, 0, 0, 1], 7_000).into();
    let requests = [
        Request::ReleaseCell(ReleaseRequest {
            cell: cell.clone(),
            generation: 300,
            is_settling: true,
        }),
        Request::AnnounceOwner(Ownership { cell: cell.clone(), addr, token: 7 }),
        Request::TakeOver(cell, 7),
        Request::Hello(addr, "z0".into()),
        Request::WorkerCounts,
        Request::Speeds(CellSpeeds {
            cell: Cell { zone: "z0".into(), partition: 9 },
            speeds: vec![WorkerSpeed { worker: "w1".into(), percent: 55 }],
        }),
    ];
    requests.iter().map(|request| postcard::to_allocvec(request).unwrap()).collect()
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

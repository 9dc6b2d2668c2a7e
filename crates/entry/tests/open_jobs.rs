//! Tests of the requests that share the run of one job.

use std::rc::Rc;

use entry::cancel::OpenJobs;
use futures_util::future::pending;
use pool::job::{Outcome, Reason};

/// Guards against a joined request that is answered after its own time limit, and against one that
/// outlives the cancellation of its job or keeps the run alive.
#[actix_rt::test]
async fn a_joined_request_ends_at_its_limit_or_with_the_job() {
    let (jobs, id) = (OpenJobs::default(), Rc::from("0000000000000001"));
    let run = Rc::new(());
    let request = |limit_ms| {
        let run = Rc::clone(&run);
        jobs.run(&id, limit_ms, async move {
            pending::<()>().await;
            drop(run);
            unreachable!("the run never ends")
        })
    };
    let cancel = async {
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
        jobs.cancel(&id)
    };
    let (first, early, late, found) =
        futures_util::join!(request(10), request(20), request(60_000), cancel);
    assert_eq!(early.map(|(outcome, _)| outcome), Some(Outcome::Aborted(Reason::TimeOver)));
    assert!(first.is_none() && late.is_none() && found);
    assert!(!jobs.contains(&id));
    assert_eq!(Rc::strong_count(&run), 1, "the run goes on without a request");
}

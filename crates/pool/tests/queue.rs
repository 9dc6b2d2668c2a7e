//! Tests of queue order, admission and retry delays under overload.

mod support;

use dispatch::clock::Millis;
use pool::catalogue::Terms;
use pool::job::Job;
use pool::queue::{Backlog, admits, retry_after_ms, sort_key, wait_for_resources_ms};
use support::{job, terms};

#[test]
fn wait_follows_the_ends_of_running_tasks() {
    // Ends of the running tasks, number of tasks that need resources, their run time, and the
    // expected wait until the last of them starts.
    let cases: [(&[u64], usize, u64, u64); 6] = [
        (&[], 0, 200, 0),
        (&[], 1, 200, u64::MAX),
        (&[90, 30, 60], 1, 200, 30),
        (&[90, 30, 60], 3, 200, 90),
        (&[90, 30, 60], 4, 200, 230),
        (&[10; 3], 10, 200, 610),
    ];
    for (ends_ms, needed, task_ms, expected_ms) in cases {
        let mut ends_ms = ends_ms.to_vec();
        let wait_ms = wait_for_resources_ms(&mut ends_ms, needed, task_ms);
        assert_eq!(wait_ms, expected_ms, "{needed} tasks");
    }
}

#[test]
fn late_job_is_admitted_only_if_no_other_job_waits() {
    // A job of 200 ms with an objective of 620 ms has to start within 420 ms to meet it, and within
    // 1,660 ms to be useful at all. Admission multiplies estimated waits by 1.25.
    let spec = job("0000000000000001", 2, 27, 200);
    let job = Job::new(spec, terms("r", 300, 2), Millis(1_000), 0, 3_000);
    let load = |waiting_ms: u64| Backlog {
        capacity_millicores: 64_000,
        free_millicores: 0,
        queued_work: waiting_ms * 54_400,
        free: None,
    };
    let cases = [
        (400, 0, true),
        (1_000, 0, true),
        (1_700, 0, false),
        (330, 10, true),
        (340, 10, false),
        (330, 500, true),
        (1_000, 500, false),
        (u64::MAX, 0, false),
    ];
    for (wait_ms, waiting_ms, expected) in cases {
        let admitted = admits(&job, wait_ms, &load(waiting_ms), Millis(1_000));
        assert_eq!(admitted, expected, "wait of {wait_ms} ms with {waiting_ms} ms queued");
    }
}

#[test]
fn less_urgent_class_is_refused_at_a_shorter_wait() {
    // The job has to start within 420 ms to meet its objective of 620 ms.
    let load =
        Backlog { capacity_millicores: 64_000, free_millicores: 0, queued_work: 1, free: None };
    let longest_ms = [(0, 336), (1, 168), (2, 112), (9, 112)];
    for (priority, longest_ms) in longest_ms {
        let terms = Terms { priority, ..terms("r", 300, 2) };
        let spec = job("0000000000000001", 2, 27, 200);
        let job = Job::new(spec, terms, Millis(1_000), 0, 3_000);
        assert!(admits(&job, longest_ms, &load, Millis(1_000)), "class {priority}");
        assert!(!admits(&job, longest_ms + 1, &load, Millis(1_000)), "class {priority}");
    }
}

#[test]
fn late_started_job_sorts_after_jobs_that_can_meet_their_objective() {
    let new = |arrived_ms: u64| {
        let spec = job("0000000000000001", 2, 27, 200);
        Job::new(spec, terms("r", 300, 2), Millis(arrived_ms), 0, 3_000)
    };
    let (mut late, early, fresh) = (new(1_000), new(1_400), new(1_500));
    late.started = true;
    let now = Millis(1_500);
    assert!(sort_key(&early, now) < sort_key(&fresh, now));
    assert!(sort_key(&fresh, now) < sort_key(&late, now));
}

#[test]
fn retry_delay_is_the_wait_within_fixed_limits() {
    for (wait_ms, expected_ms) in [(0, 200), (900, 900), (60_000, 5_000), (u64::MAX, 5_000)] {
        assert_eq!(retry_after_ms(wait_ms), expected_ms);
    }
}

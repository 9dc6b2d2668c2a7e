//! Admission under the loads that it is meant for.

mod support;

use dispatch::clock::Millis;
use pool::catalogue::Terms;
use pool::job::Job;
use pool::queue::{Backlog, admits, order, retry_after_ms, wait_for_room_ms};
use support::{job, terms};

#[test]
fn room_comes_free_as_running_tasks_end() {
    // Ends of running tasks, tasks that need room, their time, and the wait for the last of them.
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
        let wait_ms = wait_for_room_ms(&mut ends_ms, needed, task_ms);
        assert_eq!(wait_ms, expected_ms, "{needed} tasks");
    }
}

#[test]
fn late_jobs_are_taken_only_where_they_make_no_other_late() {
    // A job of 200 ms with an objective of 620 ms can begin after 420 ms, and help until 1,660 ms;
    // an estimated wait may become a quarter longer.
    let spec = job("0000000000000001", 2, 27, 200);
    let job = Job::new(spec, terms("r", 300, 2), Millis(1_000), 0, 3_000);
    let load = |waiting_ms: u64| Backlog {
        capacity_millicores: 64_000,
        free_millicores: 0,
        waiting_work: waiting_ms * 54_400,
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
    for (wait_ms, waiting_ms, taken) in cases {
        let admitted = admits(&job, wait_ms, &load(waiting_ms), Millis(1_000));
        assert_eq!(admitted, taken, "wait {wait_ms} behind {waiting_ms}");
    }
}

#[test]
fn a_less_urgent_class_is_refused_at_a_shorter_wait() {
    // As above: 420 ms are left before the job has to begin.
    let load = Backlog { capacity_millicores: 64_000, free_millicores: 0, waiting_work: 1 };
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
fn a_begun_job_that_is_late_waits_behind_those_that_can_be_in_time() {
    let new = |arrived_ms: u64| {
        let spec = job("0000000000000001", 2, 27, 200);
        Job::new(spec, terms("r", 300, 2), Millis(arrived_ms), 0, 3_000)
    };
    let (mut late, early, fresh) = (new(1_000), new(1_400), new(1_500));
    late.begun = true;
    let now = Millis(1_500);
    assert!(order(&early, now) < order(&fresh, now));
    assert!(order(&fresh, now) < order(&late, now));
}

#[test]
fn callers_are_told_to_come_back_when_the_work_ahead_is_done() {
    for (wait_ms, told_ms) in [(0, 200), (900, 900), (60_000, 5_000), (u64::MAX, 5_000)] {
        assert_eq!(retry_after_ms(wait_ms), told_ms);
    }
}

//! The bounds on which it rests that a task has one run at a time, and the inequality over them.
//!
//! A caller that has had no answer sends its request again after [`RESEND_MS`], to any daemon. Every
//! run of its task must have ended by then, or be known to the owner of the cell that gets the
//! request. `docs/design/on-the-platform.md` has the cases as a table; the build fails if a bound is
//! changed so that one of them breaks.

pub use crate::adoption::{IN_DOUBT_REPORTED_MS, IN_DOUBT_UNRESPONSIVE_MS};
pub use crate::pool::{LINK_TIMEOUT_MS, MAX_STALL_MS};
pub use crate::worker::{
    ADOPTION_WINDOW_MS, LATE_START_MS, LEASE_BOUND_MS, LEASE_MS, MAX_LEASE_BOUND_MS, RENEW_AHEAD_MS,
};

/// Time from a caller's decision that it has had no answer to its next request, in milliseconds; the
/// users' `resendMs`.
pub const RESEND_MS: u64 = 1_300;
/// Longest time that a message between two VMs is on its way without being counted as lost, in
/// milliseconds, such as the closing of a caller's connection.
pub const TRANSIT_MS: u64 = 50;
/// Longest time for which any one process may stand still without a task getting two runs, in
/// milliseconds: a worker ends its runs that much late, or a caller closes its connection that much
/// after it has decided that it had no answer.
pub const STALL_MS: u64 = 300;
/// How long after the last sign of life of a job's submitter its tasks are started and their leases
/// renewed, in milliseconds. The sign of life is a time at which the submitter's daemon had processed
/// its I/O and still waited, not the time at which a message arrived or was read.
pub const CONTACT_MS: u64 = 200;
/// Interval between two pings of an owner to each daemon whose jobs it runs, in milliseconds.
pub const CONTACT_INTERVAL_MS: u64 = 100;
/// Longest time from the arrival of a job from another daemon to the first ping, in milliseconds.
/// Long enough that a job which is refused at once costs none.
pub const FIRST_PING_DELAY_MS: u64 = 40;
/// Longest interval at which an owner makes sure that it has processed its own I/O, in milliseconds,
/// while its event loop runs.
pub const IO_INTERVAL_MS: u64 = 120;

/// Latest end of a run, counted from the decision that its caller has had no answer: the departure
/// reaches the submitter's daemon, which is then known to wait no later than that, and the owner counts
/// with that for [`CONTACT_MS`]. A lease covers all runs on its worker, also those that start after it
/// was granted. Holds whether the owner hears of the departure or not, stalls, dies or hands the
/// cell over, and whichever direction of the link is cut, since nothing in it is the time of a
/// detection. A run that no job adopts is never renewed.
const LATEST_END_MS: u64 = TRANSIT_MS + CONTACT_MS + LEASE_BOUND_MS;
const _: () =
    assert!(LATEST_END_MS + STALL_MS < RESEND_MS, "a run outlives the next request of its caller");
/// The same for a worker whose reports do not name its process, which may grant its longest lease from
/// the arrival of a call.
const _: () = assert!(
    TRANSIT_MS + CONTACT_MS + MAX_LEASE_BOUND_MS < RESEND_MS,
    "a run at an unnamed process outlives the next request of its caller"
);

/// The owner ends a job itself, and its answer reaches the caller before the last run has ended.
const _: () = assert!(
    LEASE_BOUND_MS + STALL_MS < RESEND_MS && MAX_LEASE_BOUND_MS < RESEND_MS,
    "a run outlives an answer to its caller"
);

// A process of a worker that its owner does not know cannot grant less than the known one.
const _: () = assert!(LEASE_MS < LEASE_BOUND_MS && LEASE_BOUND_MS <= MAX_LEASE_BOUND_MS);

// The submitter gives up its link to an owner, and submits the job to the next one. The request to
// the previous owner may still have been on its way, and its contact counts from its arrival.
const _: () = assert!(
    TRANSIT_MS + CONTACT_MS + MAX_LEASE_BOUND_MS + STALL_MS <= IN_DOUBT_UNRESPONSIVE_MS,
    "the next owner starts a task beside the run of a previous one that lost its submitter"
);
// An owner of the version before counts with the submitter until it notices the broken link.
const _: () = assert!(LINK_TIMEOUT_MS + MAX_LEASE_BOUND_MS + STALL_MS <= IN_DOUBT_UNRESPONSIVE_MS);
// An owner that hands its cell over renews no lease after that.
const _: () = assert!(
    MAX_LEASE_BOUND_MS + STALL_MS <= IN_DOUBT_REPORTED_MS,
    "the next owner starts a task beside the run that was handed over to it"
);
// A run that no job has adopted is stopped while its lease may last.
const _: () = assert!(ADOPTION_WINDOW_MS < LEASE_MS);
// A start without a reply may begin when the lease that it was sent with is long over.
const _: () = assert!(MAX_LEASE_BOUND_MS < LATE_START_MS && RESEND_MS < LATE_START_MS);

// An owner that stalled drops its jobs before it can take the link for silent.
const _: () = assert!(MAX_STALL_MS < LINK_TIMEOUT_MS);
// Runs keep their lease, and tasks start, while pings are answered in time and the loop runs. A lease
// outlasts a silence of its submitter until the link is broken.
const _: () = assert!(CONTACT_INTERVAL_MS < CONTACT_MS && CONTACT_MS < LINK_TIMEOUT_MS);
const _: () = assert!(IO_INTERVAL_MS + FIRST_PING_DELAY_MS < CONTACT_MS);
const _: () = assert!(LINK_TIMEOUT_MS < RENEW_AHEAD_MS);

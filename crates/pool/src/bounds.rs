//! The bounds on which it rests that a task has one run at a time.
//!
//! A caller that has had no answer sends its request again after [`RESEND_MS`], to any daemon. Every
//! run of its task must have ended by then, or be known to the owner of the cell that gets the
//! request. See `docs/design/on-the-platform.md`.

pub use crate::adoption::{IN_DOUBT_REPORTED_MS, IN_DOUBT_UNRESPONSIVE_MS};
pub use crate::pool::{LINK_TIMEOUT_MS, MAX_STALL_MS};
pub use crate::worker::{
    ADOPTION_WINDOW_MS, LATE_START_MS, LEASE_BOUND_MS, LEASE_MS, MAX_LEASE_BOUND_MS, RENEW_AHEAD_MS,
};

/// Time from a caller's decision that it has had no answer to its next request, in milliseconds; the
/// users' `resendMs`.
pub const RESEND_MS: u64 = 1_300;
/// Longest time that a message between two VMs is on its way without being counted as lost, in
/// milliseconds: the closing of a caller's connection, or a request to run a job.
pub const TRANSIT_MS: u64 = 50;
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

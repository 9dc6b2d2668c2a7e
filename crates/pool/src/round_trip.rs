//! How long to wait for the replies of workers.
//!
//! A narrow link that a wide job fills delays replies by more than a fixed time-out allows. Taking
//! them for lost stops runs that have begun, and the stops and restarts add to the load on the
//! link. The time-out therefore follows the round-trip times of late, as the retransmission
//! time-out of TCP does (RFC 6298). Its upper limit keeps leases renewed in time, see
//! [`MAX_TIMEOUT_MS`].

/// Lower limit of the time-out, in milliseconds. A lost reply costs a short task this long.
pub const MIN_TIMEOUT_MS: u64 = 100;
/// Upper limit of the time-out, in milliseconds. Twice this and a short wait at the worker fit into
/// a lease.
pub const MAX_TIMEOUT_MS: u64 = 350;
/// Weight of the latest round trip in the smoothed round-trip time (RFC 6298, section 2).
const SMOOTHED_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of the latest deviation in the smoothed deviation (RFC 6298, section 2).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations that the time-out allows for (RFC 6298, section 2).
const DEVIATIONS: f64 = 4.0;
/// Factor by which each call without a reply lengthens the time-out until a reply arrives.
const BACKOFF: f64 = 1.5;
/// Number of consecutive calls without a reply after which the time-out grows no further.
const MAX_BACKOFFS: i32 = 4;

/// Smoothed round-trip time of the calls to the workers of a cell.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTrip {
    smoothed_ms: Option<f64>,
    deviation_ms: f64,
    unanswered: i32,
}

impl RoundTrip {
    /// Records a call that was answered after `took_ms` milliseconds.
    pub fn record_reply(&mut self, took_ms: u64) {
        self.unanswered = 0;
        let took_ms = took_ms as f64;
        let Some(smoothed_ms) = self.smoothed_ms else {
            self.smoothed_ms = Some(took_ms);
            self.deviation_ms = took_ms / 2.0;
            return;
        };
        let off_ms = took_ms - smoothed_ms;
        self.deviation_ms += DEVIATION_WEIGHT * (off_ms.abs() - self.deviation_ms);
        self.smoothed_ms = Some(smoothed_ms + SMOOTHED_WEIGHT * off_ms);
    }

    /// Records a call that got no reply within the time-out.
    pub fn record_timeout(&mut self) {
        self.unanswered = (self.unanswered + 1).min(MAX_BACKOFFS);
    }

    /// Returns how long to wait for a reply, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        let expected_ms = self.smoothed_ms.unwrap_or(0.0) + DEVIATIONS * self.deviation_ms;
        let base_ms = expected_ms.max(MIN_TIMEOUT_MS as f64);
        ((base_ms * BACKOFF.powi(self.unanswered)) as u64).min(MAX_TIMEOUT_MS)
    }
}

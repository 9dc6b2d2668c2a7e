//! How the process of a daemon joins the store's group after its start.
//!
//! The fencing tokens that a holder issues are remembered in its memory only, and begin again with each
//! generation of the store's assignment. A process that starts while the group still lists its
//! predecessor, under the same name, would be assigned the same partitions in the same generation,
//! and would issue tokens that the predecessor's orders have, which may still be on their way. It
//! therefore ends the predecessor's membership first: the generation increases with each change of the
//! group, so that the process issues tokens in later generations only. See
//! `docs/design/on-the-platform.md`.

use dispatch::clock::Millis;

/// How long the group's list is awaited before the membership is ended without knowing whether it
/// exists, in milliseconds. The store may lose or refuse reads while it carries out other calls.
const LISTING_WAIT_MS: u64 = 300;

/// What a daemon may ask of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupCall {
    /// Nothing until it is known whether the group lists the daemon.
    Wait,
    /// End the membership that a previous process may have.
    Leave,
    /// Join, or renew the membership of this process.
    Join,
}

/// What a process knows of the membership of its predecessor under the same name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Arrival {
    /// Nothing was asked yet.
    #[default]
    Started,
    /// The group's list has been awaited since this time.
    AwaitsListing(Millis),
    /// The group lists a previous process.
    Listed,
    /// A previous process holds no partition of any generation that this process can be assigned.
    Cleared,
}

impl Arrival {
    /// Returns what to ask of the group at `now`.
    pub const fn next_call(&mut self, now: Millis) -> GroupCall {
        match *self {
            Self::Started => {
                *self = Self::AwaitsListing(now);
                GroupCall::Wait
            }
            Self::AwaitsListing(since) if now.since(since) < LISTING_WAIT_MS => GroupCall::Wait,
            Self::AwaitsListing(_) | Self::Listed => GroupCall::Leave,
            Self::Cleared => GroupCall::Join,
        }
    }

    /// Records whether the group lists this daemon as the holder of a partition, as read by this
    /// process. If it does not before the first join, a previous process holds none, and none that it
    /// held before is of the present generation.
    pub const fn record_listing(&mut self, is_listed: bool) {
        match *self {
            Self::Cleared => {}
            Self::Started | Self::AwaitsListing(_) | Self::Listed => {
                *self = if is_listed { Self::Listed } else { Self::Cleared };
            }
        }
    }

    /// Records that the store has confirmed the end of the membership.
    pub const fn record_left(&mut self) {
        *self = Self::Cleared;
    }

    /// Whether this process may have joined the group.
    pub const fn is_cleared(self) -> bool {
        matches!(self, Self::Cleared)
    }
}

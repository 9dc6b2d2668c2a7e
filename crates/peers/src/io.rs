//! The order between pending I/O and what a daemon decides or vouches for.

/// Number of passes of the event loop after which the I/O that was ready is processed: one that polls
/// for it and wakes the tasks that read, one in which a task that reads a closed connection ends others,
/// and one in which these tell other daemons.
const PASSES: u32 = 3;

/// Returns after all I/O that is ready now has been processed by the tasks that wait for it. A process
/// that was paused has its timers handled first, without knowing what arrived meanwhile.
pub async fn process_ready_io() {
    for _ in 0..PASSES {
        tokio::task::yield_now().await;
    }
}

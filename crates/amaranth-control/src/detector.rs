//! Failure detectors: how long a peer may be silent before it is suspected.

mod arrival;
mod averaged;
mod fixed;
mod quantile;

use amaranth_core::time::Timestamp;

pub use arrival::{ArrivalDetector, ArrivalOptions};
pub use averaged::{AveragedDetector, AveragedOptions};
pub use fixed::FixedDetector;
pub use quantile::{QuantileDetector, QuantileOptions};

/// Computes the time at which a peer becomes suspect from the heartbeats of that peer.
///
/// A new detector has recorded no heartbeat. The member directory clones one for each peer.
pub trait FailureDetector {
    /// Records the heartbeat with the number `sequence`, which arrived at `now`.
    fn record_heartbeat(&mut self, now: Timestamp, sequence: u64);

    /// Returns the time at which the peer becomes suspect unless another heartbeat arrives, or
    /// `None` if no heartbeat was recorded.
    fn suspect_at(&self) -> Option<Timestamp>;

    /// Returns whether the peer is suspect at `now`.
    fn is_suspect(&self, now: Timestamp) -> bool {
        self.suspect_at().is_some_and(|moment| now >= moment)
    }
}

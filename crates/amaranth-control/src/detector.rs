//! Failure detection from heartbeats: how long a silence may last before a peer is suspect.

mod arrival;
mod averaged;
mod fixed;
mod quantile;

use amaranth_core::time::Timestamp;

pub use arrival::{ArrivalDetector, ArrivalOptions};
pub use averaged::{AveragedDetector, AveragedOptions};
pub use fixed::FixedDetector;
pub use quantile::{QuantileDetector, QuantileOptions};

/// Says from when on a silent peer is suspect.
///
/// A fresh detector has heard nothing; a directory clones one for each peer.
pub trait FailureDetector {
    /// Takes the heartbeat with this number, which arrived now.
    fn heard(&mut self, now: Timestamp, sequence: u64);

    /// Returns the moment at which the peer becomes suspect unless it is heard before, or nothing
    /// if it was never heard.
    fn suspect_at(&self) -> Option<Timestamp>;

    /// Returns whether the peer is suspect.
    fn is_suspect(&self, now: Timestamp) -> bool {
        self.suspect_at().is_some_and(|moment| now >= moment)
    }
}

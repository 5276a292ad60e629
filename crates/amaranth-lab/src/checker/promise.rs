//! The promises that a run is judged by.

use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

/// One promise of the brief.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// Every completion runs on exactly the adapter and version it asked for.
    ExactAdapter,
    /// An adapter that serves a request is not evicted.
    NoEvictionInFlight,
    /// Each caller receives the whole answer to its own request, or an explicit error.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving endpoint gets no new work after a few seconds.
    NoWorkWhenLeaving,
    /// A planned stop cuts no request in flight.
    GracefulStop,
    /// Accepted configuration is in force everywhere in time and never reverts.
    ConfigurationHolds,
}

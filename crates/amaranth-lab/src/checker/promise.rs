//! The promises that the checker tests a run for.

use serde::Serialize;
use strum::{Display, EnumIter, IntoStaticStr};

/// A property that amaranthfield promises to its callers and operators.
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
    /// Every completion runs on exactly the adapter and version that it names.
    ExactAdapter,
    /// An adapter that serves a request is not evicted.
    NoEvictionInFlight,
    /// Each caller receives the complete answer to its own request, or an explicit error.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TrueRefusal,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A draining endpoint receives no new work after a few seconds.
    #[strum(to_string = "no-work-when-leaving")]
    #[serde(rename = "no-work-when-leaving")]
    NoWorkWhenDraining,
    /// A planned stop aborts no request in flight.
    GracefulStop,
    /// Accepted configuration takes effect at every process in time and never reverts.
    ConfigurationHolds,
}

//! The faults that a run can cause.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A kind of fault from the brief's list of what fails.
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
    EnumString,
    IntoStaticStr,
    Serialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The log refuses every call.
    LogOut,
    /// The log takes calls and never answers.
    LogSilent,
    /// The log answers late.
    LogSlow,
    /// Appends take effect and their answers are lost.
    LogAnswersLost,
    /// The weight store refuses every call.
    StoreOut,
    /// The weight store is slow.
    StoreSlow,
    /// Loads fail at their end.
    LoadsFail,
    /// Orders take effect and their answers are lost.
    OrderAnswersLost,
    /// An engine restarts empty.
    EngineRestart,
    /// Answers of an engine break off.
    StreamsBroken,
    /// Answers of an engine go silent.
    StreamsSilent,
    /// An engine names another adapter in its answers.
    WrongEchoes,
    /// An agent is killed and started again.
    AgentKilled,
    /// An agent is stopped gracefully and started again.
    AgentDrained,
    /// An entry is killed and started again.
    EntryKilled,
    /// An entry is stopped gracefully and started again.
    EntryDrained,
    /// The service acts and its answers are lost.
    ServiceAnswersLost,
    /// Calls to the service are lost before it acts.
    ServiceCallsLost,
    /// An agent in front of the service is killed and started again.
    ServiceAgentKilled,
    /// Every open connection to an agent goes silent for good while new ones work.
    PathSilent,
    /// Every open connection to an agent is cut.
    PathCut,
    /// The configuration changes.
    ConfigurationChange,
}

//! The kinds of fault that a run can inject.

use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A kind of fault that a run can inject.
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
    /// The log accepts calls and never answers.
    LogSilent,
    /// The log delays every call.
    LogSlow,
    /// Appends to the log take effect, but their answers are lost.
    LogAnswersLost,
    /// The weight store refuses every call.
    StoreOut,
    /// The weight store delays every call.
    StoreSlow,
    /// Loads from the weight store fail at the end of their transfer.
    LoadsFail,
    /// Orders to an engine take effect, but their answers are lost.
    OrderAnswersLost,
    /// An engine restarts without adapters and aborts its requests.
    EngineRestart,
    /// The connections of the engines' answer streams are aborted.
    StreamsBroken,
    /// Answer streams of the engines go silent while their connections stay open.
    StreamsSilent,
    /// The engines name another adapter than the requested one in their answers.
    WrongEchoes,
    /// An agent of an engine is killed and restarted.
    AgentKilled,
    /// An agent of an engine is drained and restarted.
    AgentDrained,
    /// An entry is killed and restarted.
    EntryKilled,
    /// An entry is drained and restarted.
    EntryDrained,
    /// The plain service executes calls, but its answers are lost.
    ServiceAnswersLost,
    /// Calls to the plain service are lost before it executes them.
    ServiceCallsLost,
    /// An agent of the plain service is killed and restarted.
    ServiceAgentKilled,
    /// All further bytes on the open connections to agents are discarded; new connections work.
    PathSilent,
    /// Every open connection to an agent is closed.
    PathCut,
    /// A configuration change makes a new version of an adapter current.
    ConfigurationChange,
}

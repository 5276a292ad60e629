//! Causes faults in a running fleet and lifts them again.

use std::time::Duration;

use amaranth_core::errors::Result;
use amaranth_standin::engine::{EngineFaults, StreamFaults};
use amaranth_standin::faults::{CommonFaults, OutageKind};
use amaranth_standin::log_standin::LogFaults;
use amaranth_standin::path_standin::DiscardDirection;
use amaranth_standin::service_standin::ServiceFaults;
use amaranth_standin::store_standin::StoreFaults;

use crate::faults::fault_kind::FaultKind;
use crate::fleet::fleet_run::FleetRun;

/// Delay of a slow log and of a slow store.
const SLOW: Duration = Duration::from_millis(800);

/// Calls in a row that a counted fault hits.
const HITS: u32 = 5;

/// Events that an answer yields before its engine's fault strikes.
const EVENTS_BEFORE: u32 = 3;

/// Causes and lifts faults. Each fault in turn hits another engine, agent or entry.
#[derive(Debug, Default)]
pub struct FaultInjector {
    turn: usize,
    version: u64,
}

impl FaultInjector {
    /// Opens an injector that has caused nothing.
    pub const fn open() -> Self {
        Self {
            turn: 0,
            version: crate::fleet::configuration::FIRST_VERSION,
        }
    }

    /// Causes `fault`.
    ///
    /// # Errors
    ///
    /// Returns an error when a configuration change can't be built.
    pub async fn inject(&mut self, run: &mut FleetRun, fault: FaultKind) -> Result<()> {
        self.turn += 1;
        match fault {
            FaultKind::LogOut
            | FaultKind::LogSilent
            | FaultKind::LogSlow
            | FaultKind::LogAnswersLost => run.fleet.platform.log.set_faults(log_faults(fault)),
            FaultKind::StoreOut | FaultKind::StoreSlow | FaultKind::LoadsFail => {
                run.fleet.platform.store.set_faults(store_faults(fault));
            }
            FaultKind::OrderAnswersLost
            | FaultKind::StreamsBroken
            | FaultKind::StreamsSilent
            | FaultKind::WrongEchoes => {
                for named in &run.fleet.engines {
                    named.engine.set_faults(engine_faults(fault));
                }
            }
            FaultKind::EngineRestart => run.restart_engine(self.engine_agent(run)),
            FaultKind::ServiceAnswersLost | FaultKind::ServiceCallsLost => {
                for service in &run.fleet.services {
                    service.set_faults(service_faults(fault));
                }
            }
            FaultKind::AgentKilled => run.kill_agent(self.engine_agent(run)),
            FaultKind::AgentDrained => run.drain_agent(self.engine_agent(run)).await,
            FaultKind::ServiceAgentKilled => run.kill_agent(self.service_agent(run)),
            FaultKind::EntryKilled => run.kill_entry(self.entry(run)),
            FaultKind::EntryDrained => run.drain_entry(self.entry(run)).await,
            FaultKind::PathSilent => {
                for path in &run.fleet.paths {
                    path.discard_bytes(DiscardDirection::Both);
                }
            }
            FaultKind::PathCut => {
                for path in &run.fleet.paths {
                    path.close_connections();
                }
            }
            FaultKind::ConfigurationChange => {
                self.version += 1;
                run.change_configuration(self.version).await?;
            }
        }
        Ok(())
    }

    /// Lifts `fault`.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started again.
    pub async fn lift(&mut self, run: &mut FleetRun, fault: FaultKind) -> Result<()> {
        match fault {
            FaultKind::LogOut
            | FaultKind::LogSilent
            | FaultKind::LogSlow
            | FaultKind::LogAnswersLost => {
                run.fleet.platform.log.set_faults(LogFaults::default());
            }
            FaultKind::StoreOut | FaultKind::StoreSlow | FaultKind::LoadsFail => {
                run.fleet.platform.store.set_faults(StoreFaults::default());
            }
            FaultKind::OrderAnswersLost
            | FaultKind::StreamsBroken
            | FaultKind::StreamsSilent
            | FaultKind::WrongEchoes => {
                for named in &run.fleet.engines {
                    named.engine.set_faults(EngineFaults::default());
                }
            }
            FaultKind::ServiceAnswersLost | FaultKind::ServiceCallsLost => {
                for service in &run.fleet.services {
                    service.set_faults(ServiceFaults::default());
                }
            }
            FaultKind::AgentKilled | FaultKind::AgentDrained | FaultKind::ServiceAgentKilled => {
                for index in 0..run.fleet.agents.len() {
                    run.restart_agent(index).await?;
                }
            }
            FaultKind::EntryKilled | FaultKind::EntryDrained => {
                for index in 0..run.fleet.entries.len() {
                    run.restart_entry(index).await?;
                }
            }
            FaultKind::EngineRestart
            | FaultKind::PathSilent
            | FaultKind::PathCut
            | FaultKind::ConfigurationChange => {}
        }
        Ok(())
    }

    /// The agents of the engines come first.
    const fn engine_agent(&self, run: &FleetRun) -> usize {
        self.turn % run.fleet.engines.len()
    }

    const fn service_agent(&self, run: &FleetRun) -> usize {
        run.fleet.engines.len() + self.turn % run.fleet.services.len()
    }

    const fn entry(&self, run: &FleetRun) -> usize {
        self.turn % run.fleet.entries.len()
    }
}

fn outage(outage: OutageKind) -> CommonFaults {
    CommonFaults {
        outage,
        ..CommonFaults::default()
    }
}

fn slow() -> CommonFaults {
    CommonFaults {
        delay: SLOW,
        ..CommonFaults::default()
    }
}

fn log_faults(fault: FaultKind) -> LogFaults {
    let mut faults = LogFaults::default();
    match fault {
        FaultKind::LogOut => faults.common = outage(OutageKind::Refusing),
        FaultKind::LogSilent => faults.common = outage(OutageKind::Silent),
        FaultKind::LogSlow => faults.common = slow(),
        _ => faults.lost_appends = HITS,
    }
    faults
}

fn store_faults(fault: FaultKind) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match fault {
        FaultKind::StoreOut => faults.common = outage(OutageKind::Refusing),
        FaultKind::StoreSlow => faults.common = slow(),
        _ => faults.failed_loads = HITS,
    }
    faults
}

fn engine_faults(fault: FaultKind) -> EngineFaults {
    let mut faults = EngineFaults::default();
    faults.streams.after_events = EVENTS_BEFORE;
    match fault {
        FaultKind::OrderAnswersLost => faults.lost_order_answers = HITS,
        FaultKind::StreamsBroken => faults.streams.broken = HITS,
        FaultKind::StreamsSilent => faults.streams.silent = HITS,
        _ => {
            faults.streams = StreamFaults {
                wrong_echoes: HITS,
                ..StreamFaults::default()
            };
        }
    }
    faults
}

fn service_faults(fault: FaultKind) -> ServiceFaults {
    let mut faults = ServiceFaults::default();
    match fault {
        FaultKind::ServiceAnswersLost => faults.lost_answers = HITS,
        _ => faults.dropped_calls = HITS,
    }
    faults
}

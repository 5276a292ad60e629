//! Injects faults into a running fleet and reverts them.

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

/// Delay of every call to a slow log or weight store.
const SLOW_DELAY: Duration = Duration::from_millis(800);

/// Number of consecutive calls that a counted fault affects.
const FAULT_COUNT: u32 = 5;

/// Number of events that an answer stream sends before its engine's fault takes effect.
const EVENTS_BEFORE_FAULT: u32 = 3;

/// Injects and reverts faults.
///
/// The engine, agent or entry that a fault affects is selected by the number of injected faults,
/// modulo the number of candidates.
#[derive(Debug, Default)]
pub struct FaultInjector {
    /// The number of injected faults, which selects the next engine, agent or entry.
    injected: usize,
    /// The current version of the changed adapter.
    version: u64,
}

impl FaultInjector {
    /// Creates an injector that has injected no fault.
    pub const fn new() -> Self {
        Self {
            injected: 0,
            version: crate::fleet::configuration::FIRST_VERSION,
        }
    }

    /// Injects `fault` into the fleet of `run`.
    ///
    /// # Errors
    ///
    /// Returns an error if a configuration change can't be built or appended.
    pub async fn inject(&mut self, run: &mut FleetRun, fault: FaultKind) -> Result<()> {
        self.injected += 1;
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
            FaultKind::EngineRestart => run.restart_engine(self.next_engine(run)),
            FaultKind::ServiceAnswersLost | FaultKind::ServiceCallsLost => {
                for service in &run.fleet.services {
                    service.set_faults(service_faults(fault));
                }
            }
            FaultKind::AgentKilled => run.kill_agent(self.next_engine(run)),
            FaultKind::AgentDrained => run.drain_agent(self.next_engine(run)).await,
            FaultKind::ServiceAgentKilled => run.kill_agent(self.next_service_agent(run)),
            FaultKind::EntryKilled => run.kill_entry(self.next_entry(run)),
            FaultKind::EntryDrained => run.drain_entry(self.next_entry(run)).await,
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

    /// Reverts `fault`: resets the faults of the stand-ins and restarts the stopped processes.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be restarted.
    pub async fn revert(&mut self, run: &mut FleetRun, fault: FaultKind) -> Result<()> {
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

    /// Returns the index of the next engine, which is also the index of its agent, since the
    /// agents of the engines come first.
    const fn next_engine(&self, run: &FleetRun) -> usize {
        self.injected % run.fleet.engines.len()
    }

    /// Returns the index of the next agent of the plain service.
    const fn next_service_agent(&self, run: &FleetRun) -> usize {
        run.fleet.engines.len() + self.injected % run.fleet.services.len()
    }

    /// Returns the index of the next entry.
    const fn next_entry(&self, run: &FleetRun) -> usize {
        self.injected % run.fleet.entries.len()
    }
}

fn outage_faults(outage: OutageKind) -> CommonFaults {
    CommonFaults {
        outage,
        ..CommonFaults::default()
    }
}

fn delay_faults() -> CommonFaults {
    CommonFaults {
        delay: SLOW_DELAY,
        ..CommonFaults::default()
    }
}

fn log_faults(fault: FaultKind) -> LogFaults {
    let mut faults = LogFaults::default();
    match fault {
        FaultKind::LogOut => faults.common = outage_faults(OutageKind::Refusing),
        FaultKind::LogSilent => faults.common = outage_faults(OutageKind::Silent),
        FaultKind::LogSlow => faults.common = delay_faults(),
        _ => faults.lost_appends = FAULT_COUNT,
    }
    faults
}

fn store_faults(fault: FaultKind) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match fault {
        FaultKind::StoreOut => faults.common = outage_faults(OutageKind::Refusing),
        FaultKind::StoreSlow => faults.common = delay_faults(),
        _ => faults.failed_loads = FAULT_COUNT,
    }
    faults
}

fn engine_faults(fault: FaultKind) -> EngineFaults {
    let mut faults = EngineFaults::default();
    faults.streams.after_events = EVENTS_BEFORE_FAULT;
    match fault {
        FaultKind::OrderAnswersLost => faults.lost_order_answers = FAULT_COUNT,
        FaultKind::StreamsBroken => faults.streams.broken = FAULT_COUNT,
        FaultKind::StreamsSilent => faults.streams.silent = FAULT_COUNT,
        _ => {
            faults.streams = StreamFaults {
                wrong_echoes: FAULT_COUNT,
                ..StreamFaults::default()
            };
        }
    }
    faults
}

fn service_faults(fault: FaultKind) -> ServiceFaults {
    let mut faults = ServiceFaults::default();
    match fault {
        FaultKind::ServiceAnswersLost => faults.lost_answers = FAULT_COUNT,
        _ => faults.dropped_calls = FAULT_COUNT,
    }
    faults
}

//! A set of stand-ins that run in one process.

use std::io;
use std::time::Duration;

use crate::settings::StandinSettings;
use crate::{EngineStandin, LogStandin, ServiceStandin, StoreStandin, VmListStandin};

/// Longest time for which a drain waits for the calls in flight.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The running stand-ins of one process.
#[derive(Debug)]
pub struct StandinProcess {
    log: Option<LogStandin>,
    store: Option<StoreStandin>,
    vm_list: Option<VmListStandin>,
    engine: Option<EngineStandin>,
    service: Option<ServiceStandin>,
}

impl StandinProcess {
    /// Spawns each stand-in for which `settings` has a table.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound.
    pub async fn spawn(settings: StandinSettings) -> io::Result<Self> {
        let mut process = Self {
            log: None,
            store: None,
            vm_list: None,
            engine: None,
            service: None,
        };
        if let Some(options) = settings.log {
            let log = LogStandin::spawn(options).await?;
            log::info!("event=listening standin=log address={}", log.address());
            process.log = Some(log);
        }
        if let Some(options) = settings.store {
            let store = StoreStandin::spawn(options).await?;
            log::info!("event=listening standin=store address={}", store.address());
            process.store = Some(store);
        }
        if let Some(options) = settings.vm_list {
            let list = VmListStandin::spawn(options).await?;
            log::info!("event=listening standin=vm-list address={}", list.address());
            process.vm_list = Some(list);
        }
        if let Some(options) = settings.engine {
            let engine = EngineStandin::spawn(options).await?;
            log::info!(
                "event=listening standin=engine address={}",
                engine.address()
            );
            process.engine = Some(engine);
        }
        if let Some(options) = settings.service {
            let service = ServiceStandin::spawn(options).await?;
            log::info!(
                "event=listening standin=service address={}",
                service.address()
            );
            process.service = Some(service);
        }
        Ok(process)
    }

    /// Stops accepting calls and returns when those in flight have ended or [`DRAIN_TIMEOUT`] has
    /// passed.
    ///
    /// The timeout is needed because a call that a fault leaves unanswered never ends.
    pub async fn drain(self) {
        let draining = self.drain_all();
        if tokio::time::timeout(DRAIN_TIMEOUT, draining).await.is_err() {
            log::warn!("event=drain_cut limit_ms={}", DRAIN_TIMEOUT.as_millis());
        }
    }

    async fn drain_all(self) {
        tokio::join!(
            drain_standin(self.log.map(LogStandin::drain)),
            drain_standin(self.store.map(StoreStandin::drain)),
            drain_standin(self.vm_list.map(VmListStandin::drain)),
            drain_standin(self.engine.map(EngineStandin::drain)),
            drain_standin(self.service.map(ServiceStandin::drain)),
        );
    }
}

async fn drain_standin(draining: Option<impl Future<Output = ()>>) {
    if let Some(draining) = draining {
        draining.await;
    }
}

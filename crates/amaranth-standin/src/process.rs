//! The stand-ins that one process runs.

use std::io;
use std::time::Duration;

use crate::settings::StandinSettings;
use crate::{EngineStandin, LogStandin, ServiceStandin, StoreStandin, VmListStandin};

/// Longest time that calls in flight have to end.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Running stand-ins.
#[derive(Debug)]
pub struct StandinProcess {
    log: Option<LogStandin>,
    store: Option<StoreStandin>,
    vm_list: Option<VmListStandin>,
    engine: Option<EngineStandin>,
    service: Option<ServiceStandin>,
}

impl StandinProcess {
    /// Spawns every stand-in that `settings` has a table for.
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

    /// Stops taking calls and returns when those in flight have ended, or after [`DRAIN_LIMIT`],
    /// since a call that a fault keeps silent never ends.
    pub async fn drain(self) {
        let draining = self.drain_all();
        if tokio::time::timeout(DRAIN_LIMIT, draining).await.is_err() {
            log::warn!("event=drain_cut limit_ms={}", DRAIN_LIMIT.as_millis());
        }
    }

    async fn drain_all(self) {
        tokio::join!(
            drain_one(self.log.map(LogStandin::drain)),
            drain_one(self.store.map(StoreStandin::drain)),
            drain_one(self.vm_list.map(VmListStandin::drain)),
            drain_one(self.engine.map(EngineStandin::drain)),
            drain_one(self.service.map(ServiceStandin::drain)),
        );
    }
}

async fn drain_one(draining: Option<impl Future<Output = ()>>) {
    if let Some(draining) = draining {
        draining.await;
    }
}

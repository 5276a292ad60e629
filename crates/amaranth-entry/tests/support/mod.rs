//! What the tests of the entry share: a fake agent and a caller.

pub mod caller;
pub mod fake_agent;

use std::sync::Arc;
use std::time::Duration;

use amaranth_core::errors::{Result, not_found};
use amaranth_core::ids::{CallerId, ConfigRevision};
use amaranth_core::request::ModelTarget;
use amaranth_entry::request_catalogue::{
    CurrentCatalogue, RequestCatalogue, RevisedCatalogue, ServiceRule,
};
use amaranth_entry::{EntryPorts, EntryProcess, EntrySettings};
use arc_swap::ArcSwap;

/// Parses an id that is known to be good.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the id is well formed")
}

/// A configuration with model `tin`, adapter `depot@3` and service `desk`.
struct SmallCatalogue;

impl RequestCatalogue for SmallCatalogue {
    fn resolve_model(&self, model: &str, _caller: &CallerId) -> Result<ModelTarget> {
        match model {
            "tin" => Ok(ModelTarget::Base(id("tin"))),
            "depot" | "depot@3" => Ok(ModelTarget::Adapter {
                base: id("tin"),
                adapter: id("depot@3"),
            }),
            _ => Err(not_found(format!("model {model:?} does not exist"))),
        }
    }

    fn models(&self) -> Vec<String> {
        vec!["depot".to_owned(), "tin".to_owned()]
    }

    fn service_rule(&self, service: &str, method: &str, _path: &str) -> Result<ServiceRule> {
        match service {
            "desk" => Ok(ServiceRule {
                service: id("desk"),
                repeatable: method == "GET",
            }),
            _ => Err(not_found(format!("service {service:?} does not exist"))),
        }
    }
}

/// Settings with times that suit tests on loopback.
pub fn settings() -> EntrySettings {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let mut settings = EntrySettings::loopback(id("entry-1"), id("obihiro-a"), id("doto"), nowhere);
    settings.peers.heartbeat = Duration::from_millis(100);
    settings.peers.silence = Duration::from_millis(400);
    settings.peers.announcement_timeout = Duration::from_secs(60);
    settings.limits.max_body = amaranth_core::units::ByteSize(64 << 10);
    settings
}

/// Starts an entry with the small configuration.
pub async fn spawn_entry(settings: EntrySettings) -> EntryProcess {
    let catalogue: CurrentCatalogue = Arc::new(ArcSwap::from_pointee(RevisedCatalogue {
        revision: ConfigRevision(7),
        catalogue: Arc::new(SmallCatalogue),
    }));
    let ports = EntryPorts {
        catalogue,
        ..EntryPorts::default()
    };
    EntryProcess::spawn_with(settings, ports)
        .await
        .expect("the entry starts")
}

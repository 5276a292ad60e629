//! The entries that the agent announces to and asks for permits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::DataCentreName;
use amaranth_ports::vm_list::{VmListPort, VmRole};
use arc_swap::ArcSwap;

use crate::entry_link::EntryLink;

/// Links to entries by their addresses.
pub type EntryLinks = BTreeMap<SocketAddr, Arc<EntryLink>>;

/// Knows the entries of the data centre.
pub struct EntryDirectory {
    fixed: BTreeSet<SocketAddr>,
    vm_list: Option<Arc<dyn VmListPort>>,
    data_centre: DataCentreName,
    timeout: Duration,
    links: ArcSwap<EntryLinks>,
}

impl EntryDirectory {
    /// Opens a directory of the `fixed` entries and those that `vm_list` names. An entry has
    /// `timeout` to answer.
    pub fn open(
        fixed: impl IntoIterator<Item = SocketAddr>,
        vm_list: Option<Arc<dyn VmListPort>>,
        data_centre: DataCentreName,
        timeout: Duration,
    ) -> Self {
        let directory = Self {
            fixed: fixed.into_iter().collect(),
            vm_list,
            data_centre,
            timeout,
            links: ArcSwap::default(),
        };
        directory.publish(&BTreeSet::new());
        directory
    }

    /// Returns the links to all known entries.
    pub fn links(&self) -> Arc<EntryLinks> {
        self.links.load_full()
    }

    /// Reads the list of VMs again. Without an answer the entries known before stay.
    ///
    /// Leaving entries are kept: they route until they are gone.
    pub async fn refresh(&self) {
        let Some(vm_list) = &self.vm_list else {
            return;
        };
        match vm_list.list().await {
            Ok(records) => {
                let listed = records
                    .into_iter()
                    .filter(|record| record.role == VmRole::Entry)
                    .filter(|record| record.data_centre == self.data_centre)
                    .map(|record| record.address)
                    .collect();
                self.publish(&listed);
            }
            Err(error) => log::warn!("event=vm_list_lost error={:?}", error.to_string()),
        }
    }

    /// Publishes links to the fixed and the listed entries, keeping those that are open.
    fn publish(&self, listed: &BTreeSet<SocketAddr>) {
        let known = self.links.load();
        let link = |address: &SocketAddr| {
            let link = match known.get(address) {
                Some(link) => link.clone(),
                None => Arc::new(EntryLink::open(*address, self.timeout)),
            };
            (*address, link)
        };
        let links = self.fixed.union(listed).map(link).collect();
        self.links.store(Arc::new(links));
    }
}

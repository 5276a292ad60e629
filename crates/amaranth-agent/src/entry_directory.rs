//! The entries to which the agent sends announcements and permit requests.

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

/// The entries of the agent's data centre, with a link to each.
pub struct EntryDirectory {
    fixed: BTreeSet<SocketAddr>,
    vm_list: Option<Arc<dyn VmListPort>>,
    data_centre: DataCentreName,
    timeout: Duration,
    links: ArcSwap<EntryLinks>,
}

impl EntryDirectory {
    /// Creates a directory of the `fixed` entries and those in `vm_list`. A call to an entry times
    /// out after `timeout`.
    pub fn new(
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

    /// Reads the list of VMs again. If it can't be read, the known entries stay.
    ///
    /// Draining entries are kept, since they route calls until they are removed from the list.
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
                None => Arc::new(EntryLink::new(*address, self.timeout)),
            };
            (*address, link)
        };
        let links = self.fixed.union(listed).map(link).collect();
        self.links.store(Arc::new(links));
    }
}

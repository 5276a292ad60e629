//! The entries that the agent announces to and asks for permits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranth_core::ids::DataCentreName;
use amaranth_ports::vm_list::{VmListPort, VmRole};
use amaranth_wire::entry::{EntryRpcClient, connect};
use tokio::sync::Mutex;

/// Knows the entries of the data centre and holds a connection to each.
pub struct EntryDirectory {
    fixed: BTreeSet<SocketAddr>,
    vm_list: Option<Arc<dyn VmListPort>>,
    data_centre: DataCentreName,
    timeout: Duration,
    listed: Mutex<BTreeSet<SocketAddr>>,
    clients: Mutex<BTreeMap<SocketAddr, EntryRpcClient>>,
}

impl std::fmt::Debug for EntryDirectory {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EntryDirectory")
            .field("fixed", &self.fixed)
            .finish_non_exhaustive()
    }
}

impl EntryDirectory {
    /// Opens a directory of the `fixed` entries and those that `vm_list` names.
    pub fn open(
        fixed: impl IntoIterator<Item = SocketAddr>,
        vm_list: Option<Arc<dyn VmListPort>>,
        data_centre: DataCentreName,
        timeout: Duration,
    ) -> Self {
        Self {
            fixed: fixed.into_iter().collect(),
            vm_list,
            data_centre,
            timeout,
            listed: Mutex::new(BTreeSet::new()),
            clients: Mutex::new(BTreeMap::new()),
        }
    }

    /// Reads the list of VMs again. Without an answer the entries known before stay.
    pub async fn refresh(&self) {
        let Some(vm_list) = &self.vm_list else {
            return;
        };
        let records = match vm_list.list().await {
            Ok(records) => records,
            Err(error) => {
                log::warn!("event=vm_list_lost error={:?}", error.to_string());
                return;
            }
        };
        let listed: BTreeSet<SocketAddr> = records
            .into_iter()
            .filter(|record| record.role == VmRole::Entry)
            .filter(|record| record.data_centre == self.data_centre)
            .map(|record| record.address)
            .collect();
        *self.listed.lock().await = listed;
        let known = self.addresses().await;
        self.clients
            .lock()
            .await
            .retain(|address, _| known.contains(address));
    }

    /// Returns the addresses of all known entries.
    pub async fn addresses(&self) -> BTreeSet<SocketAddr> {
        let listed = self.listed.lock().await;
        self.fixed.union(&listed).copied().collect()
    }

    /// Returns the open connections in the order of their addresses.
    pub async fn connected(&self) -> Vec<EntryRpcClient> {
        self.clients.lock().await.values().cloned().collect()
    }

    /// Returns the connection to `address`, opening one if there is none.
    pub async fn client(&self, address: SocketAddr) -> Option<EntryRpcClient> {
        if let Some(client) = self.clients.lock().await.get(&address) {
            return Some(client.clone());
        }
        let client = connect(address, self.timeout).await.ok()?;
        self.clients.lock().await.insert(address, client.clone());
        Some(client)
    }

    /// Gives up the connection to `address`, so that the next use opens another.
    pub async fn abandon(&self, address: SocketAddr) {
        if self.clients.lock().await.remove(&address).is_some() {
            log::info!("event=entry_connection_abandoned entry={address}");
        }
    }
}

//! The HTTP client of [`crate::vm_list::VmListPort`].

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::ids::RequestId;
use async_trait::async_trait;
use bytes::Bytes;
use http::Method;

use crate::errors::PortResult;
use crate::http_client::HttpClient;
use crate::vm_list::{VmListPort, VmRecord};

/// Timeout of reading the list.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// The HTTP client of the VM list.
#[derive(Debug, Clone)]
pub struct HttpVmList {
    client: HttpClient,
}

impl HttpVmList {
    /// Creates a client of the VM list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
        }
    }
}

#[async_trait]
impl VmListPort for HttpVmList {
    async fn list(&self) -> PortResult<Vec<VmRecord>> {
        let id = RequestId(rand::random());
        let request = self.client.identified_request(id, Method::GET, "/vms");
        self.client
            .fetch_json(request, Bytes::new(), ANSWER_TIMEOUT)
            .await
    }
}

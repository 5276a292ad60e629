//! Records of the stream of leases.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::errors::{Result, invalid_request};
use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset, ProcessId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One incarnation of a process that holds or requests leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The process.
    pub process: ProcessId,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address on which the process listens. Two incarnations never listen on one address at
    /// the same time.
    pub address: SocketAddr,
}

/// A lease on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The fencing token, which is the offset of the record that acquired the lease.
    pub token: FencingToken,
}

/// The operation of a lease record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseOperation {
    /// Acquires endpoints whose leases have expired.
    ///
    /// The operation is rejected for an endpoint that a record of another incarnation names at
    /// an offset from `read_to` on, since the writer of the operation had not read that record.
    Acquire {
        /// The offset up to which the writer had read the stream.
        read_to: LogOffset,
        /// The endpoints to acquire.
        endpoints: Vec<EndpointId>,
    },
    /// Renews leases for another term.
    Renew {
        /// The leases to renew.
        leases: Vec<HeldLease>,
    },
    /// Releases leases. The holder has no order in transit and sends no more orders.
    Release {
        /// The leases to release.
        leases: Vec<HeldLease>,
    },
}

/// One record of the stream of leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The incarnation that wrote the record.
    pub holder: LeaseHolder,
    /// Number of the record within the incarnation, by which the writer recognizes its records.
    pub attempt: u64,
    /// The term of the leases. The holder counts it from when it sent the record, every other
    /// process from when it read the record.
    pub term: Duration,
    /// The operation.
    pub operation: LeaseOperation,
}

impl LeaseRecord {
    /// Encodes the record for the log.
    ///
    /// # Panics
    ///
    /// Panics if the encoder refuses the record. All its types are supported, so that would be a
    /// defect of the program.
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("every lease record encodes")
            .into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if `data` is not a lease record.
    pub fn decode(data: &[u8]) -> Result<Self> {
        postcard::from_bytes(data)
            .map_err(|error| invalid_request(format!("lease record is malformed: {error}")))
    }
}

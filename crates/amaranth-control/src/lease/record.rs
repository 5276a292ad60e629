//! Records of the stream of leases.

use std::net::SocketAddr;
use std::time::Duration;

use amaranth_core::errors::{Result, invalid_request};
use amaranth_core::ids::{EndpointId, FencingToken, Incarnation, LogOffset, ProcessId};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// One life of a process that holds or wants leases.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The process.
    pub process: ProcessId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The address on which it listens. Two lives never listen on one address at once.
    pub address: SocketAddr,
}

/// A lease on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldLease {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The offset of the record that took it.
    pub token: FencingToken,
}

/// What a record states.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseStatement {
    /// Takes endpoints whose leases have lapsed.
    ///
    /// It is void for an endpoint that a record of another life names at an offset from
    /// `read_to` on: the taker did not know of that record.
    Take {
        /// The end of the stream as the taker had read it.
        read_to: LogOffset,
        /// The endpoints.
        endpoints: Vec<EndpointId>,
    },
    /// Keeps leases for another term.
    Renew {
        /// The leases.
        leases: Vec<HeldLease>,
    },
    /// Gives leases up. The holder has no order in transit and sends none from here on.
    Release {
        /// The leases.
        leases: Vec<HeldLease>,
    },
}

/// One record of the stream of leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who states it.
    pub holder: LeaseHolder,
    /// Counts the records of one life, so that each finds its own again.
    pub attempt: u64,
    /// The term, counted by the holder from when it sent this record and by everyone else from
    /// when they read it.
    pub term: Duration,
    /// What it states.
    pub statement: LeaseStatement,
}

impl LeaseRecord {
    /// Encodes the record as the log carries it.
    ///
    /// # Panics
    ///
    /// Panics if the encoder refuses a type that it supports, which is a fault of the program.
    pub fn encode(&self) -> Bytes {
        postcard::to_stdvec(self)
            .expect("every lease record encodes")
            .into()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error when `data` is no lease record.
    pub fn decode(data: &[u8]) -> Result<Self> {
        postcard::from_bytes(data)
            .map_err(|error| invalid_request(format!("lease record is malformed: {error}")))
    }
}

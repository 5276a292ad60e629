//! Identifiers as newtypes with `Display` and `FromStr`.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{Error, ErrorKind, Result};

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Checks that `text` is a name: ASCII letters, digits, `-`, `_`, `.` and `/`.
fn check_name(role: &str, text: &str) -> Result<()> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(Error::new(
            ErrorKind::InvalidRequest,
            format!("{role} must have 1 to {MAX_NAME_BYTES} bytes"),
        ));
    }
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_./".contains(&byte);
    if text.bytes().all(allowed) {
        return Ok(());
    }
    Err(Error::new(
        ErrorKind::InvalidRequest,
        format!("{role} {text:?} may contain only letters, digits and - _ . /"),
    ))
}

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $role:literal) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
        )]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                check_name($role, text)?;
                Ok(Self(Arc::from(text)))
            }
        }
    };
}

name_type!(
    /// The name of a LoRA adapter, without a version.
    AdapterName, "adapter"
);
name_type!(
    /// The name of a base model.
    ModelName, "model"
);
name_type!(
    /// The name of a plain service.
    ServiceName, "service"
);
name_type!(
    /// The name of an endpoint: one engine or one instance of a plain service.
    EndpointId, "endpoint"
);
name_type!(
    /// The name of a data centre.
    DataCentreName, "data centre"
);
name_type!(
    /// The name of a region, which contains one or more data centres.
    RegionName, "region"
);
name_type!(
    /// The name of a caller, as its credentials or header state it.
    CallerId, "caller"
);
name_type!(
    /// The name of a team, which holds API keys and has a quota.
    TeamName, "team"
);
name_type!(
    /// The name of a VM.
    VmId, "vm"
);
name_type!(
    /// The name of a process, which stays the same when the process restarts.
    ProcessId, "process"
);

name_type!(
    /// The name of a rule that selects the adapter of a request.
    RuleName, "rule"
);
name_type!(
    /// The name of a group of endpoints in the configuration.
    EndpointGroupName, "endpoint group"
);

name_type!(
    /// The name of an operator, as configuration changes state it.
    OperatorName, "operator"
);

/// The version of an endpoint's software, as the endpoint states it; empty if it states none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> Self {
        version.0.as_ref().to_owned()
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Infallible> {
        Ok(Self(Arc::from(text)))
    }
}

macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $role:literal) => {
        $(#[$meta])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse().map(Self).map_err(|_| {
                    Error::new(
                        ErrorKind::InvalidRequest,
                        format!("{} {text:?} is not a whole number", $role),
                    )
                })
            }
        }
    };
}

number_type!(
    /// The version of an adapter, counted from 1 by its operators.
    AdapterVersion, "adapter version"
);
number_type!(
    /// The incarnation of a process, a number that is drawn at random when the process starts.
    Incarnation, "incarnation"
);
number_type!(
    /// The number of an accepted configuration change. Zero is the empty configuration.
    ConfigRevision, "configuration revision"
);
number_type!(
    /// The position of a record in one stream of the log.
    LogOffset, "log offset"
);
number_type!(
    /// The fencing token of an order to an engine; a larger token supersedes a smaller one.
    FencingToken, "fencing token"
);
number_type!(
    /// The number of times that a store was restored from an older copy of itself.
    Era, "era"
);
number_type!(
    /// The position of a chunk in one answer, counted from 0.
    Sequence, "sequence"
);

impl From<LogOffset> for FencingToken {
    fn from(offset: LogOffset) -> Self {
        Self(offset.0)
    }
}

/// The id of a claim: the position of its record in the log, by batch and index.
///
/// Claims are ordered by their ids. The claim with the smallest id for a free key wins.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct ClaimId {
    /// The log offset of the batch that contains the record.
    pub offset: LogOffset,
    /// The index of the record within the batch.
    pub index: u16,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.offset, self.index)
    }
}

impl FromStr for ClaimId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let malformed = || {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("claim id {text:?} is not \"offset.index\""),
            )
        };
        let (offset, index) = text.split_once('.').ok_or_else(malformed)?;
        Ok(Self {
            offset: offset.parse()?,
            index: index.parse().map_err(|_| malformed())?,
        })
    }
}

/// One version of one adapter, written `name@version`.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct AdapterRef {
    /// The name of the adapter.
    pub name: AdapterName,
    /// The version of the adapter.
    pub version: AdapterVersion,
}

impl fmt::Display for AdapterRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.name, self.version)
    }
}

impl FromStr for AdapterRef {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let (name, version) = text.split_once('@').ok_or_else(|| {
            Error::new(
                ErrorKind::InvalidRequest,
                format!("adapter {text:?} lacks \"@version\""),
            )
        })?;
        Ok(Self {
            name: name.parse()?,
            version: version.parse()?,
        })
    }
}

/// The globally unique id of a request, written as 32 hexadecimal digits.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        if text.len() == 32
            && let Ok(number) = u128::from_str_radix(text, 16)
        {
            return Ok(Self(number));
        }
        Err(Error::new(
            ErrorKind::InvalidRequest,
            format!("request id {text:?} is not 32 hexadecimal digits"),
        ))
    }
}

/// The maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// The idempotency key under which a non-idempotent call runs at most once.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct IdempotencyKey(Arc<str>);

impl IdempotencyKey {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
            return Err(Error::new(
                ErrorKind::InvalidRequest,
                format!("idempotency key must be 1 to {MAX_KEY_BYTES} visible ASCII characters"),
            ));
        }
        Ok(Self(Arc::from(text)))
    }
}

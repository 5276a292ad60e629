//! Sizes, token counts and rates as newtypes with `Display` and `FromStr`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::errors::{Error, Result, invalid_request};

const KIBIBYTE: u64 = 1 << 10;
const MEBIBYTE: u64 = 1 << 20;
const GIBIBYTE: u64 = 1 << 30;

/// A size in bytes, written with an optional unit: `512`, `64 KiB`, `1 MiB`, `2 GiB`.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Returns the size as a `usize`.
    ///
    /// # Panics
    ///
    /// Panics if the size exceeds the address space.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).expect("byte size fits into usize")
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units = [(GIBIBYTE, "GiB"), (MEBIBYTE, "MiB"), (KIBIBYTE, "KiB")];
        for (size, unit) in units {
            if self.0 >= size && self.0.is_multiple_of(size) {
                return write!(formatter, "{} {unit}", self.0 / size);
            }
        }
        write!(formatter, "{} B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let trimmed = text.trim();
        let split = trimmed
            .find(|character: char| !character.is_ascii_digit())
            .unwrap_or(trimmed.len());
        let (digits, unit) = trimmed.split_at(split);
        let scale = match unit.trim() {
            "" | "B" => 1,
            "KiB" => KIBIBYTE,
            "MiB" => MEBIBYTE,
            "GiB" => GIBIBYTE,
            _ => {
                return Err(invalid_request(format!(
                    "size {text:?} has an unknown unit; use B, KiB, MiB or GiB"
                )));
            }
        };
        digits
            .parse::<u64>()
            .ok()
            .and_then(|number| number.checked_mul(scale))
            .map(Self)
            .ok_or_else(|| {
                invalid_request(format!("size {text:?} is not a whole number with a unit"))
            })
    }
}

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(pub u32);

impl fmt::Display for TokenCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse()
            .map(Self)
            .map_err(|_| invalid_request(format!("token count {text:?} is not a whole number")))
    }
}

/// A rate in events per second, written `4/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, SerializeDisplay, DeserializeFromStr)]
pub struct EventRate(pub f64);

impl fmt::Display for EventRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.0)
    }
}

impl FromStr for EventRate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let number = text.strip_suffix("/s").unwrap_or(text).trim();
        match number.parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate > 0.0 => Ok(Self(rate)),
            _ => Err(invalid_request(format!(
                "rate {text:?} is not a positive number per second"
            ))),
        }
    }
}

//! The software versions at which streams began, so that each stream goes on at no other.
//!
//! Engines of several versions may serve side by side, and what two versions write does not fit
//! together. The caller of a broken stream may take it up at any entry, also after the entry that
//! began it has ended. Each entry therefore tells two agents of every stream when it sends the call to
//! an engine, and an entry that does not know the origin of a stream asks those that
//! [`crate::holder_ranking`] names for its key.

use std::collections::HashMap;
use std::time::Duration;

use amaranth_core::digest::hash64;
use amaranth_core::ids::SoftwareVersion;
use amaranth_core::time::Timestamp;
use serde::{Deserialize, Serialize};

use crate::call::CallId;

/// Time for which the origin of a stream is kept, longer than callers wait for an answer.
pub const ORIGIN_TIME: Duration = Duration::from_secs(120);

/// Largest number of origins that are kept for [`ORIGIN_TIME`]; with more, the oldest are forgotten
/// earlier.
const MAX_ORIGINS: usize = 32_768;

/// The key of a stream: a digest of the id of the call that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the seed by which the holders of the stream's origin are ranked.
    pub const fn seed(self) -> u64 {
        self.0
    }
}

impl From<&CallId> for StreamKey {
    fn from(call: &CallId) -> Self {
        Self(hash64(0, call.as_str().as_bytes()))
    }
}

/// The software version at which a stream began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub software: SoftwareVersion,
    /// The number of the send of the call. Only the last send of a call brings events.
    pub send: u32,
}

/// The origin of a stream as it is kept.
#[derive(Debug, Clone)]
struct KnownOrigin {
    software: SoftwareVersion,
    send: u32,
}

/// The origins of recent streams, in two generations of which the older one is dropped as a whole.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    current: HashMap<StreamKey, KnownOrigin>,
    previous: HashMap<StreamKey, KnownOrigin>,
    current_since: Timestamp,
}

impl StreamOrigins {
    /// Records the origin of a stream at `now`. An origin of an earlier send than the known one is
    /// ignored: messages about two sends may arrive in either order.
    pub fn record(&mut self, now: Timestamp, origin: StreamOrigin) {
        self.forget_old(now);
        let StreamOrigin {
            stream,
            software,
            send,
        } = origin;
        let known = self.current.get(&stream);
        let known = known.or_else(|| self.previous.get(&stream));
        if known.is_none_or(|known| known.send < send) {
            self.previous.remove(&stream);
            self.current.insert(stream, KnownOrigin { software, send });
        }
    }

    /// Returns the version at which a stream began, if it is known at `now`.
    pub fn find(&mut self, now: Timestamp, stream: StreamKey) -> Option<SoftwareVersion> {
        self.forget_old(now);
        let known = self.current.get(&stream);
        let known = known.or_else(|| self.previous.get(&stream));
        known.map(|known| known.software.clone())
    }

    fn forget_old(&mut self, now: Timestamp) {
        let age = now.since(self.current_since);
        if age < ORIGIN_TIME && self.current.len() < MAX_ORIGINS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if age >= ORIGIN_TIME * 2 {
            self.previous.clear();
        }
        self.current_since = now;
    }
}

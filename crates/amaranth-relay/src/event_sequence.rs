//! The order of the events of a stream that goes on at another engine.

use crate::event_splitter::EventBatch;

/// An event that does not go on with its stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SequenceError {
    /// An event without an id. A failure may be sent in the form of an event.
    #[error("an event after {after} has no id")]
    NoId {
        /// The id of the event before.
        after: u64,
    },
    /// An event that the caller has received already.
    #[error("event {id} follows event {after}")]
    Repeated {
        /// The id of the event.
        id: u64,
        /// The id of the event before.
        after: u64,
    },
}

/// Checks that the events of a resumed stream follow those that its caller has received. The events of
/// a stream that is sent from its beginning are not checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventSequence {
    last: Option<u64>,
}

impl EventSequence {
    /// Creates the sequence of a stream that goes on after an event, or begins.
    pub const fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns whether the stream goes on after an event.
    pub const fn is_resumed(&self) -> bool {
        self.last.is_some()
    }

    /// Records the next events of the stream.
    ///
    /// # Errors
    ///
    /// Returns the first event that does not go on with the stream.
    pub fn record(&mut self, batch: &EventBatch) -> Result<(), SequenceError> {
        let Some(last) = &mut self.last else {
            return Ok(());
        };
        for id in &batch.ids {
            let after = *last;
            let id = id.ok_or(SequenceError::NoId { after })?;
            if id <= after {
                return Err(SequenceError::Repeated { id, after });
            }
            *last = id;
        }
        Ok(())
    }
}

//! The tarpc services between the processes of amaranthfield, and their transport.
//!
//! Answers are pulled: a reader asks for the chunks from a sequence on, which acknowledges all
//! earlier ones, and the agent replies as soon as there is a chunk or the wait is over. An empty
//! reply is the heartbeat of an open answer.

pub mod agent;
pub mod codec;
pub mod entry;
pub mod shelf;
pub mod transport;

/// Largest frame that a process accepts from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
